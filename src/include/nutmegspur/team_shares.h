/// \file team_shares.h
/// Fair sharing between teams: a virtual service counter for each team.
///
/// Start-time fair queueing: a team that becomes active starts at the virtual time, so that it
/// neither accumulates credit nor is penalised for having been idle. Service given by other
/// instances counts like local service.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/peer.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

/// Service counters of all teams served recently.
class team_shares {
 public:
  /// Sets the team's weight. If the team was idle, raises its counter to at least the virtual time.
  void set_active(const team_id& team, std::uint32_t weight);
  /// The team has no waiting requests any more.
  void set_idle(const team_id& team);
  /// Charges local service, in thousandths of weighted tokens; negative values are refunds.
  void charge(const team_id& team, std::int64_t cost_milli);
  /// Charges service given by other instances of the zone.
  void charge_remote(const team_id& team, std::uint64_t cost_milli);
  /// The team's counter, in thousandths of weighted tokens per unit of team weight.
  [[nodiscard]] std::int64_t counter(const team_id& team) const;
  /// Advances the virtual time to the lowest counter of the teams with waiting requests.
  void advance_to(std::int64_t least_counter);
  /// Decays the recent service sums to `now`.
  void decay(time_point now);
  /// Ratio of the team's recent service per unit of weight to that of all other teams together; 0
  /// if no other team had recent service.
  [[nodiscard]] double recent_share(const team_id& team) const;
  /// Returns the local service since the last call, without teams that received none.
  std::vector<team_service_entry> take_local();

 private:
  struct share {
    std::uint32_t weight = 1;
    std::int64_t counter = 0;
    std::int64_t local_milli = 0; ///< Not yet returned by `take_local`; negative after a refund.
    double recent_milli = 0;      ///< Local and remote, decayed.
    bool active = false;
  };

  void remove_idle();

  // Invariant: virtual_time_ never decreases.
  std::int64_t virtual_time_ = 0;
  time_point decayed_at_{};
  double recent_total_ = 0;   ///< Sum of `recent_milli` at the last decay.
  double recent_weights_ = 0; ///< Sum of the weights of teams with recent service.
  std::unordered_map<team_id, share> shares_;
};

} // namespace nutmegspur
