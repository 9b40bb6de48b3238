// Changes of the shared state, with their log lines.
#include "proxy_state.h"

#include "part_text.h"

namespace nutmegspur::proxy {

void
proxy_state::record_placed(const moment& now, const upstream_id& upstream,
                           const std::vector<chained_part>& parts, const instance_id& from) {
  for (const auto& it : parts) {
    placed.push_back({now.boot + placed_period, {upstream, it}, from});
  }
}

void
proxy_state::withhold(const moment& now, const upstream_id& id, engine_stage until_stage,
                      milliseconds period, std::string_view why) {
  if (!withheld.add({id, until_stage, clock.agreed(now).wall + period})) {
    return;
  }
  log(log_event::upstream_withheld, {{"upstream", id.value},
                                     {"why", std::string{why}},
                                     {"until_stage", std::string{to_name(until_stage)}},
                                     {"span_ms", std::to_string(period.count())}});
}

void
proxy_state::record_result(const moment& now, const upstream_id& id, attempt_result result) {
  if (const auto open_time = health.on_result(now, id, result)) {
    log(log_event::breaker_opened,
        {{"upstream", id.value}, {"span_ms", std::to_string(open_time->count())}});
  }
}

void
proxy_state::on_response_head(const moment& now, const listed_upstream& it,
                              const response_metadata& marks, bool authentic) {
  if (marks.leaving && withheld.add_leaving(clock.agreed(now).wall, it)) {
    log(log_event::upstream_withheld,
        {{"upstream", it.id.value},
         {"why", "its response says that it is leaving"},
         {"until_stage", std::string{to_name(engine_stage::none)}},
         {"span_ms", std::to_string(withheld_upstreams::leaving_period.count())}});
  }
  const wall_time agreed = clock.agreed(now).wall;
  if ((marks.rate_limit || authentic) && limits.on_response(agreed, it, marks.rate_limit)) {
    log_limit({it.id, it.started_ms, marks.rate_limit, agreed}, "own");
  }
  if (marks.pause && pauses.add(now, it.id, *marks.pause)) {
    log(log_event::upstream_paused,
        {{"upstream", it.id.value}, {"span_ms", std::to_string(marks.pause->count())}});
  }
}

void
proxy_state::log_limit(const limit_notice& notice, std::string_view source) {
  log(log_event::upstream_limited,
      {{"upstream", notice.upstream.value},
       {"per_second", notice.per_second ? std::to_string(*notice.per_second) : "none"},
       {"source", std::string{source}}});
}

void
proxy_state::log_blame(const blame_changes& changes, std::string_view source) {
  for (const auto& [kind, it] : changes) {
    if (it.quarantined) {
      log(log_event::part_quarantined, {{"kind", std::string{to_name(kind)}},
                                        {"parts", part_list_text(it.parts)},
                                        {"crashes", std::to_string(it.crashes)},
                                        {"span_ms", std::to_string(it.span.count())},
                                        {"source", std::string{source}}});
    } else {
      log(log_event::part_released, {{"kind", std::string{to_name(kind)}},
                                     {"parts", part_list_text(it.parts)},
                                     {"source", std::string{source}}});
    }
  }
}

bool
proxy_state::accepts_calls(const moment& now, const listed_upstream& it) const {
  return !pauses.paused(now, it.id) && !withheld.leaving(clock.agreed(now).wall, it);
}

bool
proxy_state::upstream_available(const moment& now, const listed_upstream& it) const {
  return health.allows(now, it.id) && !pauses.paused(now, it.id) &&
         !withheld.withheld(clock.agreed(now).wall, it);
}

bool
proxy_state::apply_config(proxy_config next, std::string_view source) {
  if (config != nullptr && next.version <= config->config().version) {
    return false;
  }
  const std::string before = config == nullptr ? "none" : std::to_string(config->config().version);
  log(log_event::config_applied,
      {{"version", std::to_string(next.version)},
       {"before", before},
       {"source", std::string{source}},
       {"routes", std::to_string(next.routes.size())},
       {"teams", next.teams ? std::to_string(next.teams->size()) : "any"}});
  config = std::make_shared<const route_table>(std::move(next));
  return true;
}

void
proxy_state::on_upstream_change(const upstream_id& id, upstream_change how,
                                std::string_view source) {
  log_event number = log_event::upstream_added;
  switch (how) {
  case upstream_change::none:
  case upstream_change::updated:
    return;
  case upstream_change::added:
    break;
  case upstream_change::restarted:
    number = log_event::upstream_restarted;
    break;
  case upstream_change::leaving:
    number = log_event::upstream_leaving;
    break;
  case upstream_change::removed:
    number = log_event::upstream_gone;
    break;
  }
  if (how == upstream_change::restarted || how == upstream_change::removed) {
    caches.forget(id);
    health.forget(id);
    spoiled.forget(id);
    limits.forget(id);
  }
  if (how == upstream_change::restarted) {
    withheld.forget(id);
    pauses.forget(id);
  } else if (how == upstream_change::removed) {
    withheld.on_removed(id);
  }
  const auto* it = upstreams.find(id);
  if (how == upstream_change::leaving && it != nullptr) {
    withheld.add_listed_leaving(clock.agreed(http1::event_loop::now()).wall, *it);
  }
  log(number, {{"upstream", id.value},
               {"source", std::string{source}},
               {"zone", it == nullptr ? "" : it->zone.value},
               {"version", it == nullptr ? "" : it->software_version},
               {"stage", it == nullptr ? "" : std::string{to_name(it->stage)}},
               {"reclaimable", it != nullptr && it->reclaimable ? "yes" : "no"}});
}

retry_budget&
proxy_state::retry_budget_of(const service_id& service) {
  const auto it = retry_budgets.find(service);
  if (it != retry_budgets.end()) {
    return it->second;
  }
  const auto allowance = instance_allowance(settings.retries, live_peers + 1);
  return retry_budgets.emplace(service, retry_budget{allowance}).first->second;
}

void
proxy_state::update_retry_allowances() {
  const auto allowance = instance_allowance(settings.retries, live_peers + 1);
  for (auto& [service, budget] : retry_budgets) {
    budget.set_allowance(allowance);
  }
}

std::uint64_t
proxy_state::cache_tokens_of(const upstream_id& id) const {
  const auto* it = upstreams.find(id);
  const auto* service =
      it == nullptr || config == nullptr ? nullptr : config->find_service(it->service);
  return service != nullptr && service->engine ? service->engine->cache_tokens : 0;
}

distance
proxy_state::distance_to(const zone_id& zone) const {
  if (zone == settings.zone) {
    return distance::same_zone;
  }
  const auto it = settings.regions.find(zone);
  const bool same = it != settings.regions.end() && it->second == settings.region;
  return same ? distance::same_region : distance::other_region;
}

} // namespace nutmegspur::proxy
