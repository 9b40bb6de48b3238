/// \file model_run.h
/// One run of the simulation: a queue of timed callbacks over entry instances and engines.
///
/// `model_world.cpp` builds the fleet and runs the queue, `model_requests.cpp` simulates requests,
/// `model_fleet.cpp` engine reports, orders and faults.
#pragma once

#include "engine_model.h"
#include "model_entry.h"
#include "model_world.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegspur::load::pvt {

using standin::engine_job;
using standin::engine_model;
using standin::engine_output;

/// One attempt at an engine.
struct engine_work {
  std::size_t entry = 0;
  attempt_id attempt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t forwarded = 0; ///< Output tokens sent to the entry instance.
  std::uint32_t buffered = 0;  ///< Output tokens not yet sent.
  std::uint32_t cached = 0;
  time_point last_chunk{};
  bool started = false;
};

/// One engine, its zone and the attempts that it runs.
struct simulated_engine {
  std::string name;
  zone_plan zone;
  bool reclaimable = false;
  bool leaving = false;
  bool stopped = false;            ///< Removed, lost or reclaimed; its attempts have failed.
  bool draining = false;           ///< Gets no new work until a role change.
  time_point ready;                ///< When entry instances begin to see it.
  time_point ordered;              ///< Start of the time that is paid for.
  std::optional<time_point> ended; ///< End of the time that is paid for.
  std::unique_ptr<engine_model> model;
  std::map<std::uint64_t, engine_work> work;
  std::optional<time_point> next_wakeup;
  std::uint64_t last_sequence = 0;
};

class simulation_run {
 public:
  simulation_run(const scenario& in, const policy_bundle& policy)
      : in_(in), policy_(policy), requests_(plan_workload(in)), recorder_(in_, requests_),
        config_(simulation_config(in)), start_(clock_.now()) {}

  result<run_metrics> run();

 private:
  using callback = std::function<void()>;

  void schedule(time_point due, callback run) {
    queue_.emplace(std::pair{std::max(due, now_.boot), ++last_event_}, std::move(run));
  }

  [[nodiscard]] moment now() const { return now_; }

  result<void> build();
  void add_engine(const zone_plan& zone, bool reclaimable, time_point ready);
  void publish_engine(simulated_engine& it);
  fleet_options make_fleet_options(const zone_plan& zone) const;
  fleet_hooks make_fleet_hooks(const zone_plan& zone);
  void schedule_arrivals(std::size_t next);
  void arrive(const planned_request& it);
  void step(std::size_t entry, const event& ev);
  void carry_out(std::size_t entry, const action_list& actions);
  void start_attempt(std::size_t entry, const open_attempt& to_open);
  void submit(std::size_t entry, const open_attempt& to_open, simulated_engine& engine);
  void end_attempt(std::size_t entry, attempt_id attempt, error_code code, outcome ran,
                   const std::string& peer, duration delay);
  void schedule_wakeup(simulated_engine& it);
  void advance_engine(simulated_engine& it);
  void handle_output(simulated_engine& it, const engine_output& output);
  void flush_tokens(simulated_engine& engine, engine_work& work);
  void poll_reports(std::size_t entry, bool same_zone);
  void tick_entry(std::size_t entry);
  void exchange_digests();
  void set_wanted_state(const upstream_id& id, const engine_state& wanted);
  void drain_then_order(simulated_engine& engine, const engine_state& wanted,
                        time_point drain_deadline);
  void update_entries(const std::string& engine, void (*change)(upstream_state&, bool), bool value);
  void set_wanted_upstreams(const zone_plan& zone, const std::string& kind, std::uint32_t wanted);
  void retire_engine(simulated_engine& it);
  void stop_engine(simulated_engine& it);
  void inject_fault(const fault_plan& fault);
  void reclaim_zone(const std::string& zone);
  [[nodiscard]] bool partitioned(const std::string& a, const std::string& b) const;
  [[nodiscard]] duration delay(const zone_plan& a, const zone_plan& b) const;

  [[nodiscard]] duration since_arrival(std::uint64_t number) const {
    return now_.boot - start_.boot - requests_[number - 1].at;
  }

  run_metrics summarize();

  const scenario& in_;
  policy_bundle policy_;
  std::vector<planned_request> requests_;
  metrics_recorder recorder_;
  config_view config_;
  manual_clock clock_;
  moment start_;
  moment now_{start_};
  std::map<std::pair<time_point, std::uint64_t>, callback> queue_;
  std::uint64_t last_event_ = 0;
  std::vector<std::unique_ptr<simulated_entry>> entries_;
  std::vector<std::unique_ptr<simulated_engine>> engines_;
  std::map<std::string, simulated_engine*> engines_by_name_;
  std::set<std::string> partitioned_zones_;
  bool platform_out_ = false;
  std::uint64_t last_job_ = 0;
  std::uint32_t role_changes_ = 0;
  double region_bytes_ = 0;
};

} // namespace nutmegspur::load::pvt
