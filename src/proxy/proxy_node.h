/// \file proxy_node.h
/// One proxy instance: owns its listeners, its connections to the store and to peers, its duties,
/// and the requests in progress.
#pragma once

#include "duty_holder.h"
#include "forward_client.h"
#include "forward_server.h"
#include "http_client.h"
#include "http_server.h"
#include "log_writer.h"
#include "origin_client.h"
#include "peer_group.h"
#include "permit_client.h"
#include "proxy_state.h"
#include "request_flow.h"
#include "store_link.h"
#include "upstream_crashes.h"
#include "upstream_paths.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegspur::proxy {

class proxy_node {
 public:
  proxy_node(http1::event_loop& loop, const wire_binding& wire, proxy_settings settings,
             proxy_options options);
  proxy_node(const proxy_node&) = delete;
  proxy_node& operator=(const proxy_node&) = delete;
  ~proxy_node();

  /// Opens all listeners and starts the work with the store, the peers and the duties.
  result<void> start();
  /// Starts a graceful shutdown; stops the loop when it is complete.
  void stop();
  /// Applies the settings that may change at run time.
  void reload(const proxy_settings& settings);

 private:
  void on_request(http1::exchange_ptr caller);
  void on_probe(const http1::exchange_ptr& caller);
  void on_peer_request(const http1::exchange_ptr& caller);
  /// The requests in progress. One that ends is erased in a later iteration of the loop.
  [[nodiscard]] std::vector<request_flow*> open_flows() const;
  /// Tells the requests in progress that the path to `upstream` is cut.
  void on_path_cut(const listed_upstream& upstream);
  void set_path_gauges();

  [[nodiscard]] std::array<http1::http_server*, 3> servers() {
    return {&caller_server_, &ready_server_, &peer_server_};
  }

  void finish_stop();
  /// Begins the end of the process: whoever waits for it gets a final response, nobody can connect
  /// any more, and requests that still arrive are refused.
  void end_work(const moment& now);
  /// Ends the loop, which may look for input once more: nothing is read by then.
  void end_process(const moment& now);
  /// Logs the end of the process, and the work that is left then.
  void log_stopped() const;
  [[nodiscard]] bool ready() const;

  http1::event_loop& loop_;
  std::int64_t started_ms_;
  proxy_state state_;
  http1::http_client upstream_client_;
  http1::http_client platform_client_;
  call_set background_calls_;
  store_link store_;
  peer_group peers_;
  upstream_paths paths_;
  upstream_crashes crashes_;
  forward_client forwards_;
  forward_server forwarded_;
  permit_client permits_;
  origin_client origins_;
  duty_holder duties_;
  http1::http_server caller_server_;
  http1::http_server ready_server_;
  http1::http_server peer_server_;
  std::unordered_map<request_flow*, std::unique_ptr<request_flow>> flows_;
  bool was_ready_ = false;
  timer_id stop_timer_; ///< Of finish_stop().
};

} // namespace nutmegspur::proxy
