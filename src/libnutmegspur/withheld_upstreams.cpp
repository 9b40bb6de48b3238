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
withheld_upstreams::withheld(wall_time now, const listed_upstream& it) const {
  const auto found = notices_.find(it.id);
  if (found == notices_.end() || now >= found->second.until) {
    return false;
  }
  const engine_stage awaited_stage = found->second.until_stage;
  return awaited_stage == engine_stage::none || awaited_stage != it.stage;
}

std::vector<withheld_notice>
withheld_upstreams::current(wall_time now) {
  std::vector<withheld_notice> active;
  for (auto it = notices_.begin(); it != notices_.end();) {
    if (now >= it->second.until) {
      it = notices_.erase(it);
      continue;
    }
    active.push_back(it->second);
    ++it;
  }
  return active;
}

} // namespace nutmegspur
