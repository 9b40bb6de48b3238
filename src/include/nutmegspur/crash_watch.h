/// \file crash_watch.h
/// Tells a process that ended from single streams that broke: when attempts break at an engine, its
/// process is asked once whether it still runs.
///
/// The prompt parts of all attempts that broke are kept until the answer is known, because any of
/// them may be what the process crashed on (prompt_quarantine.h).
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace nutmegspur {

/// Ids of prompt parts, as the caller gave them; sorted and without duplicates.
using part_ids = std::vector<std::uint64_t>;

/// One process behind an upstream.
struct upstream_process {
  upstream_id id;
  std::int64_t started_ms = 0; ///< Unix time of its start.

  auto operator<=>(const upstream_process&) const = default;
};

/// A hash of `process` that is the same in all instances.
std::uint64_t process_key(const upstream_process& process);

/// The processes at which attempts broke lately.
class crash_watch {
 public:
  /// How long the parts of broken attempts are kept.
  static constexpr milliseconds retention{10'000};
  /// Minimum time between two checks of one process.
  static constexpr milliseconds check_period{1'000};

  enum class next_step {
    none,  ///< A check is under way, or was made a moment ago.
    check, ///< Ask the process whether it runs.
    count, ///< The process has ended: the parts of this attempt count, too.
  };

  /// An attempt whose prompt has these parts broke at `process`.
  next_step on_broken(const moment& now, const upstream_process& process, const part_ids& parts);

  /// The process answered the check.
  void on_running(const upstream_process& process) { processes_.erase(process); }

  /// The process did not accept a connection, or another one is at its address. Returns the parts
  /// of the attempts that broke there, each once.
  part_ids on_ended(const upstream_process& process);

 private:
  struct broken_attempts {
    part_ids parts; ///< Sorted, without duplicates.
    time_point last{};
    time_point checked{};
    bool ended = false;
  };

  void expire(const moment& now);

  std::map<upstream_process, broken_attempts> processes_;
};

} // namespace nutmegspur
