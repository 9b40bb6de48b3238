/// \file stream_origins.h
/// Where streams began. What two software versions of a service write does not fit together, so a
/// stream goes on only at the service and version that sent its first event, also if its caller
/// resumes it at another instance.
///
/// An instance remembers the streams that it began itself and those of peers that chose it as a
/// keeper (`origin_keepers`). Without a record, the origin is still known if all upstreams of the
/// service had one version for as long as a stream can be resumed (`version_history`), and the
/// keepers confirm that they have no record either (`origin_votes`).
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/upstream_list.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegspur {

/// Service and software version of the upstream that sent the first event of a stream.
struct stream_origin {
  service_id service;
  std::string software_version;

  auto operator<=>(const stream_origin&) const = default;
};

/// Tells a keeper where a stream began.
struct stream_origin_notice {
  std::string request; ///< Id of the caller's request whose response brought the first event.
  stream_origin origin;

  bool operator==(const stream_origin_notice&) const = default;
};

/// Instances besides the one that began a stream that remember its origin: it may end at any time,
/// and so may one or two of them.
inline constexpr std::size_t origin_keeper_count = 3;

/// The keepers of `request` among `instances`, the preferred one first. One more than
/// `origin_keeper_count` covers those that any other instance has chosen.
std::vector<instance_id> origin_keepers(std::string_view request,
                                        const std::vector<instance_id>& instances,
                                        std::size_t count);

/// The origins that this instance remembers.
class stream_origins {
 public:
  /// Callers resume a stream within their deadline; longer than any.
  static constexpr milliseconds retention{60'000};
  /// Bound of the memory; the oldest records go first.
  static constexpr std::size_t max_records = 20'000;
  /// A longer id of a request is not recorded.
  static constexpr std::size_t max_request_bytes = 128;

  void add(const moment& now, const std::string& request, const stream_origin& origin);
  [[nodiscard]] std::optional<stream_origin> find(const moment& now,
                                                  const std::string& request) const;
  /// The records added within `period` before `now`.
  [[nodiscard]] std::vector<stream_origin_notice> recent(const moment& now,
                                                         milliseconds period) const;

  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct record {
    stream_origin origin;
    time_point added{};
  };

  void expire(const moment& now);

  std::unordered_map<std::string, record> records_;
  /// In the order of time. A request that was added again has several entries; the last one counts.
  std::deque<std::pair<time_point, std::string>> order_;
};

/// The software versions of each service's upstreams over time.
class version_history {
 public:
  /// Records the versions in `list` at `now`. Must be called at least once in `max_gap`.
  /// `followed` tells whether the list is up to date.
  void observe(const moment& now, const upstream_list& list, bool followed);

  /// The version of all upstreams of `service` in the last `window`; empty if there were several or
  /// none, or if the list was not followed all the time.
  [[nodiscard]] std::optional<std::string>
  only_version(const moment& now, const service_id& service, milliseconds window) const;

  /// Whether an upstream with `origin` has been listed, also if it is gone.
  [[nodiscard]] bool listed(const stream_origin& origin) const;

  /// Longest time between two observations that leaves no gap.
  static constexpr milliseconds max_gap{2'000};

 private:
  time_point followed_since_{}; ///< Zero while the list is not followed.
  time_point last_observed_{};
  std::map<service_id, std::map<std::string, time_point>> last_listed_;
};

/// What the keepers of a stream say that an instance has asked for its origin.
class origin_votes {
 public:
  /// `asked`: number of keepers.
  explicit origin_votes(std::size_t asked) : open_(asked) {}

  /// Takes a keeper's answer; empty if it gave none, an empty origin if it knows of none.
  void add(const std::optional<std::optional<stream_origin>>& answer);

  /// Whether no further answer can change the origin.
  [[nodiscard]] bool decided() const { return found_ || open_ == 0; }

  /// The origin once it is decided(); empty if the store must tell. `only`: the origin that follows
  /// from this instance's own list, which may be older than the stream.
  [[nodiscard]] std::optional<stream_origin> origin(const std::optional<stream_origin>& only) const;

 private:
  std::size_t open_;
  std::optional<stream_origin> found_;
  bool all_answered_ = true;
};

std::string pack_origin_question(std::string_view request);
/// An error for malformed bytes or a request id that is too long.
result<std::string> unpack_origin_question(std::string_view bytes);
std::string pack_origin_answer(const std::optional<stream_origin>& it);
/// Empty if the peer does not know the origin; an error for malformed bytes.
result<std::optional<stream_origin>> unpack_origin_answer(std::string_view bytes);

} // namespace nutmegspur
