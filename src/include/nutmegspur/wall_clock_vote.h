/// \file wall_clock_vote.h
/// The time of day that most instances agree on. Windows of usage go by it, and a machine's own
/// clock may jump by seconds.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <map>

namespace nutmegspur {

/// Takes the median of the own clock and of the peers', which stays right while fewer than half of
/// them are wrong (Marzullo, 1984, for the idea of agreeing on time by majority).
class wall_clock_vote {
 public:
  /// A peer's reading counts for so long; steady clocks drift by far less than a window meanwhile.
  static constexpr milliseconds reading_lifetime{10'000};

  /// `peer` read `peer_wall` about when this instance read `now`. It has several `votes` if that is
  /// what several instances agreed on.
  void on_peer(const moment& now, const instance_id& peer, wall_time peer_wall,
               std::size_t votes = 1);

  /// `now` with the wall time that most agree on.
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
