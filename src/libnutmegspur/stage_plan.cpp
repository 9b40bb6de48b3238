// Division of a zone's engines between prefill and decode.
#include <nutmegspur/stage_plan.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

std::size_t
stage_plan::target_prefill_engines(std::size_t engines) const {
  if (prefill_share_ <= 0 || engines < 2) {
    return 0;
  }
  const auto n =
      static_cast<std::size_t>(std::lround(prefill_share_ * static_cast<double>(engines)));
  return std::clamp<std::size_t>(n, 1, engines - 1);
}

std::vector<stage_change>
stage_plan::step(const moment& now, const std::vector<const listed_upstream*>& engines) {
  std::map<std::string, std::map<zone_id, group>> versions;
  for (const auto* it : engines) {
    versions[it->software_version][it->zone].push_back(it);
  }
  std::vector<stage_change> changes;
  for (const auto& [version, zones] : versions) {
    const bool kept_for_resuming = versions.size() > 1 && zones.size() == 1;
    for (const auto& [zone, of_zone] : zones) {
      step_group(now, of_zone, kept_for_resuming ? 2 : 1, changes);
    }
  }
  return changes;
}

void
stage_plan::step_group(const moment& now, const group& engines, std::size_t least_decode_engines,
                       std::vector<stage_change>& changes) {
  std::size_t prefill_engines = 0;
  group available;
  for (const auto* it : engines) {
    const auto last = ordered_.find(it->id);
    const bool in_cooldown = last != ordered_.end() && now.boot - last->second.at < order_cooldown;
    // Assume that a recent order will be executed.
    const engine_stage stage = in_cooldown ? last->second.target : it->stage;
    prefill_engines += stage == engine_stage::prefill ? 1 : 0;
    if (!in_cooldown) {
      available.push_back(it);
    }
  }
  const std::size_t target =
      std::min(target_prefill_engines(engines.size()),
               engines.size() - std::min(engines.size(), least_decode_engines));
  for (const auto* it : available) {
    const bool is_prefill = it->stage == engine_stage::prefill;
    const bool change = is_prefill ? prefill_engines > target : prefill_engines < target;
    if (!change) {
      continue;
    }
    const engine_stage new_stage = is_prefill ? engine_stage::decode : engine_stage::prefill;
    prefill_engines = is_prefill ? prefill_engines - 1 : prefill_engines + 1;
    ordered_[it->id] = {now.boot, new_stage};
    changes.push_back({it->id, new_stage});
  }
}

} // namespace nutmegspur
