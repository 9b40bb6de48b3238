// Look-up of routes, teams and services in one version of the configuration.
#include <nutmegspur/proxy_config.h>

#include <algorithm>
#include <numeric>

namespace nutmegspur {

route_table::route_table(proxy_config config) : config_(std::move(config)) {
  for (const auto& it : config_.routes) {
    by_host_[it.host].push_back(&it);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
  if (config_.teams) {
    for (const auto& team : *config_.teams) {
      for (const auto& key : team.keys) {
        by_key_.emplace(key, &team);
      }
    }
    by_key_.erase("");
  }
  for (const auto& it : config_.services) {
    by_service_.emplace(it.name, &it);
  }
}

const proxy_route*
route_table::find_route(std::string_view host, std::string_view path) const {
  const auto it = by_host_.find(std::string{host});
  if (it == by_host_.end()) {
    return nullptr;
  }
  for (const auto* route : it->second) {
    if (path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const proxy_team*
route_table::find_team(const std::string& key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : it->second;
}

const proxy_service*
route_table::find_service(const service_id& name) const {
  const auto it = by_service_.find(name);
  return it == by_service_.end() ? nullptr : it->second;
}

std::vector<service_id>
services_in_use(const proxy_route& route) {
  std::vector<service_id> used;
  for (const auto& it : route.services) {
    if (it.weight > 0) {
      used.push_back(it.service);
    }
  }
  if (used.empty()) {
    used.push_back(route.services.front().service);
  }
  return used;
}

const service_id&
pick_service(const proxy_route& route, std::uint64_t random) {
  const std::uint64_t total =
      std::accumulate(route.services.begin(), route.services.end(), std::uint64_t{0},
                      [](auto sum, const auto& it) { return sum + it.weight; });
  if (total == 0) {
    return route.services.front().service;
  }
  std::uint64_t remaining = random % total;
  for (const auto& it : route.services) {
    if (remaining < it.weight) {
      return it.service;
    }
    remaining -= it.weight;
  }
  return route.services.back().service;
}

} // namespace nutmegspur
