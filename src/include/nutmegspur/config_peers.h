/// \file config_peers.h
/// What a configuration replica knows about each connected peer: its last heartbeat, the delta
/// being received from it, and when data was last requested from it or sent to it.
///
/// A delta is the list of changes between two revisions. It is sent in pages, because one message
/// must fit a peer frame.
#pragma once

#include <nutmegspur/decision.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegspur {

/// Splits `changes` into messages that each fit a peer frame. Gives one empty message if there are
/// no changes.
std::vector<config_delta> delta_pages(revision from, revision to,
                                      const std::vector<kv_change>& changes);

/// Reassembles a delta from its pages. Accepts duplicated and reordered pages.
class delta_assembler {
 public:
  /// Adds a page. Returns the whole delta once all its pages have arrived.
  std::optional<config_delta> add(config_delta page);

 private:
  revision from_;
  revision to_;
  std::map<std::uint32_t, std::vector<kv_change>> pages_;
  std::optional<std::uint32_t> last_; ///< Number of the last page, once that page has arrived.
};

/// One connected peer.
struct config_peer {
  std::optional<config_heartbeat> heartbeat; ///< The last one received.
  delta_assembler incoming;
  std::optional<time_point> pulled_at;        ///< When the last pull was sent to it.
  std::optional<time_point> snapshot_sent_at; ///< When a snapshot was last sent to it.
};

/// State of all connected peers.
class config_peers {
 public:
  void connected(const instance_id& peer) { peers_[peer]; }

  void disconnected(const instance_id& peer) { peers_.erase(peer); }

  /// The state of `peer`. Adds it if its first message arrived before the connection event.
  config_peer& get(const instance_id& peer) { return peers_[peer]; }

  [[nodiscard]] bool has(const instance_id& peer) const { return peers_.contains(peer); }

  /// Stores a heartbeat and updates `highest()`, which never decreases.
  void on_heartbeat(const instance_id& peer, const config_heartbeat& message);

  /// Highest revision of a change that any peer has ever reported.
  [[nodiscard]] revision highest() const { return highest_; }

  /// The peer to pull from next. Candidates may hold a revision above `at` and were not pulled from
  /// after `not_since`. Peers whose log contains the changes after `at` come first, then peers in
  /// `preferred`, then the one whose last pull is the longest ago.
  std::optional<instance_id> next_pull_peer(const std::vector<instance_id>& preferred, revision at,
                                            time_point not_since) const;

 private:
  std::map<instance_id, config_peer> peers_;
  revision highest_;
};

} // namespace nutmegspur
