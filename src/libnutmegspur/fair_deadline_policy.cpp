/// \file fair_deadline_policy.cpp
/// Admission by deadline with fair sharing between teams.
///
/// A request that is estimated to miss its deadline is refused at once, with the time after which
/// the same request would meet it. The next request comes from the waiting team with the lowest
/// service counter; if several teams are close to the lowest, the most urgent request goes first.

#include <nutmegspur/policy.h>
#include <nutmegspur/team_shares.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>

namespace nutmegspur {

namespace {

/// Teams whose counters are within this distance of the lowest are tied, in thousandths of weighted
/// tokens.
constexpr std::int64_t tie_tolerance_milli = 2'000'000;
/// Bounds of the retry-after time.
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{60'000};
constexpr milliseconds retry_after_without_upstreams{1000};
/// Ratio of a team's recent service per weight to that of the other teams above which its requests
/// must be expected to complete before their deadlines (`waiting_request::place_by`).
constexpr double max_service_ratio = 2.0;
/// Minimum fraction of the time from arrival to deadline that such a request is given.
constexpr double min_deadline_fraction = 0.65;
/// Weight of the previous drain rate in the moving average.
constexpr double rate_smoothing = 0.7;
constexpr seconds rate_window{1};
constexpr double micros_per_second = 1e6;

/// Queue order within a team: class, then deadline, then arrival.
struct queue_key {
  request_class priority = request_class::standard;
  time_point deadline;
  std::uint64_t request = 0;

  auto operator<=>(const queue_key&) const = default;
};

queue_key
queue_key_of(const waiting_request& it) {
  return {it.priority, it.deadline, it.request.value};
}

/// Measures the cost that leaves the queue per second while requests are waiting.
class drain_meter {
 public:
  /// Advances the measurement to `now`; `backlogged` says whether requests were waiting since the
  /// last call.
  void pass(time_point now, bool backlogged) {
    if (backlogged && now > last_) {
      backlogged_time_ += now - last_;
    }
    last_ = std::max(last_, now);
    if (backlogged_time_ >= rate_window) {
      const double rate = static_cast<double>(drained_cost_milli_) * micros_per_second /
                          static_cast<double>(backlogged_time_.count());
      rate_ = rate_ == 0 ? rate : rate_smoothing * rate_ + (1 - rate_smoothing) * rate;
      backlogged_time_ = duration{0};
      drained_cost_milli_ = 0;
    }
  }

  void add_drained(std::uint64_t cost_milli) { drained_cost_milli_ += cost_milli; }

  /// Thousandths of weighted tokens per second; 0 until there is a measurement.
  [[nodiscard]] double rate() const { return rate_; }

 private:
  time_point last_{};
  duration backlogged_time_{0};
  std::uint64_t drained_cost_milli_ = 0;
  double rate_ = 0;
};

class fair_deadline_policy final : public admission_policy {
 public:
  explicit fair_deadline_policy(const admission_options& options) : options_(options) {}

  result<void> enqueue(const waiting_request& it, const capacity_estimate& capacity,
                       const moment& now) override {
    meter_.pass(now.boot, !requests_.empty());
    if (capacity.upstreams_taking_work == 0) {
      return fail({error_code::unavailable, step::admit, "", "no upstream accepts new requests",
                   outcome::not_run, retry_after_without_upstreams});
    }
    if (requests_.size() >= options_.max_waiting) {
      return queue_full_error(capacity);
    }
    const auto service = service_time(it, capacity);
    if (now.boot + service > it.deadline) {
      return fail({error_code::deadline_exceeded, step::admit, "",
                   "estimated service time exceeds the request's deadline", outcome::not_run});
    }
    const auto end = now.boot + wait_time(it, capacity) + service;
    if (end > it.deadline) {
      return fail({error_code::overloaded, step::admit, "",
                   "estimated queueing and service time exceeds the request's deadline",
                   outcome::not_run, retry_after(end - it.deadline)});
    }
    insert(it);
    return {};
  }

  std::optional<waiting_request> peek(const moment& now) override {
    meter_.pass(now.boot, !requests_.empty());
    shares_.decay(now.boot);
    const auto* next = next_request();
    if (next == nullptr) {
      return std::nullopt;
    }
    auto it = *next;
    it.place_by = place_by(it);
    return it;
  }

  std::vector<waiting_request> candidates(const moment& now, std::size_t max_count) override {
    const auto first = peek(now);
    if (!first || max_count == 0) {
      return {};
    }
    std::vector<waiting_request> found{*first};
    for (const auto& it : class_heads()) {
      if (found.size() < max_count && it.request != first->request) {
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
      meter_.add_drained(it->second.cost_milli);
      shares_.charge(it->second.team, static_cast<std::int64_t>(it->second.cost_milli));
    }
    erase(request);
  }

  std::vector<waiting_request> expire(const capacity_estimate& capacity,
                                      const moment& now) override {
    std::vector<waiting_request> expired;
    for (const auto& [id, it] : requests_) {
      if (now.boot + service_time(it, capacity) > it.deadline) {
        expired.push_back(it);
      }
    }
    std::sort(expired.begin(), expired.end(),
              [](const auto& a, const auto& b) { return a.request < b.request; });
    for (const auto& it : expired) {
      erase(it.request);
    }
    return expired;
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
  using team_queue = std::map<queue_key, request_id>;

  [[nodiscard]] time_point place_by(const waiting_request& it) const {
    const double ratio = shares_.recent_share(it.team) / max_service_ratio;
    if (ratio <= 1) {
      return it.deadline;
    }
    const auto time_allowed = static_cast<double>((it.deadline - it.arrived).count());
    return it.arrived + duration{static_cast<std::int64_t>(
                            time_allowed * std::max(min_deadline_fraction, 1 / ratio))};
  }

  void insert(const waiting_request& it) {
    shares_.set_active(it.team, it.team_weight);
    teams_[it.team][queue_key_of(it)] = it.request;
    queued_cost_milli_ += it.cost_milli;
    requests_[it.request] = it;
  }

  void erase(request_id request) {
    const auto node = requests_.extract(request);
    const auto& it = node.mapped();
    auto& queue = teams_[it.team];
    queue.erase(queue_key_of(it));
    if (queue.empty()) {
      teams_.erase(it.team);
      shares_.set_idle(it.team);
    }
    queued_cost_milli_ -= it.cost_milli;
  }

  const waiting_request* next_request() {
    if (teams_.empty()) {
      return nullptr;
    }
    auto lowest_counter = std::numeric_limits<std::int64_t>::max();
    for (const auto& [team, queue] : teams_) {
      lowest_counter = std::min(lowest_counter, shares_.counter(team));
    }
    shares_.advance_to(lowest_counter);
    const team_queue* best = nullptr;
    for (const auto& [team, queue] : teams_) {
      const bool is_tied = shares_.counter(team) <= lowest_counter + tie_tolerance_milli;
      if (is_tied && (best == nullptr || queue.begin()->first < best->begin()->first)) {
        best = &queue;
      }
    }
    return &requests_.at(best->begin()->second);
  }

  /// The most urgent request of each team and class, ordered by the teams' service counters.
  [[nodiscard]] std::vector<waiting_request> class_heads() const {
    std::vector<const team_queue*> queues;
    for (const auto& [team, queue] : teams_) {
      queues.push_back(&queue);
    }
    const auto service_counter = [this](const team_queue* queue) {
      return shares_.counter(requests_.at(queue->begin()->second).team);
    };
    std::stable_sort(queues.begin(), queues.end(), [&](const auto* a, const auto* b) {
      return service_counter(a) < service_counter(b);
    });
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

  /// Estimated queueing time: the cost of the team's more urgent requests at the team's share of
  /// the drain rate, but no more than the time to drain the whole queue.
  [[nodiscard]] duration wait_time(const waiting_request& it,
                                   const capacity_estimate& capacity) const {
    std::uint64_t cost_ahead = 0;
    std::uint64_t total_weight = it.team_weight;
    for (const auto& [team, queue] : teams_) {
      if (team != it.team) {
        total_weight += requests_.at(queue.begin()->second).team_weight;
        continue;
      }
      for (const auto& [key, request] : queue) {
        cost_ahead += key < queue_key_of(it) ? requests_.at(request).cost_milli : 0;
      }
    }
    const double team_wait_cost = static_cast<double>(cost_ahead) *
                                  static_cast<double>(total_weight) / std::max(1U, it.team_weight);
    return time_for(std::min(team_wait_cost, static_cast<double>(queued_cost_milli_)), capacity);
  }

  static milliseconds retry_after(duration excess) {
    return std::clamp(std::chrono::ceil<milliseconds>(excess), min_retry_after, max_retry_after);
  }

  result<void> queue_full_error(const capacity_estimate& capacity) const {
    const auto mean_cost =
        static_cast<double>(queued_cost_milli_) / static_cast<double>(requests_.size());
    return fail({error_code::overloaded, step::admit, "", "admission queue is full",
                 outcome::not_run, retry_after(time_for(mean_cost, capacity))});
  }

  admission_options options_;
  drain_meter meter_;
  team_shares shares_;
  // Invariant: teams_ contains exactly the requests of requests_, and no empty queues;
  // queued_cost_milli_ is their total cost.
  std::map<team_id, team_queue> teams_;
  std::unordered_map<request_id, waiting_request> requests_;
  std::uint64_t queued_cost_milli_ = 0;
};

[[maybe_unused]] const bool registered =
    admission_registry::instance().add("fair_deadline", [](const admission_options& options) {
      return std::make_unique<fair_deadline_policy>(options);
    });

} // namespace

} // namespace nutmegspur
