// Selection of the relays of each zone, and exclusion of silent ones.
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
zone_relays::on_notice(const moment& now, const instance_id& id, milliseconds round) {
  const auto it = members_.find(id);
  if (it != members_.end()) {
    it->second.last_notice = now.boot;
    it->second.round = round;
    it->second.excluded_until = time_point{};
    last_notice_from_any_ = now.boot;
  }
}

const zone_id*
zone_relays::zone_of(const instance_id& id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second.zone;
}

bool
zone_relays::silent(const moment& now, const member& it) {
  if (!it.expected_since) {
    return false;
  }
  const bool answered = it.last_notice >= *it.expected_since;
  // One of its notices may be lost, and the next one late.
  const milliseconds two_rounds = it.round * 2 + it.round / 4;
  const milliseconds limit =
      std::max(answered ? silence_timeout : first_answer_timeout, two_rounds);
  return now.boot - std::max(it.last_notice, *it.expected_since) > limit;
}

void
zone_relays::step(const moment& now) {
  if (now.boot - last_step_ > self_pause_threshold) {
    // This process was paused and could not receive notices; do not count that as silence.
    last_notice_from_any_ = now.boot;
    for (auto& [id, it] : members_) {
      it.last_notice = now.boot;
    }
  }
  last_step_ = now.boot;
  for (auto& [id, it] : members_) {
    if (silent(now, it)) {
      it.excluded_until = now.boot + exclusion_period;
      it.expected_since.reset();
    }
  }
  choose_relays(now);
  update_expected(now);
}

void
zone_relays::choose_relays(const moment& now) {
  std::map<zone_id, std::vector<instance_id>> zones;
  std::map<zone_id, std::size_t> sizes;
  zones[zone_].push_back(self_);
  sizes[zone_] = 1;
  for (const auto& [id, it] : members_) {
    sizes[it.zone]++;
    if (it.excluded_until <= now.boot) {
      zones[it.zone].push_back(id);
    }
  }
  own_relay_.reset();
  other_relays_.clear();
  for (const auto& [zone, candidates] : zones) {
    const std::size_t count =
        std::max(min_relays, (sizes[zone] + instances_per_relay - 1) / instances_per_relay);
    const auto relays = rendezvous_top(zone.value, candidates, count);
    const bool self_chosen = std::find(relays.begin(), relays.end(), self_) != relays.end();
    if (zone == zone_ && !self_chosen && now.boot - last_notice_from_any_ <= isolation_timeout) {
      own_relay_ = rendezvous_top(self_.value, relays, 1).front();
    }
    std::copy_if(relays.begin(), relays.end(), std::back_inserter(other_relays_),
                 [&](const auto& id) { return id != self_; });
  }
  std::sort(other_relays_.begin(), other_relays_.end());
}

void
zone_relays::update_expected(const moment& now) {
  for (auto& [id, it] : members_) {
    const bool expected = own_relay_
                              ? id == *own_relay_
                              : std::binary_search(other_relays_.begin(), other_relays_.end(), id);
    if (!expected) {
      it.expected_since.reset();
    } else if (!it.expected_since) {
      it.expected_since = now.boot;
    }
  }
}

} // namespace nutmegspur
