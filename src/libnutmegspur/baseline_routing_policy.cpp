/// \file baseline_routing_policy.cpp
/// Baseline routing policies: least requests in flight, round robin, and random.

#include <nutmegspur/policy.h>

#include <random>

namespace nutmegspur {

namespace {

/// Upstreams that can serve the query now, ordered by id.
std::vector<upstream_id>
candidates(const route_query& query, const upstream_map& upstreams, const moment& now,
           const routing_options& options) {
  std::vector<upstream_id> eligible;
  for (const auto& [id, it] : upstreams) {
    if (can_serve(it, query, now.boot) && it.own_in_flight < options.max_own_in_flight) {
      eligible.push_back(id);
    }
  }
  return eligible;
}

class least_in_flight_policy final : public routing_policy {
 public:
  explicit least_in_flight_policy(const routing_options& options) : options_(options) {}

  std::optional<placement> choose(const route_query& query, const upstream_map& upstreams,
                                  const moment& now) override {
    std::optional<placement> best;
    std::uint32_t fewest = 0;
    for (const auto& id : candidates(query, upstreams, now, options_)) {
      const auto in_flight = upstreams.at(id).own_in_flight;
      if (!best || in_flight < fewest) {
        best = placement{id};
        fewest = in_flight;
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
    const auto eligible = candidates(query, upstreams, now, options_);
    if (eligible.empty()) {
      return std::nullopt;
    }
    next_ += 1;
    return placement{eligible[next_ % eligible.size()]};
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
    const auto eligible = candidates(query, upstreams, now, options_);
    if (eligible.empty()) {
      return std::nullopt;
    }
    return placement{eligible[random_() % eligible.size()]};
  }

 private:
  routing_options options_;
  std::mt19937_64 random_;
};

template <class P>
bool
register_policy(const char* name) {
  return routing_registry::instance().add(
      name, [](const routing_options& options) { return std::make_unique<P>(options); });
}

[[maybe_unused]] const bool registered =
    register_policy<least_in_flight_policy>("least_in_flight") &&
    register_policy<round_robin_policy>("round_robin") && register_policy<random_policy>("random");

} // namespace

} // namespace nutmegspur
