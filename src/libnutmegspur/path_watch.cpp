// Which paths are in doubt, which are probed, and what follows from the results.
#include <nutmegspur/path_watch.h>

#include <algorithm>
#include <utility>

namespace nutmegspur {

std::uint64_t
path_watch::on_started(const moment& now, const upstream_id& id) {
  attempts_[++last_attempt_] = {id, now.boot};
  return last_attempt_;
}

void
path_watch::on_bytes(const moment& now, std::uint64_t attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) {
    return;
  }
  it->second.last_active = now.boot;
  // Says nothing about new connections: a path that is cut stays so until a probe succeeds.
  paths_[it->second.upstream].last_heard = now.boot;
}

void
path_watch::hold(const upstream_id& id, evidence apply) {
  path& it = paths_[id];
  if (it.state == path_state::cut) {
    return;
  }
  it.held.push_back(std::move(apply));
  doubt(it);
}

void
path_watch::doubt(path& it) {
  if (it.state == path_state::clear) {
    it.state = path_state::doubtful;
    it.wanted = true;
  }
}

path_state
path_watch::state(const upstream_id& id) const {
  const auto it = paths_.find(id);
  return it == paths_.end() ? path_state::clear : it->second.state;
}

path_counts
path_watch::counts() const {
  path_counts counts;
  for (const auto& [id, it] : paths_) {
    counts[it.state]++;
  }
  return counts;
}

bool
path_watch::heard(const moment& now, const upstream_id& id, milliseconds period) const {
  const auto it = paths_.find(id);
  return it != paths_.end() && it->second.last_heard != time_point{} &&
         now.boot - it->second.last_heard < period;
}

void
path_watch::update_paths(const std::vector<const listed_upstream*>& listed) {
  std::set<upstream_id> present;
  for (const auto* it : listed) {
    present.insert(it->id);
    paths_[it->id].service = it->service;
  }
  std::vector<path> gone;
  std::erase_if(paths_, [&](auto& row) {
    if (present.contains(row.first)) {
      return false;
    }
    gone.push_back(std::move(row.second));
    return true;
  });
  // Last: evidence may concern other paths.
  for (auto& it : gone) {
    release(it);
  }
}

void
path_watch::doubt_silent(const moment& now) {
  std::map<service_id, std::set<upstream_id>> silent;
  std::optional<std::pair<milliseconds, upstream_id>> longest;
  for (const auto& [number, it] : attempts_) {
    const auto row = paths_.find(it.upstream);
    const auto passed = std::chrono::duration_cast<milliseconds>(now.boot - it.last_active);
    if (row == paths_.end() || row->second.state != path_state::clear || passed < silence_limit) {
      continue;
    }
    silent[row->second.service].insert(it.upstream);
    if (!heard(now, it.upstream, long_silence_limit) && (!longest || passed > longest->first)) {
      longest = {passed, it.upstream};
    }
  }
  for (const auto& [service, ids] : silent) {
    const bool any_heard =
        std::any_of(paths_.begin(), paths_.end(), [&, &name = service](const auto& row) {
          return row.second.service == name && heard(now, row.first, silence_limit);
        });
    if (ids.size() >= min_silent && !any_heard) {
      for (auto it = ids.begin(); it != std::next(ids.begin(), min_silent); ++it) {
        doubt(paths_[*it]);
      }
    }
  }
  if (longest && longest->first >= long_silence_limit &&
      now.boot - last_long_silence_ >= long_silence_gap) {
    last_long_silence_ = now.boot;
    doubt(paths_[longest->second]);
  }
}

void
path_watch::question_others(const moment& now) {
  std::erase_if(recent_cuts_, [&](const auto& at) { return now.boot - at >= spread_period; });
  if (samples_wanted_ == 0) {
    return;
  }
  const bool all = recent_cuts_.size() >= cuts_to_spread;
  std::vector<path*> others;
  for (auto& [id, it] : paths_) {
    if (it.state == path_state::clear && !heard(now, id, recently_heard)) {
      others.push_back(&it);
    }
  }
  // Those that were heard longest ago, which are not all of one zone or service.
  std::stable_sort(others.begin(), others.end(),
                   [](const path* a, const path* b) { return a->last_heard < b->last_heard; });
  if (!all) {
    others.resize(std::min(others.size(), samples_wanted_));
  }
  samples_wanted_ = 0;
  for (path* it : others) {
    it->state = all ? path_state::unproved : path_state::doubtful;
    it->wanted = true;
  }
}

std::vector<upstream_id>
path_watch::take_probes(const moment& now) {
  std::vector<std::pair<time_point, upstream_id>> rechecks;
  std::vector<upstream_id> chosen;
  for (const auto& [id, it] : paths_) {
    if (it.probing) {
      continue;
    }
    if (it.wanted && chosen.size() < probes_per_step) {
      chosen.push_back(id);
    } else if (it.state == path_state::cut) {
      rechecks.emplace_back(it.last_probed, id);
    }
  }
  std::sort(rechecks.begin(), rechecks.end());
  const bool round_due = now.boot - last_recheck_ >= recheck_period;
  if (round_due && !rechecks.empty()) {
    last_recheck_ = now.boot;
  }
  std::size_t in_round = 0;
  for (const auto& [last_probed, id] : rechecks) {
    const bool due =
        last_probed < recheck_all_before_ || (round_due && in_round < rechecks_per_round);
    if (due && chosen.size() < probes_per_step) {
      in_round++;
      chosen.push_back(id);
    }
  }
  for (const auto& id : chosen) {
    path& it = paths_[id];
    it.probing = true;
    it.wanted = false;
    it.last_probed = now.boot;
  }
  return chosen;
}

std::vector<upstream_id>
path_watch::step(const moment& now, const std::vector<const listed_upstream*>& listed) {
  update_paths(listed);
  doubt_silent(now);
  question_others(now);
  return take_probes(now);
}

path_watch::next_step
path_watch::become_cut(const moment& now, path& it) {
  it.held.clear();
  const bool found = std::exchange(it.state, path_state::cut) != path_state::cut;
  if (!found) {
    return next_step::none;
  }
  recent_cuts_.push_back(now.boot);
  samples_wanted_ += sample_size;
  return next_step::cut;
}

path_watch::next_step
path_watch::on_probe_end(const moment& now, const upstream_id& id, bool reached) {
  const auto row = paths_.find(id);
  if (row == paths_.end() || !row->second.probing) {
    return next_step::none;
  }
  path& it = row->second;
  it.probing = false;
  const path_state before = it.state;
  if (reached) {
    it.last_heard = now.boot;
    it.state = path_state::clear;
    if (before == path_state::cut) {
      recheck_all_before_ = now.boot;
    }
    release(it);
    return before == path_state::cut ? next_step::regained : next_step::none;
  }
  if (before == path_state::doubtful && recent_cuts_.empty()) {
    return next_step::ask_peers;
  }
  // Beside other cuts the path is the likelier fault, and a peer that is asked to forward finds
  // out.
  return before == path_state::clear ? next_step::none : become_cut(now, it);
}

path_watch::next_step
path_watch::on_peers_end(const moment& now, const upstream_id& id, bool reached) {
  const auto row = paths_.find(id);
  if (row == paths_.end() || row->second.state != path_state::doubtful) {
    return next_step::none;
  }
  if (reached) {
    return become_cut(now, row->second);
  }
  row->second.state = path_state::clear;
  release(row->second);
  return next_step::none;
}

void
path_watch::release(path& it) {
  const std::vector<evidence> all = std::exchange(it.held, {});
  for (const auto& apply : all) {
    apply();
  }
}

} // namespace nutmegspur
