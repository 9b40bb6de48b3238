/// \file peer_group.h
/// The other instances: they are told of this one's load and placements by datagram, directly or
/// through the relays of the zones (zone_relays.h), and asked for news of the store while this one
/// does not watch it.
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

class peer_group {
 public:
  peer_group(proxy_state& state, http1::http_client& client, store_link& store,
             std::int64_t started_ms);

  result<void> start();
  void on_instance(const registered_instance& entry, bool present);

  /// Whom usage counts go to; empty while it is not known.
  void set_usage_holder(const std::optional<instance_id>& holder) { usage_holder_ = holder; }

  /// The last usage window that is sealed, as the holder knows it.
  void on_sealed(std::int64_t window) { sealed_window_ = std::max(sealed_window_, window); }

  /// Live relays before this one, in the order of their names. Only relays hold duties; others have
  /// a rank past all candidates.
  [[nodiscard]] unsigned rank(const moment& now) const;

  [[nodiscard]] bool is_relay() const { return relays_.is_relay(); }

  /// Between two notices, as it comes out of their size: the longer of both kinds.
  [[nodiscard]] milliseconds period() const { return std::max(relay_period_, branch_period_); }

  /// Time in which a notice has reached all instances: over two relays, and once more if one is
  /// lost, by the longest time that any live peer gives its notices.
  [[nodiscard]] milliseconds spread_time(const moment& now) const;

  /// Tells all that need it, before this process ends.
  void send_final_notices(const moment& now);

 private:
  struct peer {
    endpoint at;
    std::int64_t started_ms = 0;
    std::uint64_t last_sequence = 0;
    time_point last_notice{};
    bool listed = false;   ///< The store shows it.
    time_point unlisted_since{}; ///< Since when it does not.
    notice_scope scope = notice_scope::own;
    std::uint32_t instances = 1;
    milliseconds lifetime{0}; ///< Of what it tells: three of its rounds.
    std::int64_t config_version = 0;
    revision store;
    bool store_reachable = false;
    std::uint64_t content_hash = 0;
  };

  using peer_map = std::map<instance_id, peer>;

  void on_datagram(std::string_view bytes, const endpoint& from);
  /// Takes loads and parts from a notice, if this instance counts the sender's.
  void apply_work(const moment& now, const peer_notice& from);
  void sync_with_sender(const moment& now, const instance_id& name, peer& it);
  void on_tick(const moment& now);
  void update_relay(const moment& now);
  /// To the other relays, or to the own one.
  void send_relay_round(const moment& now);
  std::size_t notify_relays(const moment& now);
  std::size_t notify_branch(const moment& now);
  std::size_t notify_own_relay(const moment& now);
  std::size_t notify_seeds(const moment& now);
  std::size_t send(const endpoint& to, const peer_notice& it);
  void send_usage(const moment& now);
  void check_peers(const moment& now);
  void count_instances(const moment& now);
  void request_update(const instance_id& name, const endpoint& at, const copy_position& position);
  [[nodiscard]] peer_notice notice(const moment& now, notice_scope scope);
  void add_placed(const moment& now, peer_notice& it,
                  const std::function<bool(const instance_id&)>& counts) const;
  [[nodiscard]] bool live(const moment& now, const peer& it) const;
  /// Whether the instance reports to this one.
  [[nodiscard]] bool in_branch(const moment& now, const peer& it) const;
  [[nodiscard]] bool in_branch(const moment& now, const instance_id& id) const;

  proxy_state& state_;
  call_set calls_;
  store_link& store_;
  std::int64_t started_ms_;
  http1::udp_socket socket_;
  peer_map peers_;
  zone_relays relays_;
  std::optional<instance_id> current_relay_; ///< The relay that was last logged.
  std::uint64_t sequence_ = 0;
  time_point next_relay_round_{};
  time_point next_branch_round_{};
  milliseconds relay_period_;  ///< Between notices to relays, as it comes out of their size.
  milliseconds branch_period_; ///< The same, to the instances that report here.
  time_point next_usage_{};
  std::int64_t sealed_window_ = 0;
  std::optional<instance_id> usage_holder_;
  std::uint64_t requested_content_ = 0; ///< The content for which a relay was last asked.
  time_point next_update_request_{};
};

} // namespace nutmegspur::proxy
