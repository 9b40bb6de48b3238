/// \file path_watch.h
/// Judges this instance's path to each upstream: a network partition may break the paths of one
/// instance to all upstreams, to those of a service or a zone, or to a single one, and attempts
/// that fail for that reason say nothing about the upstream.
///
/// Failures alone decide nothing. A failed or silent attempt starts a probe over a new connection;
/// if there is no response, other instances are asked whether they reach the upstream. If one does,
/// the path is cut, and other paths are examined; if none does, the upstream is at fault.
///
/// Evidence against an upstream waits until its path is judged (`hold`).
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/upstream_list.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegspur {

/// What this instance knows of its path to an upstream.
enum class path_state {
  clear,    ///< Nothing speaks against it.
  doubtful, ///< An attempt failed or is silent; the path is being examined.
  unproved, ///< Other paths were found cut, and the upstream has not been heard since.
  cut,      ///< The upstream does not respond to this instance, but responds to others.
};

template <> struct enum_names<path_state> {
  static constexpr std::array<enum_name<path_state>, 4> table{{
      {path_state::clear, "clear"},
      {path_state::doubtful, "doubtful"},
      {path_state::unproved, "unproved"},
      {path_state::cut, "cut"},
  }};
};

/// How often each state occurs among the listed upstreams.
using path_counts = std::map<path_state, std::size_t>;

class path_watch {
 public:
  /// Silence of several upstreams of a service for this long is worth a probe.
  static constexpr milliseconds silence_limit{600};
  /// Upstreams of a service that must be silent for that long.
  static constexpr std::size_t min_silent = 2;
  /// Silence of a single upstream for this long is worth a probe; a sound one may be silent for a
  /// second.
  static constexpr milliseconds long_silence_limit{1'200};
  /// Time between two probes for the silence of a single upstream: engines that are busy are
  /// silent, too.
  static constexpr milliseconds long_silence_gap{1'000};
  /// How long a probe may take. Together with `silence_limit` more than the second for which a
  /// sound upstream may be silent.
  static constexpr milliseconds probe_limit{700};
  /// An upstream that was heard within this time before a cut was found is not examined.
  static constexpr milliseconds recently_heard{300};
  /// Paths that are examined for each that was found cut.
  static constexpr std::size_t sample_size = 4;
  /// Cut paths, found within `spread_period`, after which every path is in question.
  static constexpr std::size_t cuts_to_spread = 2;
  static constexpr milliseconds spread_period{2'000};
  /// Probes that one step starts, at most.
  static constexpr std::size_t probes_per_step = 16;
  /// Time between two rounds of probes of cut paths, and their number in a round.
  static constexpr milliseconds recheck_period{500};
  static constexpr std::size_t rechecks_per_round = 8;

  /// Evidence against an upstream that counts unless its path is at fault.
  using evidence = std::function<void()>;

  /// What to do after a probe has ended.
  enum class next_step {
    none,
    ask_peers, ///< Ask other instances whether they reach the upstream, then call on_peers_end().
    cut,       ///< The path was found cut.
    regained,  ///< The path, which was cut, works again.
  };

  // Attempts over this instance's own connections.
  /// Returns the number of the attempt for the two calls below.
  std::uint64_t on_started(const moment& now, const upstream_id& id);
  /// Bytes of a response have arrived.
  void on_bytes(const moment& now, std::uint64_t attempt);

  void on_ended(std::uint64_t attempt) { attempts_.erase(attempt); }

  /// `id` has responded outside an attempt or a probe of this watch.
  void on_heard(const moment& now, const upstream_id& id) { paths_[id].last_heard = now.boot; }

  /// An attempt at `id` ended in a way that may be the path's fault: no connection, reset, or no
  /// response. Applies `apply` once the upstream is known to be at fault; drops it if the path is.
  void hold(const upstream_id& id, evidence apply);

  /// Must be called several times a second. Returns the upstreams of `listed` to probe now.
  std::vector<upstream_id> step(const moment& now,
                                const std::vector<const listed_upstream*>& listed);
  /// A probe over a new connection has ended.
  [[nodiscard]] next_step on_probe_end(const moment& now, const upstream_id& id, bool reached);
  /// Other instances were asked about `id`; `reached` if one of them reaches it.
  [[nodiscard]] next_step on_peers_end(const moment& now, const upstream_id& id, bool reached);

  [[nodiscard]] path_state state(const upstream_id& id) const;
  [[nodiscard]] path_counts counts() const;

  /// Whether `id` has responded within `period`.
  [[nodiscard]] bool heard(const moment& now, const upstream_id& id, milliseconds period) const;

 private:
  struct attempt {
    upstream_id upstream;
    time_point last_active{};
  };

  struct path {
    path_state state = path_state::clear;
    service_id service;
    bool probing = false;
    bool wanted = false; ///< A probe is due.
    time_point last_heard{};
    time_point last_probed{};
    std::vector<evidence> held; ///< Empty while cut.
  };

  void update_paths(const std::vector<const listed_upstream*>& listed);
  void doubt_silent(const moment& now);
  void doubt(path& it);
  void question_others(const moment& now);
  std::vector<upstream_id> take_probes(const moment& now);
  next_step become_cut(const moment& now, path& it);
  static void release(path& it);

  std::map<upstream_id, path> paths_;
  std::map<std::uint64_t, attempt> attempts_;
  std::uint64_t last_attempt_ = 0;
  std::size_t samples_wanted_ = 0;
  std::vector<time_point> recent_cuts_; ///< Within `spread_period`.
  time_point last_long_silence_{};
  time_point last_recheck_{};
  /// Cut paths that were last probed before this time are probed without a pause: one of them works
  /// again.
  time_point recheck_all_before_{};
};

} // namespace nutmegspur
