/// \file team_shares.cpp
/// Virtual service counters of teams.

#include <nutmegspur/team_shares.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

namespace {

/// Number of teams above which idle ones are removed.
constexpr std::size_t max_tracked_teams = 1024;
/// Time constant of the decay of recent service.
constexpr seconds recent_time_constant{20};
constexpr milliseconds decay_period{500};
/// Teams with less recent service are ignored in `recent_share`.
constexpr double min_recent_milli = 1000;

} // namespace

void
team_shares::set_active(const team_id& team, std::uint32_t weight) {
  auto& it = shares_[team];
  it.weight = std::max(1U, weight);
  if (!it.active) {
    it.active = true;
    it.counter = std::max(it.counter, virtual_time_);
  }
}

void
team_shares::set_idle(const team_id& team) {
  const auto it = shares_.find(team);
  if (it != shares_.end()) {
    it->second.active = false;
  }
  if (shares_.size() > max_tracked_teams) {
    remove_idle();
  }
}

void
team_shares::charge(const team_id& team, std::int64_t cost_milli) {
  auto& it = shares_[team];
  it.counter += cost_milli / it.weight;
  it.local_milli += cost_milli;
  it.recent_milli = std::max(0.0, it.recent_milli + static_cast<double>(cost_milli));
}

void
team_shares::charge_remote(const team_id& team, std::uint64_t cost_milli) {
  auto& it = shares_[team];
  it.counter = std::max(it.counter, virtual_time_);
  it.counter += static_cast<std::int64_t>(cost_milli / it.weight);
  it.recent_milli += static_cast<double>(cost_milli);
}

void
team_shares::decay(time_point now) {
  const auto elapsed = now - decayed_at_;
  if (elapsed < decay_period) {
    return;
  }
  decayed_at_ = now;
  const double factor = std::exp(-static_cast<double>(elapsed.count()) /
                                 static_cast<double>(duration{recent_time_constant}.count()));
  recent_total_ = 0;
  recent_weights_ = 0;
  for (auto& [team, it] : shares_) {
    it.recent_milli *= factor;
    if (it.recent_milli >= min_recent_milli) {
      recent_total_ += it.recent_milli;
      recent_weights_ += it.weight;
    }
  }
}

double
team_shares::recent_share(const team_id& team) const {
  const auto found = shares_.find(team);
  if (found == shares_.end() || found->second.recent_milli < min_recent_milli) {
    return 0;
  }
  const auto& it = found->second;
  const double others = recent_total_ - it.recent_milli;
  const double other_weights = recent_weights_ - it.weight;
  if (others <= 0 || other_weights <= 0) {
    return 0;
  }
  return (it.recent_milli / it.weight) / (others / other_weights);
}

std::int64_t
team_shares::counter(const team_id& team) const {
  const auto it = shares_.find(team);
  return it == shares_.end() ? virtual_time_ : it->second.counter;
}

void
team_shares::advance_to(std::int64_t least_counter) {
  virtual_time_ = std::max(virtual_time_, least_counter);
}

std::vector<team_service_entry>
team_shares::take_local() {
  std::vector<team_service_entry> entries;
  for (auto& [team, it] : shares_) {
    if (it.local_milli > 0) {
      entries.push_back({team, static_cast<std::uint64_t>(it.local_milli), 0});
      it.local_milli = 0;
    }
  }
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.team < b.team; });
  return entries;
}

void
team_shares::remove_idle() {
  std::erase_if(shares_, [this](const auto& entry) {
    const auto& it = entry.second;
    return !it.active && it.local_milli == 0 && it.counter <= virtual_time_;
  });
}

} // namespace nutmegspur
