/// \file peer_group.h
/// The other instances: they are told of this one's load and placements by datagram, and asked for
/// their copy of the store while this one cannot reach it.
#pragma once

#include "call_set.h"
#include "proxy_state.h"
#include "store_link.h"

#include <nutmegspur/peer_notice.h>

#include <map>
#include <memory>
#include <optional>

namespace nutmegspur::proxy {

class peer_group {
 public:
  peer_group(proxy_state& state, http1::http_client& client, store_link& store,
             std::int64_t started_ms);

  result<void> start();
  void on_instance(const registered_instance& entry, bool present);

  /// Whom usage counts go to; empty while it is not known.
  void set_usage_holder(const std::optional<instance_id>& holder) { usage_holder_ = holder; }

  /// Live instances before this one, in the order of their names.
  [[nodiscard]] unsigned rank(const moment& now) const;
  /// Tells all peers at once, for example before this process ends.
  void tell_all(const moment& now);

 private:
  struct peer {
    endpoint at;
    std::int64_t started_ms = 0;
    std::uint64_t last_sequence = 0;
    time_point heard{};
    bool registered = false;
    std::int64_t config_version = 0;
    revision store;
    bool store_reachable = false;
  };

  void on_datagram(std::string_view bytes, const endpoint& from);
  void tell(const moment& now);
  void tell_usage(const moment& now);
  void watch_peers(const moment& now);
  void ask_for_copy(const instance_id& name, const endpoint& at);
  [[nodiscard]] peer_notice notice(const moment& now);
  [[nodiscard]] bool live(const moment& now, const peer& it) const;

  proxy_state& state_;
  call_set calls_;
  store_link& store_;
  std::int64_t started_ms_;
  http1::udp_socket socket_;
  std::map<instance_id, peer> peers_;
  std::uint64_t sequence_ = 0;
  time_point next_tell_{};
  std::optional<instance_id> usage_holder_;
};

} // namespace nutmegspur::proxy
