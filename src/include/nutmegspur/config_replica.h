/// \file config_replica.h
/// Keeps this instance's configuration current: a part of the decision core.
///
/// It reads the whole configuration once, from the store or, while that is out, from a peer. A
/// relay then follows a watch and passes each change on; every other instance hears from relays,
/// and opens a watch of its own for as long as none of them brings fresh news.
///
/// Timing, from a change's acceptance to its being in force: a push takes one message; a silent
/// watch is replaced within `progress_deadline` and a start; an instance whose relays fall silent
/// opens its own watch after `source_deadline`. Each of these stays under 4 s.
#pragma once

#include <nutmegspur/call_numbers.h>
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

/// Who this instance is.
struct config_replica_options {
  instance_id instance;
  zone_id zone;
};

/// What the replica must know of the membership.
struct config_replica_hooks {
  /// Whether this instance is one of the few in its zone that watch the store.
  std::function<bool()> is_relay;
  /// Peers to pull from and pass changes to: a relay's zone members, a member's relays.
  std::function<std::vector<instance_id>()> sources;
  /// Whether other instances hear from this one, relay or not. Empty means no.
  std::function<bool()> passes_on = {};
};

/// Counts since the start.
struct config_counts {
  std::uint64_t changes_applied = 0;
  std::uint64_t changes_refused = 0; ///< Stored resources that could not be read.
  std::uint64_t whole_readings = 0;  ///< From the store or a peer.
  std::uint64_t stale_reads = 0;     ///< Readings and deltas older than what is held.
  std::uint64_t failed_readings = 0;
};

/// The part of `duty::config`.
class config_replica {
 public:
  config_replica(config_replica_options options, config_replica_hooks hooks);

  config_replica(const config_replica&) = delete;
  config_replica& operator=(const config_replica&) = delete;
  ~config_replica() = default;

  void step(const moment& now, const event& ev, action_list& out);

  /// The configuration in force; never null, empty before the first whole reading.
  [[nodiscard]] const config_view& view() const { return state_.view(); }

  /// The store's revision up to which every change is in force here; for `peer_hello`.
  [[nodiscard]] revision at() const { return state_.at(); }

  /// Whether callers may be served. It becomes true with a whole configuration that has every
  /// change heard of, and false again once one heard of is still missing after `lag_limit`.
  [[nodiscard]] bool ready() const { return ready_; }

  /// When the configuration held was last known to be the store's, on the boot clock; the zero
  /// time if never.
  [[nodiscard]] time_point last_news() const { return last_news_; }

  /// Keys that the last step withdrew, by withdrawal, deletion or change of their secret.
  [[nodiscard]] const std::vector<key_id>& withdrawn() const { return withdrawn_; }

  /// The changes after `since`, in order; empty where they are no longer held.
  [[nodiscard]] std::optional<std::vector<kv_change>> changes_after(revision since) const {
    return state_.changes_after(since);
  }

  [[nodiscard]] const config_counts& counts() const { return counts_; }

 private:
  void on_tick(const moment& now, action_list& out);
  void on_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_reading(const moment& now, const config_reader::reading& whole, action_list& out);
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
  void note(const config_effect& effect, std::string_view source, action_list& out);
  void push(revision from, std::string_view except, action_list& out);
  void pull(const moment& now, const instance_id& peer, action_list& out);
  void pull_if_behind(const moment& now, action_list& out);
  void read_if_needed(const moment& now, action_list& out);
  void send_heartbeat(const moment& now, const instance_id& peer, action_list& out) const;
  void send_heartbeats(const moment& now, action_list& out);
  void heard_from_store(const moment& now);
  void warn_if_stale(const moment& now, action_list& out);
  void update_ready(const moment& now);
  [[nodiscard]] bool holds_all_heard_of() const;
  [[nodiscard]] bool feeds(const moment& now) const;
  [[nodiscard]] bool passes_on() const;
  [[nodiscard]] bool orphaned(const moment& now) const;

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
  time_point last_news_;
  time_point peer_news_; ///< The part of `last_news_` that came through peers.
  time_point last_heartbeats_;
  time_point read_failed_at_;
  time_point held_all_at_; ///< When it last held every change heard of.
  bool ready_ = false;
  bool read_failed_ = false;  ///< The last reading failed.
  bool reread_ = false;       ///< History is gone: a whole reading is needed.
  bool stale_warned_ = false; ///< Since the last news.
};

static_assert(decision_part<config_replica>);

} // namespace nutmegspur
