// Propagates service sums along the zone's distribution tree.
#include <nutmegspur/fairness_exchange.h>

#include <algorithm>

namespace nutmegspur {

fairness_exchange::fairness_exchange(fairness_hooks hooks, admission_policy& admission)
    : hooks_(std::move(hooks)), admission_(admission) {}

void
fairness_exchange::step(const moment& now, const event& ev, action_list& out) {
  if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
  }
  if (const auto* it = std::get_if<peer_received>(&ev)) {
    if (const auto* digest = std::get_if<fairness_digest>(&it->message)) {
      on_digest(now, it->peer, *digest);
    }
  }
}

void
fairness_exchange::on_tick(const moment& now, action_list& out) {
  if (now.boot < next_round_) {
    return;
  }
  next_round_ = now.boot + period;
  for (const auto& it : admission_.take_local_service()) {
    own_[it.team] += it.weighted_tokens_milli;
  }
  std::erase_if(children_,
                [&](const auto& it) { return now.boot - it.second.last_received > child_timeout; });
  const auto update_source = hooks_.update_source();
  if (update_source) {
    send(*update_source, true, out);
  }
  for (const auto& [id, it] : children_) {
    if (id != update_source) {
      send(id, false, out);
    }
  }
  own_.clear();
  from_update_source_.clear();
  for (auto& [id, it] : children_) {
    it.from.clear();
  }
}

void
fairness_exchange::on_digest(const moment& now, const instance_id& from,
                             const fairness_digest& digest) {
  // Only sums from the parent and from children are accepted; others would be counted twice.
  if (!digest.upward && hooks_.update_source() != from) {
    return;
  }
  sums* target = &from_update_source_;
  if (digest.upward) {
    child& it = children_[from];
    it.last_received = now.boot;
    target = &it.from;
  }
  for (const auto& it : digest.entries) {
    (*target)[it.team] += it.weighted_tokens_milli;
    admission_.add_remote_service(it.team, it.weighted_tokens_milli);
  }
}

fairness_exchange::sums
fairness_exchange::total(const instance_id& except) const {
  sums combined = own_;
  const auto add = [&combined](const sums& added) {
    for (const auto& [team, n] : added) {
      combined[team] += n;
    }
  };
  if (hooks_.update_source() != except) {
    add(from_update_source_);
  }
  for (const auto& [id, it] : children_) {
    if (id != except) {
      add(it.from);
    }
  }
  return combined;
}

void
fairness_exchange::send(const instance_id& to, bool upward, action_list& out) {
  fairness_digest digest;
  digest.sequence = ++sequence_;
  digest.upward = upward;
  for (const auto& [team, n] : total(to)) {
    digest.entries.push_back({team, n, 0});
  }
  std::sort(digest.entries.begin(), digest.entries.end(), [](const auto& a, const auto& b) {
    return a.weighted_tokens_milli > b.weighted_tokens_milli;
  });
  if (digest.entries.size() > max_teams) {
    digest.entries.resize(max_teams);
  }
  // An upward message is sent even if it is empty, because it registers this child at the parent.
  if (upward || !digest.entries.empty()) {
    out.emplace_back(send_to_peer{to, std::move(digest)});
  }
}

} // namespace nutmegspur
