/// \file forward_server.h
/// Sends requests to upstreams in the place of peers that do not reach them (forward_frame.h).
///
/// Refuses with status 503 what it will certainly not send: while it stops or is cut off itself,
/// for an upstream that is not listed here, is another process or is leaving, and what arrives too
/// late. It never forwards by way of a third instance.
#pragma once

#include "http_client.h"
#include "http_server.h"
#include "proxy_state.h"
#include "upstream_crashes.h"
#include "upstream_paths.h"

#include <nutmegspur/forward_frame.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

namespace nutmegspur::proxy {

class forward_server {
 public:
  forward_server(proxy_state& state, http1::http_client& client, upstream_crashes& crashes,
                 upstream_paths& paths)
      : state_(state), client_(client), crashes_(crashes), paths_(paths) {}

  void handle(const http1::exchange_ptr& peer);

  /// This instance ends now: tells the peers whose requests are in progress what became of them.
  void end_all();

  /// Number of requests in progress.
  [[nodiscard]] std::size_t open() const { return open_.size(); }

 private:
  struct forwarding {
    http1::exchange_ptr peer;
    listed_upstream upstream;
    forward_request request;
    std::unique_ptr<http1::client_call> call;
    std::uint64_t path_attempt = 0;
    bool peer_behind = false; ///< The peer has not taken what was sent.
  };

  void refuse(const http1::exchange_ptr& peer, std::string_view why);
  void send(const http1::exchange_ptr& peer, const listed_upstream& upstream,
            forward_request request);
  void write(std::uint64_t number, const forward_event& event);
  /// Reads the response as the peer takes it.
  void wait_for_peer(std::uint64_t number);
  void on_end(std::uint64_t number, http1::call_end how);
  void close(std::uint64_t number);

  proxy_state& state_;
  http1::http_client& client_;
  upstream_crashes& crashes_;
  upstream_paths& paths_;
  std::map<std::uint64_t, forwarding> open_;
  std::uint64_t last_number_ = 0;
};

} // namespace nutmegspur::proxy
