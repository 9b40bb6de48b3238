/// \file config_replica.h
/// Keeps this instance's configuration current. Part of the decision core.
///
/// The replica reads the whole configuration once, from the store or, while the store is
/// unavailable, from a peer. A relay then watches the store and pushes each change to its peers.
/// Any other instance receives changes from relays and opens its own watch only while no peer
/// confirms that its configuration is current.
///
/// Delay between the store's acceptance of a change and its application here: a push takes one
/// message; a silent watch is replaced after `progress_deadline` plus the start of the new one; an
/// instance whose relays fall silent opens its own watch after `peer_silence_limit`. Each of these
/// takes less than 4 s.
#pragma once

#include <nutmegspur/call_id_generator.h>
#include <nutmegspur/config_peers.h>
#include <nutmegspur/config_reader.h>
#include <nutmegspur/config_state.h>
#include <nutmegspur/config_watcher.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// Identity of this instance.
struct config_replica_options {
  instance_id instance;
  zone_id zone;
};

/// Membership information that the replica queries.
struct config_replica_hooks {
  /// Whether this instance is a relay: one of the few in its zone that watch the store.
  std::function<bool()> is_relay;
  /// Peers to pull changes from and push changes to. For a relay these include the instances of
  /// its zone, for any other instance the relays of its zone.
  std::function<std::vector<instance_id>()> sync_peers;
  /// Whether this instance forwards changes to its peers even if it is not a relay. An empty
  /// function means no.
  std::function<bool()> forwards_changes = {};
};

/// Counters since the start of the instance.
struct config_counts {
  std::uint64_t changes_applied = 0;
  std::uint64_t changes_refused = 0; ///< Stored resources that could not be parsed.
  std::uint64_t full_reads = 0;      ///< Whole configurations taken from the store or a peer.
  std::uint64_t stale_reads = 0;     ///< Full reads and deltas ignored as outdated.
  std::uint64_t failed_reads = 0;
};

/// The part of the decision core for `duty::config`.
class config_replica {
 public:
  config_replica(config_replica_options options, config_replica_hooks hooks);

  config_replica(const config_replica&) = delete;
  config_replica& operator=(const config_replica&) = delete;
  ~config_replica() = default;

  void step(const moment& now, const event& ev, action_list& out);

  /// The configuration in force. Never null; empty until a whole configuration has been received.
  [[nodiscard]] const config_view& view() const { return state_.view(); }

  /// Store revision up to which every change is in force here. Sent in `peer_hello`.
  [[nodiscard]] revision at() const { return state_.at(); }

  /// Whether callers may be served. Becomes true once a whole configuration is held that includes
  /// every change reported by peers. Becomes false again if a reported change is still missing
  /// after `readiness_lag_limit`.
  [[nodiscard]] bool ready() const { return ready_; }

  /// When the configuration held here was last confirmed to match the store, on the boot clock.
  /// The zero time if never.
  [[nodiscard]] time_point last_confirmed() const { return last_confirmed_; }

  /// Keys that became unusable in the last step: withdrawn, deleted, or changed in team, role or
  /// secret.
  [[nodiscard]] const std::vector<key_id>& withdrawn() const { return withdrawn_; }

  /// The changes after `since`, in order. Empty if the log no longer reaches back to `since`.
  [[nodiscard]] std::optional<std::vector<kv_change>> changes_after(revision since) const {
    return state_.changes_after(since);
  }

  [[nodiscard]] const config_counts& counts() const { return counts_; }

 private:
  void on_tick(const moment& now, action_list& out);
  void on_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_full_read(const moment& now, const config_reader::full_read& whole, action_list& out);
  void on_batch(const moment& now, const watch_batch& batch, action_list& out);
  void on_ended(const moment& now, const watch_ended& ended, action_list& out);
  void on_peer(const moment& now, const peer_received& from, action_list& out);
  void on_heartbeat(const moment& now, const instance_id& peer, const config_heartbeat& message,
                    action_list& out);
  void on_pull(const moment& now, const instance_id& peer, const config_pull& message,
               action_list& out);
  void on_delta(const moment& now, const instance_id& peer, const config_delta& message,
                action_list& out);

  void apply(const moment& now, std::vector<kv_change> changes, revision upto,
             std::string_view source, action_list& out);
  void report(const config_apply_result& effect, std::string_view source, action_list& out);
  void push(revision from, std::string_view except, action_list& out);
  void pull(const moment& now, const instance_id& peer, action_list& out);
  void pull_if_behind(const moment& now, action_list& out);
  void read_if_needed(const moment& now, action_list& out);
  void send_heartbeat(const moment& now, const instance_id& peer, action_list& out) const;
  void send_heartbeats(const moment& now, action_list& out);
  void confirm_from_store(const moment& now);
  void warn_if_stale(const moment& now, action_list& out);
  void update_ready(const moment& now);
  [[nodiscard]] bool is_caught_up() const;
  [[nodiscard]] bool sends_heartbeats(const moment& now) const;
  [[nodiscard]] bool forwards_changes() const;
  [[nodiscard]] bool peers_are_silent(const moment& now) const;

  config_replica_options options_;
  config_replica_hooks hooks_;
  call_id_generator numbers_{duty::config};
  config_state state_;
  config_reader reader_;
  config_watcher watcher_;
  config_peers peers_;
  std::vector<key_id> withdrawn_;
  config_counts counts_;
  time_point started_;
  time_point last_confirmed_;
  time_point confirmed_by_peers_; ///< The latest confirmation that came through a peer.
  time_point heartbeats_sent_at_;
  time_point read_failed_at_;
  time_point caught_up_at_; ///< When it last held every change reported by peers.
  bool ready_ = false;
  bool read_failed_ = false;      ///< The last full read failed.
  bool full_read_needed_ = false; ///< The store no longer has the changes after `at()`.
  bool stale_warned_ = false;     ///< Already warned since the last confirmation.
};

static_assert(decision_part<config_replica>);

} // namespace nutmegspur
