/// \file prompt_quarantine.h
/// Finds prompt parts on which engines crash, and keeps requests with them from further engines.
///
/// The evidence about a part is when processes ended while they worked on prompts with it, and when
/// a response to such a prompt last completed. A part is quarantined once several processes have
/// ended with it, one after the other, and no response has completed since. Sound parts are cleared
/// by the responses of other requests. Instances exchange their evidence, because each of them sees
/// only some of the requests.
///
/// A quarantine ends after a while. Until a response completes, the part is then on probation: the
/// next crash quarantines it again, for twice as long.
///
/// All times are wall-clock times on which the instances agree.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/crash_watch.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

/// The end of a process that worked on a prompt with a part.
struct part_crash {
  std::uint64_t process = 0; ///< process_key() of the process.
  wall_time at{};

  bool operator==(const part_crash&) const = default;
};

/// A span in which requests with a part are refused.
struct quarantine_span {
  wall_time since{};
  wall_time until{};
  unsigned times = 0; ///< Number of spans of the part so far, including this one.

  bool operator==(const quarantine_span&) const = default;
};

/// The evidence about one part, as instances tell each other.
struct suspect_notice {
  std::uint64_t part = 0;
  wall_time cleared{};             ///< Last completed response; zero if none is known.
  std::vector<part_crash> crashes; ///< After `cleared`, in order of time.
  std::optional<quarantine_span> span;

  bool operator==(const suspect_notice&) const = default;
};

/// A part was quarantined, or a completed response released it.
struct quarantine_change {
  std::uint64_t part = 0;
  bool quarantined = false;
  std::size_t crashes = 0; ///< Crashes that count against it.
  milliseconds span{0};    ///< Time until the quarantine ends.
};

using quarantine_changes = std::vector<quarantine_change>;

class prompt_quarantine {
 public:
  /// Crashes that quarantine the part that has most of them.
  static constexpr std::size_t crashes_to_quarantine = 3;
  /// Crashes that quarantine several parts that have equally many.
  static constexpr std::size_t crashes_to_quarantine_all = 5;
  /// Crashes closer together count as one: processes that end at the same time may have another
  /// common cause, and sound parts have had no time to complete a response elsewhere.
  static constexpr milliseconds min_spacing{400};
  static constexpr milliseconds first_span{60'000};
  static constexpr milliseconds max_span{3'600'000};
  /// How long crashes count, and how long a part stays on probation.
  static constexpr milliseconds retention{600'000};
  /// Peers are told of evidence for this long after it has changed, and of quarantines in force.
  static constexpr milliseconds shared_period{10'000};
  /// Bounds of what is kept and of what a notice holds.
  static constexpr std::size_t max_suspects = 4'000;
  static constexpr std::size_t max_crashes = 16;
  static constexpr std::size_t max_shared_suspects = 16;
  static constexpr std::size_t max_shared_disputed = 8;
  static constexpr std::size_t max_shared_crashes = 6;

  /// `process` ended while it worked on prompts with these parts.
  quarantine_changes on_crash(wall_time now, std::uint64_t process, const part_ids& parts);
  /// A response to a prompt with these parts completed.
  quarantine_changes on_completed(wall_time now, const part_ids& parts);
  /// Adds a peer's evidence.
  quarantine_changes merge(wall_time now, const std::vector<suspect_notice>& notices);

  /// Time until a prompt with these parts may be sent to an engine; empty if it may be now.
  [[nodiscard]] std::optional<milliseconds> time_left(wall_time now, const part_ids& parts) const;
  /// The evidence that peers may not have yet: quarantines and the parts with most crashes; and
  /// parts that peers do not know to be cleared.
  std::vector<suspect_notice> current(wall_time now);
  /// Number of parts in quarantine.
  [[nodiscard]] std::size_t size(wall_time now) const;

 private:
  struct suspect {
    wall_time cleared{};
    /// Invariant: in order of time, `min_spacing` apart, after `cleared`, at most `max_crashes`.
    std::vector<part_crash> crashes;
    std::optional<quarantine_span> span;
    wall_time changed{};
    wall_time disputed{}; ///< When a peer last reported what a completed response refutes.

    [[nodiscard]] bool quarantined(wall_time now) const { return span && now < span->until; }
  };

  /// Times of completed responses by part, of the current and the previous period.
  struct completions {
    std::unordered_map<std::uint64_t, wall_time> current;
    std::unordered_map<std::uint64_t, wall_time> previous;
    wall_time rotated{};
  };

  /// The suspect for `part`; null if there are too many.
  suspect* find_or_add(wall_time now, std::uint64_t part);
  [[nodiscard]] wall_time last_completed(std::uint64_t part) const;
  /// Returns whether the crash is new evidence.
  static bool add_crash(wall_time now, suspect& it, const part_crash& crash);
  /// A response completed at `when`. Returns whether that ended a quarantine.
  static bool clear(wall_time now, suspect& it, wall_time when);
  /// Adopts a peer's quarantine, unless a completed response refutes it. Returns whether the part
  /// was not in quarantine before.
  static bool adopt_span(wall_time now, suspect& it, const quarantine_span& span);
  /// Crashes that count against a part that is not quarantined: those for which none of the
  /// quarantined parts accounts.
  static std::size_t crashes_against(const suspect& it,
                                     const std::vector<const suspect*>& quarantined);
  void start_span(wall_time now, std::uint64_t part, std::size_t crashes,
                  quarantine_changes& changes);
  /// Quarantines the parts that the evidence is sufficient for.
  void evaluate(wall_time now, quarantine_changes& changes);
  void expire(wall_time now);

  std::map<std::uint64_t, suspect> suspects_;
  completions completions_;
};

} // namespace nutmegspur
