/// \file origin_record.h
/// What the store keeps of the origins of streams (stream_origins.h), so that they are known after
/// all instances were killed at once.
///
/// One value lists the possible origins: the services and software versions at which streams may
/// have begun. An instance begins streams at a version only once the value lists it, so that a
/// single possible origin is that of every stream. Only while there are several, each instance
/// keeps a value with the origins of its own streams that are not complete.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/error.h>
#include <nutmegspur/stream_origins.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// Prefix of all keys of this part, and the key of the possible origins.
inline constexpr std::string_view origin_prefix = "stream-origins/";
inline constexpr std::string_view possible_origins_key = "stream-origins/possible";

/// The key of the origins of the streams that one process of `instance` began.
std::string origin_batch_key(const instance_id& instance, std::int64_t started_ms);

/// An origin at which streams may have begun.
struct possible_origin {
  stream_origin origin;
  std::optional<wall_time> gone; ///< Since when no upstream has it; empty while one has.

  bool operator==(const possible_origin&) const = default;
};

class origin_record {
 public:
  /// Origins that are gone are forgotten after this time; longer than streams are resumed.
  static constexpr milliseconds retention{120'000};

  /// Adds an origin that is in service. Returns whether that changes the record.
  bool add(const stream_origin& origin);
  /// Notes that the origins other than `in_service` are gone, and forgets those that have been for
  /// long. Returns whether that changes the record.
  bool retire(wall_time now, const std::set<stream_origin>& in_service);

  /// Whether streams may begin at `origin`.
  [[nodiscard]] bool lists(const stream_origin& origin) const;
  /// The origins of all streams that began within `window` before `now`.
  [[nodiscard]] std::vector<stream_origin> possible(wall_time now, milliseconds window) const;

  [[nodiscard]] const std::vector<possible_origin>& entries() const { return entries_; }

  [[nodiscard]] std::string pack() const;
  /// An error for malformed bytes.
  static result<origin_record> unpack(std::string_view bytes);

  bool operator==(const origin_record&) const = default;

 private:
  std::vector<possible_origin> entries_; ///< Each origin once.
};

std::string pack_origin_batch(const std::vector<stream_origin_notice>& streams);
/// An error for malformed bytes.
result<std::vector<stream_origin_notice>> unpack_origin_batch(std::string_view bytes);

} // namespace nutmegspur
