/// \file replica_model.h
/// A model of the store and of instances that follow it, by watches, reads and updates from peers,
/// for tests that go through many histories. The clock is the caller's.
#pragma once

#include "stored_upstream.h"

#include <nutmegspur/store_era.h>
#include <nutmegspur/upstream_derivation.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace nutmegspur::testing {

/// The store: its content now, and all changes of its current era.
struct model_store {
  std::int64_t era = 0;
  std::int64_t number = 1;
  std::map<std::string, stored_value> items;
  std::vector<kv_change> history;

  [[nodiscard]] revision position() const { return store_position(era, number); }

  void put(const std::string& key, const std::string& value) {
    const revision at = store_position(era, ++number);
    items[key] = {value, at};
    history.push_back({key, value, {}, at});
  }

  void remove(const std::string& key) {
    if (items.erase(key) > 0) {
      history.push_back({key, std::nullopt, {}, store_position(era, ++number)});
    }
  }

  /// Comes back from `copy`: what was written since is lost, and revisions are given out again.
  void restore(const model_store& copy) {
    const std::int64_t next_era = era + 1;
    *this = copy;
    era = next_era;
    // Old changes keep their numbers.
    for (auto& [key, it] : items) {
      it.modified = store_position(era, number_of(it.modified));
    }
    for (auto& it : history) {
      it.modified = store_position(era, number_of(it.modified));
    }
  }
};

/// A reply of the store, on its way to an instance.
struct store_reply {
  bool is_read = false;
  revision after; ///< Of a watch.
  model_store store;
};

/// A peer's update, on its way to an instance.
struct peer_message {
  replica_update update;
  revision final_through;
};

/// An instance whose updates are cut from the replica.
class replica_instance {
 public:
  using message = peer_message;

  [[nodiscard]] revision position() const { return replica.position(); }

  void lose_store(const moment& now) { list.set_store_reachable(now, false); }

  [[nodiscard]] store_reply ask_store(const model_store& store, bool read) const {
    const bool history_gone = era_of(position()) != store.era || position() == revision{};
    return {read || history_gone, position(), store};
  }

  void receive(const moment& now, const store_reply& reply) {
    const model_store& from = reply.store;
    if (from.era < era_) {
      return;
    }
    if (from.era > era_) {
      era_ = from.era;
      list.on_store_restored(now);
    }
    list.set_store_reachable(now, true);
    if (reply.is_read) {
      std::vector<kv_pair> pairs;
      std::set<std::string> present;
      for (const auto& [key, it] : from.items) {
        pairs.push_back({key, it.value, {}, it.modified});
        present.insert(key);
      }
      replica.apply_page(pairs, from.position());
      replica.apply_absence(upstream_prefix, present, from.position());
      replica.finish_read(from.position());
    } else if (era_of(reply.after) == from.era) {
      std::vector<kv_change> changes;
      for (const auto& it : from.history) {
        if (it.modified > reply.after) {
          changes.push_back(it);
        }
      }
      replica.apply_changes(changes, reply.after, from.position());
    }
    derivation_.step(now, replica, list);
    if (!list.in_grace(now)) {
      list.confirm_removals(position());
    }
  }

  [[nodiscard]] peer_message update_for(const moment& /*now*/, revision base) const {
    return {replica.update_since(base), list.final_through()};
  }

  void receive(const moment& now, const peer_message& from) {
    if (!replica.apply_update(from.update)) {
      return;
    }
    if (era_of(position()) > era_) {
      era_ = era_of(position());
      list.on_store_restored(now);
    }
    list.confirm_removals(from.final_through);
    derivation_.step(now, replica, list);
  }

  void expire(const moment& now) { list.expire(now); }

  store_replica replica;
  upstream_list list;

 private:
  std::int64_t era_ = 0;
  upstream_derivation derivation_{upstream_prefix, parse_stored_upstream};
};

/// An instance that follows the store by a copy of what its list makes of each change, and passes
/// on that copy with its position. A peer misses an entry that went and came back unchanged.
class list_copy_instance {
 public:
  struct message {
    revision store;
    stored_values changed;
    std::set<std::string> present;
  };

  [[nodiscard]] revision position() const { return position_; }

  void lose_store(const moment& now) { list.set_store_reachable(now, false); }

  [[nodiscard]] store_reply ask_store(const model_store& store, bool read) const {
    return {read || position_ == revision{}, position_, store};
  }

  void receive(const moment& now, const store_reply& reply) {
    list.set_store_reachable(now, true);
    if (reply.is_read) {
      for (const auto& [key, it] : reply.store.items) {
        apply(now, {key, it.value, {}, it.modified});
      }
      std::vector<std::string> gone;
      for (const auto& [key, it] : copy_) {
        if (!reply.store.items.contains(key) && it.modified < reply.store.position()) {
          gone.push_back(key);
        }
      }
      for (const auto& key : gone) {
        apply(now, {key, std::nullopt, {}, reply.store.position()});
      }
    } else {
      for (const auto& it : reply.store.history) {
        if (it.modified > reply.after) {
          apply(now, it);
        }
      }
    }
    position_ = std::max(position_, reply.store.position());
  }

  [[nodiscard]] message update_for(const moment& /*now*/, revision base) const {
    message update{position_, {}, {}};
    for (const auto& [key, it] : copy_) {
      update.present.insert(key);
      if (it.modified > base) {
        update.changed.emplace(key, it);
      }
    }
    return update;
  }

  void receive(const moment& now, const message& from) {
    if (from.store < position_) {
      return;
    }
    for (const auto& [key, it] : from.changed) {
      apply(now, {key, it.value, {}, it.modified});
    }
    for (const auto* it : list.all()) {
      const std::string key = upstream_prefix + it->id.value;
      if (!from.present.contains(key) && held_[key] < from.store) {
        list.confirm_removals(from.store);
        list.remove(now, it->id, from.store);
        removed_[key] = from.store;
        copy_.erase(key);
      }
    }
    position_ = std::max(position_, from.store);
  }

  void expire(const moment& now) {
    for (const auto& id : list.expire(now)) {
      copy_.erase(upstream_prefix + id.value);
    }
  }

  upstream_list list;

 private:
  void apply(const moment& now, const kv_change& change) {
    const upstream_id id{change.key.substr(upstream_prefix.size())};
    if (change.modified <= held_[change.key] || change.modified <= removed_[change.key]) {
      return;
    }
    if (change.value) {
      held_[change.key] = change.modified;
      const auto entry = parse_stored_upstream(change.key, *change.value);
      if (list.put(*entry, change.modified) != upstream_change::none) {
        copy_[change.key] = {*change.value, change.modified};
      }
    } else if (list.remove(now, id, change.modified) != upstream_change::none) {
      removed_[change.key] = change.modified;
      copy_.erase(change.key);
    }
  }

  revision position_;
  stored_values copy_;
  std::map<std::string, revision> held_;
  std::map<std::string, revision> removed_;
};

/// Whether the list holds what the store does, except entries that it may keep as leaving.
inline bool
lists_content_of(const upstream_list& list, const model_store& store) {
  if (list.all().size() != store.items.size()) {
    return false;
  }
  return std::all_of(store.items.begin(), store.items.end(), [&](const auto& row) {
    const auto entry = parse_stored_upstream(row.first, row.second.value);
    const auto* held = list.find(entry->id);
    return held != nullptr && *held == *entry;
  });
}

} // namespace nutmegspur::testing
