/// \file order_keeper.h
/// Orders to a zone's engines: one at a time for each engine, under the zone's lease.
///
/// An order is first an intent, written by compare-and-swap to `intent/<upstream>` under the
/// lease's fence. It is sent at most once. The next one is written only when it is resolved: the
/// engine answered, or its report shows the order, or the order can no longer arrive. A change that
/// would cut streams is ordered only once the engine is drained.
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

/// What an order keeper is built with.
struct order_settings {
  instance_id self;
  zone_id zone;
  /// An order is not sent later than this after it was handed to the sending thread.
  seconds send_window{2};
  /// The longest time from a send to its arrival; the connection is reset after it.
  seconds delivery_bound{5};
  /// How long the news that an engine takes no more work may take to reach the zone.
  seconds notice_bound{2};
  /// A drain that takes longer is given up, and the change with it.
  seconds drain_limit{30};
};

/// Where an engine takes its orders.
struct engine_address {
  std::string address;
  std::uint16_t port = 0;
};

/// What an order keeper asks of the rest of the node.
struct order_hooks {
  /// Empty if the upstream is not known now.
  std::function<std::optional<engine_address>(const upstream_id&)> address;
  /// Whether a stream of this zone's instances is known to be live there. Optional.
  std::function<bool(const upstream_id&)> has_streams;
  /// Who is told of a drain, and how this instance's own routing hears of it.
  drain_hooks drain;
};

/// Gives the orders of a zone while its lease is held.
class order_keeper {
 public:
  order_keeper(order_settings config, order_hooks hooks, const authority_source& source);

  /// Asks that an engine become `wanted`. Repeating it changes nothing; another state replaces it
  /// once the open order is resolved. Ignored without authority.
  void want(const moment& now, const upstream_id& upstream, const engine_state& wanted,
            action_list& out);
  /// Asks that the zone have `wanted` upstreams of `kind`. Ignored without authority.
  void want_upstreams(const moment& now, const std::string& kind, std::uint32_t wanted,
                      action_list& out);
  void step(const moment& now, const event& ev, action_list& out);

  /// Whether a change of this upstream is under way.
  [[nodiscard]] bool changing(const upstream_id& upstream) const;

  /// Whether this instance must give the upstream no new work, by its own or another's change.
  [[nodiscard]] bool marked(const upstream_id& upstream) const { return notices_.marked(upstream); }

  /// The upstreams with a change under way; their reports must be read by this instance.
  [[nodiscard]] std::vector<upstream_id> watched() const;
  /// Whether an order may be on its way, so that the lease should not be given up.
  [[nodiscard]] bool busy() const;

 private:
  enum class stage {
    load,      ///< The intent's record has to be read.
    loading,   ///< It is being read.
    settle,    ///< An earlier order is, or may be, under way.
    drain,     ///< Waits for streams to end.
    writing,   ///< The intent is being written.
    send,      ///< Written, and not yet sent.
    sent,      ///< Sent once; its outcome is not known yet.
    recording, ///< Its outcome is being written.
  };

  struct change {
    engine_state wanted;
    stage at = stage::load;
    std::optional<intent_record> intent; ///< As last read or written.
    revision modified;                   ///< Of the intent's record.
    std::uint64_t call = 0;              ///< Store call under way; 0 if none.
    time_point call_limit;
    time_point next_try;
    /// A report counts for resolving the last order if it was measured after this: nothing sent
    /// earlier can still arrive.
    time_point quiet_after;
    intent_record pending; ///< The record being written.
    bool unsent = false;   ///< `pending` is a new intent of this holder that was not sent.
    unsigned failures = 0; ///< Orders that the engine did not take.
    bool draining = false; ///< Peers were told.
    time_point drain_began;
    std::optional<engine_report> report; ///< The newest.
  };

  using change_map = std::map<upstream_id, change>;

  void on_tick(const moment& now, action_list& out);
  void on_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_answered(const moment& now, const order_reply& answered, action_list& out);
  void on_report(const engine_report& report);
  void on_stop(action_list& out);
  void begin(const moment& now, fence number, action_list& out);
  void abandon_all(action_list& out);
  void erase_finished();
  void advance(const moment& now, const authority& held, const upstream_id& id, change& it,
               action_list& out);

  void load(const moment& now, const upstream_id& id, change& it, action_list& out);
  void on_loaded(const moment& now, change& it, const platform_reply& reply);
  void settle(const moment& now, const upstream_id& id, change& it, action_list& out);
  void drain(const moment& now, const upstream_id& id, change& it, action_list& out);
  void write_intent(const moment& now, const upstream_id& id, change& it, action_list& out);
  void on_written(const moment& now, change& it, const platform_reply& reply);
  void send(const moment& now, const authority& held, const upstream_id& id, change& it,
            action_list& out);
  void record(const moment& now, const upstream_id& id, change& it, intent_phase phase,
              action_list& out);
  void write_pending(const moment& now, const upstream_id& id, change& it, stage next,
                     action_list& out);
  void give_up(const upstream_id& id, change& it, const char* why, action_list& out);

  void end_drain(const upstream_id& id, change& it, action_list& out);
  [[nodiscard]] static bool interrupts(const change& it);
  [[nodiscard]] bool drained(const moment& now, const upstream_id& id, const change& it) const;
  [[nodiscard]] static bool fresh(const change& it, time_point after);

  order_settings config_;
  order_hooks hooks_;
  const authority_source& source_;
  fence fence_;         ///< Zero without authority.
  time_point ready_at_; ///< Until then an order of an earlier holder may still arrive.
  bool stopping_ = false;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_writer_ = 0;
  change_map changes_;
  /// Finished ones, to be dropped after the loop over `changes_`.
  std::vector<upstream_id> finished_;
  drain_notices notices_;
  upstream_orders upstream_orders_;
};

} // namespace nutmegspur
