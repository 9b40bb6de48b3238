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

std::optional<milliseconds>
upstream_pauses::first_end(const moment& now, const std::vector<upstream_id>& ids) const {
  std::optional<milliseconds> first;
  for (const auto& id : ids) {
    if (paused(now, id)) {
      const auto left = std::chrono::ceil<milliseconds>(pauses_.at(id) - now.boot);
      first = std::min(first.value_or(left), left);
    }
  }
  return first;
}

void
upstream_pauses::expire(const moment& now) {
  std::erase_if(pauses_, [&](const auto& row) { return now.boot >= row.second; });
}

} // namespace nutmegspur
