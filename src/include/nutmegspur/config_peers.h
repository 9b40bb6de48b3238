/// \file config_peers.h
/// What a replica knows of its peers' configuration, and the deltas that arrive in pages.
#pragma once

#include <nutmegspur/decision.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegspur {

/// Cuts `changes` into messages that fit a frame; one empty message if there are none.
std::vector<config_delta> delta_pages(revision from, revision to,
                                      const std::vector<kv_change>& changes);

/// Puts the pages of a delta together. Doubled and reordered pages do no harm.
class delta_assembler {
 public:
  /// Takes a page; the whole delta once none is missing.
  std::optional<config_delta> add(config_delta page);

 private:
  revision from_;
  revision to_;
  std::map<std::uint32_t, std::vector<kv_change>> pages_;
  std::optional<std::uint32_t> last_; ///< Number of the last page, once seen.
};

/// One connected peer.
struct config_peer {
  std::optional<config_heartbeat> heartbeat; ///< The last one.
  delta_assembler incoming;
  std::optional<time_point> pulled_at;        ///< Last pull sent to it.
  std::optional<time_point> snapshot_sent_at; ///< Last whole snapshot sent to it.
};

/// The connected peers.
class config_peers {
 public:
  void connected(const instance_id& peer) { peers_[peer]; }

  void disconnected(const instance_id& peer) { peers_.erase(peer); }

  /// The peer, added if its first message came before the notice of its connection.
  config_peer& get(const instance_id& peer) { return peers_[peer]; }

  [[nodiscard]] bool has(const instance_id& peer) const { return peers_.contains(peer); }

  /// Notes a heartbeat. The greatest revision of a change that any peer told of only grows.
  void on_heartbeat(const instance_id& peer, const config_heartbeat& message);

  /// Of the last change that any peer ever told of.
  [[nodiscard]] revision highest() const { return highest_; }

  /// The next connected peer to ask, in turn, that may hold more than `at`, and was not asked after
  /// `not_since`. Those that know the changes after `at` go first, then those of `preferred`.
  std::optional<instance_id> next_pull_peer(const std::vector<instance_id>& preferred, revision at,
                                            time_point not_since) const;

 private:
  std::map<instance_id, config_peer> peers_;
  revision highest_;
};

} // namespace nutmegspur
