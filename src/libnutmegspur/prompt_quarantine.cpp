// Evidence against prompt parts on which engines crash.
#include <nutmegspur/hashing.h>
#include <nutmegspur/prompt_quarantine.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// Completed responses are remembered for one to two of these periods, so that evidence that a peer
/// reports late is compared with what completed meanwhile.
constexpr milliseconds completions_period{5'000};

/// Whether a prompt with `parts` has all parts of `group`.
bool
has_all(const part_ids& parts, const part_ids& group) {
  return std::includes(parts.begin(), parts.end(), group.begin(), group.end());
}

milliseconds
span_of(unsigned times) {
  constexpr unsigned max_doublings = 10;
  const unsigned doublings = std::min(std::max(times, 1U) - 1, max_doublings);
  return std::min(prompt_quarantine::first_span * (1 << doublings), prompt_quarantine::max_span);
}

milliseconds
time_until(wall_time now, wall_time end) {
  return std::chrono::ceil<milliseconds>(end - now);
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
  it.cleared = last_completed(part);
  it.changed = now;
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

void
prompt_quarantine::add_crash(wall_time now, suspect& it, const part_crash& crash) {
  if (crash.at <= it.cleared) {
    it.disputed = now;
    return;
  }
  const bool known = std::any_of(it.crashes.begin(), it.crashes.end(),
                                 [&](const auto& row) { return row.process == crash.process; });
  if (known || now - crash.at >= retention) {
    return;
  }
  const auto place = std::upper_bound(it.crashes.begin(), it.crashes.end(), crash,
                                      [](const auto& a, const auto& b) { return a.at < b.at; });
  it.crashes.insert(place, crash);
  if (it.crashes.size() > max_crashes) {
    it.crashes.erase(it.crashes.begin());
  }
  it.changed = now;
}

void
prompt_quarantine::clear(wall_time now, std::uint64_t part, wall_time when,
                         quarantine_changes& changes) {
  const auto found = suspects_.find(part);
  if (found == suspects_.end() || when <= found->second.cleared) {
    return;
  }
  suspect& it = found->second;
  it.cleared = when;
  it.changed = now;
  std::erase_if(it.crashes, [&](const auto& row) { return row.at <= when; });
  for (auto group = groups_.begin(); group != groups_.end();) {
    if (when > group->since) {
      std::erase(group->parts, part);
    }
    if (!group->parts.empty()) {
      ++group;
      continue;
    }
    if (now < group->until) {
      changes.push_back({{part}, false, 0, milliseconds{0}});
    }
    group = groups_.erase(group);
  }
}

bool
prompt_quarantine::add_group(wall_time now, quarantined_group group) {
  bool was_in_force = false;
  for (const auto& it : groups_) {
    // A group that is a part of this one already refuses all that this one would.
    if (has_all(group.parts, it.parts) && it.until >= group.until) {
      return true;
    }
    was_in_force = was_in_force || (it.parts == group.parts && now < it.until);
  }
  std::erase_if(groups_, [&](const auto& it) {
    return has_all(it.parts, group.parts) && it.until <= group.until;
  });
  groups_.push_back(std::move(group));
  return was_in_force;
}

bool
prompt_quarantine::ended_with(const part_ids& parts, std::uint64_t process) const {
  return std::all_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
    const auto it = suspects_.find(part);
    return it != suspects_.end() &&
           std::any_of(it->second.crashes.begin(), it->second.crashes.end(),
                       [&](const auto& row) { return row.process == process; });
  });
}

bool
prompt_quarantine::explained(std::uint64_t part, std::uint64_t process) const {
  return std::any_of(groups_.begin(), groups_.end(), [&](const auto& it) {
    return it.parts.size() == 1 && it.parts.front() != part && ended_with(it.parts, process);
  });
}

