// Limits of requests that upstreams state.
#include <nutmegspur/upstream_limits.h>

#include <algorithm>
#include <utility>

namespace nutmegspur {

bool
upstream_limits::add(const limit_notice& notice) {
  const auto it = limits_.find(notice.upstream);
  if (it == limits_.end()) {
    if (notice.per_second) {
      limits_.emplace(notice.upstream, notice);
    }
    return notice.per_second.has_value();
  }
  limit_notice& known = it->second;
  if (notice.process != known.process) {
    if (notice.process < known.process) {
      return false;
    }
    const bool limited = known.per_second || notice.per_second;
    known = notice;
    return limited;
  }
  const bool ends = known.per_second && !notice.per_second;
  if (notice.stated <= known.stated || (ends && notice.stated - known.stated < reordering_time)) {
    return false;
  }
  const bool changed = notice.per_second != known.per_second;
  known = notice;
  return changed;
}

bool
upstream_limits::on_response(wall_time now, const listed_upstream& it,
                             std::optional<double> per_second) {
  if (per_second) {
    per_second = std::max(*per_second, min_per_second);
  }
  return add({it.id, it.started_ms, per_second, now});
}

bool
upstream_limits::merge(wall_time now, const limit_notice& notice) {
  // A peer's clock may be ahead; what it reports has happened.
  limit_notice it = notice;
  it.stated = std::min(it.stated, now);
  if (now - it.stated >= retention || (it.per_second && !(*it.per_second >= min_per_second))) {
    return false;
  }
  return add(it);
}

std::optional<double>
upstream_limits::per_second(const listed_upstream& it) const {
  if (limits_.empty()) {
    return std::nullopt;
  }
  const auto found = limits_.find(it.id);
  const bool same_process = found != limits_.end() && found->second.process == it.started_ms;
  return same_process ? found->second.per_second : std::nullopt;
}

std::vector<limit_notice>
upstream_limits::current(wall_time now) {
  std::vector<limit_notice> notices;
  for (auto it = limits_.begin(); it != limits_.end();) {
    const milliseconds kept = it->second.per_second ? retention : end_shared_period;
    if (now - it->second.stated >= kept) {
      it = limits_.erase(it);
      continue;
    }
    if (notices.size() < max_shared) {
      notices.push_back(it->second);
    }
    ++it;
  }
  return notices;
}

std::size_t
upstream_limits::size() const {
  return static_cast<std::size_t>(
      std::count_if(limits_.begin(), limits_.end(),
                    [](const auto& row) { return row.second.per_second.has_value(); }));
}

} // namespace nutmegspur
