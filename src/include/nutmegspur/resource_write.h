/// \file resource_write.h
/// Writes a change of the configuration to the store as one atomic transaction. The transaction is
/// conditional on the revisions against which the rules were checked.
///
/// Because every write is conditional, a transaction whose answer was lost can safely be sent
/// again: the copy that arrives second fails its condition, and a read then finds the wanted value
/// in place.
#pragma once

#include <nutmegspur/call_id_generator.h>
#include <nutmegspur/decision.h>
#include <nutmegspur/resource_rules.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// The resources to write and to delete.
struct resource_change {
  std::vector<resource> puts;
  std::vector<resource_reference> removes;
  /// Write only if the resource is at this revision (zero: it does not exist). Allowed only if the
  /// change is of one resource.
  std::optional<revision> if_revision;
};

/// Result of a change that was written.
struct resource_change_result {
  revision at;                ///< Revision of the transaction.
  std::vector<resource> puts; ///< The stored resources, with their revisions.
};

/// State machine of one write. It ends with a result exactly once: `start`, `on_reply` or `on_tick`
/// returns it, and returns nothing while the write is in progress.
class resource_write {
 public:
  resource_write(resource_change change, time_point deadline);

  /// Starts the write. `in` is the configuration in force here.
  std::optional<result<resource_change_result>> start(const config_snapshot& in,
                                                      call_id_generator& numbers, action_list& out);

  /// Whether `call` is an open call of this write.
  [[nodiscard]] bool owns(call_id call) const { return calls_.contains(call); }

  /// Handles a reply to a call for which `owns` is true.
  std::optional<result<resource_change_result>> on_reply(const platform_reply& reply,
                                                         const config_snapshot& in,
                                                         call_id_generator& numbers,
                                                         action_list& out);

  /// Repeats failed reads, and ends the write once its deadline has passed.
  std::optional<result<resource_change_result>>
  on_tick(const moment& now, call_id_generator& numbers, action_list& out);

 private:
  using completion = std::optional<result<resource_change_result>>;

  /// What is known about one key of the store.
  struct stored {
    revision modified;              ///< Zero if the key does not exist.
    std::optional<resource> parsed; ///< Also empty if the value cannot be parsed.
  };

  enum class phase { reading, writing, resolving };

  completion read_keys(std::vector<std::string> keys, phase as, call_id_generator& numbers,
                       action_list& out);
  completion read_conditions(call_id_generator& numbers, action_list& out);
  completion write(const config_snapshot& in, call_id_generator& numbers, action_list& out);
  completion on_read(const platform_reply& reply, const config_snapshot& in,
                     call_id_generator& numbers, action_list& out);
  completion on_written(const platform_reply& reply, const config_snapshot& in,
                        call_id_generator& numbers, action_list& out);
  void record_read(const std::string& key, const kv_range_reply& page);
  completion after_read(const config_snapshot& in, call_id_generator& numbers, action_list& out);
  result<void> check(const config_snapshot& in) const;
  result<void> check_snapshot_is_current(const config_snapshot& in) const;
  [[nodiscard]] error condition_failed(revision now) const;
  [[nodiscard]] kv_txn transaction(const config_snapshot& in) const;
  void add_team_rewrites(kv_txn& txn, const config_snapshot& in) const;
  resource_change_result make_result(revision at) const;
  [[nodiscard]] const resource* find(const resource_reference& what,
                                     const config_snapshot& in) const;
  [[nodiscard]] stored current(const std::string& key, const config_snapshot& in) const;
  [[nodiscard]] std::vector<std::string> own_keys() const;
  [[nodiscard]] bool is_in_place() const;
  [[nodiscard]] error with_outcome(error ec) const;

  resource_change change_;
  time_point deadline_;
  phase phase_ = phase::reading;
  std::map<call_id, std::string> calls_;   ///< Open calls; with the key if it is a read.
  std::map<std::string, stored> stored_;   ///< Values read from the store, by key.
  std::vector<kv_compare> conditions_;     ///< Conditions of the last transaction sent.
  std::vector<std::string> pending_reads_; ///< Keys to read again at the next tick.
  revision store_revision_;                ///< Highest store revision in a reply to a read.
  std::uint32_t attempts_ = 0;
  /// The answer to a transaction was lost: it may have taken effect, or may still do so.
  bool may_have_run_ = false;
};

} // namespace nutmegspur
