/// \file peer_group.h
/// Communication with the other instances: sends and receives notices of load and placements by
/// UDP, through the relays of the zones (zone_relays.h), and requests changes of the store from a
/// peer when the configuration or the copy of the store held here is behind.
#pragma once

#include "call_set.h"
#include "proxy_state.h"
#include "store_link.h"

#include <nutmegspur/peer_notice.h>
#include <nutmegspur/zone_relays.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>

namespace nutmegspur::proxy {

/// The instance that grants the permits for an upstream (request_permits.h).
struct permit_keeper {
  instance_id name;
  endpoint at;
  bool self = false;
};

/// Another instance that may reach upstreams in this one's place.
struct forward_peer {
  instance_id name;
  endpoint at;
  int nearness = 0; ///< 0: in this zone; 1: in the upstream's; 2: elsewhere.
};

class peer_group {
 public:
  peer_group(proxy_state& state, http1::http_client& client, store_link& store,
             std::int64_t started_ms);

  result<void> start();
  void on_instance(const registered_instance& entry, bool present);

  /// The instance that usage counts are sent to; empty while it is not known.
  void set_usage_holder(const std::optional<instance_id>& holder) { usage_holder_ = holder; }

  /// The duty holder has sealed the usage windows up to `window`.
  void on_sealed(std::int64_t window) { sealed_window_ = std::max(sealed_window_, window); }

  /// The last usage window that any instance is known to have sealed.
  [[nodiscard]] std::int64_t sealed_window() const { return sealed_window_; }

  /// Number of live relays whose names sort before this one's. Only relays hold duties; the rank of
  /// any other instance exceeds that of every candidate.
  [[nodiscard]] unsigned rank(const moment& now) const;

  [[nodiscard]] bool is_relay() const { return relays_.is_relay(); }

  /// The keeper of `upstream`: a relay of its zone, so that a zone that is cut off keeps its own
  /// upstreams; a relay of any zone if that one has none. Relays follow the liveness of all others,
  /// other instances only that of their own relay.
  [[nodiscard]] permit_keeper keeper_of(const moment& now, const listed_upstream& upstream) const;

  /// The other instances by their nearness, for a request to an upstream in `zone`.
  [[nodiscard]] std::vector<forward_peer> forwarders(const moment& now, const zone_id& zone) const;

  /// The addresses of the instances that keep the origin of the stream of `request`, the preferred
  /// one first; at most `count`, without this one.
  [[nodiscard]] std::vector<endpoint> origin_keepers(const std::string& request,
                                                     std::size_t count) const;

  /// Whether any other instance is known, live or not.
  [[nodiscard]] bool any_known() const { return !peers_.empty(); }

  /// Sends the origins of streams to their keepers.
  void send_origins(const std::vector<stream_origin_notice>& origins);

  /// The share of all registered instances that this one is connected with, including itself.
  [[nodiscard]] double connected_share(const moment& now) const;

  /// Interval between two notices, which grows with their size: the longer of the relay and
  /// branch intervals.
  [[nodiscard]] milliseconds period() const { return std::max(relay_period_, branch_period_); }

  /// Time until a notice has reached all instances over two relays, with one repetition if one is
  /// lost: the longest lifetime of the notices of any live peer.
  [[nodiscard]] milliseconds spread_time(const moment& now) const;

  /// Sends the current state and the usage counts once more before this process ends.
  void send_final_notices(const moment& now);

 private:
  struct peer {
    endpoint at;
    std::int64_t started_ms = 0;
    std::uint64_t last_sequence = 0;
    time_point last_notice{};
    bool listed = false;         ///< Registered in the store.
    time_point unlisted_since{}; ///< Since when it is not registered.
    notice_scope scope = notice_scope::own;
    std::uint32_t instances = 1;
    milliseconds lifetime{0}; ///< Validity of its notices: three of its rounds.
    std::int64_t config_version = 0;
    revision store;
    bool store_reachable = false;
    std::uint64_t content_hash = 0;
  };

  using peer_map = std::map<instance_id, peer>;

  void on_datagram(std::string_view bytes, const endpoint& from);
  /// Applies placed parts from a notice, and its loads if this instance counts the sender's.
  void apply_load_and_placements(const moment& now, const peer_notice& from);
  void sync_with_sender(const moment& now, const instance_id& name, peer& it);
  void on_tick(const moment& now);
  void update_relay(const moment& now);
  /// Notifies the other relays; if this instance is not a relay, notifies its own relay.
  void send_relay_round(const moment& now);
  std::size_t notify_relays(const moment& now);
  std::size_t notify_branch(const moment& now);
  std::size_t notify_own_relay(const moment& now);
  std::size_t notify_seeds(const moment& now);
  std::size_t send(const endpoint& to, const peer_notice& it);
  void send_usage(const moment& now);
  void check_peers(const moment& now);
  void count_instances(const moment& now);
  /// A notice states the version of its sender's configuration.
  void sync_config(const moment& now, const instance_id& name, const peer& it);
  void request_config(const instance_id& name, const endpoint& at);
  void on_config(const instance_id& name, const endpoint& at, const call_outcome& ended);
  void request_update(const instance_id& name, const endpoint& at, const copy_position& position);
  [[nodiscard]] peer_notice notice(const moment& now, notice_scope scope);
  void add_placed(const moment& now, peer_notice& it,
                  const std::function<bool(const instance_id&)>& included) const;
  [[nodiscard]] bool live(const moment& now, const peer& it) const;
  /// Whether this instance is the relay of the other one.
  [[nodiscard]] bool in_branch(const moment& now, const peer& it) const;
  [[nodiscard]] bool in_branch(const moment& now, const instance_id& id) const;

  proxy_state& state_;
  call_set calls_;
  call_set config_calls_; ///< The replica's updates do not wait for a configuration.
  store_link& store_;
  std::int64_t started_ms_;
  http1::udp_socket socket_;
  peer_map peers_;
  zone_relays relays_;
  std::optional<instance_id> current_relay_; ///< Own relay as last logged; empty if this is one.
  std::uint64_t sequence_ = 0;
  time_point next_relay_round_{};
  time_point next_branch_round_{};
  milliseconds relay_period_;  ///< Between notices to relays; grows with their size.
  milliseconds branch_period_; ///< Between notices to instances of the branch.
  time_point next_usage_{};
  std::int64_t sealed_window_ = 0;
  std::optional<instance_id> usage_holder_;
  std::int64_t newer_config_ = 0; ///< Version that a peer stated first of those above the own one.
  time_point newer_config_since_{};
  time_point next_config_request_{};
  std::uint64_t requested_content_ = 0; ///< Content hash of the relay at the last update request.
  time_point next_update_request_{};
  time_point relay_unreadable_until_{}; ///< The own relay's updates cannot be used until then.
};

} // namespace nutmegspur::proxy
