/// \file kv_store.h
/// In-memory multi-version key-value store with the semantics of etcd, for the platform stand-in.
///
/// It keeps every version of a key until compaction, so that clients can read at a revision and
/// watch from one. It reads no clock; leases expire when the owner calls `expire`.
#pragma once

#include <QtCore/QByteArray>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegspur::standin {

/// One version of a key; an empty `value` is a deletion.
struct kv_version {
  QByteArray key;
  std::optional<QByteArray> value;
  std::int64_t created = 0;
  std::int64_t modified = 0;
  std::int64_t version = 0; ///< Number of writes since the key was created.
  std::int64_t lease = 0;
};

/// A transaction's condition on the newest version of a key.
struct kv_condition {
  enum class field { modified, created, version, value };

  QByteArray key;
  field target = field::modified;
  char relation = '='; ///< '=', '!', '<' or '>'.
  std::int64_t number = 0;
  QByteArray value;
};

/// A write; an empty `value` deletes [key, range_end), or one key if `range_end` is empty.
struct kv_operation {
  QByteArray key;
  QByteArray range_end;
  std::optional<QByteArray> value;
  std::int64_t lease = 0;
};

/// Why an operation was rejected.
enum class kv_error { none, compacted, future_revision, lease_not_found, too_many_operations };

/// The store. The empty store is at revision 1.
class kv_store {
 public:
  /// Maximum number of operations in a transaction.
  static constexpr std::size_t max_operations = 128;

  [[nodiscard]] std::int64_t revision() const { return revision_; }

  [[nodiscard]] std::int64_t compacted() const { return compacted_; }

  /// Key-value pairs of [from, to) at revision `at` (0: the newest), in key order. An empty `to`
  /// reads one key.
  [[nodiscard]] std::vector<kv_version> range(const QByteArray& from, const QByteArray& to,
                                              std::int64_t at = 0) const;
  [[nodiscard]] kv_error check_read(std::int64_t at) const;
  /// Whether all conditions hold now.
  [[nodiscard]] bool holds(const std::vector<kv_condition>& conditions) const;
  [[nodiscard]] kv_error check_write(const std::vector<kv_operation>& operations) const;
  /// Applies all writes at one new revision; without any change the revision stays.
  void write(const std::vector<kv_operation>& operations);
  /// Changes with a revision of at least `since`, in order.
  [[nodiscard]] std::vector<kv_version> changes(std::int64_t since) const;
  /// Discards the history up to `at`.
  void compact(std::int64_t at);

  /// Creates a lease and returns its id. If `id` is zero, the store chooses the id.
  std::int64_t grant(std::int64_t id, std::int64_t ttl_seconds, std::int64_t now_ms);
  /// Renews a lease; returns its time to live in seconds, or 0 if it does not exist.
  std::int64_t keep_alive(std::int64_t id, std::int64_t now_ms);
  /// Revokes a lease and deletes its keys. False if it does not exist.
  bool revoke(std::int64_t id);
  /// Revokes the leases that have expired.
  void expire(std::int64_t now_ms);

 private:
  struct lease {
    std::int64_t ttl_seconds = 0;
    std::int64_t expires_ms = 0;
    std::set<QByteArray> keys;
  };

  [[nodiscard]] const kv_version* newest(const QByteArray& key) const;
  void put(const kv_operation& it, std::int64_t at);
  bool remove(const QByteArray& key, std::int64_t at);
  void detach_from_lease(const QByteArray& key, std::int64_t id);
  void append(kv_version version);

  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
  std::int64_t last_lease_ = 7000;
  // Versions of each key in the order of revisions. Invariant: no list is empty.
  std::map<QByteArray, std::vector<kv_version>> keys_;
  // All changes since `compacted_`, in the order of revisions.
  std::vector<kv_version> log_;
  std::map<std::int64_t, lease> leases_;
};

/// Whether `key` lies in [from, to); an empty `to` means only `from`, a zero byte means no upper
/// bound.
bool in_range(const QByteArray& key, const QByteArray& from, const QByteArray& to);

} // namespace nutmegspur::standin
