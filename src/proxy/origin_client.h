/// \file origin_client.h
/// Finds out where a stream began that its caller resumes (stream_origins.h): from this instance's
/// records, from the keepers that its first instance chose, because all upstreams of the service
/// have had one version, or from the store. Tells keepers of the streams that begin here, and
/// answers peers.
///
/// This instance may be out of step, and its list older than the stream. That there has been one
/// version counts only if all keepers say, after the caller asked, that they know of no origin.
///
/// Records are shared only while they may be needed: while a service has had several versions, or
/// this instance cannot tell.
#pragma once

#include "call_set.h"
#include "origin_store.h"
#include "peer_group.h"
#include "proxy_state.h"

#include <nutmegspur/stream_origins.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegspur::proxy {

/// Path of the peers' interface for origins of streams.
inline constexpr std::string_view origin_path = "/stream-origin";

class origin_client {
 public:
  using handler = std::function<void(const std::optional<stream_origin>&)>;

  origin_client(proxy_state& state, http1::http_client& client, peer_group& peers,
                store_link& store, std::int64_t started_ms)
      : state_(state), calls_(state.loop, client, state.held), peers_(peers), store_(store),
        stored_(state, store, peers, started_ms) {}

  void start();
  /// The first event of the stream that `request` asked for has arrived from `origin`, or a later
  /// try of its caller goes on there. Must be called before the caller is sent the event.
  void on_stream_began(const std::string& request, const stream_origin& origin);

  /// The stream of `request` is complete.
  void on_stream_completed(const std::string& request) { stored_.on_completed(request); }

  [[nodiscard]] bool ready() const { return stored_.ready(); }

  /// Whether streams may begin at this service and version.
  [[nodiscard]] bool may_begin(const service_id& service, const std::string& version) const {
    return stored_.may_begin(service, version);
  }

  /// Whether this instance's list has held an upstream with `origin` lately.
  [[nodiscard]] bool listed_lately(const stream_origin& origin) const {
    return versions_.listed(origin);
  }

  /// Finds where the stream of `request` began, for a caller that resumes it on `route`. Calls
  /// `on_end` once, possibly before it returns; empty if nobody knows.
  void find(const std::string& request, const proxy_route& route, const handler& on_end);
  /// Answers the question of a peer; an error if it is malformed.
  [[nodiscard]] result<std::string> answer(std::string_view question) const;

 private:
  /// Asks the keepers of `request`; empty if the store must tell.
  void ask_keepers(const std::string& request, const proxy_route& route, handler on_end);
  void observe(const moment& now);
  void observe_config(const moment& now);
  /// What the origin of any stream on `route` must be; empty if there are several possibilities.
  [[nodiscard]] std::optional<stream_origin> only_origin(const moment& now,
                                                         const proxy_route& route) const;
  [[nodiscard]] bool every_origin_is_clear(const moment& now) const;

  proxy_state& state_;
  call_set calls_;
  peer_group& peers_;
  const store_link& store_;
  origin_store stored_;
  version_history versions_;
  bool sharing_ = true;                       ///< Keepers are told of the streams that begin here.
  std::shared_ptr<const route_table> config_; ///< As last observed.
  std::uint64_t routing_hash_ = 0;            ///< Of the routes' services in `config_`.
  time_point routing_since_{};                ///< Since when they are as they are.
  /// Streams that began longer ago are not resumed.
  milliseconds window_ = stream_origins::retention;
};

} // namespace nutmegspur::proxy
