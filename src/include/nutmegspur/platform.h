/// \file platform.h
/// Typed operations of the platform: key-value service, instance list, upstream interface, usage
/// interface. Everything above the adapter sees only these types.
///
/// The decision core puts a `platform_request` into its actions and gets exactly one
/// `platform_reply` with the same call id, unless the process ends first.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/records.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmegspur {

/// The parts of the decision core, each owner of its own calls and timers.
enum class duty : std::uint8_t {
  config,
  membership,
  zone_lease,
  orders,
  usage,
  claims,
  requests,
  fleet,
  resources,
  shutdown,
};

template <> struct enum_names<duty> {
  static constexpr std::array<enum_name<duty>, 10> table{{
      {duty::config, "config"},
      {duty::membership, "membership"},
      {duty::zone_lease, "zone_lease"},
      {duty::orders, "orders"},
      {duty::usage, "usage"},
      {duty::claims, "claims"},
      {duty::requests, "requests"},
      {duty::fleet, "fleet"},
      {duty::resources, "resources"},
      {duty::shutdown, "shutdown"},
  }};
};

/// Ties a reply to the duty that asked.
struct call_id {
  duty owner = duty::config;
  std::uint64_t number = 0;

  auto operator<=>(const call_id&) const = default;
};

// ---------------------------------------------------------------------------------------------
// Key-value service

/// A stored pair. `modified` is the revision of its last write, `created` that of its first.
struct kv_pair {
  std::string key;
  std::string value;
  revision created;
  revision modified;

  bool operator==(const kv_pair&) const = default;
};

/// A lease of the key-value service; keys attached to it vanish when it lapses.
using lease_id = number_id<struct lease_tag>;

/// Reads the keys of [from, to), or the one key `from` if `to` is empty.
struct kv_range {
  std::string from;
  std::string to;
  std::uint32_t limit = 1000;
  /// Read as of this revision; zero means the newest.
  revision at{};
};

/// The end of the range of all keys that start with `prefix`.
std::string prefix_end(std::string_view prefix);

/// A condition of a transaction: the key's `modified` equals this (zero: the key is absent).
struct kv_compare {
  std::string key;
  revision modified;
};

/// A write of a transaction; an empty `value` optional deletes the key.
struct kv_write {
  std::string key;
  std::optional<std::string> value;
  lease_id lease{}; ///< Zero attaches no lease.
};

/// All writes take effect if all conditions hold, else none does.
struct kv_txn {
  std::vector<kv_compare> conditions;
  std::vector<kv_write> writes;
};

struct lease_grant {
  seconds ttl{10};
};

struct lease_keep_alive {
  lease_id lease;
};

struct lease_revoke {
  lease_id lease;
};

/// Starts a watch of [from, to) from `since` on. Its reply says that it stands; its events come
/// as `watch_batch`, and it ends with `watch_ended`. The call's id names the watch.
struct watch_start {
  std::string from;
  std::string to;
  revision since;
};

/// Ends the watch that was started by call `watch`.
struct watch_stop {
  call_id watch;
};

// ---------------------------------------------------------------------------------------------
// Instance list, upstream interface, usage interface

struct list_instances {};

/// What an entry of the instance list is.
enum class instance_kind { entry, engine, service };

template <> struct enum_names<instance_kind> {
  static constexpr std::array<enum_name<instance_kind>, 3> table{{
      {instance_kind::entry, "entry"},
      {instance_kind::engine, "engine"},
      {instance_kind::service, "service"},
  }};
};

/// One live or leaving instance or upstream.
struct listed_instance {
  std::string name;
  instance_kind kind = instance_kind::entry;
  zone_id zone;
  std::string region;
  std::string address; ///< IP number.
  std::uint16_t port = 0;
  std::string service; ///< Service name, for services.
  bool leaving = false;

  bool operator==(const listed_instance&) const = default;
};

/// Asks the upstream interface to bring a zone's upstreams of one kind to `wanted`. A repeat with
/// the same `order` number is the same order.
struct upstream_order {
  zone_id zone;
  std::string kind; ///< For example "on_demand" or "reclaimable".
  std::uint32_t wanted = 0;
  fence authority;
  std::uint64_t order = 0;
  /// Not sent after this; checked by the adapter on the boot clock right before the first byte.
  time_point not_after = time_point::max();
};

/// Reports one sealed window. Repeats carry the same id and the same figures.
struct usage_report {
  std::string id; ///< "<zone>/<window start>/<shard>"
  usage_record record;
  fence authority{}; ///< Of the sender; the record's own is that of who sealed it.
  /// Not sent after this; checked by the adapter on the boot clock right before the first byte.
  time_point not_after = time_point::max();
};

/// An order to an engine. It goes out at most once and not after `not_after`.
struct engine_order {
  upstream_id upstream;
  fence authority;
  std::uint64_t sequence = 0;
  engine_state wanted;
  /// Checked on the boot clock in the sending thread right before the first byte is written.
  time_point not_after;
};

// ---------------------------------------------------------------------------------------------
// Requests and replies

using platform_request =
    std::variant<kv_range, kv_txn, lease_grant, lease_keep_alive, lease_revoke, watch_start,
                 watch_stop, list_instances, upstream_order, usage_report>;

struct kv_range_reply {
  std::vector<kv_pair> pairs;
  bool more = false; ///< The limit cut the answer.
  revision store;    ///< The store's revision when it answered.
};

struct kv_txn_reply {
  bool applied = false;
  revision store;
};

struct lease_reply {
  lease_id lease;
  /// Time to live granted; zero says that the lease is gone.
  seconds ttl{0};
};

struct watch_started {
  revision store;
};

struct instances_reply {
  std::vector<listed_instance> instances;
};

struct accepted_reply {};

using platform_answer = std::variant<kv_range_reply, kv_txn_reply, lease_reply, watch_started,
                                     instances_reply, accepted_reply>;

/// The end of a call. An error's `ran` says whether the platform may have carried it out:
/// `not_run`, or `unknown` where the answer was lost.
struct platform_reply {
  call_id call;
  result<platform_answer> answer;
  /// When the call was handed to the adapter; leases count from here.
  time_point asked_at;
};

/// One change seen by a watch; an empty `value` says that the key was deleted.
struct kv_change {
  std::string key;
  std::optional<std::string> value;
  revision created;
  revision modified;

  bool operator==(const kv_change&) const = default;
};

/// Changes in the order of their revisions. With no change it is a sign of progress up to `store`.
struct watch_batch {
  call_id watch;
  std::vector<kv_change> changes;
  revision store;
};

/// The watch ended: cut, silent past its deadline, or its `since` was compacted away.
struct watch_ended {
  call_id watch;
  bool compacted = false;
  error why;
};

} // namespace nutmegspur
