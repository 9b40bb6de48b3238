// Upstreams that asked this instance for a pause.
#include <nutmegspur/upstream_pauses.h>

#include <algorithm>

namespace nutmegspur {

bool
upstream_pauses::add(const moment& now, const upstream_id& id, milliseconds period) {
  if (period <= milliseconds{0}) {
    return false;
  }
  time_point& until = pauses_[id];
  const time_point asked = now.boot + std::min(period, max_pause);
  const bool longer = asked > until;
  until = std::max(until, asked);
  return longer;
}

bool
upstream_pauses::paused(const moment& now, const upstream_id& id) const {
  const auto it = pauses_.find(id);
  return it != pauses_.end() && now.boot < it->second;
}

milliseconds
upstream_pauses::time_left(const moment& now, const upstream_id& id) const {
  return paused(now, id) ? std::chrono::ceil<milliseconds>(pauses_.at(id) - now.boot)
                         : milliseconds{0};
}

void
upstream_pauses::expire(const moment& now) {
  std::erase_if(pauses_, [&](const auto& row) { return now.boot >= row.second; });
}

} // namespace nutmegspur
