// In-memory multi-version key-value store.
#include "kv_store.h"

#include <algorithm>

namespace nutmegspur::standin {

namespace {

bool
satisfies(char relation, std::int64_t order) {
  switch (relation) {
  case '<':
    return order < 0;
  case '>':
    return order > 0;
  case '!':
    return order != 0;
  default:
    return order == 0;
  }
}

std::int64_t
compare_target(const kv_condition& it, const kv_version* current) {
  if (it.target == kv_condition::field::value) {
    const QByteArray value =
        current != nullptr ? current->value.value_or(QByteArray{}) : QByteArray{};
    return value == it.value ? 0 : (value < it.value ? -1 : 1);
  }
  if (current == nullptr) {
    return -it.number;
  }
  switch (it.target) {
  case kv_condition::field::created:
    return current->created - it.number;
  case kv_condition::field::version:
    return current->version - it.number;
  default:
    return current->modified - it.number;
  }
}

} // namespace

bool
in_range(const QByteArray& key, const QByteArray& from, const QByteArray& to) {
  if (to.isEmpty()) {
    return key == from;
  }
  const bool unbounded = to == QByteArray(1, '\0');
  return key >= from && (unbounded || key < to);
}

const kv_version*
kv_store::newest(const QByteArray& key) const {
  const auto it = keys_.find(key);
  if (it == keys_.end() || !it->second.back().value) {
    return nullptr;
  }
  return &it->second.back();
}

kv_error
kv_store::check_read(std::int64_t at) const {
  if (at > revision_) {
    return kv_error::future_revision;
  }
  return at != 0 && at < compacted_ ? kv_error::compacted : kv_error::none;
}

std::vector<kv_version>
kv_store::range(const QByteArray& from, const QByteArray& to, std::int64_t at) const {
  const std::int64_t limit = at == 0 ? revision_ : at;
  std::vector<kv_version> found;
  for (auto it = keys_.lower_bound(from); it != keys_.end() && in_range(it->first, from, to);
       ++it) {
    const auto& versions = it->second;
    const auto past = std::upper_bound(
        versions.begin(), versions.end(), limit,
        [](std::int64_t n, const kv_version& version) { return n < version.modified; });
    if (past != versions.begin() && std::prev(past)->value) {
      found.push_back(*std::prev(past));
    }
  }
  return found;
}

bool
kv_store::holds(const std::vector<kv_condition>& conditions) const {
  return std::all_of(conditions.begin(), conditions.end(), [this](const kv_condition& it) {
    return satisfies(it.relation, compare_target(it, newest(it.key)));
  });
}

kv_error
kv_store::check_write(const std::vector<kv_operation>& operations) const {
  if (operations.size() > max_operations) {
    return kv_error::too_many_operations;
  }
  for (const auto& it : operations) {
    if (it.value && it.lease != 0 && !leases_.contains(it.lease)) {
      return kv_error::lease_not_found;
    }
  }
  return kv_error::none;
}

void
kv_store::write(const std::vector<kv_operation>& operations) {
  const std::int64_t at = revision_ + 1;
  bool changed = false;
  for (const auto& it : operations) {
    if (it.value) {
      put(it, at);
      changed = true;
      continue;
    }
    for (const auto& found : range(it.key, it.range_end, at)) {
      changed = remove(found.key, at) || changed;
    }
  }
  if (changed) {
    revision_ = at;
  }
}

void
kv_store::put(const kv_operation& it, std::int64_t at) {
  kv_version next{it.key, it.value, at, at, 1, it.lease};
  if (const kv_version* last = newest(it.key)) {
    next.created = last->created;
    next.version = last->version + 1;
    detach_from_lease(it.key, last->lease);
  }
  if (const auto holder = leases_.find(it.lease); holder != leases_.end()) {
    holder->second.keys.insert(it.key);
  }
  append(std::move(next));
}

bool
kv_store::remove(const QByteArray& key, std::int64_t at) {
  const kv_version* last = newest(key);
  if (last == nullptr) {
    return false;
  }
  detach_from_lease(key, last->lease);
  append({key, std::nullopt, 0, at, 0, 0});
  return true;
}

void
kv_store::append(kv_version version) {
  keys_[version.key].push_back(version);
  log_.push_back(std::move(version));
}

void
kv_store::detach_from_lease(const QByteArray& key, std::int64_t id) {
  if (const auto it = leases_.find(id); it != leases_.end()) {
    it->second.keys.erase(key);
  }
}

std::vector<kv_version>
kv_store::changes(std::int64_t since) const {
  const auto first =
      std::lower_bound(log_.begin(), log_.end(), since,
                       [](const kv_version& it, std::int64_t n) { return it.modified < n; });
  return {first, log_.end()};
}

void
kv_store::compact(std::int64_t at) {
  compacted_ = std::clamp(at, compacted_, revision_);
  std::erase_if(log_, [this](const kv_version& it) { return it.modified <= compacted_; });
  for (auto it = keys_.begin(); it != keys_.end();) {
    auto& versions = it->second;
    // The newest version at or before the compacted revision is kept, unless it is a deletion.
    while (versions.size() > 1 && versions[1].modified <= compacted_) {
      versions.erase(versions.begin());
    }
    const bool removable = !versions.front().value && versions.front().modified <= compacted_;
    if (removable) {
      versions.erase(versions.begin());
    }
    it = versions.empty() ? keys_.erase(it) : std::next(it);
  }
}

std::int64_t
kv_store::grant(std::int64_t id, std::int64_t ttl_seconds, std::int64_t now_ms) {
  const std::int64_t lease_id = id != 0 ? id : ++last_lease_;
  leases_[lease_id] = {ttl_seconds, now_ms + ttl_seconds * 1000, {}};
  return lease_id;
}

std::int64_t
kv_store::keep_alive(std::int64_t id, std::int64_t now_ms) {
  const auto it = leases_.find(id);
  if (it == leases_.end()) {
    return 0;
  }
  it->second.expires_ms = now_ms + it->second.ttl_seconds * 1000;
  return it->second.ttl_seconds;
}

bool
kv_store::revoke(std::int64_t id) {
  const auto it = leases_.find(id);
  if (it == leases_.end()) {
    return false;
  }
  const std::set<QByteArray> keys = std::move(it->second.keys);
  leases_.erase(it);
  std::vector<kv_operation> deletions;
  deletions.reserve(keys.size());
  for (const auto& key : keys) {
    deletions.push_back({key, {}, std::nullopt, 0});
  }
  write(deletions);
  return true;
}

void
kv_store::expire(std::int64_t now_ms) {
  std::vector<std::int64_t> due;
  for (const auto& [id, it] : leases_) {
    if (it.expires_ms <= now_ms) {
      due.push_back(id);
    }
  }
  for (const auto id : due) {
    revoke(id);
  }
}

} // namespace nutmegspur::standin
