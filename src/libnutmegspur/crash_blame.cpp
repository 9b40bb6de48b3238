// Evidence of all kinds about what upstreams crash on.
#include <nutmegspur/crash_blame.h>

#include <algorithm>
#include <utility>

namespace nutmegspur {

namespace {

void
append(blame_changes& all, blame_kind kind, quarantine_changes&& changes) {
  for (auto& it : changes) {
    all.push_back({kind, std::move(it)});
  }
}

} // namespace

void
crash_blame::on_crash(wall_time now, std::uint64_t process, const crash_suspects& suspects) {
  for (const auto kind : blame_kinds) {
    of(kind).on_crash(now, process, suspects.of(kind));
  }
}

blame_changes
crash_blame::on_completed(wall_time now, const crash_suspects& suspects) {
  blame_changes changes;
  for (const auto kind : blame_kinds) {
    append(changes, kind, of(kind).on_completed(now, suspects.of(kind)));
  }
  return changes;
}

blame_changes
crash_blame::merge(wall_time now, const blame_notice& notice) {
  blame_changes changes;
  for (const auto kind : blame_kinds) {
    append(changes, kind, of(kind).merge(now, notice[static_cast<std::size_t>(kind)]));
  }
  return changes;
}

blame_changes
crash_blame::step(wall_time now) {
  blame_changes changes;
  for (const auto kind : blame_kinds) {
    append(changes, kind, of(kind).step(now));
  }
  return changes;
}

std::optional<milliseconds>
crash_blame::time_left(wall_time now, const crash_suspects& suspects) const {
  std::optional<milliseconds> longest;
  for (const auto kind : blame_kinds) {
    if (const auto left = of(kind).time_left(now, suspects.of(kind))) {
      longest = std::max(longest.value_or(*left), *left);
    }
  }
  return longest;
}

blame_notice
crash_blame::current(wall_time now) const {
  blame_notice notice;
  for (const auto kind : blame_kinds) {
    notice[static_cast<std::size_t>(kind)] = of(kind).current(now);
  }
  return notice;
}

} // namespace nutmegspur
