// Evidence against prompt parts on which engines crash.
#include <nutmegspur/prompt_quarantine.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// Completed responses are remembered for one to two of these periods, so that evidence that a peer
/// reports late is compared with what completed meanwhile.
constexpr milliseconds completions_period{5'000};

bool
same_crash(const part_crash& a, const part_crash& b) {
  return a.process == b.process || std::chrono::abs(a.at - b.at) < prompt_quarantine::min_spacing;
}

} // namespace

prompt_quarantine::suspect*
prompt_quarantine::find_or_add(wall_time now, std::uint64_t part) {
  const auto found = suspects_.find(part);
  if (found != suspects_.end()) {
    return &found->second;
  }
  if (suspects_.size() >= max_suspects) {
    return nullptr;
  }
  suspect& it = suspects_[part];
  it.changed = now;
  clear(now, it, last_completed(part));
  return &it;
}

wall_time
prompt_quarantine::last_completed(std::uint64_t part) const {
  for (const auto* period : {&completions_.current, &completions_.previous}) {
    if (const auto it = period->find(part); it != period->end()) {
      return it->second;
    }
  }
  return {};
}

bool
prompt_quarantine::add_crash(wall_time now, suspect& it, const part_crash& crash) {
  if (crash.at <= it.cleared) {
    it.disputed = now;
    return false;
  }
  const bool known = std::any_of(it.crashes.begin(), it.crashes.end(),
                                 [&](const auto& row) { return same_crash(row, crash); });
  if (known || now - crash.at >= retention) {
    return false;
  }
  const auto place = std::upper_bound(it.crashes.begin(), it.crashes.end(), crash,
                                      [](const auto& a, const auto& b) { return a.at < b.at; });
  it.crashes.insert(place, crash);
  if (it.crashes.size() > max_crashes) {
    it.crashes.erase(it.crashes.begin());
  }
  it.changed = now;
  return true;
}

bool
prompt_quarantine::clear(wall_time now, suspect& it, wall_time when) {
  if (when <= it.cleared) {
    return false;
  }
  it.cleared = when;
  it.changed = now;
  std::erase_if(it.crashes, [&](const auto& row) { return row.at <= when; });
  if (!it.span || when <= it.span->since) {
    return false;
  }
  const bool ended = it.quarantined(now);
  it.span.reset();
  return ended;
}

bool
prompt_quarantine::adopt_span(wall_time now, suspect& it, const quarantine_span& span) {
  if (span.since <= it.cleared) {
    it.disputed = now;
    return false;
  }
  if (now >= span.until || (it.span && it.span->until >= span.until)) {
    return false;
  }
  const bool added = !it.quarantined(now);
  it.span = span;
  it.span->until = std::min(span.until, now + max_span);
  return added;
}

std::size_t
prompt_quarantine::crashes_against(const suspect& it,
                                   const std::vector<const suspect*>& quarantined) {
  const auto explained = [&](const part_crash& crash) {
    return std::any_of(quarantined.begin(), quarantined.end(), [&](const suspect* other) {
      return std::any_of(other->crashes.begin(), other->crashes.end(),
                         [&](const auto& known) { return same_crash(known, crash); });
    });
  };
  const wall_time since = it.span ? it.span->until : wall_time{};
  return static_cast<std::size_t>(
      std::count_if(it.crashes.begin(), it.crashes.end(),
                    [&](const auto& crash) { return crash.at > since && !explained(crash); }));
}

void
prompt_quarantine::start_span(wall_time now, std::uint64_t part, std::size_t crashes,
                              quarantine_changes& changes) {
  suspect& it = suspects_[part];
  const unsigned times = it.span ? it.span->times + 1 : 1;
  constexpr unsigned max_doublings = 10;
  const milliseconds span =
      std::min(first_span * (1 << std::min(times - 1, max_doublings)), max_span);
  it.span = {now, now + span, times};
  it.changed = now;
  changes.push_back({part, true, crashes, span});
}

void
prompt_quarantine::evaluate(wall_time now, quarantine_changes& changes) {
  std::vector<const suspect*> quarantined;
  for (const auto& [part, it] : suspects_) {
    if (it.quarantined(now)) {
      quarantined.push_back(&it);
    }
  }
  std::vector<std::uint64_t> worst;
  std::size_t most = 0;
  for (const auto& [part, it] : suspects_) {
    if (it.crashes.empty() || it.quarantined(now)) {
      continue;
    }
    const std::size_t crashes = crashes_against(it, quarantined);
    if (it.span && crashes > 0) {
      start_span(now, part, crashes, changes);
      continue;
    }
    if (crashes > most) {
      most = crashes;
      worst.clear();
    }
    if (crashes == most) {
      worst.push_back(part);
    }
  }
  if (most < crashes_to_quarantine || (worst.size() > 1 && most < crashes_to_quarantine_all)) {
    return;
  }
  for (const auto part : worst) {
    start_span(now, part, most, changes);
  }
  // What the quarantined parts do not account for may be due to another one.
  evaluate(now, changes);
}

