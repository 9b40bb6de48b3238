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
    entries_.emplace(new_entry.id, entry{new_entry, modified, std::nullopt});
    return upstream_change::added;
  }
  entry& held = it->second;
  const listed_upstream before = held.upstream;
  const bool serves_again = before.same_process(new_entry) && before.leaving && !new_entry.leaving;
  if (serves_again || new_entry.started_ms < before.started_ms) {
    return upstream_change::none;
  }
  held = entry{new_entry, modified, std::nullopt};
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
  const bool is_final = modified <= final_through_ || announced_gone(it->second);
  if (in_grace(now) && !is_final && !it->second.upstream.leaving) {
    it->second.pending_removal = modified;
    return upstream_change::none;
  }
  entries_.erase(it);
  removal_revisions_[id] = modified;
  return upstream_change::removed;
}

bool
upstream_list::on_announced_removal(const upstream_id& id, revision at) {
  const auto it = entries_.find(id);
  const bool was_usable = it != entries_.end() && usable(it->second);
  if (at > copy_position_ || (it != entries_.end() && it->second.pending_removal)) {
    auto& held = announced_removals_[id];
    held = std::max(held, at);
  }
  return was_usable && !usable(it->second);
}

bool
upstream_list::announced_gone(const entry& it) const {
  const auto removal = announced_removals_.find(it.upstream.id);
  return removal != announced_removals_.end() && removal->second >= it.modified;
}

bool
upstream_list::usable(const entry& it) const {
  if (it.upstream.leaving) {
    return false;
  }
  const auto removal = announced_removals_.find(it.upstream.id);
  const bool may_be_unknown_here =
      removal != announced_removals_.end() &&
      (removal->second > copy_position_ || it.pending_removal.has_value());
  return !may_be_unknown_here || !announced_gone(it);
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
    const bool is_final =
        removal && (*removal <= final_through_ || announced_gone(it->second) || !in_grace(now));
    if (!is_final) {
      ++it;
      continue;
    }
    removed.push_back(it->first);
    removal_revisions_[it->first] = *removal;
    it = entries_.erase(it);
  }
  std::erase_if(announced_removals_, [&](const auto& row) {
    const auto held = entries_.find(row.first);
    const bool pending = held != entries_.end() && held->second.pending_removal;
    return row.second <= copy_position_ && !pending;
  });
  return removed;
}

const listed_upstream*
upstream_list::find(const upstream_id& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.upstream;
}

const listed_upstream*
upstream_list::usable(const upstream_id& id) const {
  const auto it = entries_.find(id);
  return it != entries_.end() && usable(it->second) ? &it->second.upstream : nullptr;
}

std::vector<const listed_upstream*>
upstream_list::usable_of(const service_id& service) const {
  std::vector<const listed_upstream*> all;
  for (const auto& [id, held] : entries_) {
    if (held.upstream.service == service && usable(held)) {
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
