/// \file usage_sealer.h
/// Usage accounting by a zone's lease holder: sums parts into windows, seals each window once, and
/// reports it until the usage interface has accepted it.
///
/// A window is sealed by one transaction that creates its record and advances the zone's usage
/// mark. The mark lists which parts are sealed, so that no part is counted twice, and which windows
/// are not yet confirmed, so that a new holder finds them. Every report carries the sealed figures.
#pragma once

#include <nutmegspur/authority.h>
#include <nutmegspur/decision.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegspur {

/// Settings of usage accounting.
struct usage_settings {
  instance_id self;
  zone_id zone;
  /// Time for which lines are summed before they are closed into a part.
  seconds part_period{5};
  /// Length of a usage window.
  seconds window{60};
  /// How long after the end of a window its parts are waited for before it is sealed.
  seconds grace{12};
  /// Delay before a part that is not acknowledged as sealed is sent again; it doubles with each
  /// repetition, up to a limit.
  seconds resend_delay{10};
  /// A copy of another instance's part is forwarded to the holder if it is not released within this
  /// time.
  seconds copy_forward_delay{90};
  /// Maximum time from a send to its arrival; a new holder waits for this long first.
  seconds delivery_bound{5};
};

/// Identifies a part by its source and sequence.
using usage_part_key = std::pair<instance_id, std::uint64_t>;

/// Status of a part that was passed to the sealer.
enum class part_status {
  refused,  ///< This instance cannot accept it now.
  accepted, ///< It will be sealed, if this instance remains the holder.
  sealed,   ///< It is in a sealed window.
};

/// A part that was sealed, and the instances that sent it.
struct sealed_part {
  usage_part_key key;
  std::vector<instance_id> senders;
};

/// The part of usage accounting that runs on the lease holder. All its platform calls are owned by
/// `duty::usage`.
class usage_sealer {
 public:
  /// Maximum number of merged lines in one record; keeps its value far below the store's limit.
  static constexpr std::size_t max_record_lines = 4000;
  /// Maximum number of parts held until they are sealed; more are refused, and their sources send
  /// them again.
  static constexpr std::size_t max_pending_parts = 10'000;
  /// Maximum number of confirmed windows kept in the store, for operators.
  static constexpr std::size_t max_kept_windows = 60;

  usage_sealer(usage_settings config, const authority_source& source);

  /// Accepts a part from `sender`, which may be this instance.
  part_status accept(const moment& now, const usage_part& part, const instance_id& sender);

  /// Returns the parts that were sealed since the last call.
  std::vector<sealed_part> take_sealed() { return std::exchange(sealed_, {}); }

  void step(const moment& now, const event& ev, action_list& out);
  /// Whether a store call or a report is in progress under this instance's authority.
  [[nodiscard]] bool busy() const;

 private:
  enum class stage {
    idle,          ///< No authority.
    delivery_wait, ///< Waits until nothing sent by an earlier holder can still arrive.
    loading,       ///< The usage mark is being read.
    ready,
    writing, ///< A transaction is in progress.
  };

  struct pending_part {
    usage_part part;
    std::vector<instance_id> senders;
  };

  /// A sealed window that is not yet confirmed.
  struct unconfirmed_window {
    usage_record record; ///< Without lines and zone until it has been read.
    revision modified;
    bool loaded = false;
    bool accepted = false;
    time_point next_send;
    duration backoff{0};
    std::uint64_t call = 0; ///< Read or report in progress; 0 if none.
  };

  /// The transaction in progress.
  struct pending_write {
    std::string key;
    usage_record record;
    usage_mark_record mark;
    std::vector<usage_part_key> parts;
    bool confirms = false;
  };

  using part_map = std::map<usage_part_key, pending_part>;

  void on_tick(const moment& now, action_list& out);
  void on_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_loaded(const moment& now, const platform_reply& reply, action_list& out);
  void on_written(const moment& now, const platform_reply& reply, action_list& out);
  void on_window_reply(const moment& now, unconfirmed_window& it, const platform_reply& reply,
                       action_list& out);
  void begin(const moment& now, fence number);
  void load(const moment& now, action_list& out);
  void adopt_mark(usage_mark_record mark, revision modified);
  void drop_sealed();
  void start_batch(const moment& now);
  void seal(const moment& now, action_list& out);
  void confirm(const std::string& key, unconfirmed_window& it, action_list& out);
  void send_reports(const moment& now, const authority& held, action_list& out);
  void send_report(const moment& now, const authority& held, unconfirmed_window& it,
                   action_list& out);
  void write(action_list& out);
  usage_record fill_record(pending_write& into) const;
  std::uint64_t call(platform_request request, action_list& out);
  [[nodiscard]] bool is_sealed(const usage_part_key& key) const;
  [[nodiscard]] std::int64_t closed_window(const moment& now) const;

  usage_settings config_;
  const authority_source& source_;
  stage stage_ = stage::idle;
  fence fence_;
  time_point earliest_load_;
  time_point next_load_;
  time_point call_deadline_; ///< A load or write without a reply is abandoned then.
  std::uint64_t last_call_ = 0;
  std::uint64_t pending_call_ = 0; ///< Load or write in progress; 0 if none.
  usage_mark_record mark_;
  revision mark_modified_;
  // Invariant: no part is in both maps, and none in them is in `mark_`.
  part_map pending_;
  part_map batch_; ///< Being sealed into `batch_window_`.
  std::int64_t batch_window_ = 0;
  std::map<std::string, unconfirmed_window> unconfirmed_;
  pending_write pending_write_;
  std::uint64_t last_writer_ = 0;
  std::vector<sealed_part> sealed_;
};

} // namespace nutmegspur
