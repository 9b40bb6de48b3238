/// \file upstream_list.h
/// The upstreams as the key-value service lists them, and which of them may take new work.
///
/// Entries expire while the service is out, although their upstreams live; so what vanishes in or
/// right after an outage is kept until the upstreams have had time to register again.
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

/// What an engine does now.
enum class engine_stage {
  none,    ///< Not an engine.
  prefill, ///< Reads prompts only.
  decode,  ///< Reads prompts and makes tokens.
};

template <> struct enum_names<engine_stage> {
  static constexpr std::array<enum_name<engine_stage>, 3> table{{
      {engine_stage::none, "none"},
      {engine_stage::prefill, "prefill"},
      {engine_stage::decode, "decode"},
  }};
};

/// One upstream's own entry.
struct listed_upstream {
  upstream_id id;
  service_id service;
  std::string address; ///< IP number.
  std::uint16_t port = 0;
  zone_id zone;
  std::uint32_t slots = 1;
  engine_stage stage = engine_stage::none;
  bool leaving = false;
  bool reclaimable = false;
  std::int64_t started_ms = 0; ///< Unix time of its start; tells a restart under the same id.

  bool operator==(const listed_upstream&) const = default;

  /// Whether `other` is the same process, at the same place.
  [[nodiscard]] bool same_process(const listed_upstream& other) const {
    return id == other.id && started_ms == other.started_ms && address == other.address &&
           port == other.port;
  }
};

/// How a listed upstream changed.
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

/// The list, fed from reads and watches of the key-value service or from a peer's copy.
class upstream_list {
 public:
  /// How long an entry that vanished with an outage may take to come back. The upstreams register
  /// within about two seconds of the service's return.
  static constexpr milliseconds reregistration_grace{2'500};

  /// An entry was written. Older news than what is held (by `modified`) changes nothing.
  upstream_change put(const listed_upstream& entry, revision modified);
  /// An entry was removed at `modified`, or is absent from a whole read at that revision.
  upstream_change remove(const moment& now, const upstream_id& id, revision modified);
  /// A whole read at `at`: everything else that is older is gone. Returns the removed ones.
  std::vector<upstream_id> apply_full_read(const moment& now,
                                           const std::vector<upstream_id>& present, revision at);
  /// The same from a peer that follows the service and has waited out the grace itself.
  std::vector<upstream_id> apply_peer_read(const std::vector<upstream_id>& present, revision at);

  /// The service went out of reach, or came back.
  void set_store_reachable(const moment& now, bool reachable);
  /// Ends the grace of entries that vanished with an outage; returns the removed ones.
  std::vector<upstream_id> expire(const moment& now);

  /// The entry of `id` if it may take new work.
  [[nodiscard]] const listed_upstream* usable(const upstream_id& id) const;
  [[nodiscard]] const listed_upstream* find(const upstream_id& id) const;
  [[nodiscard]] std::vector<const listed_upstream*> all() const;
  /// All upstreams of `service` that may take new work.
  [[nodiscard]] std::vector<const listed_upstream*> usable_of(const service_id& service) const;

  [[nodiscard]] bool empty() const { return entries_.empty(); }

  /// Hash of all entries; equal lists have equal ones, in every process.
  [[nodiscard]] std::uint64_t content_hash() const;

 private:
  struct entry {
    listed_upstream upstream;
    revision modified;
    std::optional<revision> pending_removal; ///< Removed at this revision, and kept for a while.
  };

  [[nodiscard]] bool in_grace(const moment& now) const;
  [[nodiscard]] std::vector<upstream_id> missing_from(const std::vector<upstream_id>& present,
                                                      revision at) const;

  std::map<upstream_id, entry> entries_;
  /// Revisions of removals, so that late news of an older write does not bring an entry back.
  std::map<upstream_id, revision> removal_revisions_;
  bool reachable_ = true;
  time_point grace_until_{};
};

} // namespace nutmegspur
