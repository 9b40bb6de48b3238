// Drain notices between a zone's instances, and their acknowledgements.
#include <nutmegspur/drain_notices.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// Notices whose send time is kept; more than are sent within `acknowledgement_validity`.
constexpr std::size_t max_remembered_notices = 8;

} // namespace

drain_notices::drain_notices(drain_hooks hooks) : hooks_(std::move(hooks)) {}

std::vector<instance_id>
drain_notices::peers() const {
  return hooks_.peers ? hooks_.peers() : std::vector<instance_id>{};
}

void
drain_notices::begin(const moment& now, const upstream_id& id, action_list& out) {
  const auto [it, is_new] = local_drains_.try_emplace(id);
  if (!is_new) {
    return;
  }
  apply_mark(id);
  send_notices(now, id, it->second, out);
}

void
drain_notices::end(const upstream_id& id, action_list& out) {
  if (local_drains_.erase(id) == 0) {
    return;
  }
  apply_mark(id);
  ++last_notice_;
  for (const auto& peer : peers()) {
    out.emplace_back(send_to_peer{peer, upstream_notice{id, false, false, last_notice_}});
  }
}

bool
drain_notices::marked(const upstream_id& id) const {
  return local_drains_.count(id) != 0 || marks_.count(id) != 0;
}

bool
drain_notices::all_acknowledged(time_point now, const upstream_id& id) const {
  const auto found = local_drains_.find(id);
  if (found == local_drains_.end()) {
    return false;
  }
  const auto all_peers = peers();
  return std::all_of(all_peers.begin(), all_peers.end(), [&](const instance_id& peer) {
    const auto acknowledged = found->second.acknowledged.find(peer);
    return acknowledged != found->second.acknowledged.end() &&
           now <= acknowledged->second + acknowledgement_validity;
  });
}

void
drain_notices::step(const moment& now, const event& ev, action_list& out) {
  if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
    return;
  }
  const auto* received = std::get_if<peer_received>(&ev);
  if (received == nullptr) {
    return;
  }
  if (const auto* notice = std::get_if<upstream_notice>(&received->message)) {
    on_notice(now, received->peer, *notice, out);
  }
}

void
drain_notices::on_tick(const moment& now, action_list& out) {
  for (auto& [id, it] : local_drains_) {
    if (now.boot >= it.next_notice) {
      send_notices(now, id, it, out);
    }
  }
  for (auto it = marks_.begin(); it != marks_.end();) {
    const auto id = it->first;
    const bool expired = now.boot >= it->second.until;
    it = expired ? marks_.erase(it) : std::next(it);
    if (expired) {
      apply_mark(id);
    }
  }
}

void
drain_notices::on_notice(const moment& now, const instance_id& from, const upstream_notice& notice,
                         action_list& out) {
  if (notice.acknowledges) {
    on_acknowledgement(from, notice);
    return;
  }
  if (notice.leaving) {
    marks_[notice.upstream] = {from, now.boot + mark_lifetime};
    apply_mark(notice.upstream);
    const upstream_notice acknowledgement{notice.upstream, true, true, notice.number};
    out.emplace_back(send_to_peer{from, acknowledgement});
    return;
  }
  // An earlier initiator that ends its drain must not cancel the notice of a later one.
  const auto marked = marks_.find(notice.upstream);
  if (marked != marks_.end() && marked->second.initiator == from) {
    marks_.erase(marked);
    apply_mark(notice.upstream);
  }
}

void
drain_notices::on_acknowledgement(const instance_id& from, const upstream_notice& notice) {
  const auto drain = local_drains_.find(notice.upstream);
  if (drain == local_drains_.end()) {
    return;
  }
  // An acknowledgement may arrive late, so it counts from when its notice was sent.
  const auto sent = drain->second.sent.find(notice.number);
  if (sent != drain->second.sent.end()) {
    time_point& acknowledged = drain->second.acknowledged[from];
    acknowledged = std::max(acknowledged, sent->second);
  }
}

void
drain_notices::send_notices(const moment& now, const upstream_id& id, local_drain& it,
                            action_list& out) {
  it.next_notice = now.boot + repeat_period;
  it.sent[++last_notice_] = now.boot;
  if (it.sent.size() > max_remembered_notices) {
    it.sent.erase(it.sent.begin());
  }
  for (const auto& peer : peers()) {
    out.emplace_back(send_to_peer{peer, upstream_notice{id, true, false, last_notice_}});
  }
}

void
drain_notices::apply_mark(const upstream_id& id) {
  if (hooks_.mark_changing) {
    hooks_.mark_changing(id, marked(id));
  }
}

} // namespace nutmegspur
