// Work in progress at upstreams, local and reported by peers.
#include <nutmegspur/load_view.h>

#include <algorithm>

namespace nutmegspur {

std::uint64_t
load_view::on_sent(const moment& now, const upstream_id& id, double prefill_millis) {
  const std::uint64_t number = ++last_number_;
  local_work& work = own_[id];
  work.open++;
  if (work.pending.empty()) {
    work.front_started = now.boot;
  }
  work.pending.push_back({number, prefill_millis});
  sent_.emplace(number, id);
  return number;
}

void
load_view::on_prefilled(const moment& now, std::uint64_t number) {
  const auto sent = sent_.find(number);
  if (sent == sent_.end()) {
    return;
  }
  local_work& work = own_[sent->second];
  const auto it = std::find_if(work.pending.begin(), work.pending.end(),
                               [&](const auto& row) { return row.number == number; });
  if (it == work.pending.end()) {
    return;
  }
  work.pending.erase(it);
  work.front_started = now.boot;
}

void
load_view::on_ended(const moment& now, std::uint64_t number) {
  on_prefilled(now, number);
  const auto sent = sent_.find(number);
  if (sent == sent_.end()) {
    return;
  }
  const auto it = own_.find(sent->second);
  if (it != own_.end() && --it->second.open == 0) {
    own_.erase(it);
  }
  sent_.erase(sent);
}

void
load_view::on_peer(const moment& now, const instance_id& peer,
                   std::vector<upstream_load_notice> loads, milliseconds lifetime) {
  peer_load& work = peers_[peer];
  work.expires_at = now.boot + lifetime;
  work.loads.clear();
  for (auto& it : loads) {
    work.loads.insert_or_assign(std::move(it.upstream), it.load);
  }
}

upstream_load
load_view::load_of(const moment& now, const local_work& work) {
  upstream_load sum{work.open, 0};
  for (const auto& it : work.pending) {
    sum.backlog_millis += it.prefill_millis;
  }
  if (!work.pending.empty()) {
    const std::chrono::duration<double, std::milli> passed = now.boot - work.front_started;
    sum.backlog_millis -= std::min(passed.count(), work.pending.front().prefill_millis);
  }
  return sum;
}

upstream_load
load_view::total(const moment& now, const upstream_id& id) const {
  upstream_load sum;
  if (const auto it = own_.find(id); it != own_.end()) {
    sum = load_of(now, it->second);
  }
  for (const auto& [peer, work] : peers_) {
    if (now.boot > work.expires_at) {
      continue;
    }
    if (const auto it = work.loads.find(id); it != work.loads.end()) {
      sum.open += it->second.open;
      sum.backlog_millis += it->second.backlog_millis;
    }
  }
  return sum;
}

std::vector<upstream_load_notice>
load_view::own(const moment& now) const {
  std::vector<upstream_load_notice> all;
  all.reserve(own_.size());
  for (const auto& [id, work] : own_) {
    all.push_back({id, load_of(now, work)});
  }
  return all;
}

std::vector<upstream_load_notice>
load_view::own_and_peers(const moment& now,
                         const std::function<bool(const instance_id&)>& include) const {
  std::unordered_map<upstream_id, upstream_load> sums;
  for (const auto& [id, work] : own_) {
    sums.emplace(id, load_of(now, work));
  }
  for (const auto& [peer, work] : peers_) {
    if (now.boot > work.expires_at || !include(peer)) {
      continue;
    }
    for (const auto& [id, load] : work.loads) {
      upstream_load& sum = sums[id];
      sum.open += load.open;
      sum.backlog_millis += load.backlog_millis;
    }
  }
  std::vector<upstream_load_notice> all;
  all.reserve(sums.size());
  for (const auto& [id, load] : sums) {
    all.push_back({id, load});
  }
  return all;
}

} // namespace nutmegspur
