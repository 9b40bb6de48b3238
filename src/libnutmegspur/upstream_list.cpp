// Applies entries and removals to the list, with the grace period for entries that disappear during
// an outage of the store.
#include <nutmegspur/store_era.h>
#include <nutmegspur/upstream_list.h>

#include <algorithm>

namespace nutmegspur {

upstream_change
upstream_list::put(const listed_upstream& new_entry, revision modified) {
  if (const auto removed = removal_revisions_.find(new_entry.id);
      removed != removal_revisions_.end() && may_be_from_copy(modified, removed->second)) {
    return upstream_change::none;
  }
  removal_revisions_.erase(new_entry.id);
  const auto it = entries_.find(new_entry.id);
  if (it == entries_.end()) {
    entries_.emplace(new_entry.id, entry{new_entry, std::nullopt});
    return upstream_change::added;
  }
  entry& held = it->second;
  const listed_upstream before = held.upstream;
  const bool serves_again = before.same_process(new_entry) && before.leaving && !new_entry.leaving;
  if (serves_again || new_entry.started_ms < before.started_ms) {
    return upstream_change::none;
  }
  held = entry{new_entry, std::nullopt};
  if (!before.same_process(new_entry)) {
    return upstream_change::restarted;
  }
  if (!before.leaving && new_entry.leaving) {
    return upstream_change::leaving;
  }
  return before == new_entry ? upstream_change::none : upstream_change::updated;
}

upstream_change
upstream_list::remove(const moment& now, const upstream_id& id, revision modified) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    auto& at = removal_revisions_[id];
    at = std::max(at, modified);
    return upstream_change::none;
  }
  if (in_grace(now) && modified > final_through_ && !it->second.upstream.leaving) {
    it->second.pending_removal = modified;
    return upstream_change::none;
  }
  entries_.erase(it);
  removal_revisions_[id] = modified;
  return upstream_change::removed;
}

void
upstream_list::set_store_reachable(const moment& now, bool reachable) {
  if (reachable && !reachable_) {
    grace_until_ = now.boot + reregistration_grace;
  }
  reachable_ = reachable;
}

bool
upstream_list::in_grace(const moment& now) const {
  return !reachable_ || now.boot < grace_until_;
}

std::vector<upstream_id>
upstream_list::expire(const moment& now) {
  std::vector<upstream_id> removed;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto& removal = it->second.pending_removal;
    if (!removal || (in_grace(now) && *removal > final_through_)) {
      ++it;
      continue;
    }
    removed.push_back(it->first);
    removal_revisions_[it->first] = *removal;
    it = entries_.erase(it);
  }
  return removed;
}

const listed_upstream*
upstream_list::find(const upstream_id& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.upstream;
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
    if (held.upstream.service == service && !held.upstream.leaving) {
      all.push_back(&held.upstream);
    }
  }
  return all;
}

std::vector<const listed_upstream*>
upstream_list::all() const {
  std::vector<const listed_upstream*> listed;
  listed.reserve(entries_.size());
  for (const auto& [id, held] : entries_) {
    listed.push_back(&held.upstream);
  }
  return listed;
}

} // namespace nutmegspur
