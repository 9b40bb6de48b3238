/// \file fair_deadline_policy.cpp
/// Admission by deadline with fair sharing between teams.
///
/// A request whose estimated end misses its deadline is refused at once, with the time after which
/// the same request would make it. Among the teams that wait, those with the least service are
/// next; between teams that are about even, the more urgent request.

#include <nutmegspur/policy.h>
#include <nutmegspur/team_shares.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>

namespace nutmegspur {

namespace {

/// Teams whose counters differ by less are even, in thousandths of weighted tokens.
constexpr std::int64_t even_quantum_milli = 2'000'000;
/// Bounds of the time to come back.
constexpr milliseconds least_retry{100};
constexpr milliseconds most_retry{60'000};
constexpr milliseconds retry_without_upstreams{1000};
/// Recent service over its share that a team may have before its placements must end earlier.
constexpr double tolerated_share = 2.0;
/// Least part of the time until its deadline that such a placement is given.
constexpr double least_allowed = 0.65;
/// How fast the measured drain rate follows.
constexpr double rate_memory = 0.7;
constexpr seconds rate_period{1};
constexpr double micros_per_second = 1e6;

/// Order within a team: class, deadline, then arrival.
struct urgency {
  request_class priority = request_class::standard;
  time_point deadline;
  std::uint64_t request = 0;

  auto operator<=>(const urgency&) const = default;
};

urgency
urgency_of(const waiting_request& it) {
  return {it.priority, it.deadline, it.request.value};
}

/// Measures how much cost leaves the queue in a second while there is a queue.
class drain_meter {
 public:
  /// Time passed; `backlogged` says whether requests waited since the last call.
  void pass(time_point now, bool backlogged) {
    if (backlogged && now > last_) {
      busy_ += now - last_;
    }
    last_ = std::max(last_, now);
    if (busy_ >= rate_period) {
      const double rate = static_cast<double>(drained_milli_) * micros_per_second /
                          static_cast<double>(busy_.count());
      rate_ = rate_ == 0 ? rate : rate_memory * rate_ + (1 - rate_memory) * rate;
      busy_ = duration{0};
      drained_milli_ = 0;
    }
  }

  void drained(std::uint64_t cost_milli) { drained_milli_ += cost_milli; }

  /// Thousandths of weighted tokens a second; 0 while nothing was measured.
  [[nodiscard]] double rate() const { return rate_; }

 private:
  time_point last_{};
  duration busy_{0};
  std::uint64_t drained_milli_ = 0;
  double rate_ = 0;
};

class fair_deadline_policy final : public admission_policy {
 public:
  explicit fair_deadline_policy(const admission_options& options) : options_(options) {}

  result<void> enqueue(const waiting_request& it, const capacity_estimate& capacity,
                       const moment& now) override {
    meter_.pass(now.boot, !requests_.empty());
    if (capacity.upstreams_taking_work == 0) {
      return fail({error_code::unavailable, step::admit, "", "no upstream takes work",
                   outcome::not_run, retry_without_upstreams});
    }
    if (requests_.size() >= options_.max_waiting) {
      return refuse_full(capacity);
    }
    const auto service = service_time(it, capacity);
    if (now.boot + service > it.deadline) {
      return fail({error_code::deadline_exceeded, step::admit, "",
                   "the request takes longer than its deadline allows", outcome::not_run});
    }
    const auto end = now.boot + wait_time(it, capacity) + service;
    if (end > it.deadline) {
      return fail({error_code::overloaded, step::admit, "",
                   "the backlog would carry the request past its deadline", outcome::not_run,
                   retry_after(end - it.deadline)});
    }
    insert(it);
    return {};
  }

  std::optional<waiting_request> peek(const moment& now) override {
    meter_.pass(now.boot, !requests_.empty());
    shares_.fade(now.boot);
    const auto* next = next_request();
    if (next == nullptr) {
      return std::nullopt;
    }
    auto it = *next;
    it.place_by = place_by(it);
    return it;
  }

  std::vector<waiting_request> candidates(const moment& now, std::size_t most) override {
    const auto first = peek(now);
    if (!first || most == 0) {
      return {};
    }
    std::vector<waiting_request> found{*first};
    for (const auto& it : class_heads()) {
      if (found.size() < most && it.request != first->request) {
        found.push_back(it);
        found.back().place_by = place_by(it);
      }
    }
    return found;
  }

  void remove(request_id request, bool placed) override {
    const auto it = requests_.find(request);
    if (it == requests_.end()) {
      return;
    }
    if (placed) {
      meter_.drained(it->second.cost_milli);
      shares_.charge(it->second.team, static_cast<std::int64_t>(it->second.cost_milli));
    }
    erase(request);
  }

  std::vector<waiting_request> expire(const capacity_estimate& capacity,
                                      const moment& now) override {
    std::vector<waiting_request> late;
    for (const auto& [id, it] : requests_) {
      if (now.boot + service_time(it, capacity) > it.deadline) {
        late.push_back(it);
      }
    }
    std::sort(late.begin(), late.end(),
              [](const auto& a, const auto& b) { return a.request < b.request; });
    for (const auto& it : late) {
      erase(it.request);
    }
    return late;
  }

  void settle(const team_id& team, std::uint64_t expected_milli,
              std::uint64_t actual_milli) override {
    shares_.charge(team, static_cast<std::int64_t>(actual_milli) -
                             static_cast<std::int64_t>(expected_milli));
  }

  void add_remote_service(const team_id& team, std::uint64_t cost_milli) override {
    shares_.charge_remote(team, cost_milli);
  }

  std::vector<team_service_entry> take_local_service() override {
    auto entries = shares_.take_local();
    for (auto& it : entries) {
      const auto found = teams_.find(it.team);
      it.waiting = found == teams_.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
    }
    return entries;
  }

  [[nodiscard]] std::size_t waiting() const override { return requests_.size(); }

 private:
  using team_queue = std::map<urgency, request_id>;

  [[nodiscard]] time_point place_by(const waiting_request& it) const {
    const double over = shares_.recent_share(it.team) / tolerated_share;
    if (over <= 1) {
      return it.deadline;
    }
    const auto allowed = static_cast<double>((it.deadline - it.arrived).count());
    return it.arrived +
           duration{static_cast<std::int64_t>(allowed * std::max(least_allowed, 1 / over))};
  }

  void insert(const waiting_request& it) {
    shares_.enter(it.team, it.team_weight);
    teams_[it.team][urgency_of(it)] = it.request;
    queued_milli_ += it.cost_milli;
    requests_[it.request] = it;
  }

  void erase(request_id request) {
    const auto node = requests_.extract(request);
    const auto& it = node.mapped();
    auto& queue = teams_[it.team];
    queue.erase(urgency_of(it));
    if (queue.empty()) {
      teams_.erase(it.team);
      shares_.leave(it.team);
    }
    queued_milli_ -= it.cost_milli;
  }

  const waiting_request* next_request() {
    if (teams_.empty()) {
      return nullptr;
    }
    auto least = std::numeric_limits<std::int64_t>::max();
    for (const auto& [team, queue] : teams_) {
      least = std::min(least, shares_.counter(team));
    }
    shares_.advance_to(least);
    const team_queue* best = nullptr;
    for (const auto& [team, queue] : teams_) {
      const bool even = shares_.counter(team) <= least + even_quantum_milli;
      if (even && (best == nullptr || queue.begin()->first < best->begin()->first)) {
        best = &queue;
      }
    }
    return &requests_.at(best->begin()->second);
  }

  /// The most urgent request of each team and class, teams with the least service first.
  [[nodiscard]] std::vector<waiting_request> class_heads() const {
    std::vector<const team_queue*> queues;
    for (const auto& [team, queue] : teams_) {
      queues.push_back(&queue);
    }
    const auto served = [this](const team_queue* queue) {
      return shares_.counter(requests_.at(queue->begin()->second).team);
    };
    std::stable_sort(queues.begin(), queues.end(),
                     [&](const auto* a, const auto* b) { return served(a) < served(b); });
    std::vector<waiting_request> heads;
    for (const auto* queue : queues) {
      auto it = queue->begin();
      while (it != queue->end()) {
        heads.push_back(requests_.at(it->second));
        const auto next_class = static_cast<int>(it->first.priority) + 1;
        it = queue->lower_bound({static_cast<request_class>(next_class), time_point::min(), 0});
      }
    }
    return heads;
  }

  [[nodiscard]] double drain_rate(const capacity_estimate& capacity) const {
    return meter_.rate() > 0 ? meter_.rate() : static_cast<double>(capacity.cost_milli_per_second);
  }

  [[nodiscard]] duration time_for(double cost_milli, const capacity_estimate& capacity) const {
    const auto rate = drain_rate(capacity);
    if (rate <= 0) {
      return duration{0};
    }
    return duration{static_cast<std::int64_t>(cost_milli / rate * micros_per_second)};
  }

  [[nodiscard]] duration service_time(const waiting_request& it,
                                      const capacity_estimate& capacity) const {
    if (it.expected_service_time > milliseconds{0}) {
      return it.expected_service_time;
    }
    const auto rate = static_cast<double>(capacity.cost_milli_per_second);
    if (rate <= 0) {
      return duration{0};
    }
    const auto cost = static_cast<double>(it.cost_milli);
    const double share = rate / std::max(1U, capacity.upstreams_taking_work);
    return duration{static_cast<std::int64_t>(cost / share * micros_per_second)};
  }

  /// Cost that goes before `it`: its own team's more urgent requests at the team's share of the
  /// rate, but never more than the whole queue.
  [[nodiscard]] duration wait_time(const waiting_request& it,
                                   const capacity_estimate& capacity) const {
    std::uint64_t ahead = 0;
    std::uint64_t weights = it.team_weight;
    for (const auto& [team, queue] : teams_) {
      if (team != it.team) {
        weights += requests_.at(queue.begin()->second).team_weight;
        continue;
      }
      for (const auto& [when, request] : queue) {
        ahead += when < urgency_of(it) ? requests_.at(request).cost_milli : 0;
      }
    }
    const double shared =
        static_cast<double>(ahead) * static_cast<double>(weights) / std::max(1U, it.team_weight);
    return time_for(std::min(shared, static_cast<double>(queued_milli_)), capacity);
  }

  static milliseconds retry_after(duration excess) {
    return std::clamp(std::chrono::ceil<milliseconds>(excess), least_retry, most_retry);
  }

  result<void> refuse_full(const capacity_estimate& capacity) const {
    const auto one = static_cast<double>(queued_milli_) / static_cast<double>(requests_.size());
    return fail({error_code::overloaded, step::admit, "", "the queue is full", outcome::not_run,
                 retry_after(time_for(one, capacity))});
  }

  admission_options options_;
  drain_meter meter_;
  team_shares shares_;
  // Invariant: teams_ holds exactly the requests of requests_, and no empty queue;
  // queued_milli_ is their cost.
  std::map<team_id, team_queue> teams_;
  std::unordered_map<request_id, waiting_request> requests_;
  std::uint64_t queued_milli_ = 0;
};

[[maybe_unused]] const bool registered =
    admission_registry::instance().add("fair_deadline", [](const admission_options& options) {
      return std::make_unique<fair_deadline_policy>(options);
    });

} // namespace

} // namespace nutmegspur
