// Membership: whom to connect to, who is silent, and which engines are read here.
#include <nutmegspur/membership.h>

#include <algorithm>

namespace nutmegspur {

namespace {

// How long one instance that was given up is dialled before the next one is.
constexpr milliseconds probe_span{10'000};

void
add_unique(std::vector<instance_id>& to, const instance_id& id) {
  if (std::find(to.begin(), to.end(), id) == to.end()) {
    to.push_back(id);
  }
}

std::vector<zone_id>
zones_of(const member_table& members) {
  std::vector<zone_id> zones;
  for (const auto& [id, it] : members.all()) {
    if (std::find(zones.begin(), zones.end(), it.entry.zone) == zones.end()) {
      zones.push_back(it.entry.zone);
    }
  }
  return zones;
}

} // namespace

std::optional<instance_id>
membership::feed() const {
  const auto place = rank();
  if (!place) {
    return std::nullopt;
  }
  const auto& ring = members_.ring(options_.zone);
  for (const auto parent : parent_ranks(*place)) {
    if (parent < ring.size() && neighbours_.contains(ring[parent])) {
      return ring[parent];
    }
  }
  return std::nullopt;
}

std::vector<instance_id>
membership::wanted(time_point now) const {
  if (members_.self().leaving) {
    return kept_;
  }
  std::vector<instance_id> ids;
  const auto place = rank();
  if (!place) {
    return ids;
  }
  const auto& ring = members_.ring(options_.zone);
  for (const auto parent : parent_ranks(*place)) {
    if (parent < ring.size()) {
      add_unique(ids, ring[parent]);
    }
  }
  if (*place < relay_count) {
    for (const auto& zone : zones_of(members_)) {
      const auto& others = members_.ring(zone);
      if (zone != options_.zone && !others.empty()) {
        add_unique(ids, others[std::min(*place, others.size() - 1)]);
      }
    }
    add_probe(ids, now);
  }
  return ids;
}

// A relay goes on dialling one that its zone has given up, each in turn: after a cut both sides
// hold the other for gone.
void
membership::add_probe(std::vector<instance_id>& wanted, time_point now) const {
  std::vector<instance_id> gone;
  for (const auto& [id, it] : members_.all()) {
    if (it.entry.gone && it.listed && !it.entry.leaving && it.entry.zone == options_.zone) {
      gone.push_back(id);
    }
  }
  if (!gone.empty()) {
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / probe_span);
    add_unique(wanted, gone[turn % gone.size()]);
  }
}

std::vector<instance_id>
membership::expected() const {
  std::vector<instance_id> ids;
  const auto place = rank();
  if (!place) {
    return ids;
  }
  const auto& ring = members_.ring(options_.zone);
  for (const auto n : parent_ranks(*place)) {
    if (n < ring.size()) {
      add_unique(ids, ring[n]);
    }
  }
  for (const auto n : child_ranks(*place, ring.size())) {
    add_unique(ids, ring[n]);
  }
  for (const auto& it : targets_) {
    if (members_.alive(it.peer)) {
      add_unique(ids, it.peer);
    }
  }
  return ids;
}

void
membership::watch_neighbours(const moment& now) {
  const auto ids = expected();
  std::erase_if(expected_since_, [&ids](const auto& it) {
    return std::find(ids.begin(), ids.end(), it.first) == ids.end();
  });
  for (const auto& id : ids) {
    const member* it = members_.find(id);
    if (it == nullptr || id == options_.instance) {
      continue;
    }
    const time_point since = expected_since_.try_emplace(id, now.boot).first->second;
    if (now.boot - std::max(since, it->heard) < member_silence_limit) {
      continue;
    }
    if (it->entry.zone != options_.zone) {
      // It may be the path that is cut; its own zone knows better.
      members_.avoid(id, now.boot + member_avoid_span);
    } else if (members_.give_up(id)) {
      note_change(id, {});
    }
  }
}

void
membership::settle(const moment& now, action_list& out) {
  const bool ring_changed = settled_version_ != members_.version();
  settled_version_ = members_.version();
  if (ring_changed || connections_due_) {
    connections_due_ = false;
    set_connections(now, out);
  }
  if (ring_changed || view_changed_) {
    view_changed_ = false;
    set_readers(out);
  }
}

void
membership::set_connections(const moment& now, action_list& out) {
  std::vector<set_peers::target> targets;
  for (const auto& id : wanted(now.boot)) {
    const member* it = members_.find(id);
    if (it != nullptr && id != options_.instance && it->entry.port != 0) {
      targets.push_back({id, it->entry.address, it->entry.port});
    }
  }
  if (targets != targets_) {
    targets_ = targets;
    out.push_back(set_peers{std::move(targets)});
  }
}

void
membership::set_readers(action_list& out) {
  const auto& ring = members_.ring(options_.zone);
  std::vector<set_polled_upstreams::target> read_here;
  for (const auto& [id, it] : tracker_.all()) {
    if (it.listed.kind != instance_kind::engine || it.listed.zone != options_.zone) {
      continue;
    }
    const auto readers = rendezvous_top(id.value, ring, readers_of_engine);
    if (std::find(readers.begin(), readers.end(), options_.instance) != readers.end()) {
      read_here.push_back({id, it.listed.address, it.listed.port});
    }
  }
  if (read_here != read_here_) {
    read_here_ = read_here;
    out.push_back(set_polled_upstreams{std::move(read_here)});
  }
}

} // namespace nutmegspur
