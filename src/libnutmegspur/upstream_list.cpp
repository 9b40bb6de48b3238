// The listed upstreams and the grace of entries that vanish with an outage of the store.
#include <nutmegspur/hashing.h>
#include <nutmegspur/upstream_list.h>

#include <algorithm>
#include <set>

namespace nutmegspur {

upstream_change
upstream_list::put(const listed_upstream& entry_now, revision modified) {
  if (const auto gone = removed_.find(entry_now.id);
      gone != removed_.end() && modified <= gone->second) {
    return upstream_change::none;
  }
  removed_.erase(entry_now.id);
  const auto it = entries_.find(entry_now.id);
  if (it == entries_.end()) {
    entries_.emplace(entry_now.id, entry{entry_now, modified, std::nullopt});
    return upstream_change::added;
  }
  entry& held = it->second;
  if (modified <= held.modified) {
    return upstream_change::none;
  }
  const listed_upstream before = held.now;
  held = entry{entry_now, modified, std::nullopt};
  if (!before.same_process(entry_now)) {
    return upstream_change::restarted;
  }
  if (!before.leaving && entry_now.leaving) {
    return upstream_change::leaving;
  }
  return before == entry_now ? upstream_change::none : upstream_change::updated;
}

upstream_change
upstream_list::remove(const moment& now, const upstream_id& id, revision modified) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    auto& at = removed_[id];
    at = std::max(at, modified);
    return upstream_change::none;
  }
  if (modified <= it->second.modified) {
    return upstream_change::none;
  }
  if (in_grace(now) && !it->second.now.leaving) {
    it->second.vanished = modified;
    return upstream_change::none;
  }
  entries_.erase(it);
  removed_[id] = modified;
  return upstream_change::removed;
}

std::vector<upstream_id>
upstream_list::absent(const std::vector<upstream_id>& present, revision at) const {
  const std::set<upstream_id> kept{present.begin(), present.end()};
  std::vector<upstream_id> all;
  for (const auto& [id, held] : entries_) {
    if (!kept.contains(id) && held.modified < at) {
      all.push_back(id);
    }
  }
  return all;
}

std::vector<upstream_id>
upstream_list::retain(const moment& now, const std::vector<upstream_id>& present, revision at) {
  std::vector<upstream_id> gone;
  for (const auto& id : absent(present, at)) {
    if (remove(now, id, at) == upstream_change::removed) {
      gone.push_back(id);
    }
  }
  return gone;
}

std::vector<upstream_id>
upstream_list::retain_as_peer(const std::vector<upstream_id>& present, revision at) {
  std::vector<upstream_id> gone = absent(present, at);
  for (const auto& id : gone) {
    entries_.erase(id);
    removed_[id] = at;
  }
  return gone;
}

void
upstream_list::set_store_reachable(const moment& now, bool reachable) {
  if (reachable && !reachable_) {
    grace_until_ = now.boot + return_time;
  }
  reachable_ = reachable;
}

bool
upstream_list::in_grace(const moment& now) const {
  return !reachable_ || now.boot < grace_until_;
}

std::vector<upstream_id>
upstream_list::expire(const moment& now) {
  std::vector<upstream_id> gone;
  if (in_grace(now)) {
    return gone;
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (!it->second.vanished) {
      ++it;
      continue;
    }
    gone.push_back(it->first);
    removed_[it->first] = *it->second.vanished;
    it = entries_.erase(it);
  }
  return gone;
}

const listed_upstream*
upstream_list::find(const upstream_id& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.now;
}

const listed_upstream*
upstream_list::usable(const upstream_id& id) const {
  const auto* it = find(id);
  return it != nullptr && !it->leaving ? it : nullptr;
}

std::vector<const listed_upstream*>
upstream_list::usable_of(const service_id& service) const {
  std::vector<const listed_upstream*> all;
  for (const auto& [id, held] : entries_) {
    if (held.now.service == service && !held.now.leaving) {
      all.push_back(&held.now);
    }
  }
  return all;
}

std::vector<const listed_upstream*>
upstream_list::all() const {
  std::vector<const listed_upstream*> every;
  every.reserve(entries_.size());
  for (const auto& [id, held] : entries_) {
    every.push_back(&held.now);
  }
  return every;
}

std::uint64_t
upstream_list::content() const {
  std::uint64_t hash = fnv_basis;
  const auto take = [&](std::string_view text) {
    // The separator keeps neighbouring fields apart.
    hash = fnv1a(fnv1a(hash, text), std::string_view{"\0", 1});
  };
  for (const auto& [id, held] : entries_) {
    const listed_upstream& it = held.now;
    take(id.value);
    take(it.service.value);
    take(it.address);
    take(it.zone.value);
    take(to_name(it.stage));
    for (const std::int64_t n : {std::int64_t{it.port}, std::int64_t{it.slots}, it.started_ms,
                                 std::int64_t{it.leaving}, std::int64_t{it.reclaimable}}) {
      take(std::to_string(n));
    }
  }
  return hash;
}

} // namespace nutmegspur
