/// \file duty_holder.h
/// The duties that only one instance performs at a time: usage reports, orders for upstreams, and
/// orders for engines to change their stage. The holder of a lease in the store performs them; the
/// fencing token is the revision at which the lease was taken.
///
/// Invariants: no call is sent unless the lease is valid for longer than the call's timeout; a new
/// holder sends nothing until the calls of the former holder must have ended; a usage window is
/// sealed in the store before it is reported, and the record of it is only replaced by
/// compare-and-swap, so that no two reports of it differ.
#pragma once

#include "call_set.h"
#include "peer_group.h"
#include "proxy_state.h"
#include "store_link.h"

#include <nutmegspur/cas_record.h>
#include <nutmegspur/stage_plan.h>
#include <nutmegspur/zone_lease.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace nutmegspur::proxy {

class duty_holder {
 public:
  duty_holder(proxy_state& state, http1::http_client& client, store_link& store, peer_group& peers);
  ~duty_holder();
  duty_holder(const duty_holder&) = delete;
  duty_holder& operator=(const duty_holder&) = delete;

  void start();
  /// Releases the lease once no call is in progress.
  void stop();
  /// The store was restored from an older copy: the authority ends.
  void on_store_restored();

  [[nodiscard]] bool holds(const moment& now) const { return lease_.current(now.boot).has_value(); }

  [[nodiscard]] bool released() const { return lease_.released(); }

 private:
  enum class seal_phase {
    unread, ///< The last sealed window has not been read from the store yet.
    idle,
    sealing, ///< The last sealed window is being read, or a window is being sealed.
    sealed,  ///< `sealed_` is in the store and must be reported.
    reporting,
  };

  /// Receives the status of the response to a call; empty if there was no response.
  using status_handler = std::function<void(std::optional<int>)>;

  void step(const event& ev);
  void execute(const action_list& actions);
  void tick(const moment& now);
  /// The authority, if it is valid for another call and the handover period has passed.
  [[nodiscard]] std::optional<authority> authority_for_call(const moment& now);
  /// Sends a call of the duties while `granted` is valid.
  void send(const endpoint& to, const wire_call& call, const authority& granted,
            status_handler on_result);

  void report_usage(const moment& now, const authority& granted);
  void read_sealed(const authority& granted);
  /// Continues after the last sealed window, which the store holds as `stored`.
  void continue_from(const usage_window& stored, const authority& granted);
  void seal(const usage_window& window, const authority& granted);
  void report(const authority& granted);
  void order_fleet(const moment& now, const authority& granted);
  void order_stages(const moment& now);
  void prepare_stage_order(const moment& now, milliseconds role_change_time,
                           const stage_change& change);
  /// Asks the engine how many orders it has accepted, then sends it the order.
  void order_stage(const stage_change& change, const authority& granted);
  void send_stage_order(const listed_upstream& to, const stage_order& order,
                        const authority& granted);

  proxy_state& state_;
  store_link& store_;
  peer_group& peers_;
  zone_lease lease_;
  fence current_fence_; ///< Fencing token of the authority that the members below belong to.
  time_point held_since_{};
  seal_phase phase_ = seal_phase::unread;
  cas_record sealed_record_;
  usage_window sealed_; ///< The content of `sealed_record_`; without counts if it is skipped.
  std::optional<usage_window> known_counts_; ///< The last window that was sealed or read here.
  time_point next_report_{};
  fleet_orders fleet_;
  stage_plan stages_;
  call_set calls_;
  timer_id timer_;
};

} // namespace nutmegspur::proxy
