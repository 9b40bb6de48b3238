// The relays of each zone, and those that are passed over.
#include <nutmegspur/member_ring.h>
#include <nutmegspur/zone_relays.h>

#include <algorithm>

namespace nutmegspur {

void
zone_relays::add(const instance_id& id, const zone_id& zone) {
  if (id != self_) {
    members_[id].zone = zone;
  }
}

void
zone_relays::remove(const instance_id& id) {
  members_.erase(id);
}

void
zone_relays::on_heard(const moment& now, const instance_id& id) {
  const auto it = members_.find(id);
  if (it != members_.end()) {
    it->second.heard = now.boot;
    it->second.avoid_until = time_point{};
    last_heard_ = now.boot;
  }
}

bool
zone_relays::silent(const moment& now, const member& it) {
  if (!it.expected_since) {
    return false;
  }
  const bool answered = it.heard >= *it.expected_since;
  return now.boot - std::max(it.heard, *it.expected_since) >
         (answered ? silence_limit : answer_limit);
}

void
zone_relays::step(const moment& now) {
  if (now.boot - last_step_ > own_pause_limit) {
    // Nobody could be heard meanwhile.
    last_heard_ = now.boot;
    for (auto& [id, it] : members_) {
      it.heard = now.boot;
    }
  }
  last_step_ = now.boot;
  for (auto& [id, it] : members_) {
    if (silent(now, it)) {
      it.avoid_until = now.boot + avoid_span;
      it.expected_since.reset();
    }
  }
  elect(now);
  expect(now);
}

void
zone_relays::elect(const moment& now) {
  std::map<zone_id, std::vector<instance_id>> zones;
  std::map<zone_id, std::size_t> sizes;
  zones[zone_].push_back(self_);
  sizes[zone_] = 1;
  for (const auto& [id, it] : members_) {
    sizes[it.zone]++;
    if (it.avoid_until <= now.boot) {
      zones[it.zone].push_back(id);
    }
  }
  own_relay_.reset();
  others_.clear();
  for (const auto& [zone, candidates] : zones) {
    const std::size_t count = std::max(least_relays, (sizes[zone] + branch_size - 1) / branch_size);
    const auto relays = rendezvous_top(zone.value, candidates, count);
    const bool self_among = std::find(relays.begin(), relays.end(), self_) != relays.end();
    if (zone == zone_ && !self_among && now.boot - last_heard_ <= alone_limit) {
      own_relay_ = rendezvous_top(self_.value, relays, 1).front();
    }
    std::copy_if(relays.begin(), relays.end(), std::back_inserter(others_),
                 [&](const auto& id) { return id != self_; });
  }
  std::sort(others_.begin(), others_.end());
}

void
zone_relays::expect(const moment& now) {
  for (auto& [id, it] : members_) {
    const bool expected =
        own_relay_ ? id == *own_relay_ : std::binary_search(others_.begin(), others_.end(), id);
    if (!expected) {
      it.expected_since.reset();
    } else if (!it.expected_since) {
      it.expected_since = now.boot;
    }
  }
}

} // namespace nutmegspur
