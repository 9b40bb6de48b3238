// Substitute replies for actions that did not fit into a worker's full ring buffer.
#include <nutmegspur/daemon.h>

namespace nutmegspur {

namespace {

constexpr milliseconds ring_retry_after{200};

error
ring_full_error(step at, std::string peer) {
  return {error_code::overloaded, at,
          std::move(peer),        "the worker's ring buffer is full",
          outcome::not_run,       ring_retry_after};
}

struct overflow_event_visitor {
  using reply = std::optional<event>;

  moment now;

  reply operator()(const call_platform& it) const {
    return platform_reply{it.call, fail(ring_full_error(step::platform_call, "platform")),
                          now.boot};
  }

  reply operator()(const send_order& it) const {
    const auto& order = it.order;
    return order_reply{order.upstream, order.sequence,
                       fail(ring_full_error(step::intent_send, order.upstream.value))};
  }

  reply operator()(const open_attempt& it) const {
    return attempt_ended{
        it.attempt, ring_full_error(step::attempt_open, it.upstream.value), {}, {}};
  }

  // A caller whose response cannot be delivered is treated as disconnected: its work is cancelled.
  reply operator()(const start_response& it) const { return caller_disconnected{it.request}; }

  reply operator()(const send_chunk& it) const { return caller_disconnected{it.request}; }

  template <class Other> reply operator()(const Other&) const { return std::nullopt; }
};

} // namespace

std::optional<action>
overflow_response(const action& what) {
  const auto aborted_response = [](request_id request) {
    error why = ring_full_error(step::attempt_stream, "");
    why.ran = outcome::unknown; // An attempt had started to respond.
    return fail_request{request, std::move(why)};
  };
  if (const auto* start = std::get_if<start_response>(&what)) {
    return aborted_response(start->request);
  }
  if (const auto* chunk = std::get_if<send_chunk>(&what)) {
    return aborted_response(chunk->request);
  }
  if (std::holds_alternative<fail_request>(what) || std::holds_alternative<end_response>(what)) {
    return what;
  }
  return std::nullopt;
}

std::optional<event>
overflow_event(const action& what, const moment& now) {
  return std::visit(overflow_event_visitor{now}, what);
}

} // namespace nutmegspur
