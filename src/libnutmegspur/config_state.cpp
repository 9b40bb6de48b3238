// Applies configuration changes and keeps the log of recent ones.
#include <nutmegspur/config_state.h>
#include <nutmegspur/mechanisms.h>

#include <algorithm>

namespace nutmegspur {

namespace {

constexpr std::size_t max_log_changes = 4096;
constexpr std::size_t max_log_bytes = 1024UL * 1024;

/// Whether calls that were accepted with key `before` may continue with `after`.
bool
remains_valid(const key_spec& before, const key_spec* after) {
  return after != nullptr && !after->withdrawn && after->team == before.team &&
         after->role == before.role && after->secret_sha256 == before.secret_sha256;
}

const key_spec*
key_of(const resource* it) {
  return it == nullptr ? nullptr : std::get_if<key_spec>(&it->spec);
}

/// Adds key `name` to `out` if it was usable in `before` and is no longer valid in `after`.
void
record_withdrawal(const std::string& name, const key_spec* before, const key_spec* after,
                  std::vector<key_id>& out) {
  if (before != nullptr && !before->withdrawn && !remains_valid(*before, after)) {
    out.emplace_back(name);
  }
}

bool
by_revision(const kv_change& a, const kv_change& b) {
  return a.modified < b.modified;
}

std::size_t
size_of(const kv_change& it) {
  return sizeof(it) + it.key.size() + it.value.value_or("").size();
}

} // namespace

bool
config_state::apply_one(config_snapshot& next, const kv_change& it, config_apply_result& effect) {
  const auto parts = parse_config_key(it.key);
  if (!parts) {
    effect.refused.push_back({it.key, "not a valid resource key"});
    return false;
  }
  const resource* old = next.find(parts->kind, parts->name);
  if (!it.value) {
    record_withdrawal(parts->name, key_of(old), nullptr, effect.withdrawn);
    next.remove(parts->kind, parts->name);
    return old != nullptr;
  }
  auto spec = parse_spec(parts->kind, *it.value);
  if (!spec) {
    effect.refused.push_back({it.key, spec.error().message});
    return false;
  }
  const resource changed{parts->name, it.modified, std::move(*spec)};
  record_withdrawal(parts->name, key_of(old), key_of(&changed), effect.withdrawn);
  next.put(changed);
  return true;
}

config_apply_result
config_state::apply(std::vector<kv_change> changes, revision upto) {
  config_apply_result effect;
  std::stable_sort(changes.begin(), changes.end(), by_revision);
  if (enabled(mechanism::revision_only_grows)) {
    std::erase_if(changes, [&](const kv_change& it) { return it.modified <= at_; });
  }
  if (!changes.empty()) {
    auto next = std::make_shared<config_snapshot>(*view_);
    for (const auto& it : changes) {
      effect.applied += apply_one(*next, it, effect) ? 1 : 0;
    }
    last_change_ = std::max(last_change_, changes.back().modified);
    next->at = last_change_;
    view_ = std::move(next);
  }
  const revision end = std::max(upto, last_change_);
  effect.advanced = end > at_;
  at_ = std::max(at_, end);
  for (auto& it : changes) {
    append_to_log(std::move(it));
  }
  return effect;
}

config_apply_result
config_state::replace(const std::vector<kv_change>& all, revision at) {
  config_apply_result effect;
  if (enabled(mechanism::revision_only_grows) && complete_ && at <= at_) {
    return effect;
  }
  auto next = std::make_shared<config_snapshot>();
  revision last;
  for (const auto& it : all) {
    effect.applied += apply_one(*next, it, effect) ? 1 : 0;
    last = std::max(last, it.modified);
  }
  for (const auto& it : effect.refused) {
    const auto parts = parse_config_key(it.key);
    const resource* old = parts ? view_->find(parts->kind, parts->name) : nullptr;
    if (old != nullptr) {
      next->put(*old);
    }
  }
  for (const auto& [name, old] : view_->keys) {
    record_withdrawal(name, key_of(&old), key_of(next->find(resource_kind::key, name)),
                      effect.withdrawn);
  }
  next->at = at;
  view_ = std::move(next);
  effect.advanced = at > at_ || !complete_;
  complete_ = true;
  at_ = at;
  last_change_ = last;
  known_since_ = at;
  log_.clear();
  log_bytes_ = 0;
  return effect;
}

void
config_state::append_to_log(kv_change it) {
  log_bytes_ += size_of(it);
  log_.push_back(std::move(it));
  // Changes of the same revision are dropped together, so that the log never starts with part of a
  // transaction.
  while (log_.size() > max_log_changes || log_bytes_ > max_log_bytes) {
    known_since_ = log_.front().modified;
    while (!log_.empty() && log_.front().modified == known_since_) {
      log_bytes_ -= size_of(log_.front());
      log_.pop_front();
    }
  }
}

std::optional<std::vector<kv_change>>
config_state::changes_after(revision since) const {
  if (!complete_ || since < known_since_) {
    return std::nullopt;
  }
  std::vector<kv_change> out;
  for (const auto& it : log_) {
    if (it.modified > since) {
      out.push_back(it);
    }
  }
  return out;
}

std::vector<kv_change>
config_state::all() const {
  std::vector<kv_change> out;
  for (const auto& row : enum_names<resource_kind>::table) {
    for (const auto& [name, it] : view_->all_of(row.value)) {
      out.push_back({config_key(row.value, name), spec_json(it.spec), it.changed, it.changed});
    }
  }
  std::sort(out.begin(), out.end(),
            [](const kv_change& a, const kv_change& b) { return a.key < b.key; });
  return out;
}

} // namespace nutmegspur
