/// \file membership.h
/// Who is there: a part of the decision core that owns the upstream table, learns instances from
/// the instance list and from peers, and says which peers to connect to.
///
/// The instances of a zone form a tree of pairs (member_ring.h). The first pair, the relays, read
/// the instance list; each other instance takes lists and loads from one parent, its feed, and
/// passes them on. A relay is also connected to one relay of each other zone. Each engine's
/// reports are read by a few instances of its zone. Cut off from the platform or from other zones,
/// an instance goes on with what it holds.
#pragma once

#include <nutmegspur/call_numbers.h>
#include <nutmegspur/decision.h>
#include <nutmegspur/instance_view.h>
#include <nutmegspur/member_table.h>
#include <nutmegspur/upstream_tracker.h>

#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

/// Who this instance is.
struct membership_options {
  instance_id instance;
  zone_id zone;
  std::string address; ///< Where it takes peer connections.
  std::uint16_t port = 0;
};

/// Between two heartbeats to each connected peer.
inline constexpr milliseconds member_heartbeat_period{1'000};
/// Between two digests of loads to the same peer.
inline constexpr milliseconds load_forward_period{500};
/// Loads that a zone passes on in a second: with more engines, each one's go more rarely. Keeps an
/// instance's bytes bounded.
inline constexpr std::size_t zone_loads_per_second = 30;
/// The load of one engine goes no more often than this.
inline constexpr milliseconds least_load_period{700};
/// A neighbour silent for this long leaves the ring.
inline constexpr milliseconds member_silence_limit{5'000};
/// How long an instance of another zone that does not answer is left alone.
inline constexpr milliseconds member_avoid_span{10'000};
/// Between two readings of the instance list by a relay.
inline constexpr milliseconds list_period{2'000};
/// Between two readings by an instance that has no feed.
inline constexpr milliseconds orphan_list_period{5'000};
/// A time between two ticks over which this process was itself paused.
inline constexpr milliseconds own_pause_limit{2'000};
/// Instances that read the reports of one engine.
inline constexpr std::size_t readers_of_engine = 2;

/// The part of `duty::membership`.
class membership {
 public:
  membership(membership_options options, upstream_tracker_hooks hooks);

  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;
  ~membership() = default;

  void step(const moment& now, const event& ev, action_list& out);

  [[nodiscard]] const upstream_map& upstreams() const { return tracker_.all(); }

  /// For the parts that note their own work there.
  [[nodiscard]] upstream_map& upstreams() { return tracker_.all(); }

  /// This instance's place in its zone, 0 first; empty while it is leaving.
  [[nodiscard]] std::optional<std::size_t> rank() const;
  /// Whether it is one of the zone's relays. Not before a list was read or has failed to come.
  [[nodiscard]] bool is_relay() const;
  /// The relays of a zone as they are counted on here.
  [[nodiscard]] std::vector<instance_id> relays(const zone_id& zone) const;
  /// The connected instances of the own zone, and a relay's connected relays of other zones: whom
  /// this instance passes news to.
  [[nodiscard]] std::vector<instance_id> neighbours() const;
  /// The parent that this instance takes its news from; empty for the first of the zone.
  [[nodiscard]] std::optional<instance_id> feed() const;
  /// Whether other instances take their news from this one.
  [[nodiscard]] bool feeds_others() const;

  /// Whether an instance is counted on.
  [[nodiscard]] bool alive(const instance_id& id) const { return members_.alive(id); }

  [[nodiscard]] const member_table& members() const { return members_; }

  /// The instance list as it is held.
  [[nodiscard]] const instance_view& listed() const { return view_; }

 private:
  // A connected peer.
  struct neighbour {
    zone_id zone;
    bool feeds_from_us = false;
    std::uint64_t view = 0; ///< Hash of its list, as it last said.
    int differs = 0;        ///< Heartbeats in a row with another list than ours.
  };

  // False if the event is not of this part.
  bool take(const moment& now, const event& ev, action_list& out);
  void on_tick(const moment& now, action_list& out);
  void on_connected(const moment& now, const peer_connected& ev, action_list& out);
  void on_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_peer(const moment& now, const peer_received& from, action_list& out);
  void on_digest(const moment& now, const instance_id& from, const member_digest& digest,
                 action_list& out);
  void on_update(const moment& now, const instance_id& from, const listed_update& update,
                 action_list& out);
  void on_stop(const moment& now, action_list& out);

  void take_list(const moment& now, const view_change& change, action_list& out);
  void read_list_if_due(const moment& now, action_list& out);
  void watch_neighbours(const moment& now);
  void flush_changes(action_list& out);
  void send_heartbeats(action_list& out);
  void set_load_period();
  void send_loads(const moment& now, action_list& out);
  void spread(const upstream_notice& notice, const instance_id& except, action_list& out) const;
  void settle(const moment& now, action_list& out);
  void set_connections(const moment& now, action_list& out);
  void set_readers(action_list& out);
  [[nodiscard]] std::vector<instance_id> wanted(time_point now) const;
  [[nodiscard]] std::vector<instance_id> expected() const;
  void add_probe(std::vector<instance_id>& wanted, time_point now) const;
  [[nodiscard]] member_digest digest_of(std::vector<member_entry> entries,
                                        const instance_id& to) const;
  void send_whole(const instance_id& to, action_list& out) const;
  void note_change(const instance_id& id, const instance_id& from);

  membership_options options_;
  call_id_generator numbers_{duty::membership};
  member_table members_;
  instance_view view_;
  upstream_tracker tracker_;
  std::map<instance_id, neighbour> neighbours_;
  // Members whose state changed, with the peer that said so.
  std::map<instance_id, instance_id> changes_;
  // Since when an instance should be connected; only of those expected now.
  std::map<instance_id, time_point> expected_since_;
  std::optional<time_point> started_;
  std::optional<time_point> last_tick_;
  std::optional<time_point> listed_at_; ///< Last own reading that came back whole.
  std::optional<time_point> asked_at_;  ///< Last call of the instance list.
  std::optional<call_id> list_call_;
  time_point last_heartbeat_{};
  time_point last_loads_{};
  std::uint64_t settled_version_ = 0; ///< Of the member table, when connections were last set.
  bool connections_due_ = true;       ///< Connections are to be looked at.
  bool view_changed_ = true;          ///< Since readers were last set.
  bool patience_over_ = false;        ///< The first list did not come in time.
  std::vector<instance_id> kept_;     ///< Connections kept while leaving.
  std::vector<set_peers::target> targets_;
  std::vector<set_polled_upstreams::target> read_here_;
};

static_assert(decision_part<membership>);

} // namespace nutmegspur
