// Request counts by team and wall-clock window.
#include <nutmegspur/usage_windows.h>

#include <algorithm>

namespace nutmegspur {

std::int64_t
usage_windows::number_at(wall_time when) const {
  return std::chrono::duration_cast<milliseconds>(when.time_since_epoch()) / length_;
}

void
usage_windows::count(const team_id& team, wall_time when) {
  windows_[number_at(when)][self_][team]++;
}

void
usage_windows::merge_peer_counts(const instance_id& peer, const usage_window& window) {
  if (peer == self_) {
    return;
  }
  team_counts& held = windows_[window.number][peer];
  for (const auto& [team, n] : window.counts) {
    auto& counted = held[team];
    counted = std::max(counted, n);
  }
}

std::vector<usage_window>
usage_windows::own_windows(wall_time now, std::int64_t sealed) const {
  std::vector<usage_window> all;
  for (const auto& [number, instances] : windows_) {
    const auto it = instances.find(self_);
    if (it != instances.end() && number > sealed && number >= number_at(now) - retained_windows) {
      all.push_back({number, it->second});
    }
  }
  return all;
}

usage_window
usage_windows::total(std::int64_t number) const {
  usage_window sum{number, {}};
  const auto window = windows_.find(number);
  if (window == windows_.end()) {
    return sum;
  }
  for (const auto& [instance, counts] : window->second) {
    for (const auto& [team, n] : counts) {
      sum.counts[team] += n;
    }
  }
  return sum;
}

std::optional<std::int64_t>
usage_windows::next_due(wall_time now, milliseconds min_age, std::int64_t reported) const {
  const std::int64_t newest_due = number_at(now - min_age) - 1;
  const std::int64_t oldest = number_at(now) - retained_windows;
  for (const auto& [number, instances] : windows_) {
    if (number > reported && number >= oldest && number <= newest_due) {
      return number;
    }
  }
  return std::nullopt;
}

void
usage_windows::trim(wall_time now) {
  windows_.erase(windows_.begin(), windows_.lower_bound(number_at(now) - retained_windows));
}

sealed_position
continue_after(const usage_window& stored, const std::optional<usage_window>& own,
               std::int64_t known) {
  if (stored.number >= known) {
    return {stored, stored.number == 0 ? sealed_step::skip : sealed_step::report};
  }
  if (own && own->number == known) {
    return {*own, sealed_step::seal_again};
  }
  return {usage_window{known, {}}, sealed_step::skip};
}

std::optional<usage_window>
known_counts(const sealed_position& position) {
  if (position.step == sealed_step::skip) {
    return std::nullopt;
  }
  return position.window;
}

} // namespace nutmegspur
