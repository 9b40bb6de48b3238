// The kind of worker that executes each action.
#include <nutmegspur/kernel.h>

namespace nutmegspur {

namespace {

struct worker_kind_of {
  using kind = std::optional<worker_kind>;

  kind operator()(const call_platform&) const { return worker_kind::platform; }

  kind operator()(const send_to_peer&) const { return worker_kind::peers; }

  kind operator()(const set_peers&) const { return worker_kind::peers; }

  kind operator()(const set_polled_upstreams&) const { return worker_kind::engine_control; }

  kind operator()(const send_order&) const { return worker_kind::engine_control; }

  kind operator()(const open_attempt&) const { return worker_kind::upstream; }

  kind operator()(const cancel_attempt&) const { return worker_kind::upstream; }

  kind operator()(const start_response&) const { return worker_kind::caller; }

  kind operator()(const send_chunk&) const { return worker_kind::caller; }

  kind operator()(const end_response&) const { return worker_kind::caller; }

  kind operator()(const fail_request&) const { return worker_kind::caller; }

  kind operator()(const resource_response&) const { return worker_kind::operators; }

  kind operator()(const set_ready&) const { return std::nullopt; }

  kind operator()(const exit_process&) const { return std::nullopt; }

  kind operator()(const write_log&) const { return std::nullopt; }
};

} // namespace

std::optional<worker_kind>
worker_for(const action& what) {
  return std::visit(worker_kind_of{}, what);
}

} // namespace nutmegspur
