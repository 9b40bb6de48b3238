// Rounds of probes, and what follows from their results.
#include <nutmegspur/path_watch.h>

#include <algorithm>
#include <tuple>

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
  last_bytes_ = now.boot;
  last_heard_[it->second.upstream] = now.boot;
}

void
path_watch::hold(evidence apply) {
  if (state_ == path_state::cut) {
    return;
  }
  held_.push_back(std::move(apply));
  suspected_ = true;
}

bool
path_watch::silent(const moment& now) const {
  if (heard(now, silence_limit)) {
    return false;
  }
  std::set<upstream_id> waiting;
  for (const auto& [number, it] : attempts_) {
    if (now.boot - it.last_active >= silence_limit) {
      waiting.insert(it.upstream);
    }
  }
  return waiting.size() >= min_silent;
}

std::vector<upstream_id>
path_watch::choose(const std::vector<const listed_upstream*>& listed) const {
  const auto time_of = [](const auto& times, const upstream_id& id) {
    const auto it = times.find(id);
    return it == times.end() ? time_point{} : it->second;
  };
  // While clear, those that responded last are the most likely to respond; while cut off, all in
  // turn.
  std::vector<const listed_upstream*> order = listed;
  std::stable_sort(order.begin(), order.end(), [&](const auto* a, const auto* b) {
    return state_ == path_state::clear
               ? time_of(last_heard_, a->id) > time_of(last_heard_, b->id)
               : time_of(last_probed_, a->id) < time_of(last_probed_, b->id);
  });
  // The first of each service comes first: all upstreams of a service may be down.
  std::set<service_id> services;
  std::stable_partition(order.begin(), order.end(),
                        [&](const auto* it) { return services.insert(it->service).second; });
  std::vector<upstream_id> chosen;
  for (const auto* it : order) {
    if (chosen.size() == probes_per_round) {
      break;
    }
    chosen.push_back(it->id);
  }
  return chosen;
}

std::vector<upstream_id>
path_watch::step(const moment& now, const std::vector<const listed_upstream*>& listed) {
  const auto gap = state_ == path_state::cut ? cut_round_gap : min_round_gap;
  const bool wanted = suspected_ || state_ == path_state::cut || silent(now);
  if (!wanted || !probing_.empty() || listed.empty() ||
      (round_started_ != time_point{} && now.boot - round_started_ < gap)) {
    return {};
  }
  round_started_ = now.boot;
  suspected_ = false;
  auto chosen = choose(listed);
  for (const auto& id : chosen) {
    probing_.insert(id);
    last_probed_[id] = now.boot;
  }
  // Forgets upstreams that are gone.
  std::set<upstream_id> present;
  for (const auto* it : listed) {
    present.insert(it->id);
  }
  for (auto* times : {&last_heard_, &last_probed_}) {
    std::erase_if(*times, [&](const auto& row) { return !present.contains(row.first); });
  }
  return chosen;
}

std::optional<path_state>
path_watch::on_probe_end(const moment& now, const upstream_id& id, bool reached, bool other_way) {
  if (probing_.erase(id) == 0) {
    return std::nullopt; // Of a round that is over.
  }
  if (reached) {
    last_bytes_ = now.boot;
    last_heard_[id] = now.boot;
    return finish_round(path_state::clear);
  }
  if (!probing_.empty()) {
    return std::nullopt;
  }
  return finish_round(other_way ? path_state::cut : path_state::clear);
}

std::optional<path_state>
path_watch::finish_round(path_state next) {
  probing_.clear();
  if (next == path_state::clear) {
    apply_held();
  } else {
    held_.clear();
    suspected_ = false;
  }
  if (next == state_) {
    return std::nullopt;
  }
  state_ = next;
  return next;
}

void
path_watch::apply_held() {
  suspected_ = false;
  const std::vector<evidence> all = std::exchange(held_, {});
  for (const auto& it : all) {
    it();
  }
}

} // namespace nutmegspur
