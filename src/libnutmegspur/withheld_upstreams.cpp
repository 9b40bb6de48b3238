// Upstreams that take nothing for a while.
#include <nutmegspur/withheld_upstreams.h>

namespace nutmegspur {

bool
withheld_upstreams::add(const withheld_notice& notice) {
  const auto [it, added] = all_.try_emplace(notice.upstream, notice);
  if (!added && it->second.until < notice.until) {
    it->second = notice;
    return true;
  }
  return added;
}

bool
withheld_upstreams::withheld(wall_time now, const listed_upstream& it) const {
  const auto held = all_.find(it.id);
  if (held == all_.end() || now >= held->second.until) {
    return false;
  }
  const engine_stage awaited = held->second.until_stage;
  return awaited == engine_stage::none || awaited != it.stage;
}

std::vector<withheld_notice>
withheld_upstreams::current(wall_time now) {
  std::vector<withheld_notice> told;
  for (auto it = all_.begin(); it != all_.end();) {
    if (now >= it->second.until) {
      it = all_.erase(it);
      continue;
    }
    told.push_back(it->second);
    ++it;
  }
  return told;
}

} // namespace nutmegspur