prompt_quarantine::crash_counts
prompt_quarantine::crashes_against(wall_time now, std::uint64_t part, const suspect& it) const {
  crash_counts counts;
  wall_time last{};
  for (const auto& crash : it.crashes) {
    if (now - crash.at < settling_time || explained(part, crash.process)) {
      continue;
    }
    counts.processes++;
    if (crash.at - last >= rules_.min_spacing) {
      last = crash.at;
      counts.in_turn++;
    }
  }
  return counts;
}

wall_time
prompt_quarantine::evidence_time(wall_time now, const part_ids& parts) const {
  wall_time earliest = now;
  for (const auto part : parts) {
    wall_time latest{};
    for (const auto& crash : suspects_.at(part).crashes) {
      latest = now - crash.at >= settling_time ? crash.at : latest;
    }
    earliest = std::min(earliest, latest);
  }
  return earliest;
}

void
prompt_quarantine::quarantine_group(wall_time now, const part_ids& parts, milliseconds span,
                                    std::size_t crashes, quarantine_changes& changes) {
  const bool known = std::any_of(groups_.begin(), groups_.end(),
                                 [&](const auto& it) { return has_all(parts, it.parts); });
  if (!known) {
    add_group(now, {parts, evidence_time(now, parts), now + span, 1});
    changes.push_back({parts, true, crashes, span});
  }
}

void
prompt_quarantine::quarantine_worst(wall_time now, quarantine_changes& changes) {
  part_ids worst;
  std::size_t most = rules_.crashes;
  for (const auto& [part, it] : suspects_) {
    const bool alone = std::any_of(groups_.begin(), groups_.end(), [id = part](const auto& group) {
      return group.parts.size() == 1 && group.parts.front() == id;
    });
    if (alone || it.crashes.size() < most) {
      continue;
    }
    const crash_counts counts = crashes_against(now, part, it);
    if (counts.in_turn < rules_.crashes || counts.processes < most) {
      continue;
    }
    if (counts.processes > most) {
      most = counts.processes;
      worst.clear();
    }
    worst.push_back(part);
  }
  if (worst.empty() || worst.size() > max_group_parts) {
    return;
  }
  if (!rules_.separately) {
    quarantine_group(now, worst, span_of(1), most, changes);
    return;
  }
  const milliseconds span = worst.size() == 1 ? span_of(1) : tied_span;
  for (const auto part : worst) {
    quarantine_group(now, {part}, span, most, changes);
  }
}

void
prompt_quarantine::renew_ended(wall_time now, quarantine_changes& changes) {
  for (auto& group : groups_) {
    const auto first = suspects_.find(group.parts.front());
    if (now < group.until || first == suspects_.end()) {
      continue;
    }
    const auto& crashes = first->second.crashes;
    const auto again = std::find_if(crashes.begin(), crashes.end(), [&](const auto& row) {
      return row.at > group.until && now - row.at >= settling_time &&
             ended_with(group.parts, row.process) && !explained(group.parts.front(), row.process);
    });
    if (again != crashes.end()) {
      group.times++;
      group.since = again->at;
      group.until = now + span_of(group.times);
      changes.push_back({group.parts, true, 1, span_of(group.times)});
    }
  }
}

void
prompt_quarantine::expire(wall_time now) {
  std::erase_if(groups_, [&](const auto& it) { return now >= it.until + retention; });
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    suspect& row = it->second;
    std::erase_if(row.crashes, [&](const auto& crash) { return now - crash.at >= retention; });
    const bool in_group = std::any_of(groups_.begin(), groups_.end(), [&](const auto& group) {
      return std::binary_search(group.parts.begin(), group.parts.end(), it->first);
    });
    const bool done = !in_group && row.crashes.empty() &&
                      now - std::max(row.changed, row.disputed) >= shared_period;
    it = done ? suspects_.erase(it) : std::next(it);
  }
}

void
prompt_quarantine::on_crash(wall_time now, std::uint64_t process, const part_ids& parts) {
  for (const auto part : parts) {
    if (suspect* it = find_or_add(now, part)) {
      add_crash(now, *it, {process, now});
    }
  }
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
    clear(now, part, now, changes);
  }
  return changes;
}

