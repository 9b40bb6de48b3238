// Applies changes, reads and peers' updates to the replica of the store, and cuts updates from it.
#include <nutmegspur/hashing.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/store_replica.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// A key's part of the content hash: the parts are added, so that their order does not matter.
std::uint64_t
key_hash(const std::string& key, revision modified) {
  return mix_bits(fnv1a(fnv1a(fnv_basis, key), '@' + std::to_string(modified.value)));
}

} // namespace

revision
store_replica::revision_of(const std::string& key) const {
  if (const auto* held = find(key); held != nullptr) {
    return held->modified;
  }
  const auto gone = removed_.find(key);
  return gone == removed_.end() ? revision{} : gone->second;
}

void
store_replica::observe(const std::string& key, const std::optional<std::string>& value,
                       revision modified, revision known_at) {
  const revision held = revision_of(key);
  // A removal before `history_from_` may be forgotten, and newer than `modified`.
  const bool newer = modified > held && modified > history_from_;
  const bool stale = !newer && known_at < std::max(held, position_);
  if (stale && enabled(mechanism::replica_revision_check)) {
    return;
  }
  const auto it = values_.find(key);
  if (it != values_.end()) {
    if (value && it->second.modified == modified) {
      return;
    }
    content_hash_ -= key_hash(key, it->second.modified);
    values_.erase(it);
  }
  if (value) {
    removed_.erase(key);
    values_.emplace(key, stored_value{*value, modified});
    content_hash_ += key_hash(key, modified);
  } else {
    removed_[key] = modified;
    limit_removals();
  }
  newest_ = std::max(newest_, modified);
}

void
store_replica::limit_removals() {
  if (removed_.size() <= max_removals) {
    return;
  }
  // Forgets the older half at once, so that this is rare.
  std::vector<revision> revisions;
  revisions.reserve(removed_.size());
  for (const auto& [key, at] : removed_) {
    revisions.push_back(at);
  }
  const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  history_from_ = std::max(history_from_, *middle);
  std::erase_if(removed_, [&](const auto& row) { return row.second <= history_from_; });
}

void
store_replica::advance(revision to) {
  position_ = std::max(position_, to);
}

void
store_replica::apply_changes(const std::vector<kv_change>& changes, revision after,
                             revision through) {
  for (const auto& it : changes) {
    observe(it.key, it.value, it.modified, it.modified);
  }
  if (after <= position_ || !enabled(mechanism::replica_revision_check)) {
    advance(through);
  }
}

void
store_replica::apply_page(const std::vector<kv_pair>& pairs, revision read_at) {
  for (const auto& it : pairs) {
    observe(it.key, it.value, it.modified, std::max(read_at, it.modified));
  }
}

void
store_replica::apply_absence(std::string_view prefix, const std::set<std::string>& present,
                             revision read_at) {
  if (read_at < position_) {
    return;
  }
  std::vector<std::string> gone;
  for (auto it = values_.lower_bound(std::string{prefix});
       it != values_.end() && it->first.starts_with(prefix); ++it) {
    if (!present.contains(it->first) && it->second.modified <= read_at) {
      gone.push_back(it->first);
    }
  }
  for (const auto& key : gone) {
    observe(key, std::nullopt, read_at, read_at);
  }
}

void
store_replica::finish_read(revision read_at) {
  if (read_at > position_) {
    // Keys that were written and removed in between have not been seen.
    history_from_ = read_at;
    advance(read_at);
  }
}

bool
store_replica::apply_update(const replica_update& update) {
  const bool fits = update.store >= position_ && update.base <= position_;
  if (!fits && enabled(mechanism::replica_revision_check)) {
    return false;
  }
  for (const auto& [key, it] : update.written) {
    observe(key, it.value, it.modified, std::max(update.store, it.modified));
  }
  if (update.whole()) {
    std::set<std::string> present;
    for (const auto& [key, it] : update.written) {
      present.insert(key);
    }
    apply_absence("", present, update.store);
    finish_read(update.store);
    return true;
  }
  for (const auto& [key, at] : update.removed) {
    observe(key, std::nullopt, at, std::max(update.store, at));
  }
  advance(update.store);
  return true;
}

void
store_replica::on_same_content(revision at) {
  // As after a read: removals in between are not known.
  finish_read(at);
}

replica_update
store_replica::update_since(revision base) const {
  replica_update update;
  update.store = position_;
  if (base > position_) {
    update.base = base;
    return update;
  }
  if (base < history_from_ || base == revision{}) {
    update.written = values_;
    return update;
  }
  update.base = base;
  for (const auto& [key, it] : values_) {
    if (it.modified > base) {
      update.written.emplace(key, it);
    }
  }
  for (const auto& [key, at] : removed_) {
    if (at > base) {
      update.removed.emplace(key, at);
    }
  }
  return update;
}

const stored_value*
store_replica::find(const std::string& key) const {
  const auto it = values_.find(key);
  return it == values_.end() ? nullptr : &it->second;
}

std::vector<std::string>
key_changes::take(const store_replica& replica) {
  std::vector<std::string> changed;
  if (replica.content_hash() == seen_content_) {
    return changed;
  }
  seen_content_ = replica.content_hash();
  std::map<std::string, revision> now;
  const auto& values = replica.values();
  for (auto it = values.lower_bound(prefix_); it != values.end() && it->first.starts_with(prefix_);
       ++it) {
    now.emplace(it->first, it->second.modified);
    const auto before = seen_.find(it->first);
    if (before == seen_.end() || before->second != it->second.modified) {
      changed.push_back(it->first);
    }
  }
  for (const auto& [key, modified] : seen_) {
    if (!now.contains(key)) {
      changed.push_back(key);
    }
  }
  seen_ = std::move(now);
  return changed;
}

} // namespace nutmegspur
