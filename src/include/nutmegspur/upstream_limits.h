/// \file upstream_limits.h
/// The rates of requests that upstreams state in their responses. A rate holds for all instances
/// together, so they share what they have read; request_permits.h divides it.
///
/// Times are wall-clock times on which the instances agree: of two statements of one process the
/// later one applies, whoever received it.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/upstream_list.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

/// What a process stated last.
struct limit_notice {
  upstream_id upstream;
  std::int64_t process = 0;         ///< Its start (`listed_upstream::started_ms`).
  std::optional<double> per_second; ///< Empty if it no longer states a limit.
  wall_time stated{};

  bool operator==(const limit_notice&) const = default;
};

/// The limits in force, at most one per upstream.
class upstream_limits {
 public:
  /// A limit that is not stated again for this long is forgotten.
  static constexpr milliseconds retention{60'000};
  /// Responses may overtake each other: one without a limit ends it only if it arrives this much
  /// later than the last one with it.
  static constexpr milliseconds reordering_time{500};
  /// How long peers are told that a limit has ended.
  static constexpr milliseconds end_shared_period{10'000};
  /// Lower limits count as this one: without any request it would never be known that they end.
  static constexpr double min_per_second = 0.02;
  /// Bound of what peers are told, in entries.
  static constexpr std::size_t max_shared = 400;

  /// A response of `it` stated a limit, or none. Returns whether the limit in force has changed.
  bool on_response(wall_time now, const listed_upstream& it, std::optional<double> per_second);
  /// Adds a peer's notice. Returns whether the limit in force has changed.
  bool merge(wall_time now, const limit_notice& notice);

  /// Removes the limit of an upstream that is gone or another process.
  void forget(const upstream_id& id) { limits_.erase(id); }

  /// Requests a second that `it` takes from all instances together; empty if it has no limit.
  [[nodiscard]] std::optional<double> per_second(const listed_upstream& it) const;
  /// What peers are to be told. Removes what has expired.
  std::vector<limit_notice> current(wall_time now);
  /// Number of upstreams with a limit.
  [[nodiscard]] std::size_t size() const;

 private:
  bool add(const limit_notice& notice);

  std::map<upstream_id, limit_notice> limits_;
};

} // namespace nutmegspur
