// Notices of removed upstreams, until all instances have them.
#include <nutmegspur/upstream_removals.h>

namespace nutmegspur {

void
upstream_removals::add(const removal_notice& notice) {
  const auto [it, added] = notices_.try_emplace(notice.upstream, notice);
  if (!added && it->second.at < notice.at) {
    it->second = notice;
  }
}

std::vector<removal_notice>
upstream_removals::current(wall_time now) {
  std::vector<removal_notice> active;
  std::erase_if(notices_, [&](const auto& row) { return now >= row.second.until; });
  active.reserve(notices_.size());
  for (const auto& [id, it] : notices_) {
    active.push_back(it);
  }
  return active;
}

} // namespace nutmegspur
