// Gauges of an instance's current state.
#include "metrics_page.h"

#include <cmath>
#include <map>
#include <utility>

namespace nutmegspur::proxy {

namespace {

/// Label that says whether an upstream gets new requests, and if not, why.
std::string
upstream_state(const moment& now, const proxy_state& state, const listed_upstream& it) {
  if (it.leaving) {
    return "leaving";
  }
  if (!state.health.allows(now, it.id)) {
    return "failing";
  }
  return state.upstream_available(now, it) ? "usable" : "withheld";
}

void
set_upstream_gauges(const moment& now, proxy_state& state) {
  std::map<std::pair<std::string, std::string>, std::int64_t> counts;
  for (const auto& service : state.config->config().services) {
    for (const char* it : {"usable", "leaving", "failing", "withheld"}) {
      counts[{service.name.value, it}] = 0;
    }
  }
  for (const auto* it : state.upstreams.all()) {
    counts[{it->service.value, upstream_state(now, state, *it)}]++;
  }
  for (const auto& [key, n] : counts) {
    state.metrics.get_gauge("nutmegspur_upstreams", {{"service", key.first}, {"state", key.second}})
        .set(n);
  }
}

void
set_permit_gauges(metric_registry& metrics, const permit_totals& totals) {
  const auto set = [&](const char* what, double n) {
    metrics.get_gauge("nutmegspur_permits", {{"what", what}}).set(std::llround(n));
  };
  set("accrued", totals.accrued);
  set("granted", static_cast<double>(totals.granted));
  set("promised", static_cast<double>(totals.promised));
  set("kept", static_cast<double>(totals.kept));
  set("lapsed", static_cast<double>(totals.lapsed));
}

} // namespace

std::string
render_metrics(const moment& now, proxy_state& state, const store_link& store,
               const peer_group& peers, const duty_holder& duties, const permit_totals& permits) {
  auto& metrics = state.metrics;
  metrics.get_gauge("nutmegspur_config_version")
      .set(state.config == nullptr ? 0 : state.config->config().version);
  if (state.config != nullptr) {
    set_upstream_gauges(now, state);
  }
  const wall_time agreed = state.clock.agreed(now).wall;
  for (const auto& [kind, name] :
       {std::pair{blame_kind::part, "nutmegspur_quarantined_parts"},
        std::pair{blame_kind::session, "nutmegspur_quarantined_sessions"},
        std::pair{blame_kind::request, "nutmegspur_quarantined_requests"}}) {
    metrics.get_gauge(name).set(static_cast<std::int64_t>(state.blame.size(agreed, kind)));
  }
  metrics.get_gauge("nutmegspur_limited_upstreams")
      .set(static_cast<std::int64_t>(state.limits.size()));
  set_permit_gauges(metrics, permits);
  metrics.get_gauge("nutmegspur_live_peers").set(static_cast<std::int64_t>(state.live_peers));
  metrics.get_gauge("nutmegspur_held_bytes").set(static_cast<std::int64_t>(state.held.total()));
  metrics.get_gauge("nutmegspur_is_relay").set(peers.is_relay() ? 1 : 0);
  metrics.get_gauge("nutmegspur_notice_period_ms").set(peers.period().count());
  metrics.get_gauge("nutmegspur_holds_duties").set(duties.holds(now) ? 1 : 0);
  metrics.get_gauge("nutmegspur_store_reachable").set(store.reachable() ? 1 : 0);
  metrics.get_gauge("nutmegspur_store_watched").set(store.watching() ? 1 : 0);
  metrics.get_gauge("nutmegspur_store_age_ms").set(store.age(now).count());
  metrics.get_gauge("nutmegspur_store_revision").set(number_of(store.replica().position()));
  metrics.get_gauge("nutmegspur_store_era").set(store.era());
  return metrics.render();
}

} // namespace nutmegspur::proxy
