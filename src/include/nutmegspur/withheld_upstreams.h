/// \file withheld_upstreams.h
/// Upstreams that get no new requests, by notices that instances share. There are four reasons:
/// an engine whose stage is about to change rejects requests that it has not started, an address
/// may have been taken over by another process before the upstream list shows it, an upstream
/// stated in a response that it is leaving, which the list may show later or never, and an instance
/// that follows the list learned that an upstream is leaving before the lists of others show it.
///
/// The end is a wall-clock time on which all instances agree, so that forwarding a notice does not
/// extend it.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/upstream_list.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

/// Excludes one upstream from new requests until a condition or a time.
struct withheld_notice {
  upstream_id upstream;
  /// The notice also ends when the upstream is listed with this stage; `none`: only at `until`.
  engine_stage until_stage = engine_stage::none;
  wall_time until{}; ///< Agreed wall-clock time at which the notice ends in any case.
  /// Start of the process that is leaving (`listed_upstream::started_ms`); the notice does not
  /// concern another process of the upstream. Empty for the other reasons.
  std::optional<std::int64_t> leaving_process;

  bool operator==(const withheld_notice&) const = default;
};

/// What is known of the return of an upstream that is withheld, or may be used now.
struct upstream_return {
  engine_stage stage = engine_stage::none; ///< Which it has then.
  /// Time until then, zero if it may be used now. Empty if it is not known: the time of a notice
  /// without a stage is only that until which the list will show what becomes of the upstream.
  std::optional<milliseconds> time_left;

  bool operator==(const upstream_return&) const = default;
};

/// The notices in force, at most one per upstream.
class withheld_upstreams {
 public:
  /// How long it is remembered that a process is leaving; longer than such processes take.
  static constexpr milliseconds leaving_period{600'000};
  /// Peers are told of a leaving process for this long.
  static constexpr milliseconds leaving_shared_period{5'000};
  /// Until then the lists of all instances show that an upstream is leaving.
  static constexpr milliseconds listed_leaving_period{5'000};

  /// Time from an engine's stage change until all instances see it in the list: a heartbeat of
  /// about a second, and the pause between two watch calls. Notices that await a stage include it.
  static constexpr milliseconds listing_lag{3'000};

  /// Adds a local notice or a peer's. If an upstream already has a notice, the one that ends later
  /// applies. Returns whether `notice` was stored.
  bool add(const withheld_notice& notice);
  /// The process behind `it` stated at the agreed time `now` that it is leaving.
  bool add_leaving(wall_time now, const listed_upstream& it);

  /// The list shows that `it` is leaving. Returns whether peers are to be told: not if a notice
  /// that is in force for long enough already does.
  bool add_listed_leaving(wall_time now, const listed_upstream& it);

  /// Removes the notice of an upstream that is now another process.
  void forget(const upstream_id& id) { notices_.erase(id); }

  /// Removes the notice of an upstream that is gone. That it was leaving is kept: an outdated entry
  /// may list it again.
  void on_removed(const upstream_id& id);

  /// Whether `it` must get no new requests at the agreed time `now`.
  [[nodiscard]] bool withheld(wall_time now, const listed_upstream& it) const;
  /// Whether the process behind `it` is leaving, by its own word.
  [[nodiscard]] bool leaving(wall_time now, const listed_upstream& it) const;
  /// When `it` is expected to take new requests again; empty if its process is leaving.
  [[nodiscard]] std::optional<upstream_return> expected_return(wall_time now,
                                                               const listed_upstream& it) const;
  /// Returns the notices in force that peers may not have yet, and removes the expired ones.
  std::vector<withheld_notice> current(wall_time now);

 private:
  std::map<upstream_id, withheld_notice> notices_;
};

} // namespace nutmegspur
