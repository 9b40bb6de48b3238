/// \file proxy_config.h
/// The configuration of proxied traffic: routes by host and path, services, teams and limits, and
/// the look-up of a request's route and team.
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

/// Whether the requests of a route may be repeated.
enum class route_kind {
  repeatable, ///< Idempotent: may run any number of times.
  once,       ///< Not idempotent: runs at most once for each request.
  stream,     ///< An event stream: runs once, but may be resumed if the route allows it.
};

template <> struct enum_names<route_kind> {
  static constexpr std::array<enum_name<route_kind>, 3> table{{
      {route_kind::repeatable, "repeatable"},
      {route_kind::once, "once"},
      {route_kind::stream, "stream"},
  }};
};

/// A service that receives a share of a route's requests, in proportion to its weight.
struct service_share {
  service_id service;
  std::uint32_t weight = 1;
};

/// A route of the operators' configuration.
struct proxy_route {
  std::string name;
  std::string host;
  std::string path_prefix; ///< Begins and ends with a slash.
  route_kind kind = route_kind::once;
  bool resumable = false;   ///< A broken stream may be resumed at another upstream.
  bool open_to_all = false; ///< Callers need no key.
  bool cache_affinity = false;
  milliseconds timeout{30'000};
  milliseconds target_latency{1'000}; ///< For the whole answer; for streams, for the first event.
  milliseconds target_gap{0};         ///< Longest gap between events that is still on time.
  int priority = 5;                   ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;
  std::vector<service_share> services; ///< Never empty.
};

/// Properties of the engines of an engine service.
struct engine_limits {
  std::uint32_t batch_slots = 1;
  std::uint64_t cache_tokens = 0; ///< Capacity of one engine's cache.
  milliseconds role_change_time{0};
};

/// Bounds on the number of upstreams to order, for each availability zone.
struct scaling_limits {
  std::uint32_t min_upstreams = 0;
  std::uint32_t max_upstreams = 0;
  milliseconds startup_time{0};
  /// Price of a reclaimable upstream relative to an on-demand one. Empty if there are none.
  std::optional<double> reclaimable_price;
  std::map<zone_id, double> zone_prices;
};

/// A service of the operators' configuration.
struct proxy_service {
  service_id name;
  std::uint32_t max_connections = 0; ///< To one upstream, from all callers; 0 means no limit.
  std::optional<engine_limits> engine;
  std::optional<scaling_limits> scaling;
  std::string health_path; ///< Empty if the operator named none.
};

/// A team of the operators' configuration.
struct proxy_team {
  team_id name;
  std::vector<std::string> keys;
  std::optional<int> priority; ///< Takes precedence over the route's.
};

/// Limits on what a caller may send.
struct caller_limits {
  std::uint32_t max_header_bytes = 16'384;
  std::uint32_t max_body_bytes = 4'194'304;
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
};

/// A complete version of the configuration.
struct proxy_config {
  std::int64_t version = 0; ///< Only increases.
  std::vector<proxy_route> routes;
  std::vector<proxy_service> services;
  /// Not given: no route needs a key. Given, but empty: no key is valid.
  std::optional<std::vector<proxy_team>> teams;
  caller_limits limits;
};

/// A configuration with the indexes that requests need. Immutable, so that a request can keep using
/// the version with which it started.
class route_table {
 public:
  explicit route_table(proxy_config config);

  [[nodiscard]] const proxy_config& config() const { return config_; }

  /// The route of `host` with the longest prefix of `path`; null if none matches.
  [[nodiscard]] const proxy_route* find_route(std::string_view host, std::string_view path) const;
  /// The team that owns `key`; null if there is none. No team owns the empty key, which stands for
  /// a request without one.
  [[nodiscard]] const proxy_team* find_team(const std::string& key) const;
  [[nodiscard]] const proxy_service* find_service(const service_id& name) const;

  /// Whether requests on `route` need a team's key.
  [[nodiscard]] bool needs_key(const proxy_route& route) const {
    return config_.teams.has_value() && !route.open_to_all;
  }

 private:
  proxy_config config_;
  // Invariant: all indexes point into config_, which never changes.
  std::unordered_map<std::string, std::vector<const proxy_route*>> by_host_; ///< Longest first.
  std::unordered_map<std::string, const proxy_team*> by_key_;
  std::unordered_map<service_id, const proxy_service*> by_service_;
};

/// The services to which `route` sends requests; never empty.
std::vector<service_id> services_in_use(const proxy_route& route);

/// Chooses one of the route's services in proportion to their weights. `random` is a uniformly
/// distributed number. If all weights are zero, it chooses the first service.
const service_id& pick_service(const proxy_route& route, std::uint64_t random);

} // namespace nutmegspur
