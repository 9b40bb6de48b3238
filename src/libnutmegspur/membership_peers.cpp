// Membership: selection of peer connections and of the engines to poll, and detection of silent
// neighbours.
#include <nutmegspur/membership.h>

#include <algorithm>

namespace nutmegspur {

namespace {

// How long a relay tries to connect to one instance that is presumed dead before it tries the next.
constexpr milliseconds probe_period{10'000};

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
membership::update_source() const {
  const auto own_rank = rank();
  if (!own_rank) {
    return std::nullopt;
  }
  const auto& ring = members_.ring(options_.zone);
  for (const auto parent : parent_ranks(*own_rank)) {
    if (parent < ring.size() && neighbours_.contains(ring[parent])) {
      return ring[parent];
    }
  }
  return std::nullopt;
}

std::vector<instance_id>
membership::desired_connections(time_point now) const {
  if (members_.self().leaving) {
    return connections_while_leaving_;
  }
  std::vector<instance_id> ids;
  const auto own_rank = rank();
  if (!own_rank) {
    return ids;
  }
  const auto& ring = members_.ring(options_.zone);
  for (const auto parent : parent_ranks(*own_rank)) {
    if (parent < ring.size()) {
      add_unique(ids, ring[parent]);
    }
  }
  if (*own_rank < relay_count) {
    for (const auto& zone : zones_of(members_)) {
      const auto& others = members_.ring(zone);
      if (zone != options_.zone && !others.empty()) {
        add_unique(ids, others[std::min(*own_rank, others.size() - 1)]);
      }
    }
    add_probe_target(ids, now);
  }
  return ids;
}

// A relay keeps trying to connect to listed instances of its zone that are presumed dead, one at a
// time in rotation: after a network partition both sides presume the other dead, and would
// otherwise never reconnect.
void
membership::add_probe_target(std::vector<instance_id>& targets, time_point now) const {
  std::vector<instance_id> presumed_dead;
  for (const auto& [id, it] : members_.all()) {
    if (it.entry.presumed_dead && it.listed && !it.entry.leaving &&
        it.entry.zone == options_.zone) {
      presumed_dead.push_back(id);
    }
  }
  if (!presumed_dead.empty()) {
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / probe_period);
    add_unique(targets, presumed_dead[turn % presumed_dead.size()]);
  }
}

std::vector<instance_id>
membership::expected_connections() const {
  std::vector<instance_id> ids;
  const auto own_rank = rank();
  if (!own_rank) {
    return ids;
  }
  const auto& ring = members_.ring(options_.zone);
  for (const auto n : parent_ranks(*own_rank)) {
    if (n < ring.size()) {
      add_unique(ids, ring[n]);
    }
  }
  for (const auto n : child_ranks(*own_rank, ring.size())) {
    add_unique(ids, ring[n]);
  }
  for (const auto& it : connection_targets_) {
    if (members_.alive(it.peer)) {
      add_unique(ids, it.peer);
    }
  }
  return ids;
}

void
membership::detect_silent_neighbours(const moment& now) {
  const auto ids = expected_connections();
  std::erase_if(expected_since_, [&ids](const auto& it) {
    return std::find(ids.begin(), ids.end(), it.first) == ids.end();
  });
  for (const auto& id : ids) {
    const member* it = members_.find(id);
    if (it == nullptr || id == options_.instance) {
      continue;
    }
    const time_point since = expected_since_.try_emplace(id, now.boot).first->second;
    if (now.boot - std::max(since, it->last_contact) < member_silence_timeout) {
      continue;
    }
    if (it->entry.zone != options_.zone) {
      // Possibly only the path between the zones failed; its own zone detects whether it is dead.
      members_.exclude(id, now.boot + member_exclusion_period);
    } else if (members_.presume_dead(id)) {
      note_change(id, {});
    }
  }
}

void
membership::update_peers_and_polling(const moment& now, action_list& out) {
  const bool ring_changed = applied_version_ != members_.version();
  applied_version_ = members_.version();
  if (ring_changed || connections_due_) {
    connections_due_ = false;
    update_connections(now, out);
  }
  if (ring_changed || view_changed_) {
    view_changed_ = false;
    update_polled_engines(out);
  }
}

void
membership::update_connections(const moment& now, action_list& out) {
  std::vector<set_peers::target> targets;
  for (const auto& id : desired_connections(now.boot)) {
    const member* it = members_.find(id);
    if (it != nullptr && id != options_.instance && it->entry.port != 0) {
      targets.push_back({id, it->entry.address, it->entry.port});
    }
  }
  if (targets != connection_targets_) {
    connection_targets_ = targets;
    out.push_back(set_peers{std::move(targets)});
  }
}

void
membership::update_polled_engines(action_list& out) {
  const auto& ring = members_.ring(options_.zone);
  std::vector<set_polled_upstreams::target> polled_engines;
  for (const auto& [id, it] : tracker_.all()) {
    if (it.listed.kind != instance_kind::engine || it.listed.zone != options_.zone) {
      continue;
    }
    const auto pollers = rendezvous_top(id.value, ring, pollers_per_engine);
    if (std::find(pollers.begin(), pollers.end(), options_.instance) != pollers.end()) {
      polled_engines.push_back({id, it.listed.address, it.listed.port});
    }
  }
  if (polled_engines != polled_engines_) {
    polled_engines_ = polled_engines;
    out.push_back(set_polled_upstreams{std::move(polled_engines)});
  }
}

} // namespace nutmegspur
