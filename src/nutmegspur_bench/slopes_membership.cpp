// Membership: traffic, processor time and state over the numbers of instances and engines.
#include "slope.h"
#include "slopes.h"
#include "testing/member_cluster.h"

#include <algorithm>

namespace nutmegspur::bench {

namespace {

using nutmegspur::testing::member_cluster;

constexpr seconds settle_time{10};
constexpr seconds measurement_time{20};

struct cluster_cost {
  double state_bytes = 0;   ///< Per instance.
  double mean_bytes = 0;    ///< Sent and received, per instance and second.
  double max_bytes = 0;     ///< Sent per second by the instance that sends most.
  double mean_messages = 0; ///< Sent, per instance and second.
  double cpu_micros = 0;    ///< Per instance and second.
};

void
deliver_reports(member_cluster& cluster, std::uint32_t number) {
  for (auto& [id, it] : cluster.instances) {
    const auto polled_engines = it.polled_engines;
    for (const auto& upstream : polled_engines) {
      const engine_load load{number % 64, number % 7, number * 13 % 9000, number * 31 % 9999,
                             10'000};
      const engine_state state{
          engine_role::mixed, model_id{"model-large"}, "2026-11", {"term-summary"}};
      cluster.deliver(id, engine_report{upstream, {1}, 1, false, state, load, cluster.clock.now()});
    }
  }
}

cluster_cost
run_zone(int peers, int engines) {
  const double heap_before = heap_bytes();
  member_cluster cluster;
  for (int n = 0; n < peers; ++n) {
    cluster.add("zone-1", "entry-zone-1-" + std::to_string(n));
  }
  for (int n = 0; n < engines; ++n) {
    cluster.add_engine("zone-1", "engine-zone-1-" + std::to_string(n));
  }
  const auto run_second = [&](std::uint32_t number) {
    deliver_reports(cluster, number);
    cluster.run(seconds{1});
  };
  std::uint32_t number = 0;
  for (; number < settle_time.count(); ++number) {
    run_second(number);
  }
  for (auto& [id, it] : cluster.instances) {
    it.messages_sent = it.bytes_sent = 0;
  }
  const double cpu_before = cpu_seconds();
  for (int n = 0; n < measurement_time.count(); ++n) {
    run_second(++number);
  }
  const double cpu = cpu_seconds() - cpu_before;
  cluster_cost cost;
  cost.state_bytes = (heap_bytes() - heap_before) / peers;
  // Bytes are counted in a second run, since encoding would add to the measured processor time.
  cluster.count_traffic = true;
  for (int n = 0; n < measurement_time.count(); ++n) {
    run_second(++number);
  }
  const double measured_seconds = static_cast<double>(measurement_time.count());
  for (const auto& [id, it] : cluster.instances) {
    const double sent = static_cast<double>(it.bytes_sent) / measured_seconds;
    cost.mean_bytes += 2 * sent / peers;
    cost.max_bytes = std::max(cost.max_bytes, sent);
    cost.mean_messages += static_cast<double>(it.messages_sent) / measured_seconds / peers;
  }
  cost.cpu_micros = cpu * 1e6 / measured_seconds / peers;
  return cost;
}

void
print_costs(const std::string& size, const std::vector<std::pair<double, cluster_cost>>& costs) {
  const auto column = [&](const std::string& what, const std::string& unit, auto value) {
    std::vector<point> points;
    points.reserve(costs.size());
    for (const auto& [x, cost] : costs) {
      points.push_back({x, value(cost)});
    }
    print_slope("membership " + what, unit, size, points);
  };
  column("state", "bytes per instance", [](const auto& it) { return it.state_bytes; });
  column("sent and received", "bytes/s per instance", [](const auto& it) { return it.mean_bytes; });
  column("sent by the instance that sends most", "bytes/s",
         [](const auto& it) { return it.max_bytes; });
  column("messages sent", "1/s per instance", [](const auto& it) { return it.mean_messages; });
  column("processor time", "us/s per instance", [](const auto& it) { return it.cpu_micros; });
}

} // namespace

void
measure_peers() {
  std::vector<std::pair<double, cluster_cost>> costs;
  for (const int peers : {5, 10, 20, 40, 80}) {
    costs.emplace_back(peers, run_zone(peers, 2));
  }
  print_costs("instances of a zone (2 engines)", costs);
}

void
measure_upstreams() {
  std::vector<std::pair<double, cluster_cost>> costs;
  for (const int engines : {8, 16, 32, 64, 128}) {
    costs.emplace_back(engines, run_zone(24, engines));
  }
  print_costs("engines of a zone (24 instances)", costs);
}

} // namespace nutmegspur::bench
