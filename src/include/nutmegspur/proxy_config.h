/// \file proxy_config.h
/// The configuration of proxied traffic: routes by host and path, services, teams and limits, and
/// the lookup of a request's route and team.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/names.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

/// What may be repeated on a route.
enum class route_kind {
  repeatable, ///< Idempotent: may run any number of times.
  once,       ///< Not idempotent: runs at most once for each request.
  stream,     ///< An event stream: runs once, but for resumption where the route allows it.
};

template <> struct enum_names<route_kind> {
  static constexpr std::array<enum_name<route_kind>, 3> table{{
      {route_kind::repeatable, "repeatable"},
      {route_kind::once, "once"},
      {route_kind::stream, "stream"},
  }};
};

/// A service that takes a share of a route's requests.
struct service_share {
  service_id service;
  std::uint32_t weight = 1;
};

/// One route of the operators' configuration.
struct proxy_route {
  std::string name;
  std::string host;
  std::string path_prefix; ///< Begins and ends with a slash.
  route_kind kind = route_kind::once;
  bool resumable = false;   ///< A stream may go on at another upstream.
  bool open_to_all = false; ///< Needs no key.
  bool cache_affinity = false;
  milliseconds timeout{30'000};
  milliseconds target_latency{1'000}; ///< To the whole answer; for streams, to the first event.
  milliseconds target_gap{0};         ///< Longest pause between events that still is on time.
  int priority = 5;                   ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;
  std::vector<service_share> services; ///< Never empty.
};

/// What an engine service says of its engines.
struct engine_limits {
  std::uint32_t batch_slots = 1;
  std::uint64_t cache_tokens = 0; ///< Of one engine.
  milliseconds role_change_time{0};
};

/// Bounds of ordering upstreams, for each availability zone.
struct scaling_limits {
  std::uint32_t min_upstreams = 0;
  std::uint32_t max_upstreams = 0;
  milliseconds startup_time{0};
  /// Price of a reclaimable upstream against one on demand; empty where there are none.
  std::optional<double> reclaimable_price;
  std::map<zone_id, double> zone_prices;
};

/// One service of the operators' configuration.
struct proxy_service {
  service_id name;
  std::uint32_t max_connections = 0; ///< To one upstream from all callers; 0 is unbounded.
  std::optional<engine_limits> engine;
  std::optional<scaling_limits> scaling;
};

struct proxy_team {
  team_id name;
  std::vector<std::string> keys;
  std::optional<int> priority; ///< Goes before the route's.
};

/// Bounds of what a caller may send.
struct caller_limits {
  std::uint32_t max_header_bytes = 16'384;
  std::uint32_t max_body_bytes = 4'194'304;
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
};

/// One whole version of the configuration.
struct proxy_config {
  std::int64_t version = 0; ///< Only grows.
  std::vector<proxy_route> routes;
  std::vector<proxy_service> services;
  std::vector<proxy_team> teams; ///< Empty: no route needs a key.
  caller_limits limits;
};

/// A configuration with the indexes that requests need. Immutable, so that a request keeps the one
/// it began with.
class route_table {
 public:
  explicit route_table(proxy_config config);

  [[nodiscard]] const proxy_config& config() const { return config_; }

  /// The route of `host` with the longest prefix that begins `path`; null if there is none.
  [[nodiscard]] const proxy_route* find_route(std::string_view host, std::string_view path) const;
  /// The team that holds `key`; null if nobody does.
  [[nodiscard]] const proxy_team* find_team(const std::string& key) const;
  [[nodiscard]] const proxy_service* find_service(const service_id& name) const;

  /// Whether requests need a key at all.
  [[nodiscard]] bool has_teams() const { return !config_.teams.empty(); }

 private:
  proxy_config config_;
  // Invariant: all indexes point into config_, which never changes.
  std::unordered_map<std::string, std::vector<const proxy_route*>> by_host_; ///< Longest first.
  std::unordered_map<std::string, const proxy_team*> by_key_;
  std::unordered_map<service_id, const proxy_service*> by_service_;
};

/// The service for a request: one of the route's by weight, chosen by `draw`, a uniform number.
const service_id& pick_service(const proxy_route& route, std::uint64_t random);

} // namespace nutmegspur