quarantine_changes
prompt_quarantine::merge(wall_time now, const quarantine_notice& notice) {
  // A peer's clock may be ahead; what it reports has happened.
  const auto past = [&](wall_time at) { return std::clamp(at, wall_time{}, now); };
  quarantine_changes changes;
  for (const auto& row : notice.suspects) {
    suspect* it = find_or_add(now, row.part);
    if (it == nullptr) {
      continue;
    }
    clear(now, row.part, past(row.cleared), changes);
    for (const auto& crash : row.crashes) {
      add_crash(now, *it, {crash.process, past(crash.at)});
    }
  }
  for (quarantined_group group : notice.groups) {
    if (group.parts.size() > max_group_parts) {
      continue;
    }
    group.until = std::min(group.until, now + max_span);
    std::erase_if(group.parts, [&](std::uint64_t part) {
      suspect* it = find_or_add(now, part);
      const bool refuted = it != nullptr && it->cleared > group.since;
      if (refuted) {
        it->disputed = now;
      }
      return refuted;
    });
    std::sort(group.parts.begin(), group.parts.end());
    const bool in_force = now < group.until && !group.parts.empty();
    if (in_force && !add_group(now, group)) {
      changes.push_back({group.parts, true, 0, time_until(now, group.until)});
    }
  }
  return changes;
}

quarantine_changes
prompt_quarantine::step(wall_time now) {
  quarantine_changes changes;
  if (suspects_.empty() && groups_.empty()) {
    return changes;
  }
  expire(now);
  quarantine_worst(now, changes);
  renew_ended(now, changes);
  return changes;
}

std::optional<milliseconds>
prompt_quarantine::time_left(wall_time now, const part_ids& parts) const {
  std::optional<milliseconds> longest;
  for (const auto& it : groups_) {
    if (now < it.until && has_all(parts, it.parts)) {
      const auto left = time_until(now, it.until);
      longest = std::max(longest.value_or(left), left);
    }
  }
  return longest;
}

quarantine_notice
prompt_quarantine::current(wall_time now) const {
  using row = std::pair<std::uint64_t, const suspect*>;
  std::vector<row> rows;
  std::vector<row> disputed;
  for (const auto& [part, it] : suspects_) {
    if (!it.crashes.empty() && now - it.changed < shared_period) {
      rows.emplace_back(part, &it);
    } else if (now - it.disputed < shared_period) {
      disputed.emplace_back(part, &it);
    }
  }
  // The order of those with as many crashes differs from notice to notice, so that peers are told
  // of all of them in turn.
  const auto salt = static_cast<std::uint64_t>(now.time_since_epoch().count());
  std::stable_sort(rows.begin(), rows.end(), [&](const row& a, const row& b) {
    const auto order = [&](const row& it) {
      return std::pair{it.second->crashes.size(), mix_bits(it.first ^ salt)};
    };
    return order(a) > order(b);
  });
  std::stable_sort(disputed.begin(), disputed.end(), [](const row& a, const row& b) {
    return a.second->disputed > b.second->disputed;
  });
  rows.resize(std::min(rows.size(), rules_.max_shared_suspects));
  disputed.resize(std::min(disputed.size(), max_shared_disputed));
  rows.insert(rows.end(), disputed.begin(), disputed.end());
  quarantine_notice notice;
  for (const auto& [part, it] : rows) {
    const auto shared =
        static_cast<std::ptrdiff_t>(std::min(it->crashes.size(), rules_.max_shared_crashes));
    notice.suspects.push_back({part, it->cleared, {it->crashes.end() - shared, it->crashes.end()}});
  }
  for (const auto& it : groups_) {
    if (now < it.until && notice.groups.size() < max_shared_groups) {
      notice.groups.push_back(it);
    }
  }
  return notice;
}

std::size_t
prompt_quarantine::size(wall_time now) const {
  return static_cast<std::size_t>(std::count_if(groups_.begin(), groups_.end(),
                                                [&](const auto& it) { return now < it.until; }));
}

} // namespace nutmegspur
