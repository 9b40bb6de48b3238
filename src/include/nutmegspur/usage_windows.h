/// \file usage_windows.h
/// Counts of requests that started to run, by team and wall-clock window. Each instance counts its
/// own requests and sends the counts to the holder of the reporting duty, which adds up the counts
/// of all instances.
///
/// An instance sends the total counts of a window, never differences, so that a lost, repeated or
/// reordered message does no harm.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/names.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// Number of requests of each team.
using team_counts = std::map<team_id, std::uint64_t>;

/// The counts of one window, of one instance or of all.
struct usage_window {
  std::int64_t number = 0; ///< Window k starts k window lengths after the start of 1970.
  team_counts counts;

  bool operator==(const usage_window&) const = default;
};

/// Usage windows of all instances.
class usage_windows {
 public:
  /// Number of windows that are kept after their end, for a holder that takes over late.
  static constexpr std::int64_t retained_windows = 6;

  usage_windows(instance_id self, milliseconds length) : self_(std::move(self)), length_(length) {}

  [[nodiscard]] std::int64_t number_at(wall_time when) const;

  /// Counts a request of `team` that started to run at `when`.
  void count(const team_id& team, wall_time when);
  /// Merges an instance's counts of a window with those it sent before. Counts only grow, so the
  /// greater of two is the newer one.
  void merge_peer_counts(const instance_id& peer, const usage_window& window);
  /// This instance's windows after window `sealed` that may still be reported.
  [[nodiscard]] std::vector<usage_window> own_windows(wall_time now, std::int64_t sealed = 0) const;
  /// The counts of window `number`, summed over all instances.
  [[nodiscard]] usage_window total(std::int64_t number) const;
  /// The oldest window after window `reported` that ended at least `min_age` ago and is still kept.
  [[nodiscard]] std::optional<std::int64_t> next_due(wall_time now, milliseconds min_age,
                                                     std::int64_t reported) const;
  /// Drops windows that are too old to be reported.
  void trim(wall_time now);

 private:
  instance_id self_;
  milliseconds length_;
  std::map<std::int64_t, std::map<instance_id, team_counts>> windows_;
};

/// What a holder of the reporting duty does with the last sealed window.
enum class sealed_step {
  report,     ///< Report it; repeating the same report has no effect.
  seal_again, ///< The store lost it: write it again, then report it.
  skip,       ///< Continue with the next window.
};

template <> struct enum_names<sealed_step> {
  static constexpr std::array<enum_name<sealed_step>, 3> table{{
      {sealed_step::report, "report"},
      {sealed_step::seal_again, "seal_again"},
      {sealed_step::skip, "skip"},
  }};
};

/// The last sealed window, and what to do with it.
struct sealed_position {
  usage_window window;
  sealed_step step = sealed_step::skip;
};

/// Where a holder continues that has read `stored` (number 0: none) as the last sealed window. A
/// store that was restored from an older copy may have lost later ones: `known` is the latest that
/// any instance knows to be sealed, and `own` the last one whose counts this instance has sealed or
/// read, if any. A lost window whose counts are not known here is skipped, since it may have been
/// reported.
sealed_position continue_after(const usage_window& stored, const std::optional<usage_window>& own,
                               std::int64_t known);

/// The sealed window whose counts a holder knows at `position`; empty if it skips one.
std::optional<usage_window> known_counts(const sealed_position& position);

} // namespace nutmegspur
