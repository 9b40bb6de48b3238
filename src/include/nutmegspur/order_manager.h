/// \file order_manager.h
/// Sends orders to a zone's engines: one at a time for each engine, while this instance holds the
/// zone's lease.
///
/// Before an order is sent, its intent is written by compare-and-swap to `intent/<upstream>`, under
/// the fence of the lease. The order is sent at most once. The next intent is written only when the
/// previous order is resolved: the engine answered, or its report shows whether the order took
/// effect, or the order can no longer arrive. A change that would interrupt streams is ordered only
/// after the engine is drained.
#pragma once

#include <nutmegspur/authority.h>
#include <nutmegspur/decision.h>
#include <nutmegspur/drain_notices.h>
#include <nutmegspur/upstream_orders.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// Settings of an order manager.
struct order_settings {
  instance_id self;
  zone_id zone;
  /// The sending thread does not send an order that it received longer ago than this.
  seconds send_window{2};
  /// Maximum time from the send of an order to its arrival; the connection is reset after it.
  seconds delivery_bound{5};
  /// Maximum time until the zone's instances know that an engine takes no new work.
  seconds notice_bound{2};
  /// A drain that takes longer is cancelled, together with the change.
  seconds drain_limit{30};
};

/// Address at which an engine receives orders.
struct engine_address {
  std::string address;
  std::uint16_t port = 0;
};

/// Functions through which an order manager reaches the rest of the node.
struct order_hooks {
  /// Returns the upstream's order address; empty if the upstream is not known.
  std::function<std::optional<engine_address>(const upstream_id&)> address;
  /// Whether an instance of the zone is known to have a live stream on the upstream. Optional.
  std::function<bool(const upstream_id&)> has_streams;
  /// Notifies peers and this instance's own routing of drains.
  drain_hooks drain;
};

/// Sends the orders of a zone while this instance holds the zone's lease.
class order_manager {
 public:
  order_manager(order_settings config, order_hooks hooks, const authority_source& source);

  /// Sets the state that an engine should have. Setting the same state again changes nothing; a
  /// different one replaces it once the order in progress is resolved. Ignored without authority.
  void set_wanted_state(const moment& now, const upstream_id& upstream, const engine_state& wanted,
                        action_list& out);
  /// Sets how many upstreams of `kind` the zone should have. Ignored without authority.
  void set_wanted_upstreams(const moment& now, const std::string& kind, std::uint32_t wanted,
                            action_list& out);
  void step(const moment& now, const event& ev, action_list& out);

  /// Whether a change of this upstream is in progress.
  [[nodiscard]] bool changing(const upstream_id& upstream) const;

  /// Whether this instance must send the upstream no new work, because this or another instance is
  /// changing it.
  [[nodiscard]] bool marked(const upstream_id& upstream) const { return notices_.marked(upstream); }

  /// The upstreams with a change in progress; this instance must read their reports.
  [[nodiscard]] std::vector<upstream_id> changing_upstreams() const;
  /// Whether an order may be in progress, so that the lease should not be released.
  [[nodiscard]] bool busy() const;

 private:
  enum class stage {
    load,      ///< The intent record has to be read.
    loading,   ///< The intent record is being read.
    resolve,   ///< Waits until an earlier order, if any, is resolved.
    drain,     ///< Waits until the engine's streams have ended.
    writing,   ///< The intent is being written.
    send,      ///< The intent is written; the order is not yet sent.
    sent,      ///< The order was sent; its outcome is not yet known.
    recording, ///< The outcome is being written.
  };

  struct change {
    engine_state wanted;
    stage at = stage::load;
    std::optional<intent_record> intent; ///< As last read or written.
    revision modified;                   ///< Of the intent record.
    std::uint64_t call = 0;              ///< Store call in progress; 0 if none.
    time_point call_deadline;
    time_point next_try;
    /// Latest time at which an order sent so far can still arrive. Only reports measured after it
    /// resolve the last order.
    time_point latest_arrival;
    intent_record pending;       ///< The record being written.
    bool pending_unsent = false; ///< `pending` is a new intent whose order was not sent yet.
    unsigned failures = 0;       ///< Orders that the engine did not accept.
    bool draining = false;       ///< Peers were notified.
    time_point drain_began;
    std::optional<engine_report> report; ///< The newest one.
  };

  using change_map = std::map<upstream_id, change>;

  void on_tick(const moment& now, action_list& out);
  void on_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_answered(const moment& now, const order_reply& answered, action_list& out);
  void on_report(const engine_report& report);
  void on_stop(action_list& out);
  void begin(const moment& now, fence number, action_list& out);
  void abandon_changes(action_list& out);
  void erase_finished();
  void advance(const moment& now, const authority& held, const upstream_id& id, change& it,
               action_list& out);

  void load(const moment& now, const upstream_id& id, change& it, action_list& out);
  void on_loaded(const moment& now, change& it, const platform_reply& reply);
  void resolve(const moment& now, const upstream_id& id, change& it, action_list& out);
  void drain(const moment& now, const upstream_id& id, change& it, action_list& out);
  void write_intent(const moment& now, const upstream_id& id, change& it, action_list& out);
  void on_written(const moment& now, change& it, const platform_reply& reply);
  void send(const moment& now, const authority& held, const upstream_id& id, change& it,
            action_list& out);
  void record_outcome(const moment& now, const upstream_id& id, change& it, intent_phase phase,
                      action_list& out);
  void write_pending(const moment& now, const upstream_id& id, change& it, stage next,
                     action_list& out);
  void abandon_change(const upstream_id& id, change& it, const char* why, action_list& out);

  void end_drain(const upstream_id& id, change& it, action_list& out);
  [[nodiscard]] static bool interrupts_streams(const change& it);
  [[nodiscard]] bool drained(const moment& now, const upstream_id& id, const change& it) const;
  [[nodiscard]] static bool reported_since(const change& it, time_point after);

  order_settings config_;
  order_hooks hooks_;
  const authority_source& source_;
  fence fence_;              ///< Zero without authority.
  time_point earliest_send_; ///< Before this an order of an earlier holder may still arrive.
  bool stopping_ = false;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_writer_ = 0;
  change_map changes_;
  /// Finished changes, to be erased after the loop over `changes_`.
  std::vector<upstream_id> finished_;
  drain_notices notices_;
  upstream_orders upstream_orders_;
};

} // namespace nutmegspur
