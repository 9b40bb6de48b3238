/// \file team_shares.h
/// Fair sharing between teams: a virtual counter of weighted service for each team.
///
/// Start-time fair queueing: a team that was idle starts at the virtual time, so that it neither
/// saves up service nor pays for having been away. Service by other instances counts like own.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/peer.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

/// Counters of all teams that were served lately.
class team_shares {
 public:
  /// Sets the weight and, where the team was idle, lifts its counter to the virtual time.
  void set_active(const team_id& team, std::uint32_t weight);
  /// The team has no more requests waiting.
  void set_idle(const team_id& team);
  /// Charges service given here, in thousandths of weighted tokens; negative takes some back.
  void charge(const team_id& team, std::int64_t cost_milli);
  /// Charges service given elsewhere in the zone.
  void charge_remote(const team_id& team, std::uint64_t cost_milli);
  /// The team's counter, in thousandths of weighted tokens for each unit of weight.
  [[nodiscard]] std::int64_t counter(const team_id& team) const;
  /// Moves the virtual time up to the least counter of the teams that wait.
  void advance_to(std::int64_t least_counter);
  /// Time passed: service fades from the recent sums.
  void decay(time_point now);
  /// Recent service of the team for each unit of weight, against that of all others together; 0
  /// where no other team had any.
  [[nodiscard]] double recent_share(const team_id& team) const;
  /// Service given here since the last call; teams with none are left out.
  std::vector<team_service_entry> take_local();

 private:
  struct share {
    std::uint32_t weight = 1;
    std::int64_t counter = 0;
    std::int64_t local_milli = 0; ///< Not yet taken; negative after a refund.
    double recent_milli = 0;      ///< Local and remote, fading.
    bool active = false;
  };

  void remove_idle();

  // Invariant: virtual_time_ never goes back.
  std::int64_t virtual_time_ = 0;
  time_point decayed_at_{};
  double recent_total_ = 0;   ///< Sum of `recent_milli`, as of the last fade.
  double recent_weights_ = 0; ///< Weights of the teams with recent service.
  std::unordered_map<team_id, share> shares_;
};

} // namespace nutmegspur
