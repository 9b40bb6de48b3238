/// \file kv_store.h
/// The key-value store of the platform stand-in: revisions, history, transactions and leases.
///
/// It keeps every version of every key until it is compacted, so that a client can read at a
/// revision and watch from one. It reads no clock; leases expire when its owner says so.
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
  std::int64_t version = 0; ///< Counts writes since the creation.
  std::int64_t lease = 0;
};

/// A condition of a transaction on a key's newest version.
struct kv_condition {
  enum class field { modified, created, version, value };

  QByteArray key;
  field target = field::modified;
  char relation = '='; ///< '=', '!', '<' or '>'.
  std::int64_t number = 0;
  QByteArray value;
};

/// A write; an empty `value` deletes [key, range_end) or the one key.
struct kv_operation {
  QByteArray key;
  QByteArray range_end;
  std::optional<QByteArray> value;
  std::int64_t lease = 0;
};

/// Why an operation was refused.
enum class kv_error { none, compacted, future_revision, lease_not_found, too_many_operations };

/// The store. Revision 1 is the empty store.
class kv_store {
 public:
  /// Most operations in a transaction.
  static constexpr std::size_t max_operations = 128;

  [[nodiscard]] std::int64_t revision() const { return revision_; }

  [[nodiscard]] std::int64_t compacted() const { return compacted_; }

  /// Live pairs of [from, to) in key order as of `at` (0: the newest). An empty `to` reads one key.
  [[nodiscard]] std::vector<kv_version> range(const QByteArray& from, const QByteArray& to,
                                              std::int64_t at = 0) const;
  [[nodiscard]] kv_error check_read(std::int64_t at) const;
  /// Whether all conditions hold now.
  [[nodiscard]] bool holds(const std::vector<kv_condition>& conditions) const;
  [[nodiscard]] kv_error check_write(const std::vector<kv_operation>& operations) const;
  /// Carries out all writes at one new revision, if there is any change.
  void write(const std::vector<kv_operation>& operations);
  /// Changes with a revision of at least `since`, in order.
  [[nodiscard]] std::vector<kv_version> changes(std::int64_t since) const;
  /// Forgets the history up to `at`.
  void compact(std::int64_t at);

  /// Registers a lease with its time to live; zero picks an id.
  std::int64_t grant(std::int64_t id, std::int64_t ttl_seconds, std::int64_t now_ms);
  /// Renews; returns the time to live in seconds, or 0 if the lease is gone.
  std::int64_t keep_alive(std::int64_t id, std::int64_t now_ms);
  /// Ends a lease and deletes its keys. False if there is none.
  bool revoke(std::int64_t id);
  /// Ends the leases whose time has run out.
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
  // Versions of each key in the order of revisions. Invariant: none is empty.
  std::map<QByteArray, std::vector<kv_version>> keys_;
  // All changes since `compacted_`, in the order of revisions.
  std::vector<kv_version> log_;
  std::map<std::int64_t, lease> leases_;
};

/// Whether `key` lies in [from, to); an empty `to` means the one key, a zero byte means no end.
bool in_range(const QByteArray& key, const QByteArray& from, const QByteArray& to);

} // namespace nutmegspur::standin