void
prompt_quarantine::expire(wall_time now) {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    suspect& row = it->second;
    std::erase_if(row.crashes, [&](const auto& crash) { return now - crash.at >= retention; });
    if (row.span && now >= row.span->until + retention) {
      row.span.reset();
    }
    const bool done = !row.span && row.crashes.empty() &&
                      now - std::max(row.changed, row.disputed) >= shared_period;
    it = done ? suspects_.erase(it) : std::next(it);
  }
}

quarantine_changes
prompt_quarantine::on_crash(wall_time now, std::uint64_t process, const part_ids& parts) {
  expire(now);
  bool added = false;
  for (const auto part : parts) {
    suspect* it = find_or_add(now, part);
    added = (it != nullptr && add_crash(now, *it, {process, now})) || added;
  }
  quarantine_changes changes;
  if (added) {
    evaluate(now, changes);
  }
  return changes;
}

quarantine_changes
prompt_quarantine::on_completed(wall_time now, const part_ids& parts) {
  if (now - completions_.rotated >= completions_period) {
    completions_.previous = std::exchange(completions_.current, {});
    completions_.rotated = now;
  }
  quarantine_changes changes;
  for (const auto part : parts) {
    completions_.current[part] = now;
    const auto it = suspects_.find(part);
    if (it != suspects_.end() && clear(now, it->second, now)) {
      changes.push_back({part, false, 0, milliseconds{0}});
    }
  }
  return changes;
}

quarantine_changes
prompt_quarantine::merge(wall_time now, const std::vector<suspect_notice>& notices) {
  quarantine_changes changes;
  bool added = false;
  for (const auto& notice : notices) {
    suspect* it = find_or_add(now, notice.part);
    if (it == nullptr) {
      continue;
    }
    // A peer's clock may be ahead; what it reports has happened.
    if (clear(now, *it, std::min(now, notice.cleared))) {
      changes.push_back({notice.part, false, 0, milliseconds{0}});
    }
    for (const auto& crash : notice.crashes) {
      added = add_crash(now, *it, {crash.process, std::clamp(crash.at, wall_time{}, now)}) || added;
    }
    if (notice.span && adopt_span(now, *it, *notice.span)) {
      changes.push_back({notice.part, true, it->crashes.size(),
                         std::chrono::ceil<milliseconds>(it->span->until - now)});
    }
  }
  if (added) {
    evaluate(now, changes);
  }
  return changes;
}

std::optional<milliseconds>
prompt_quarantine::time_left(wall_time now, const part_ids& parts) const {
  std::optional<milliseconds> longest;
  for (const auto part : parts) {
    const auto it = suspects_.find(part);
    if (it != suspects_.end() && it->second.quarantined(now)) {
      const auto left = std::chrono::ceil<milliseconds>(it->second.span->until - now);
      longest = std::max(longest.value_or(left), left);
    }
  }
  return longest;
}

std::vector<suspect_notice>
prompt_quarantine::current(wall_time now) {
  expire(now);
  using row = std::pair<std::uint64_t, const suspect*>;
  std::vector<row> rows;
  std::vector<row> disputed;
  for (const auto& [part, it] : suspects_) {
    if (it.quarantined(now) || (!it.crashes.empty() && now - it.changed < shared_period)) {
      rows.emplace_back(part, &it);
    } else if (now - it.disputed < shared_period) {
      disputed.emplace_back(part, &it);
    }
  }
  std::stable_sort(rows.begin(), rows.end(), [&](const row& a, const row& b) {
    const bool a_first = a.second->quarantined(now);
    const bool b_first = b.second->quarantined(now);
    return a_first != b_first ? a_first : a.second->crashes.size() > b.second->crashes.size();
  });
  std::stable_sort(disputed.begin(), disputed.end(), [](const row& a, const row& b) {
    return a.second->disputed > b.second->disputed;
  });
  rows.resize(std::min(rows.size(), max_shared_suspects));
  disputed.resize(std::min(disputed.size(), max_shared_disputed));
  rows.insert(rows.end(), disputed.begin(), disputed.end());
  std::vector<suspect_notice> notices;
  for (const auto& [part, it] : rows) {
    const auto shared = std::min(it->crashes.size(), max_shared_crashes);
    notices.push_back({part,
                       it->cleared,
                       {it->crashes.end() - static_cast<std::ptrdiff_t>(shared), it->crashes.end()},
                       it->span});
  }
  return notices;
}

std::size_t
prompt_quarantine::size(wall_time now) const {
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [&](const auto& row) { return row.second.quarantined(now); }));
}

} // namespace nutmegspur
