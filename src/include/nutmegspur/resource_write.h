/// \file resource_write.h
/// One change of the configuration on its way into the store: an all-or-nothing transaction, bound
/// to the revisions at which its rules were checked.
///
/// Every write is conditional, so a transaction whose answer was lost can be sent again without
/// harm: whichever copy comes second finds the condition broken and the wanted value in place.
#pragma once

#include <nutmegspur/call_numbers.h>
#include <nutmegspur/decision.h>
#include <nutmegspur/resource_rules.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// What is to be changed.
struct resource_change {
  std::vector<resource> puts;
  std::vector<resource_reference> removes;
  /// Of the one resource changed: write only if it is at this revision (zero: absent).
  std::optional<revision> if_revision;
};

/// What became of a change.
struct resource_change_result {
  revision at;                ///< Of the transaction.
  std::vector<resource> puts; ///< As they stand, with their revisions.
};

/// One write's state machine. It ends with a result, exactly once.
class resource_write {
 public:
  resource_write(resource_change change, time_point deadline);

  /// Begins. `in` is the configuration in force here.
  std::optional<result<resource_change_result>> start(const config_snapshot& in,
                                                      call_id_generator& numbers, action_list& out);

  /// Whether the reply answers one of its calls.
  [[nodiscard]] bool owns(call_id call) const { return calls_.contains(call); }

  /// Takes a reply that it owns.
  std::optional<result<resource_change_result>> on_reply(const platform_reply& reply,
                                                         const config_snapshot& in,
                                                         call_id_generator& numbers,
                                                         action_list& out);

  /// Reads again what could not be read, and ends the write once its deadline has passed.
  std::optional<result<resource_change_result>>
  on_tick(const moment& now, call_id_generator& numbers, action_list& out);

 private:
  using ending = std::optional<result<resource_change_result>>;

  /// What is known of one key of the store.
  struct stored {
    revision modified;              ///< Zero: absent.
    std::optional<resource> parsed; ///< Empty also where the value cannot be read.
  };

  enum class phase { looking, writing, checking };

  ending look(std::vector<std::string> keys, phase as, call_id_generator& numbers,
              action_list& out);
  ending look_at_conditions(call_id_generator& numbers, action_list& out);
  ending write(const config_snapshot& in, call_id_generator& numbers, action_list& out);
  ending on_read(const platform_reply& reply, const config_snapshot& in, call_id_generator& numbers,
                 action_list& out);
  ending on_written(const platform_reply& reply, const config_snapshot& in,
                    call_id_generator& numbers, action_list& out);
  void take_page(const std::string& key, const kv_range_reply& page);
  ending after_check(const config_snapshot& in, call_id_generator& numbers, action_list& out);
  result<void> check(const config_snapshot& in) const;
  result<void> check_all_held(const config_snapshot& in) const;
  [[nodiscard]] error condition_failed(revision now) const;
  [[nodiscard]] kv_txn transaction(const config_snapshot& in) const;
  void add_team_touches(kv_txn& txn, const config_snapshot& in) const;
  resource_change_result finished(revision at) const;
  [[nodiscard]] const resource* find(const resource_reference& what,
                                     const config_snapshot& in) const;
  [[nodiscard]] stored current(const std::string& key, const config_snapshot& in) const;
  [[nodiscard]] std::vector<std::string> own_keys() const;
  [[nodiscard]] bool all_as_wanted() const;
  [[nodiscard]] error ended_with(error ec) const;

  resource_change change_;
  time_point deadline_;
  phase phase_ = phase::looking;
  std::map<call_id, std::string> calls_; ///< Open calls; for reads with the key.
  std::map<std::string, stored> seen_;   ///< Read from the store.
  std::vector<kv_compare> conditions_;   ///< Of the last transaction sent.
  std::vector<std::string> unread_;      ///< To be read again at the next tick.
  revision store_;                       ///< Greatest that a reply told of.
  std::uint32_t tries_ = 0;
  /// A transaction's answer was lost: it may have taken effect, or may still do so.
  bool maybe_ran_ = false;
};

} // namespace nutmegspur
