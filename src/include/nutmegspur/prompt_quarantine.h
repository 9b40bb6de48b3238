/// \file prompt_quarantine.h
/// Finds prompt parts on which engines crash, and keeps requests with them from further engines.
/// The same rules, with other figures, serve for sessions and for repeated requests, which are
/// "parts" of their own (crash_blame.h).
///
/// The evidence about a part is which processes ended while they worked on prompts with it, and
/// when a response to such a prompt last completed, which clears the part. After several crashes,
/// one after the other, the parts with most of them are quarantined together: a prompt that has all
/// of them is refused. Further crashes and completed responses narrow such a group down to the part
/// that causes the crashes. Instances exchange their evidence, because each of them sees only some
/// of the requests.
///
/// A quarantine ends after a while. The group is then on probation: the next crash quarantines it
/// again, for twice as long.
///
/// All times are wall-clock times on which the instances agree. Lists of parts are sorted and
/// without duplicates.
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

/// The evidence about one part, as instances tell each other.
struct suspect_notice {
  std::uint64_t part = 0;
  wall_time cleared{};             ///< Last completed response; zero if none is known.
  std::vector<part_crash> crashes; ///< After `cleared`, in order of time.

  bool operator==(const suspect_notice&) const = default;
};

/// Parts that are refused together. Ends at `until`; on probation afterwards.
struct quarantined_group {
  part_ids parts;
  wall_time since{}; ///< Of the evidence: a response that completed later clears a part.
  wall_time until{};
  unsigned times = 1; ///< Number of quarantines of the group so far, including this one.

  bool operator==(const quarantined_group&) const = default;
};

/// What an instance tells its peers.
struct quarantine_notice {
  std::vector<suspect_notice> suspects;
  std::vector<quarantined_group> groups;

  [[nodiscard]] bool empty() const { return suspects.empty() && groups.empty(); }

  bool operator==(const quarantine_notice&) const = default;
};

/// A group was quarantined, or completed responses have cleared all of its parts.
struct quarantine_change {
  part_ids parts;
  bool quarantined = false;
  std::size_t crashes = 0; ///< Crashes that count against it.
  milliseconds span{0};    ///< Time until the quarantine ends.
};

using quarantine_changes = std::vector<quarantine_change>;

/// What differs between the kinds of suspects.
struct quarantine_rules {
  /// Crashes, one after the other, that lead to a quarantine.
  std::size_t crashes = 3;
  /// Crashes closer together count as one: processes that end at the same time may have another
  /// common cause, and sound parts have had no time to complete a response elsewhere.
  milliseconds min_spacing{400};
  /// A request has at most one of the suspects, so that those with the same evidence are
  /// quarantined each by itself instead of as a group; then only for `tied_span`, after which a
  /// sound one completes a response.
  bool separately = false;
  /// Bounds of a notice.
  std::size_t max_shared_suspects = 16;
  std::size_t max_shared_crashes = 8;

  static quarantine_rules for_parts() { return {}; }

  /// More crashes than for requests, which so are blamed before their session.
  static quarantine_rules for_sessions() { return {5, milliseconds{20}, true, 48, 6}; }

  /// One request is at a process only after it broke at another: its crashes are in turn however
  /// fast it is retried.
  static quarantine_rules for_requests() { return {3, milliseconds{20}, true, 48, 4}; }
};

class prompt_quarantine {
 public:
  /// A crash counts after this time, in which peers tell what else the process worked on.
  static constexpr milliseconds settling_time{500};
  static constexpr milliseconds first_span{60'000};
  static constexpr milliseconds tied_span{5'000};
  static constexpr milliseconds max_span{3'600'000};
  /// How long crashes count, and how long a group stays on probation.
  static constexpr milliseconds retention{600'000};
  /// Peers are told of evidence for this long after it has changed, and of quarantines in force.
  static constexpr milliseconds shared_period{10'000};
  /// Bounds of what is kept.
  static constexpr std::size_t max_suspects = 4'000;
  static constexpr std::size_t max_crashes = 48;
  static constexpr std::size_t max_group_parts = 16;
  /// Bounds of a notice.
  static constexpr std::size_t max_shared_disputed = 8;
  static constexpr std::size_t max_shared_groups = 8;

  explicit prompt_quarantine(const quarantine_rules& rules = {}) : rules_(rules) {}

  /// `process` ended while it worked on prompts with these parts.
  void on_crash(wall_time now, std::uint64_t process, const part_ids& parts);
  /// A response to a prompt with these parts completed.
  quarantine_changes on_completed(wall_time now, const part_ids& parts);
  /// Adds a peer's evidence and quarantines.
  quarantine_changes merge(wall_time now, const quarantine_notice& notice);
  /// To be called several times a second: quarantines the parts that the evidence is sufficient
  /// for.
  quarantine_changes step(wall_time now);

  /// Time until a prompt with these parts may be sent to an engine; empty if it may be now.
  [[nodiscard]] std::optional<milliseconds> time_left(wall_time now, const part_ids& parts) const;
  /// What peers may not know yet.
  [[nodiscard]] quarantine_notice current(wall_time now) const;
  /// Number of groups in quarantine.
  [[nodiscard]] std::size_t size(wall_time now) const;

 private:
  struct suspect {
    wall_time cleared{};
    /// Invariant: in order of time, after `cleared`, one for each process, at most `max_crashes`.
    std::vector<part_crash> crashes;
    wall_time changed{};
    wall_time disputed{}; ///< When a peer last reported what a completed response refutes.
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
  static void add_crash(wall_time now, suspect& it, const part_crash& crash);
  /// A response with `part` completed at `when`.
  void clear(wall_time now, std::uint64_t part, wall_time when, quarantine_changes& changes);
  /// Adds or renews a group, and removes those that it makes redundant. Returns whether it was in
  /// force.
  bool add_group(wall_time now, quarantined_group group);
  /// Whether `process` ended with all parts of the group.
  [[nodiscard]] bool ended_with(const part_ids& parts, std::uint64_t process) const;
  /// Whether a single quarantined part other than `part` accounts for the end of `process`.
  [[nodiscard]] bool explained(std::uint64_t part, std::uint64_t process) const;

  /// Settled crashes of a part that nothing else accounts for.
  struct crash_counts {
    std::size_t processes = 0;
    std::size_t in_turn = 0; ///< Those at least `quarantine_rules::min_spacing` apart.
  };

  [[nodiscard]] crash_counts crashes_against(wall_time now, std::uint64_t part,
                                             const suspect& it) const;
  /// The time of the latest settled crash of each part; the earliest of these.
  [[nodiscard]] wall_time evidence_time(wall_time now, const part_ids& parts) const;
  /// Quarantines parts that have the same evidence.
  void quarantine_group(wall_time now, const part_ids& parts, milliseconds span,
                        std::size_t crashes, quarantine_changes& changes);
  void quarantine_worst(wall_time now, quarantine_changes& changes);
  void renew_ended(wall_time now, quarantine_changes& changes);
  void expire(wall_time now);

  quarantine_rules rules_;
  std::map<std::uint64_t, suspect> suspects_;
  std::vector<quarantined_group> groups_; ///< In force or on probation.
  completions completions_;
};

} // namespace nutmegspur
