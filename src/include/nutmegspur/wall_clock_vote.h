/// \file wall_clock_vote.h
/// Wall-clock time by majority of the instances. Usage windows are based on it, because a machine's
/// own clock may jump by seconds.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <map>

namespace nutmegspur {

/// Median of this instance's clock and its peers' clocks. It stays correct while fewer than half of
/// the clocks are wrong. Agreeing on time by majority follows Marzullo (1984).
class wall_clock_vote {
 public:
  /// How long a peer's reading is used; in this time, steady clocks drift by far less than a usage
  /// window.
  static constexpr milliseconds reading_lifetime{10'000};

  /// Records that `peer` read `peer_wall` at about the time this instance read `now`. `votes` is
  /// more than 1 if the reading is what several instances agreed on.
  void on_peer(const moment& now, const instance_id& peer, wall_time peer_wall,
               std::size_t votes = 1);

  /// `now` with its wall time replaced by the median of the votes.
  [[nodiscard]] moment agreed(const moment& now) const;

 private:
  struct reading {
    time_point received_at{};
    microseconds wall_offset{0}; ///< The peer's wall time at zero of our boot clock.
    std::size_t votes = 1;
  };

  std::map<instance_id, reading> peers_;
};

} // namespace nutmegspur
