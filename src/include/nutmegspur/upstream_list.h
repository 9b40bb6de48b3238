/// \file upstream_list.h
/// The upstreams registered in the key-value service (the store), and which of them may take new
/// work. Derived from the replica of the store (store_replica.h), which decides which of two states
/// of an entry is the newer one.
///
/// During an outage of the store the entries of running upstreams expire. Entries that disappear
/// during an outage or shortly after it are therefore kept until the upstreams have had time to
/// register again. A removal that an instance saw while the store served it is no such case: it is
/// believed at once, whoever announces it.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/names.h>

#include <algorithm>
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

/// The list. Entries and removals must come in the order of the store's changes.
class upstream_list {
 public:
  /// Grace period after an outage for upstreams to register again. They do so within about two
  /// seconds of the store's return.
  static constexpr milliseconds reregistration_grace{2'500};

  /// The store has the entry, written at `modified`. An entry that is older than what is held, as
  /// entries of a restored store can be, changes nothing: a process that is leaving does not serve
  /// again, nor does an earlier process of the same id.
  upstream_change put(const listed_upstream& entry, revision modified);
  /// The store has no entry of `id`; it was removed at `modified` or before. In a grace period it
  /// stays in the list until the period ends, unless the removal is final.
  upstream_change remove(const moment& now, const upstream_id& id, revision modified);

  /// Removals up to `through` are final: an instance that reached the store, and was in no grace
  /// period, knew of them. They need no grace period here either, even if this instance does not
  /// reach the store.
  void confirm_removals(revision through) { final_through_ = std::max(final_through_, through); }

  /// Removals up to this revision are final.
  [[nodiscard]] revision final_through() const { return final_through_; }

  /// An instance that the store served saw that the entry of `id` was removed at `at`: the entry,
  /// if it was not written later, is not usable from now on. Once this instance's own copy of the
  /// store has reached `at`, it decides. Returns whether the entry was usable before.
  bool on_announced_removal(const upstream_id& id, revision at);

  /// This instance's own copy of the store has reached `at`.
  void on_copy_position(revision at) { copy_position_ = std::max(copy_position_, at); }

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

  /// Whether removals may be followed by registrations, because the store is out of reach or was
  /// until a short time ago.
  [[nodiscard]] bool in_grace(const moment& now) const;

 private:
  struct entry {
    listed_upstream upstream;
    revision modified;                       ///< When the entry was last written.
    std::optional<revision> pending_removal; ///< Revision of the removal, while in grace.
  };

  /// Whether an announced removal concerns the entry as it is held.
  [[nodiscard]] bool announced_gone(const entry& it) const;
  [[nodiscard]] bool usable(const entry& it) const;

  std::map<upstream_id, entry> entries_;
  /// Announced removals that the own copy of the store may not have reached.
  std::map<upstream_id, revision> announced_removals_;
  revision copy_position_; ///< Of the own copy of the store.
  /// Revisions of removals, so that an entry of a store restored from an older copy does not
  /// return.
  std::map<upstream_id, revision> removal_revisions_;
  revision final_through_;
  bool reachable_ = true;
  time_point grace_until_{};
};

} // namespace nutmegspur
