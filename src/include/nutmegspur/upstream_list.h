/// \file upstream_list.h
/// The upstreams registered in the key-value service (the store), and which of them may take new
/// work.
///
/// During an outage of the store the entries of running upstreams expire. Entries that disappear
/// during an outage or shortly after it are therefore kept until the upstreams have had time to
/// register again.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/names.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// An engine's current stage of serving.
enum class engine_stage {
  none,    ///< Not an engine.
  prefill, ///< Prefills prompts only.
  decode,  ///< Prefills prompts and generates tokens.
};

template <> struct enum_names<engine_stage> {
  static constexpr std::array<enum_name<engine_stage>, 3> table{{
      {engine_stage::none, "none"},
      {engine_stage::prefill, "prefill"},
      {engine_stage::decode, "decode"},
  }};
};

/// An upstream's registration in the store.
struct listed_upstream {
  upstream_id id;
  service_id service;
  std::string address; ///< IP address.
  std::uint16_t port = 0;
  zone_id zone;
  std::string software_version; ///< What processes of two versions write does not fit together.
  std::uint32_t slots = 1;
  engine_stage stage = engine_stage::none;
  bool leaving = false;
  bool reclaimable = false;
  std::int64_t started_ms = 0; ///< Unix time of its start, by which a restart under the same
                               ///< id is detected.

  bool operator==(const listed_upstream&) const = default;

  /// Whether `other` is the same process at the same address.
  [[nodiscard]] bool same_process(const listed_upstream& other) const {
    return id == other.id && started_ms == other.started_ms && address == other.address &&
           port == other.port;
  }
};

/// How an upstream in the list changed.
enum class upstream_change { none, added, updated, restarted, leaving, removed };

template <> struct enum_names<upstream_change> {
  static constexpr std::array<enum_name<upstream_change>, 6> table{{
      {upstream_change::none, "none"},
      {upstream_change::added, "added"},
      {upstream_change::updated, "updated"},
      {upstream_change::restarted, "restarted"},
      {upstream_change::leaving, "leaving"},
      {upstream_change::removed, "removed"},
  }};
};

/// The list, updated from reads and watches of the store or from a peer's copy.
class upstream_list {
 public:
  /// Grace period after an outage for upstreams to register again. They do so within about two
  /// seconds of the store's return.
  static constexpr milliseconds reregistration_grace{2'500};

  /// Applies a written entry. Ignored if a write or removal at `modified` or later was already
  /// applied, or if the entry is older than what is held, as entries of a restored store can be: a
  /// process that is leaving does not serve again, nor does an earlier process of the same id.
  upstream_change put(const listed_upstream& entry, revision modified);
  /// Applies the removal of an entry at `modified`, or its absence from a full read at that
  /// revision.
  upstream_change remove(const moment& now, const upstream_id& id, revision modified);
  /// Applies a full read at revision `at`: older entries that are not in `present` are removed.
  /// Returns the ids that were removed at once.
  std::vector<upstream_id> apply_full_read(const moment& now,
                                           const std::vector<upstream_id>& present, revision at);
  /// The same for a peer that follows the store. Removes without grace period, because the peer has
  /// already applied it.
  std::vector<upstream_id> apply_peer_read(const std::vector<upstream_id>& present, revision at);

  /// The store was restored from an older copy; upstreams that the copy lacks register again.
  void on_store_restored(const moment& now) { grace_until_ = now.boot + reregistration_grace; }

  /// Records whether the store is reachable.
  void set_store_reachable(const moment& now, bool reachable);
  /// Once the grace period is over, removes the entries kept for it. Returns their ids.
  std::vector<upstream_id> expire(const moment& now);

  /// The entry of `id` if it may take new work, otherwise null.
  [[nodiscard]] const listed_upstream* usable(const upstream_id& id) const;
  [[nodiscard]] const listed_upstream* find(const upstream_id& id) const;
  [[nodiscard]] std::vector<const listed_upstream*> all() const;
  /// All upstreams of `service` that may take new work.
  [[nodiscard]] std::vector<const listed_upstream*> usable_of(const service_id& service) const;

  [[nodiscard]] bool empty() const { return entries_.empty(); }

  /// Hash of all entries, without their revisions; equal for equal lists in every process.
  [[nodiscard]] std::uint64_t content_hash() const;

 private:
  struct entry {
    listed_upstream upstream;
    revision modified;
    std::optional<revision> pending_removal; ///< Revision of the removal, while in grace.
  };

  [[nodiscard]] bool in_grace(const moment& now) const;
  [[nodiscard]] std::vector<upstream_id> missing_from(const std::vector<upstream_id>& present,
                                                      revision at) const;

  std::map<upstream_id, entry> entries_;
  /// Revisions of removals, so that a late update from an older write does not restore an entry.
  std::map<upstream_id, revision> removal_revisions_;
  bool reachable_ = true;
  time_point grace_until_{};
};

} // namespace nutmegspur
