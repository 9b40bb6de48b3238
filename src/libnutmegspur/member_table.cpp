// Known entry instances.
#include <nutmegspur/member_table.h>

#include <algorithm>

namespace nutmegspur {

namespace {

bool
counted(const member& it) {
  return !it.entry.gone && !it.entry.leaving && !it.listed_leaving &&
         it.avoid_until == time_point{};
}

} // namespace

member_table::member_table(member_entry self) : self_(self.instance) {
  member& own = members_[self_];
  own.entry = std::move(self);
}

const member*
member_table::find(const instance_id& id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

const member_entry&
member_table::self() const {
  return members_.at(self_).entry;
}

bool
member_table::alive(const instance_id& id) const {
  const member* it = find(id);
  return it != nullptr && counted(*it);
}

const std::vector<instance_id>&
member_table::ring(const zone_id& zone) const {
  const auto [it, added] = rings_.try_emplace(zone);
  if (added) {
    std::vector<instance_id> alive;
    for (const auto& [id, one] : members_) {
      if (one.entry.zone == zone && counted(one)) {
        alive.push_back(id);
      }
    }
    it->second = rendezvous_order(zone.value, alive);
  }
  return it->second;
}

void
member_table::changed() {
  ++version_;
  rings_.clear();
}

member&
member_table::add(const instance_id& id, time_point now) {
  member& it = members_[id];
  it.entry.instance = id;
  it.heard = now;
  changed();
  return it;
}

void
member_table::on_listed(const listed_instance& it, time_point now) {
  const instance_id id{it.name};
  if (id == self_) {
    return;
  }
  const auto found = members_.find(id);
  member& one = found == members_.end() ? add(id, now) : found->second;
  one.listed = true;
  const bool differs = it.leaving != one.listed_leaving;
  const bool moved =
      one.entry.zone != it.zone || one.entry.address != it.address || one.entry.port != it.port;
  if (differs || moved) {
    one.entry.zone = it.zone;
    one.entry.address = it.address;
    one.entry.port = it.port;
    one.listed_leaving = it.leaving;
    changed();
  }
}

void
member_table::on_unlisted(const instance_id& id, bool connected) {
  const auto it = members_.find(id);
  if (id == self_ || it == members_.end()) {
    return;
  }
  it->second.listed = false;
  it->second.listed_leaving = false;
  if (!connected) {
    members_.erase(it);
  }
  changed();
}

void
member_table::prune(time_point now) {
  const auto n = std::erase_if(members_, [this, now](const auto& one) {
    const member& it = one.second;
    const bool over = it.entry.gone || it.entry.leaving;
    return over && !it.listed && one.first != self_ && now - it.heard > member_prune_span;
  });
  if (n != 0) {
    changed();
  }
}

bool
member_table::merge(const member_entry& news, time_point now) {
  if (news.instance == self_ || news.instance.empty()) {
    return false;
  }
  const auto found = members_.find(news.instance);
  if (found == members_.end()) {
    if (news.gone) {
      return false;
    }
    add(news.instance, now).entry = news;
    return true;
  }
  member_entry& held = found->second.entry;
  // At the same heartbeat, "gone" is the newer news.
  const bool newer = news.heartbeat > held.heartbeat ||
                     (news.gone && !held.gone && news.heartbeat == held.heartbeat);
  if (!newer) {
    return false;
  }
  const bool differs = news.gone != held.gone || news.leaving != held.leaving;
  held = news;
  if (differs) {
    changed();
  }
  return differs;
}

bool
member_table::give_up(const instance_id& id) {
  const auto it = members_.find(id);
  if (id == self_ || it == members_.end() || it->second.entry.gone) {
    return false;
  }
  it->second.entry.gone = true;
  changed();
  return true;
}

void
member_table::heard(const instance_id& id, time_point now) {
  if (const auto it = members_.find(id); it != members_.end()) {
    it->second.heard = now;
  }
}

void
member_table::avoid(const instance_id& id, time_point until) {
  if (const auto it = members_.find(id); it != members_.end()) {
    it->second.avoid_until = until;
    changed();
  }
}

void
member_table::end_avoidance(time_point now) {
  for (auto& [id, it] : members_) {
    if (it.avoid_until != time_point{} && it.avoid_until <= now) {
      it.avoid_until = time_point{};
      it.heard = now;
      changed();
    }
  }
}

void
member_table::forgive(time_point now) {
  for (auto& [id, it] : members_) {
    it.heard = now;
  }
}

void
member_table::beat(const moment& now) {
  const auto wall_ms = std::chrono::duration_cast<milliseconds>(now.wall.time_since_epoch());
  auto& heartbeat = members_.at(self_).entry.heartbeat;
  heartbeat = std::max(heartbeat + 1, static_cast<std::uint64_t>(wall_ms.count()));
}

void
member_table::leave() {
  members_.at(self_).entry.leaving = true;
  changed();
}

} // namespace nutmegspur
