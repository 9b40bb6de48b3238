// Which worker carries out which action.
#include <nutmegspur/kernel.h>

namespace nutmegspur {

namespace {

struct worker_of {
  using answer = std::optional<worker_kind>;

  answer operator()(const call_platform&) const { return worker_kind::platform; }

  answer operator()(const send_to_peer&) const { return worker_kind::peers; }

  answer operator()(const set_peers&) const { return worker_kind::peers; }

  answer operator()(const set_polled_upstreams&) const { return worker_kind::engine_control; }

  answer operator()(const send_order&) const { return worker_kind::engine_control; }

  answer operator()(const open_attempt&) const { return worker_kind::upstream; }

  answer operator()(const cancel_attempt&) const { return worker_kind::upstream; }

  answer operator()(const start_response&) const { return worker_kind::caller; }

  answer operator()(const send_chunk&) const { return worker_kind::caller; }

  answer operator()(const end_response&) const { return worker_kind::caller; }

  answer operator()(const fail_request&) const { return worker_kind::caller; }

  answer operator()(const resource_response&) const { return worker_kind::operators; }

  answer operator()(const set_ready&) const { return std::nullopt; }

  answer operator()(const exit_process&) const { return std::nullopt; }

  answer operator()(const write_log&) const { return std::nullopt; }
};

} // namespace

std::optional<worker_kind>
worker_for(const action& what) {
  return std::visit(worker_of{}, what);
}

} // namespace nutmegspur
