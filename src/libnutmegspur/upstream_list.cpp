// Applies writes, removals and full reads to the list, with the grace period for entries that
// disappear during an outage of the store.
#include <nutmegspur/hashing.h>
#include <nutmegspur/store_era.h>
#include <nutmegspur/upstream_list.h>

#include <algorithm>
#include <set>

namespace nutmegspur {

upstream_change
upstream_list::put(const listed_upstream& new_entry, revision modified) {
  if (const auto removed = removal_revisions_.find(new_entry.id);
      removed != removal_revisions_.end() &&
      (modified <= removed->second || may_be_from_copy(modified, removed->second))) {
    return upstream_change::none;
  }
  removal_revisions_.erase(new_entry.id);
  const auto it = entries_.find(new_entry.id);
  if (it == entries_.end()) {
    entries_.emplace(new_entry.id, entry{new_entry, modified, std::nullopt});
    return upstream_change::added;
  }
  entry& held = it->second;
  if (modified <= held.modified) {
    return upstream_change::none;
  }
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
  if (modified <= it->second.modified) {
    return upstream_change::none;
  }
  if (in_grace(now) && !it->second.upstream.leaving) {
    it->second.pending_removal = modified;
    return upstream_change::none;
  }
  entries_.erase(it);
  removal_revisions_[id] = modified;
  return upstream_change::removed;
}

std::vector<upstream_id>
upstream_list::missing_from(const std::vector<upstream_id>& present, revision at) const {
  const std::set<upstream_id> present_ids{present.begin(), present.end()};
  std::vector<upstream_id> all;
  for (const auto& [id, held] : entries_) {
    if (!present_ids.contains(id) && held.modified < at) {
      all.push_back(id);
    }
  }
  return all;
}

std::vector<upstream_id>
upstream_list::apply_full_read(const moment& now, const std::vector<upstream_id>& present,
                               revision at) {
  std::vector<upstream_id> removed;
  for (const auto& id : missing_from(present, at)) {
    if (remove(now, id, at) == upstream_change::removed) {
      removed.push_back(id);
    }
  }
  return removed;
}

std::vector<upstream_id>
upstream_list::apply_peer_read(const std::vector<upstream_id>& present, revision at) {
  std::vector<upstream_id> removed = missing_from(present, at);
  for (const auto& id : removed) {
    entries_.erase(id);
    removal_revisions_[id] = at;
  }
  return removed;
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
  if (in_grace(now)) {
    return removed;
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (!it->second.pending_removal) {
      ++it;
      continue;
    }
    removed.push_back(it->first);
    removal_revisions_[it->first] = *it->second.pending_removal;
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

std::uint64_t
upstream_list::content_hash() const {
  std::uint64_t hash = fnv_basis;
  const auto add_field = [&](std::string_view text) {
    // The separator makes field boundaries part of the hash.
    hash = fnv1a(fnv1a(hash, text), std::string_view{"\0", 1});
  };
  for (const auto& [id, held] : entries_) {
    const listed_upstream& it = held.upstream;
    add_field(id.value);
    add_field(it.service.value);
    add_field(it.address);
    add_field(it.zone.value);
    add_field(it.software_version);
    add_field(to_name(it.stage));
    for (const std::int64_t n : {std::int64_t{it.port}, std::int64_t{it.slots}, it.started_ms,
                                 std::int64_t{it.leaving}, std::int64_t{it.reclaimable}}) {
      add_field(std::to_string(n));
    }
  }
  return hash;
}

} // namespace nutmegspur
