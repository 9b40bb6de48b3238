/// \file baseline_routing_policy.cpp
/// Plain routing policies: least in flight, round robin, random.

#include <nutmegspur/policy.h>

#include <random>

namespace nutmegspur {

namespace {

/// Upstreams that can take the query now, in the order of their ids.
std::vector<upstream_id>
candidates(const route_query& query, const upstream_map& upstreams, const moment& now,
           const routing_options& options) {
  std::vector<upstream_id> found;
  for (const auto& [id, it] : upstreams) {
    if (can_serve(it, query, now.boot) && it.own_in_flight < options.max_own_in_flight) {
      found.push_back(id);
    }
  }
  return found;
}

class least_in_flight_policy final : public routing_policy {
 public:
  explicit least_in_flight_policy(const routing_options& options) : options_(options) {}

  std::optional<placement> choose(const route_query& query, const upstream_map& upstreams,
                                  const moment& now) override {
    std::optional<placement> best;
    std::uint32_t least = 0;
    for (const auto& id : candidates(query, upstreams, now, options_)) {
      const auto in_flight = upstreams.at(id).own_in_flight;
      if (!best || in_flight < least) {
        best = placement{id};
        least = in_flight;
      }
    }
    return best;
  }

 private:
  routing_options options_;
};

class round_robin_policy final : public routing_policy {
 public:
  explicit round_robin_policy(const routing_options& options) : options_(options) {}

  std::optional<placement> choose(const route_query& query, const upstream_map& upstreams,
                                  const moment& now) override {
    const auto found = candidates(query, upstreams, now, options_);
    if (found.empty()) {
      return std::nullopt;
    }
    next_ += 1;
    return placement{found[next_ % found.size()]};
  }

 private:
  routing_options options_;
  std::size_t next_ = 0;
};

class random_policy final : public routing_policy {
 public:
  explicit random_policy(const routing_options& options)
      : options_(options), random_(options.seed) {}

  std::optional<placement> choose(const route_query& query, const upstream_map& upstreams,
                                  const moment& now) override {
    const auto found = candidates(query, upstreams, now, options_);
    if (found.empty()) {
      return std::nullopt;
    }
    return placement{found[random_() % found.size()]};
  }

 private:
  routing_options options_;
  std::mt19937_64 random_;
};

template <class P>
bool
add(const char* name) {
  return routing_registry::instance().add(
      name, [](const routing_options& options) { return std::make_unique<P>(options); });
}

[[maybe_unused]] const bool registered = add<least_in_flight_policy>("least_in_flight") &&
                                         add<round_robin_policy>("round_robin") &&
                                         add<random_policy>("random");

} // namespace

} // namespace nutmegspur
