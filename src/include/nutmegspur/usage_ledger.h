/// \file usage_ledger.h
/// Counts usage on every instance and delivers it so that it is in a sealed window exactly once.
///
/// Usage lines are summed for a few seconds, then closed into a numbered part. A part is sent to
/// the zone's lease holder and, as a copy, to one other peer; both the source and the peer send it
/// again until its sealing is acknowledged. The holder's side is `usage_sealer`.
#pragma once

#include <nutmegspur/usage_sealer.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace nutmegspur {

/// Functions through which the ledger finds other instances. An empty function finds none.
struct usage_hooks {
  /// The zone's lease holder, or a peer that knows it.
  std::function<std::optional<instance_id>()> holder;
  /// Another live instance of the zone, to keep copies.
  std::function<std::optional<instance_id>()> copy_peer;
};

/// The part of usage accounting that runs on every instance.
class usage_ledger {
 public:
  /// Maximum number of closed parts that are not yet sealed. At the limit, new usage is summed in
  /// the open part.
  static constexpr std::size_t max_own_parts = 64;
  /// Maximum number of copies kept for other instances.
  static constexpr std::size_t max_copies = 4096;

  usage_ledger(usage_settings config, usage_hooks hooks, const authority_source& source);

  /// Adds the usage of finished work.
  void count(const moment& now, const usage_line& line, action_list& out);
  /// Closes the open part immediately, for a graceful stop.
  void flush(const moment& now, action_list& out);
  /// Whether all usage counted or kept here is sealed or held by another instance.
  [[nodiscard]] bool handed_over() const;

  /// Whether the holder's side has a call in progress.
  [[nodiscard]] bool busy() const { return sealer_.busy(); }

  void step(const moment& now, const event& ev, action_list& out);

 private:
  struct own_part {
    usage_part part;
    time_point next_send;
    duration backoff{0};
    bool held_elsewhere = false; ///< Another instance has confirmed that it holds the part.
    std::optional<instance_id> copied_to;
  };

  struct copied_part {
    usage_part part;
    time_point next_send;
    duration backoff{0};
    bool held_elsewhere = false; ///< Another instance has confirmed that it holds the part too.
  };

  void on_tick(const moment& now, action_list& out);
  void on_part(const moment& now, const instance_id& from, const usage_part& part,
               action_list& out);
  void on_ack(const instance_id& from, const usage_part_ack& ack, action_list& out);
  void on_stop(const moment& now, action_list& out);
  void close_part(const moment& now, action_list& out);
  void send_own(const moment& now, own_part& it, action_list& out);
  void forward_copy(const moment& now, copied_part& it, action_list& out);
  void acknowledge_sealed(action_list& out);
  void release(std::uint64_t sequence, action_list& out);

  usage_settings config_;
  usage_hooks hooks_;
  usage_sealer sealer_;
  std::map<std::pair<team_id, std::string>, usage_line> open_lines_;
  time_point open_since_;
  std::uint64_t last_sequence_ = 0;
  std::map<std::uint64_t, own_part> own_parts_;
  std::map<usage_part_key, copied_part> copies_;
  bool stopping_ = false;
};

} // namespace nutmegspur
