/// \file membership.h
/// Group membership of entry instances: the part of the decision core that owns the upstream table,
/// learns of instances from the instance list and from peers, and decides which peers to connect to
/// and which engines to poll.
///
/// The instances of a zone form a tree of pairs (member_ring.h). The first pair, the relays, read
/// the instance list. Each other instance receives lists and loads from one parent, its update
/// source, and forwards them to its subscribers. A relay is also connected to one relay of each
/// other zone. Each engine's reports are polled by a few instances of its zone. An instance that is
/// partitioned from the platform or from other zones continues with the state it holds.
#pragma once

#include <nutmegspur/call_id_generator.h>
#include <nutmegspur/decision.h>
#include <nutmegspur/instance_view.h>
#include <nutmegspur/member_table.h>
#include <nutmegspur/upstream_tracker.h>

#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

/// Identity of this instance.
struct membership_options {
  instance_id instance;
  zone_id zone;
  std::string address; ///< IP address on which it accepts peer connections.
  std::uint16_t port = 0;
};

/// Interval of heartbeats to each connected peer.
inline constexpr milliseconds member_heartbeat_period{1'000};
/// Interval of load digests to the same peer.
inline constexpr milliseconds load_forward_period{500};
/// Bound on load updates forwarded in a zone per second; with more engines, each one's load is
/// forwarded less often. Keeps an instance's traffic bounded.
inline constexpr std::size_t zone_load_updates_per_second = 30;
/// Lower bound of the interval at which one engine's load is forwarded.
inline constexpr milliseconds min_load_period{700};
/// A neighbour without contact for this long is presumed dead and removed from the ring.
inline constexpr milliseconds member_silence_timeout{5'000};
/// How long an unresponsive instance of another zone is excluded.
inline constexpr milliseconds member_exclusion_period{10'000};
/// Interval at which a relay, or an instance without a list, reads the instance list.
inline constexpr milliseconds list_period{2'000};
/// The same for an instance that has a list but no update source.
inline constexpr milliseconds list_period_without_source{5'000};
/// A longer interval between two ticks means that this process itself was paused.
inline constexpr milliseconds self_pause_threshold{2'000};
/// Number of instances that poll the reports of one engine.
inline constexpr std::size_t pollers_per_engine = 2;

/// The decision part of `duty::membership`.
class membership {
 public:
  membership(membership_options options, upstream_tracker_hooks hooks);

  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;
  ~membership() = default;

  void step(const moment& now, const event& ev, action_list& out);

  [[nodiscard]] const upstream_map& upstreams() const { return tracker_.all(); }

  /// Mutable, for parts that record their own work in progress in the table.
  [[nodiscard]] upstream_map& upstreams() { return tracker_.all(); }

  /// This instance's rank in its zone, from 0; empty while it is not in the ring, such as when
  /// leaving.
  [[nodiscard]] std::optional<std::size_t> rank() const;
  /// Whether this instance is one of its zone's relays. False until it holds an instance list or
  /// the wait for the first list has timed out.
  [[nodiscard]] bool is_relay() const;
  /// The relays of a zone according to this instance.
  [[nodiscard]] std::vector<instance_id> relays(const zone_id& zone) const;
  /// The connected peers: instances of the same zone and, on a relay, relays of other zones. This
  /// instance forwards updates to them.
  [[nodiscard]] std::vector<instance_id> neighbours() const;
  /// The connected parent from which this instance receives updates; empty for rank 0 or if no
  /// parent is connected.
  [[nodiscard]] std::optional<instance_id> update_source() const;
  /// Whether other instances receive their updates from this one.
  [[nodiscard]] bool has_subscribers() const;

  /// Whether an instance is considered alive.
  [[nodiscard]] bool alive(const instance_id& id) const { return members_.alive(id); }

  [[nodiscard]] const member_table& members() const { return members_; }

  /// This instance's copy of the instance list.
  [[nodiscard]] const instance_view& listed() const { return view_; }

 private:
  // State of a connected peer.
  struct neighbour {
    zone_id zone;
    bool subscribed = false;
    std::uint64_t list_hash = 0; ///< Hash of its instance list, as last reported.
    int mismatches = 0;          ///< Consecutive heartbeats whose list hash differs from ours.
  };

  // Returns false if the event does not concern this part.
  bool handle(const moment& now, const event& ev, action_list& out);
  void on_tick(const moment& now, action_list& out);
  void on_connected(const moment& now, const peer_connected& ev, action_list& out);
  void on_list_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_peer(const moment& now, const peer_received& from, action_list& out);
  void on_digest(const moment& now, const instance_id& from, const member_digest& digest,
                 action_list& out);
  void on_list_update(const moment& now, const instance_id& from,
                      const instance_list_update& update, action_list& out);
  void on_stop(const moment& now, action_list& out);

  void apply_list_change(const moment& now, const view_change& change, action_list& out);
  void request_list_if_due(const moment& now, action_list& out);
  void detect_silent_neighbours(const moment& now);
  void send_member_changes(action_list& out);
  void send_heartbeats(action_list& out);
  void update_load_period();
  void send_loads(const moment& now, action_list& out);
  void broadcast(const upstream_notice& notice, const instance_id& except, action_list& out) const;
  void update_peers_and_polling(const moment& now, action_list& out);
  void update_connections(const moment& now, action_list& out);
  void update_polled_engines(action_list& out);
  [[nodiscard]] std::vector<instance_id> desired_connections(time_point now) const;
  [[nodiscard]] std::vector<instance_id> expected_connections() const;
  void add_probe_target(std::vector<instance_id>& targets, time_point now) const;
  [[nodiscard]] member_digest make_digest(std::vector<member_entry> entries,
                                          const instance_id& to) const;
  void send_full_list(const instance_id& to, action_list& out) const;
  void note_change(const instance_id& id, const instance_id& from);

  membership_options options_;
  call_id_generator numbers_{duty::membership};
  member_table members_;
  instance_view view_;
  upstream_tracker tracker_;
  std::map<instance_id, neighbour> neighbours_;
  // Members whose state changed, with the peer that reported it; empty if detected here.
  std::map<instance_id, instance_id> changed_members_;
  // Start of the time for which each instance has been expected to be connected. Holds only
  // instances that are expected now.
  std::map<instance_id, time_point> expected_since_;
  std::optional<time_point> started_at_;
  std::optional<time_point> last_tick_;
  std::optional<time_point> list_read_at_;      ///< Last successful read by this instance.
  std::optional<time_point> list_requested_at_; ///< Last request for the instance list.
  std::optional<call_id> list_call_;
  time_point last_heartbeat_{};
  time_point last_loads_{};
  std::uint64_t applied_version_ = 0;  ///< Member table version at the last evaluation.
  bool connections_due_ = true;        ///< Connections must be re-evaluated.
  bool view_changed_ = true;           ///< The list changed since polled engines were last set.
  bool first_list_wait_ended_ = false; ///< The time limit for the first list has passed.
  std::vector<instance_id> connections_while_leaving_; ///< The connections held when leaving began.
  std::vector<set_peers::target> connection_targets_;
  std::vector<set_polled_upstreams::target> polled_engines_;
};

static_assert(decision_part<membership>);

} // namespace nutmegspur
