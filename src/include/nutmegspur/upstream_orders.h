/// \file upstream_orders.h
/// Orders to the platform's upstream interface, under the zone's lease.
///
/// Each order has a number that is kept in the store before the order is sent, so that a repeat,
/// also by a later holder, is the same order. There is one open order for each kind of upstream.
#pragma once

#include <nutmegspur/authority.h>
#include <nutmegspur/decision.h>

#include <cstdint>
#include <map>
#include <string>

namespace nutmegspur {

/// What the upstream orders are built with.
struct upstream_order_settings {
  instance_id self;
  zone_id zone;
  seconds send_window{2};    ///< As in `order_settings`.
  seconds delivery_bound{5}; ///< As in `order_settings`.
};

/// A zone's orders to the upstream interface. Used by `order_manager`, whose call numbers it
/// shares.
class upstream_orders {
 public:
  upstream_orders(upstream_order_settings config, std::uint64_t& last_call);

  /// Asks for `wanted` upstreams of `kind`.
  void set_wanted(const std::string& kind, std::uint32_t wanted);
  /// Begins under a new fence; nothing is sent before `earliest_send`.
  void begin(fence number, time_point earliest_send);
  /// Forgets everything: the authority is gone.
  void clear();
  void on_tick(const moment& now, const authority& held, action_list& out);
  /// True if the reply was to a call of this part.
  bool on_reply(const moment& now, const platform_reply& reply);
  /// Whether an order is under way.
  [[nodiscard]] bool busy() const;

 private:
  enum class stage { load, loading, decide, writing, send, sending, confirm, confirming };

  struct kind_state {
    std::uint32_t wanted = 0;
    stage at = stage::load;
    upstream_order_record record;
    revision modified; ///< Of the record; zero if there is none.
    std::uint64_t call = 0;
    time_point call_deadline;
    time_point next_try;
    /// The last send can arrive until then; no other is made before.
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
