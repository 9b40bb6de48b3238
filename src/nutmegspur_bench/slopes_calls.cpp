// Platform calls by kind: in steady state, while all instances restart, and during and after an
// outage.
#include "node_cluster.h"
#include "slope.h"
#include "slopes.h"

#include <array>
#include <cstdio>

namespace nutmegspur::bench {

namespace {

constexpr seconds settle_time{30};
constexpr seconds steady_time{60};
constexpr seconds burst_time{10};
constexpr seconds outage_time{60};

constexpr std::array kind_names{"range",          "txn",         "lease_grant", "lease_keep_alive",
                                "lease_revoke",   "watch_start", "watch_stop",  "list_instances",
                                "upstream_order", "usage_report"};
static_assert(kind_names.size() == std::variant_size_v<platform_request>);

using call_counts = std::vector<std::uint64_t>;

call_counts
difference(const call_counts& after, const call_counts& before) {
  call_counts result_counts;
  for (std::size_t n = 0; n < after.size(); ++n) {
    result_counts.push_back(after[n] - before[n]);
  }
  return result_counts;
}

double
calls_per_second(const call_counts& counts, seconds period) {
  double sum = 0;
  for (const auto it : counts) {
    sum += static_cast<double>(it);
  }
  return sum / static_cast<double>(period.count());
}

void
print_counts(const char* phase, std::size_t nodes, std::size_t watches, const call_counts& counts,
             seconds period) {
  std::printf("platform calls %s, %zu nodes: %.2f/s, %zu watches open;", phase, nodes,
              calls_per_second(counts, period), watches);
  for (std::size_t n = 0; n < counts.size(); ++n) {
    if (counts[n] != 0) {
      std::printf(" %s %.3f/s", kind_names[n],
                  static_cast<double>(counts[n]) / static_cast<double>(period.count()));
    }
  }
  std::printf("\n");
  std::fflush(stdout);
}

struct call_rates {
  double steady = 0;
  double restart = 0;
  double outage = 0;
  double watches = 0;
  double cpu_micros = 0; ///< Per node and second in steady state, fake platform included.
};

call_rates
run_nodes(int zones, int instances_per_zone, int engines_per_zone) {
  node_cluster cluster(zones, instances_per_zone, engines_per_zone);
  call_rates rates;
  const auto phase = [&](const char* name, seconds period) {
    const auto before = cluster.calls();
    cluster.run(period);
    const auto counts = difference(cluster.calls(), before);
    print_counts(name, cluster.size(), cluster.watches(), counts, period);
    return calls_per_second(counts, period);
  };
  cluster.run(settle_time);
  const double cpu_before = cpu_seconds();
  rates.steady = phase("steady", steady_time);
  rates.cpu_micros = 1e6 * (cpu_seconds() - cpu_before) / static_cast<double>(steady_time.count()) /
                     static_cast<double>(cluster.size());
  rates.watches = static_cast<double>(cluster.watches());
  cluster.restart_all();
  rates.restart = phase("while all restart", burst_time);
  cluster.run(settle_time);
  cluster.store.set_fault(testing::store_fault::down);
  cluster.store_is_down = true;
  phase("during an outage", outage_time);
  cluster.store.set_fault(testing::store_fault::none);
  cluster.store_is_down = false;
  rates.outage = phase("after an outage", burst_time);
  return rates;
}

} // namespace

void
measure_calls() {
  std::vector<point> steady;
  std::vector<point> restart;
  std::vector<point> outage;
  std::vector<point> watches;
  std::vector<point> cpu;
  for (const int instances : {2, 4, 8, 16, 32}) {
    const call_rates rates = run_nodes(5, instances, 2);
    const double x = 5.0 * instances;
    steady.push_back({x, rates.steady});
    restart.push_back({x, rates.restart});
    outage.push_back({x, rates.outage});
    watches.push_back({x, rates.watches});
    cpu.push_back({x, rates.cpu_micros});
  }
  // Complete runs at today's size and at the size expected in two years, to check the fits below.
  const call_rates today = run_nodes(3, 2, 7);
  const call_rates later = run_nodes(5, 74, 120);
  std::printf("processor time of an idle node: today %.0f us/s, at 370 nodes %.0f us/s\n",
              today.cpu_micros, later.cpu_micros);
  print_slope("platform calls steady", "1/s", "nodes in 5 zones", steady);
  print_slope("platform calls while all restart", "1/s over 10 s", "nodes in 5 zones", restart);
  print_slope("platform calls after an outage", "1/s over 10 s", "nodes in 5 zones", outage);
  print_slope("open watches", "watches", "nodes in 5 zones", watches);
  print_slope("processor time of an idle node", "us/s per node", "nodes in 5 zones", cpu);
}

} // namespace nutmegspur::bench
