/// \file store_replica.h
/// An instance's replica of the followed keys of the store: their content as stored, at a position
/// (store_era.h). Every change that is learned, by a watch, by a read or from a peer, is applied
/// here, and updates for peers are cut from here alone.
///
/// What other parts make of an entry (upstream_list.h: grace periods, entries that are refused) is
/// derived from the replica and never flows back into it: otherwise an update could leave out a
/// change that its position claims to contain, and no later update would repair that.
#pragma once

#include <nutmegspur/ids.h>
#include <nutmegspur/platform.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// A value as stored.
struct stored_value {
  std::string value;
  revision modified; ///< Of the last change that is not just a heartbeat.

  bool operator==(const stored_value&) const = default;
};

using stored_values = std::map<std::string, stored_value>;

/// What changed after `base`, up to `store`; everything if `base` is zero.
struct replica_update {
  revision base;
  revision store;
  stored_values written;
  std::map<std::string, revision> removed; ///< Empty if `base` is zero.

  [[nodiscard]] bool whole() const { return base == revision{}; }
};

class store_replica {
 public:
  /// Number of removals that are remembered for updates of peers.
  static constexpr std::size_t max_removals = 2'000;

  /// Applies a watch's changes, which followed the store from `after` up to `through`. The position
  /// advances unless changes before `after` may be missing.
  void apply_changes(const std::vector<kv_change>& changes, revision after, revision through);
  /// Applies a page of a read that the store answered at `read_at`.
  void apply_page(const std::vector<kv_pair>& pairs, revision read_at);
  /// All keys that start with `prefix` were read, at `read_at` or later; others than `present` do
  /// not exist.
  void apply_absence(std::string_view prefix, const std::set<std::string>& present,
                     revision read_at);
  /// All followed keys were read, at `read_at` or later.
  void finish_read(revision read_at);
  /// Applies a peer's update. Returns false, and changes nothing, if it is older than the replica
  /// or begins after its position.
  bool apply_update(const replica_update& update);
  /// A peer at position `at` has the same content.
  void on_same_content(revision at);

  /// The update for a peer whose replica is at `base`: the changes, or everything if not all
  /// removals since then are remembered. Empty for a peer that is ahead.
  [[nodiscard]] replica_update update_since(revision base) const;

  /// For every followed key, the replica holds the content as of this position or later.
  [[nodiscard]] revision position() const { return position_; }

  [[nodiscard]] const stored_values& values() const { return values_; }

  /// The value of `key`, null if there is none.
  [[nodiscard]] const stored_value* find(const std::string& key) const;

  /// Revision of the last change of `key`; of a removal, an upper bound. Zero if none is known.
  [[nodiscard]] revision revision_of(const std::string& key) const;

  /// Hash of the content; two replicas at the same position that are both `settled` have the same
  /// one. Kept up to date at each change, so that its cost does not grow with the content.
  [[nodiscard]] std::uint64_t content_hash() const { return content_hash_; }

  /// Whether no key is held at a later revision than the position.
  [[nodiscard]] bool settled() const { return newest_ <= position_; }

  /// The content hash for peers; zero while the content is not that of one position, as during the
  /// first read.
  [[nodiscard]] std::uint64_t stated_hash() const {
    return settled() && position_ != revision{} ? content_hash_ : 0;
  }

  /// Whether a peer's content at position `at` contradicts this one: one of both is wrong. `hash`
  /// is the peer's stated_hash().
  [[nodiscard]] bool contradicts(revision at, std::uint64_t hash) const {
    return hash != 0 && at == position_ && stated_hash() != 0 && hash != content_hash_;
  }

 private:
  /// `key` has `value`, last changed at `modified`, as of `known_at`.
  void observe(const std::string& key, const std::optional<std::string>& value, revision modified,
               revision known_at);
  void advance(revision to);
  void limit_removals();

  stored_values values_;
  /// Removed keys, with an upper bound of their removal's revision. Contains all keys that were
  /// removed after `history_from_`.
  std::map<std::string, revision> removed_;
  revision position_;
  revision history_from_;
  revision newest_; ///< Highest revision of a key held or removed.
  std::uint64_t content_hash_ = 0;
};

/// Finds out which keys of a range have changed since the last call. For parts that derive
/// something from the replica.
class key_changes {
 public:
  explicit key_changes(std::string prefix) : prefix_(std::move(prefix)) {}

  /// The keys that were written, rewritten or removed since the last call.
  [[nodiscard]] std::vector<std::string> take(const store_replica& replica);

 private:
  std::string prefix_;
  std::map<std::string, revision> seen_;
  std::uint64_t seen_content_ = 0; ///< Content hash of the replica then.
};

} // namespace nutmegspur
