/// \file load_view.h
/// Work that is open at each upstream: this instance's own, exactly, and that of its peers, as they
/// last told.
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

/// Open work at one upstream.
struct upstream_load {
  std::uint32_t open = 0;    ///< Requests that have no whole answer yet.
  double backlog_millis = 0; ///< Reading time of prompts whose first token has not come.
};

/// One row of what an instance tells its peers.
struct upstream_load_notice {
  upstream_id upstream;
  upstream_load load;
};

/// Own and peers' open work.
class load_view {
 public:
  /// What a peer told counts for so long, unless it says otherwise.
  static constexpr milliseconds peer_lifetime{1'000};

  /// A request is sent. Returns its number, for the calls below.
  std::uint64_t on_sent(const moment& now, const upstream_id& id, double prefill_millis);
  /// Its first token came, or nothing more will be read for it.
  void on_prefilled(const moment& now, std::uint64_t number);
  /// Its answer is whole, or the attempt has ended otherwise. Unknown numbers are ignored.
  void on_ended(const moment& now, std::uint64_t number);

  /// `peer` told this, of itself or of several instances; it replaces what it told before.
  void on_peer(const moment& now, const instance_id& peer, std::vector<upstream_load_notice> loads,
               milliseconds lifetime = peer_lifetime);

  void forget_peer(const instance_id& peer) { peers_.erase(peer); }

  void forget_peers() { peers_.clear(); }

  /// Own work and that of all peers heard lately.
  [[nodiscard]] upstream_load total(const moment& now, const upstream_id& id) const;
  /// Own work at every upstream that has any.
  [[nodiscard]] std::vector<upstream_load_notice> own(const moment& now) const;
  /// The same and that of the peers that `counts` says yes to, for passing on.
  [[nodiscard]] std::vector<upstream_load_notice>
  own_and_peers(const moment& now, const std::function<bool(const instance_id&)>& include) const;

  /// All open requests of this instance.
  [[nodiscard]] std::size_t own_open() const { return sent_.size(); }

 private:
  struct pending_prompt {
    std::uint64_t number = 0;
    double prefill_millis = 0;
  };

  struct local_work {
    std::uint32_t open = 0;
    std::deque<pending_prompt> pending; ///< In the order sent.
    /// When the prompt at the front began to be read, as far as can be told.
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
