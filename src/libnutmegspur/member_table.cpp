// Merges list entries and peer digests into the table of members, and derives the rings.
#include <nutmegspur/member_table.h>

#include <algorithm>

namespace nutmegspur {

namespace {

bool
is_considered_alive(const member& it) {
  return !it.entry.presumed_dead && !it.entry.leaving && !it.listed_leaving &&
         it.excluded_until == time_point{};
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
  return it != nullptr && is_considered_alive(*it);
}

const std::vector<instance_id>&
member_table::ring(const zone_id& zone) const {
  const auto [it, added] = rings_.try_emplace(zone);
  if (added) {
    std::vector<instance_id> alive;
    for (const auto& [id, one] : members_) {
      if (one.entry.zone == zone && is_considered_alive(one)) {
        alive.push_back(id);
      }
    }
    it->second = rendezvous_order(zone.value, alive);
  }
  return it->second;
}

void
member_table::mark_changed() {
  ++version_;
  rings_.clear();
}

member&
member_table::add(const instance_id& id, time_point now) {
  member& it = members_[id];
  it.entry.instance = id;
  it.last_contact = now;
  mark_changed();
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
    mark_changed();
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
  mark_changed();
}

void
member_table::prune(time_point now) {
  const auto n = std::erase_if(members_, [this, now](const auto& one) {
    const member& it = one.second;
    const bool departed = it.entry.presumed_dead || it.entry.leaving;
    return departed && !it.listed && one.first != self_ &&
           now - it.last_contact > member_retention_period;
  });
  if (n != 0) {
    mark_changed();
  }
}

bool
member_table::merge(const member_entry& received, time_point now) {
  if (received.instance == self_ || received.instance.empty()) {
    return false;
  }
  const auto found = members_.find(received.instance);
  if (found == members_.end()) {
    if (received.presumed_dead) {
      return false;
    }
    add(received.instance, now).entry = received;
    return true;
  }
  member_entry& held = found->second.entry;
  // At equal heartbeats, an entry that is presumed dead is the newer one.
  const bool newer =
      received.heartbeat > held.heartbeat ||
      (received.presumed_dead && !held.presumed_dead && received.heartbeat == held.heartbeat);
  if (!newer) {
    return false;
  }
  const bool differs =
      received.presumed_dead != held.presumed_dead || received.leaving != held.leaving;
  held = received;
  if (differs) {
    mark_changed();
  }
  return differs;
}

bool
member_table::presume_dead(const instance_id& id) {
  const auto it = members_.find(id);
  if (id == self_ || it == members_.end() || it->second.entry.presumed_dead) {
    return false;
  }
  it->second.entry.presumed_dead = true;
  mark_changed();
  return true;
}

void
member_table::record_contact(const instance_id& id, time_point now) {
  if (const auto it = members_.find(id); it != members_.end()) {
    it->second.last_contact = now;
  }
}

void
member_table::exclude(const instance_id& id, time_point until) {
  if (const auto it = members_.find(id); it != members_.end()) {
    it->second.excluded_until = until;
    mark_changed();
  }
}

void
member_table::end_expired_exclusions(time_point now) {
  for (auto& [id, it] : members_) {
    if (it.excluded_until != time_point{} && it.excluded_until <= now) {
      it.excluded_until = time_point{};
      it.last_contact = now;
      mark_changed();
    }
  }
}

void
member_table::reset_contact_times(time_point now) {
  for (auto& [id, it] : members_) {
    it.last_contact = now;
  }
}

void
member_table::advance_heartbeat(const moment& now) {
  const auto wall_ms = std::chrono::duration_cast<milliseconds>(now.wall.time_since_epoch());
  auto& heartbeat = members_.at(self_).entry.heartbeat;
  heartbeat = std::max(heartbeat + 1, static_cast<std::uint64_t>(wall_ms.count()));
}

void
member_table::leave() {
  members_.at(self_).entry.leaving = true;
  mark_changed();
}

} // namespace nutmegspur
