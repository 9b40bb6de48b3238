/// \file decision.h
/// Events and actions of the decision core.
///
/// Every part of the core is a state machine that uses no sockets, threads, clocks or files:
/// `part.step(now, event, out)`. The daemon's threads supply events and execute actions; tests do
/// the same with a manual clock. Parts are composed in nutmegspur/node.h.
#pragma once

#include <nutmegspur/event_log.h>
#include <nutmegspur/peer.h>
#include <nutmegspur/platform.h>
#include <nutmegspur/request.h>

#include <concepts>
#include <string>
#include <variant>
#include <vector>

namespace nutmegspur {

// ---------------------------------------------------------------------------------------------
// Events

/// Time has passed; sent at least every `tick_period` and when a timer of a part is due.
struct tick {};

/// The process was asked to stop gracefully.
struct stop_requested {};

/// A connection to a peer was established; the transport has authenticated `peer`.
struct peer_connected {
  instance_id peer;
  zone_id zone;
};

struct peer_disconnected {
  instance_id peer;
};

struct peer_received {
  instance_id peer;
  peer_message message;
};

/// An engine replied to an order, or sending it failed. The `ran` of the error in `answer` is
/// `not_run` if no byte of the order was sent (also if its `not_after` had passed), and `unknown`
/// if the reply was lost.
struct order_reply {
  upstream_id upstream;
  std::uint64_t sequence = 0;
  result<void> answer;
};

/// An engine's own report of its state and load; it arrives with a lag.
struct engine_report {
  upstream_id upstream;
  fence highest_fence; ///< Highest fencing number that it has received; 0 if it ignores them.
  std::uint64_t last_sequence = 0; ///< Sequence number of the last order that it accepted.
  bool changing = false;           ///< A change of its state is in progress.
  engine_state state;
  engine_load load;
  moment measured; ///< When the engine measured the figures, by the clock of the receiver.
};

/// Cache blocks that an engine stored or removed; may arrive late and with gaps.
struct cache_event {
  upstream_id upstream;
  std::uint64_t number = 0; ///< Consecutive for each engine; a skipped number means lost events.
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> removed;
};

/// An engine announced that it will shut down, or was found to be gone.
struct upstream_closing {
  upstream_id upstream;
  bool gone = false;
  seconds notice{0};
};

using event = std::variant<tick, stop_requested, peer_connected, peer_disconnected, peer_received,
                           platform_reply, watch_batch, watch_ended, order_reply, engine_report,
                           cache_event, upstream_closing, request_arrived, caller_disconnected,
                           attempt_opened, attempt_chunk, attempt_ended, resource_request>;

/// The longest time between two ticks.
inline constexpr milliseconds tick_period{100};

// ---------------------------------------------------------------------------------------------
// Actions

/// Carry out a platform operation.
struct call_platform {
  call_id call;
  platform_request request;
};

/// Send to one peer; dropped if there is no connection.
struct send_to_peer {
  instance_id peer;
  peer_message message;
};

/// The desired set of peer connections; the transport connects and disconnects to match.
struct set_peers {
  struct target {
    instance_id peer;
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const target&) const = default;
  };

  std::vector<target> targets;
};

/// The upstreams whose reports and cache events this instance polls itself.
struct set_polled_upstreams {
  struct target {
    upstream_id upstream;
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const target&) const = default;
  };

  std::vector<target> targets;
};

/// Send an order to an engine; `order_reply` follows.
struct send_order {
  engine_order order;
  std::string address;
  std::uint16_t port = 0;
};

/// The state that /readyz reports from now on.
struct set_ready {
  bool ready = false;
  std::string reason; ///< Why it is not ready; empty if it is.
};

/// Exit the process; all work is finished.
struct exit_process {};

/// Write an event to the log.
struct write_log {
  log_event number = log_event::process_started;
  std::vector<std::pair<std::string, std::string>> fields;
};

using action =
    std::variant<call_platform, send_to_peer, set_peers, set_polled_upstreams, send_order,
                 set_ready, exit_process, write_log, open_attempt, cancel_attempt, start_response,
                 send_chunk, end_response, fail_request, resource_response>;

/// Collects the actions of a step, in order.
using action_list = std::vector<action>;

/// A part of the decision core.
template <class P>
concept decision_part = requires(P part, const moment& now, const event& ev, action_list& out) {
  part.step(now, ev, out);
};

} // namespace nutmegspur
