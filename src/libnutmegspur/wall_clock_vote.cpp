// Median of the offsets of all clocks from this machine's boot clock.
#include <nutmegspur/wall_clock_vote.h>

#include <algorithm>
#include <vector>

namespace nutmegspur {

void
wall_clock_vote::on_peer(const moment& now, const instance_id& peer, wall_time peer_wall,
                         std::size_t votes) {
  peers_[peer] = {now.boot, peer_wall.time_since_epoch() - now.boot.time_since_epoch(), votes};
}

moment
wall_clock_vote::agreed(const moment& now) const {
  std::vector<microseconds> votes{now.wall.time_since_epoch() - now.boot.time_since_epoch()};
  for (const auto& [peer, it] : peers_) {
    if (now.boot - it.received_at < reading_lifetime) {
      votes.insert(votes.end(), it.votes, it.wall_offset);
    }
  }
  const auto middle = votes.begin() + static_cast<std::ptrdiff_t>(votes.size() / 2);
  std::nth_element(votes.begin(), middle, votes.end());
  return {now.boot, wall_time{now.boot.time_since_epoch() + *middle}};
}

} // namespace nutmegspur
