/// \file permit_client.h
/// Obtains the permits that requests to upstreams with a stated rate need, from the upstream's
/// keeper (request_permits.h), and grants them to peers where this instance is the keeper.
///
/// Without the keeper's answer there is no permit: an instance that is cut off uses other
/// upstreams, or what its own share of the rate allows once it is its own keeper.
#pragma once

#include "call_set.h"
#include "peer_group.h"
#include "proxy_state.h"

#include <nutmegspur/request_permits.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace nutmegspur::proxy {

/// Path of the peers' interface for permits.
inline constexpr std::string_view permit_path = "/permit";

class permit_client {
 public:
  using handler = std::function<void(const permit_answer&)>;

  permit_client(proxy_state& state, http1::http_client& client, const peer_group& peers)
      : state_(state), calls_(state.loop, client, state.held), peers_(peers) {}

  /// Whether requests to `it` need a permit.
  [[nodiscard]] bool needed(const listed_upstream& it) const {
    return state_.limits.per_second(it).has_value();
  }

  /// Time until asking for a permit for `it` may succeed; zero if it may now.
  [[nodiscard]] milliseconds time_left(const moment& now, const listed_upstream& it) const;
  /// Asks for a permit for one request with this fingerprint to `it`, or for the promise of one
  /// within `longest_wait`. Calls `on_end` once, possibly before it returns.
  void acquire(const listed_upstream& it, std::uint64_t fingerprint, milliseconds longest_wait,
               handler on_end);

  /// What this instance has granted and promised as a keeper.
  [[nodiscard]] const permit_totals& totals() const { return permits_.totals(); }

  /// Answers the question of a peer; an error if it is malformed.
  [[nodiscard]] result<std::string> answer(std::string_view question);

 private:
  struct asked_keeper {
    time_point not_before{}; ///< The keeper said when to ask again.
    std::size_t open = 0;    ///< Questions without an answer yet.
  };

  permit_answer take(const moment& now, const listed_upstream& it, const permit_request& request);
  void on_answer(const upstream_process& process, const permit_answer& answer);
  void expire(const moment& now);

  proxy_state& state_;
  call_set calls_;
  const peer_group& peers_;
  request_permits permits_; ///< Of the upstreams whose keeper this instance is.
  std::map<upstream_process, asked_keeper> asked_;
  std::map<instance_id, time_point> failed_keepers_; ///< Not asked until then.
  time_point expired_{};
};

} // namespace nutmegspur::proxy
