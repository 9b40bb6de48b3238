/// \file upstream_orders.h
/// Sends orders for upstreams to the platform's upstream interface, while this instance holds the
/// zone's lease.
///
/// Each order has a number that is written to the store before the order is sent, so a repeated
/// send, also by a later holder, counts as the same order. At most one order for each kind of
/// upstream is open.
#pragma once

#include <nutmegspur/authority.h>
#include <nutmegspur/decision.h>

#include <cstdint>
#include <map>
#include <string>

namespace nutmegspur {

/// Settings of the upstream orders.
struct upstream_order_settings {
  instance_id self;
  zone_id zone;
  seconds send_window{2};    ///< As in `order_settings`.
  seconds delivery_bound{5}; ///< As in `order_settings`.
};

/// A zone's orders to the upstream interface. Part of `order_manager`, whose call numbers it
/// shares.
class upstream_orders {
 public:
  upstream_orders(upstream_order_settings config, std::uint64_t& last_call);

  /// Sets how many upstreams of `kind` the zone should have.
  void set_wanted(const std::string& kind, std::uint32_t wanted);
  /// Starts under a new fence; no order or store call is made before `earliest_send`.
  void begin(fence number, time_point earliest_send);
  /// Drops all state; for when the authority is lost.
  void clear();
  void on_tick(const moment& now, const authority& held, action_list& out);
  /// Processes a reply; false if it is not to a call of this object.
  bool on_reply(const moment& now, const platform_reply& reply);
  /// Whether an order is being written, sent or confirmed.
  [[nodiscard]] bool busy() const;

 private:
  enum class stage { load, loading, decide, writing, send, sending, confirm, confirming };

  struct kind_state {
    std::uint32_t wanted = 0;
    stage at = stage::load;
    upstream_order_record record;
    revision modified; ///< Of the record; zero if it does not exist.
    std::uint64_t call = 0;
    time_point call_deadline;
    time_point next_try;
    /// Latest time at which the last send can arrive; no other send is made before it.
    time_point latest_arrival;
  };

  void advance(const moment& now, const authority& held, const std::string& kind, kind_state& it,
               action_list& out);
  void on_kind_reply(const moment& now, kind_state& it, const platform_reply& reply);
  void on_loaded(const moment& now, kind_state& it, const platform_reply& reply);
  void decide(const moment& now, kind_state& it, action_list& out);
  void write(const moment& now, kind_state& it, stage next, action_list& out);
  void send(const moment& now, const authority& held, kind_state& it, action_list& out);
  void call(const moment& now, kind_state& it, platform_request request, action_list& out);

  upstream_order_settings config_;
  std::uint64_t& last_call_;
  fence fence_;
  time_point earliest_send_;
  std::uint64_t last_writer_ = 0;
  std::map<std::string, kind_state> kinds_;
};

} // namespace nutmegspur
