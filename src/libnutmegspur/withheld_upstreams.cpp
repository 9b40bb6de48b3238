// Notices about upstreams that temporarily get no new requests.
#include <nutmegspur/withheld_upstreams.h>

namespace nutmegspur {

bool
withheld_upstreams::add(const withheld_notice& notice) {
  const auto [it, added] = notices_.try_emplace(notice.upstream, notice);
  if (!added && it->second.until < notice.until) {
    it->second = notice;
    return true;
  }
  return added;
}

bool
withheld_upstreams::add_leaving(wall_time now, const listed_upstream& it) {
  return !leaving(now, it) && add({it.id, engine_stage::none, now + leaving_period, it.started_ms});
}

bool
withheld_upstreams::add_listed_leaving(wall_time now, const listed_upstream& it) {
  // Each instance that follows the list sees the change; one notice in time is enough.
  const auto found = notices_.find(it.id);
  const bool told = found != notices_.end() && found->second.until_stage == engine_stage::none &&
                    found->second.until - now >= listed_leaving_period / 2;
  return !told && add({it.id, engine_stage::none, now + listed_leaving_period, std::nullopt});
}

void
withheld_upstreams::on_removed(const upstream_id& id) {
  const auto it = notices_.find(id);
  if (it != notices_.end() && !it->second.leaving_process) {
    notices_.erase(it);
  }
}

bool
withheld_upstreams::leaving(wall_time now, const listed_upstream& it) const {
  const auto found = notices_.find(it.id);
  return found != notices_.end() && now < found->second.until &&
         found->second.leaving_process == it.started_ms;
}

bool
withheld_upstreams::withheld(wall_time now, const listed_upstream& it) const {
  const auto found = notices_.find(it.id);
  if (found == notices_.end() || now >= found->second.until) {
    return false;
  }
  if (found->second.leaving_process) {
    return found->second.leaving_process == it.started_ms;
  }
  const engine_stage awaited_stage = found->second.until_stage;
  return awaited_stage == engine_stage::none || awaited_stage != it.stage;
}

std::optional<upstream_return>
withheld_upstreams::expected_return(wall_time now, const listed_upstream& it) const {
  if (!withheld(now, it)) {
    return upstream_return{it.stage, milliseconds{0}};
  }
  const withheld_notice& notice = notices_.at(it.id);
  if (notice.leaving_process) {
    return std::nullopt;
  }
  if (notice.until_stage == engine_stage::none) {
    return upstream_return{it.stage, std::nullopt};
  }
  const auto left = std::chrono::ceil<milliseconds>(notice.until - listing_lag - now);
  const bool overdue = left <= milliseconds{0};
  return upstream_return{notice.until_stage, overdue ? std::nullopt : std::optional{left}};
}

std::vector<withheld_notice>
withheld_upstreams::current(wall_time now) {
  std::vector<withheld_notice> active;
  for (auto it = notices_.begin(); it != notices_.end();) {
    if (now >= it->second.until) {
      it = notices_.erase(it);
      continue;
    }
    const bool known_to_peers = it->second.leaving_process &&
                                it->second.until - now < leaving_period - leaving_shared_period;
    if (!known_to_peers) {
      active.push_back(it->second);
    }
    ++it;
  }
  return active;
}

} // namespace nutmegspur
