/// \file load_view.h
/// Tracks the work in progress at each upstream: exact for requests that this instance sent, and as
/// last reported for those of its peers.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

/// Work in progress at one upstream.
struct upstream_load {
  std::uint32_t open = 0;    ///< Requests whose response is not complete.
  double backlog_millis = 0; ///< Prefill time of prompts that are still without a first token.
};

/// One upstream's load as reported to peers.
struct upstream_load_notice {
  upstream_id upstream;
  upstream_load load;
};

/// The load of all upstreams, from local requests and peer reports.
class load_view {
 public:
  /// Default time for which a peer's report is valid.
  static constexpr milliseconds peer_lifetime{1'000};

  /// Records a request that was sent. Returns its number, for the calls below.
  std::uint64_t on_sent(const moment& now, const upstream_id& id, double prefill_millis);
  /// The first token has arrived, or the prompt will not be prefilled any further.
  void on_prefilled(const moment& now, std::uint64_t number);
  /// The response is complete, or the attempt has ended otherwise. Unknown numbers are ignored.
  void on_ended(const moment& now, std::uint64_t number);

  /// Replaces the previous report of `peer`. A report may cover `peer` alone or several instances.
  void on_peer(const moment& now, const instance_id& peer, std::vector<upstream_load_notice> loads,
               milliseconds lifetime = peer_lifetime);

  void forget_peer(const instance_id& peer) { peers_.erase(peer); }

  void forget_peers() { peers_.clear(); }

  /// Load from local requests and all valid peer reports.
  [[nodiscard]] upstream_load total(const moment& now, const upstream_id& id) const;
  /// Load from local requests, for each upstream that has any.
  [[nodiscard]] std::vector<upstream_load_notice> own(const moment& now) const;
  /// The same plus the valid reports of the peers that `include` accepts, for forwarding.
  [[nodiscard]] std::vector<upstream_load_notice>
  own_and_peers(const moment& now, const std::function<bool(const instance_id&)>& include) const;

  /// Number of requests in progress that this instance sent.
  [[nodiscard]] std::size_t own_open() const { return sent_.size(); }

 private:
  struct pending_prompt {
    std::uint64_t number = 0;
    double prefill_millis = 0;
  };

  struct local_work {
    std::uint32_t open = 0;
    std::deque<pending_prompt> pending; ///< In sending order.
    /// Estimated time at which prefill of the first pending prompt started.
    time_point front_started{};
  };

  struct peer_load {
    time_point expires_at{};
    std::unordered_map<upstream_id, upstream_load> loads;
  };

  [[nodiscard]] static upstream_load load_of(const moment& now, const local_work& work);

  std::unordered_map<upstream_id, local_work> own_;
  std::unordered_map<std::uint64_t, upstream_id> sent_;
  std::unordered_map<instance_id, peer_load> peers_;
  std::uint64_t last_number_ = 0;
};

} // namespace nutmegspur
