/// \file usage_windows.h
/// Counts of requests that began to run, by team and wall-clock window: each instance counts its
/// own and tells the holder of the reporting duty; the holder sums what all told.
///
/// An instance tells whole counts of a window, never differences, so that a lost or repeated
/// message changes nothing.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// Requests of each team.
using team_counts = std::map<team_id, std::uint64_t>;

/// The counts of one window at one instance, or of all.
struct usage_window {
  std::int64_t number = 0; ///< Window k begins k lengths after the start of 1970.
  team_counts counts;

  bool operator==(const usage_window&) const = default;
};

/// Windows of all instances.
class usage_windows {
 public:
  /// Windows that are kept after their end, for a holder that takes over late.
  static constexpr std::int64_t retained_windows = 6;

  usage_windows(instance_id self, milliseconds length) : self_(std::move(self)), length_(length) {}

  [[nodiscard]] std::int64_t number_at(wall_time when) const;

  /// A request of `team` began to run at `when`.
  void count(const team_id& team, wall_time when);
  /// An instance's counts of a window replace what it told before. Counts only grow, so the
  /// greater of two is the newer.
  void merge_peer_counts(const instance_id& peer, const usage_window& window);
  /// This instance's windows after `sealed` that may still be reported.
  [[nodiscard]] std::vector<usage_window> own_windows(wall_time now, std::int64_t sealed = 0) const;
  /// The sum of all instances for window `number`.
  [[nodiscard]] usage_window total(std::int64_t number) const;
  /// The oldest window after `reported` that ended at least `settled` ago and is still kept.
  [[nodiscard]] std::optional<std::int64_t> next_due(wall_time now, milliseconds min_age,
                                                     std::int64_t reported) const;
  /// Forgets windows that are too old to be reported.
  void trim(wall_time now);

 private:
  instance_id self_;
  milliseconds length_;
  std::map<std::int64_t, std::map<instance_id, team_counts>> windows_;
};

} // namespace nutmegspur
