/// \file platform.h
/// Typed operations of the platform's services: key-value service, instance list, upstream
/// interface and usage interface. All code above the platform adapter uses only these types.
///
/// The decision core issues a `platform_request` as an action and receives exactly one
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

/// The parts of the decision core. Each owns its calls and timers.
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

/// Identifies a call, and the duty that made it.
struct call_id {
  duty owner = duty::config;
  std::uint64_t number = 0;

  auto operator<=>(const call_id&) const = default;
};

// ---------------------------------------------------------------------------------------------
// Key-value service

/// A stored key-value pair. `created` and `modified` are the revisions of its first and last write.
struct kv_pair {
  std::string key;
  std::string value;
  revision created;
  revision modified;

  bool operator==(const kv_pair&) const = default;
};

/// A lease of the key-value service. When it expires, the keys attached to it are deleted.
using lease_id = number_id<struct lease_tag>;

/// Reads the keys of [from, to), or the one key `from` if `to` is empty.
struct kv_range {
  std::string from;
  std::string to;
  std::uint32_t limit = 1000;
  /// Revision to read at; zero means the latest.
  revision at{};
};

/// The exclusive end of the range of keys that start with `prefix`.
std::string prefix_end(std::string_view prefix);

/// A condition of a transaction: the key's `modified` revision equals this one. Zero requires that
/// the key does not exist.
struct kv_compare {
  std::string key;
  revision modified;
};

/// A write of a transaction. Without a `value`, it deletes the key.
struct kv_write {
  std::string key;
  std::optional<std::string> value;
  lease_id lease{}; ///< Zero attaches no lease.
};

/// A transaction: all writes take effect if all conditions hold; otherwise none does.
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

/// Starts a watch of the keys in [from, to), from revision `since` on. The reply confirms that the
/// watch is established; `watch_batch` events follow, and `watch_ended` is the last. The watch is
/// identified by the id of this call.
struct watch_start {
  std::string from;
  std::string to;
  revision since;
};

/// Stops the watch that call `watch` started.
struct watch_stop {
  call_id watch;
};

// ---------------------------------------------------------------------------------------------
// Instance list, upstream interface, usage interface

struct list_instances {};

/// The kind of an entry of the instance list.
enum class instance_kind { entry, engine, service };

template <> struct enum_names<instance_kind> {
  static constexpr std::array<enum_name<instance_kind>, 3> table{{
      {instance_kind::entry, "entry"},
      {instance_kind::engine, "engine"},
      {instance_kind::service, "service"},
  }};
};

/// An entry of the instance list: an instance or upstream that is live or leaving.
struct listed_instance {
  std::string name;
  instance_kind kind = instance_kind::entry;
  zone_id zone;
  std::string region;
  std::string address; ///< IP address.
  std::uint16_t port = 0;
  std::string service; ///< Name of the service, if `kind` is `service`.
  bool leaving = false;

  bool operator==(const listed_instance&) const = default;
};

/// Asks the upstream interface to set a zone's number of upstreams of one kind to `wanted`. A
/// repeated request with the same `order` number is the same order.
struct upstream_order {
  zone_id zone;
  std::string kind; ///< For example "on_demand" or "reclaimable".
  std::uint32_t wanted = 0;
  fence authority;
  std::uint64_t order = 0;
  /// Latest time to send. The adapter checks it on the boot clock right before the first byte.
  time_point not_after = time_point::max();
};

/// Reports one sealed usage window. Repeated reports carry the same id and the same counts.
struct usage_report {
  std::string id; ///< "<zone>/<window start>/<shard>"
  usage_record record;
  fence authority{}; ///< The sender's token; `record` holds the sealing instance's token.
  /// Latest time to send. The adapter checks it on the boot clock right before the first byte.
  time_point not_after = time_point::max();
};

/// An order to an engine. It is sent at most once, and never after `not_after`.
struct engine_order {
  upstream_id upstream;
  fence authority;
  std::uint64_t sequence = 0;
  engine_state wanted;
  /// Latest time to send. The sending thread checks it on the boot clock right before it writes the
  /// first byte.
  time_point not_after;
};

// ---------------------------------------------------------------------------------------------
// Requests and replies

using platform_request =
    std::variant<kv_range, kv_txn, lease_grant, lease_keep_alive, lease_revoke, watch_start,
                 watch_stop, list_instances, upstream_order, usage_report>;

struct kv_range_reply {
  std::vector<kv_pair> pairs;
  bool more = false; ///< More keys exist than `limit`.
  revision store;    ///< The store's revision at the time of the reply.
};

struct kv_txn_reply {
  bool applied = false;
  revision store;
};

struct lease_reply {
  lease_id lease;
  /// Time to live granted; zero if the lease no longer exists.
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

/// The result of a call. An error's `ran` tells whether the platform may have executed it:
/// `not_run`, or `unknown` if the reply was lost.
struct platform_reply {
  call_id call;
  result<platform_answer> answer;
  /// When the call was passed to the adapter. A lease's time to live is counted from here.
  time_point asked_at;
};

/// A change reported by a watch. Without a `value`, the key was deleted.
struct kv_change {
  std::string key;
  std::optional<std::string> value;
  revision created;
  revision modified;

  bool operator==(const kv_change&) const = default;
};

/// Changes in the order of their revisions. Without changes, it reports that the watch has reached
/// revision `store`.
struct watch_batch {
  call_id watch;
  std::vector<kv_change> changes;
  revision store;
};

/// The watch ended: its connection broke, it timed out, or revision `since` was compacted.
struct watch_ended {
  call_id watch;
  bool compacted = false;
  error why;
};

} // namespace nutmegspur
