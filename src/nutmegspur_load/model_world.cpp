/// \file model_world.cpp
/// The model's event loop: arrivals, engines, reports, orders and faults.

#include "model_world.h"

#include "engine_model.h"
#include "model_entry.h"

#include <nutmegspur/prefix.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace nutmegspur::load {

namespace {

using standin::engine_job;
using standin::engine_model;
using standin::engine_output;

constexpr milliseconds report_period{1000};
constexpr milliseconds far_report_period{2000};
constexpr milliseconds digest_period{500};
constexpr milliseconds list_lag{2000};
constexpr milliseconds connect_limit{2000};
constexpr milliseconds chunk_period{250};
constexpr seconds reclaim_notice{5};
constexpr seconds drain_limit{30};
constexpr seconds run_out{90}; ///< After the last arrival.
constexpr double prompt_token_bytes = 4;
constexpr double output_token_bytes = 200;

/// One attempt at an engine.
struct engine_work {
  std::size_t entry = 0;
  attempt_id attempt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t delivered = 0; ///< Output tokens handed on.
  std::uint32_t gathered = 0;  ///< Output tokens not yet handed on.
  std::uint32_t cached = 0;
  time_point last_chunk{};
  bool any = false;
};

/// One engine and its place.
struct world_engine {
  std::string name;
  zone_plan zone;
  bool reclaimable = false;
  bool leaving = false;
  bool gone = false;
  bool draining = false; ///< For a role change, or because it is no longer wanted.
  time_point ready;
  time_point ordered;
  std::optional<time_point> ended;
  std::unique_ptr<engine_model> model;
  std::map<std::uint64_t, engine_work> work;
  std::optional<time_point> wake;
  std::uint64_t last_sequence = 0;
};

class model_run {
 public:
  model_run(const scenario& in, const policy_bundle& policy)
      : in_(in), policy_(policy), requests_(plan_workload(in)), book_(in_, requests_),
        config_(model_config(in)), start_(clock_.now()) {}

  result<measures> run();

 private:
  using callback = std::function<void()>;

  void at(time_point due, callback run) {
    queue_.emplace(std::pair{std::max(due, now_.boot), ++last_event_}, std::move(run));
  }

  [[nodiscard]] moment now() const { return now_; }

  result<void> build();
  void add_engine(const zone_plan& zone, bool reclaimable, time_point ready);
  void show_engine(world_engine& it);
  fleet_options fleet_for(const zone_plan& zone) const;
  fleet_hooks hooks_for(const zone_plan& zone);
  void schedule_arrivals(std::size_t next);
  void arrive(const planned_request& it);
  void step(std::size_t entry, const event& ev);
  void carry_out(std::size_t entry, const action_list& actions);
  void open(std::size_t entry, const open_attempt& what);
  void submit(std::size_t entry, const open_attempt& what, world_engine& engine);
  void end_attempt(std::size_t entry, attempt_id attempt, error_code code, outcome ran,
                   const std::string& peer, duration delay);
  void wake_engine(world_engine& it);
  void run_engine(world_engine& it);
  void take_output(world_engine& it, const engine_output& output);
  void flush(world_engine& engine, engine_work& work);
  void poll_reports(std::size_t entry, bool near);
  void tick_entry(std::size_t entry);
  void exchange_digests();
  void want_role(const upstream_id& id, const engine_state& wanted);
  void drain_then_order(world_engine& engine, const engine_state& wanted, time_point limit);
  void mark(const std::string& engine, void (*change)(upstream_state&, bool), bool value);
  void want_upstreams(const zone_plan& zone, const std::string& kind, std::uint32_t wanted);
  void let_go(world_engine& it);
  void lose(world_engine& it);
  void begin_fault(const fault_plan& fault);
  void reclaim(const std::string& zone);
  [[nodiscard]] bool cut(const std::string& a, const std::string& b) const;
  [[nodiscard]] duration delay(const zone_plan& a, const zone_plan& b) const;

  [[nodiscard]] duration since_arrival(std::uint64_t number) const {
    return now_.boot - start_.boot - requests_[number - 1].at;
  }

  measures sum_up();

  const scenario& in_;
  policy_bundle policy_;
  std::vector<planned_request> requests_;
  measure_book book_;
  config_view config_;
  manual_clock clock_;
  moment start_;
  moment now_{start_};
  std::map<std::pair<time_point, std::uint64_t>, callback> queue_;
  std::uint64_t last_event_ = 0;
  std::vector<std::unique_ptr<model_entry>> entries_;
  std::vector<std::unique_ptr<world_engine>> engines_;
  std::map<std::string, world_engine*> by_name_;
  std::set<std::string> cut_zones_;
  bool platform_out_ = false;
  std::uint64_t last_job_ = 0;
  std::uint32_t role_changes_ = 0;
  double region_bytes_ = 0;
};

// ---------------------------------------------------------------------------------------------
// Building

fleet_options
model_run::fleet_for(const zone_plan& zone) const {
  fleet_options it;
  it.zone = zone_id{zone.name};
  it.shape.slots = in_.engine.slots;
  it.shape.speed.prefill_tokens_per_second = in_.engine.prefill_rate;
  it.shape.speed.step_seconds = 1 / in_.engine.decode_rate;
  it.most_upstreams = zone.engines;
  return it;
}

fleet_hooks
model_run::hooks_for(const zone_plan& zone) {
  fleet_hooks hooks;
  hooks.want = [this](const moment&, const upstream_id& id, const engine_state& wanted,
                      action_list&) { want_role(id, wanted); };
  hooks.want_upstreams = [this, zone](const moment&, const std::string& kind, std::uint32_t wanted,
                                      action_list&) { want_upstreams(zone, kind, wanted); };
  hooks.instances = [zone] { return zone.entries; };
  return hooks;
}

result<void>
model_run::build() {
  for (const auto& zone : in_.zones) {
    for (std::uint32_t i = 0; i < zone.entries; ++i) {
      model_entry_options options{
          entries_.size(),     zone,           in_.seed + entries_.size(), in_.engine.block_tokens,
          policy_.plans_fleet, fleet_for(zone)};
      auto entry = model_entry::make(options, policy_, config_, hooks_for(zone));
      if (!entry) {
        return fail(entry.error());
      }
      (*entry)->authority.held = i == 0;
      entries_.push_back(std::move(*entry));
    }
  }
  for (const auto& zone : in_.zones) {
    const auto percent = policy_.plans_fleet ? fleet_options{}.reclaimable_percent : 0;
    const auto kinds = split_kinds(zone.engines, percent);
    for (std::uint32_t i = 0; i < zone.engines; ++i) {
      add_engine(zone, i < kinds.reclaimable, start_.boot);
    }
  }
  return {};
}

void
model_run::add_engine(const zone_plan& zone, bool reclaimable, time_point ready) {
  standin::engine_options options;
  options.name = zone.name + "-engine-" + std::to_string(engines_.size());
  options.zone = zone.name;
  options.state.model = model_id{scenario_model};
  options.prefill_rate = in_.engine.prefill_rate;
  options.decode_rate = in_.engine.decode_rate;
  options.slots = in_.engine.slots;
  options.blocks = in_.engine.blocks;
  options.block_tokens = in_.engine.block_tokens;
  options.report_lag = in_.engine.report_lag;
  options.role_change_time = in_.engine.role_change;
  options.load_time = in_.engine.load;
  options.seed = in_.seed + engines_.size();
  auto it = std::make_unique<world_engine>();
  it->name = options.name;
  it->zone = zone;
  it->reclaimable = reclaimable;
  it->ready = ready;
  it->ordered = now_.boot;
  it->model = std::make_unique<engine_model>(options);
  auto* added = it.get();
  by_name_[it->name] = added;
  engines_.push_back(std::move(it));
  at(ready, [this, added] { show_engine(*added); });
}

void
model_run::show_engine(world_engine& it) {
  for (auto& entry : entries_) {
    upstream_state state;
    state.listed = {it.name,        instance_kind::engine, zone_id{it.zone.name},
                    it.zone.region, "127.0.0.1",           1};
    state.state = it.model->state();
    state.load_measured = now_;
    entry->upstreams[upstream_id{it.name}] = state;
  }
}

// ---------------------------------------------------------------------------------------------
// Requests

void
model_run::schedule_arrivals(std::size_t next) {
  if (next >= requests_.size()) {
    return;
  }
  at(start_.boot + requests_[next].at, [this, next] {
    arrive(requests_[next]);
    schedule_arrivals(next + 1);
  });
}

void
model_run::arrive(const planned_request& it) {
  const auto& kind = in_.classes[it.kind];
  request_arrived arrived;
  arrived.request = request_id{it.number};
  arrived.secret_sha256 = model_key(it.team);
  arrived.priority = kind.priority;
  arrived.deadline = now_.boot + kind.deadline;
  inference_call call;
  call.model = model_id{scenario_model};
  call.stream = true;
  call.prompt_tokens = it.prompt_tokens;
  call.max_tokens = it.max_tokens;
  call.prefix_blocks = planned_blocks(it, in_.engine.block_tokens);
  arrived.call = std::move(call);
  arrived.body = std::make_shared<const std::string>();
  step(it.number % entries_.size(), arrived);
}

void
model_run::step(std::size_t entry, const event& ev) {
  carry_out(entry, entries_[entry]->step(now_, ev));
}

void
model_run::carry_out(std::size_t entry, const action_list& actions) {
  for (const auto& it : actions) {
    if (const auto* what = std::get_if<open_attempt>(&it)) {
      open(entry, *what);
    } else if (const auto* stop = std::get_if<cancel_attempt>(&it)) {
      auto& engine = *by_name_.at(stop->upstream.value);
      for (const auto& [job, work] : engine.work) {
        if (work.attempt == stop->attempt) {
          engine.model->cancel(job, now_.boot);
          engine.work.erase(job);
          break;
        }
      }
    } else if (const auto* chunk = std::get_if<send_chunk>(&it)) {
      const auto n = chunk->request.value;
      book_.add_tokens(n, static_cast<std::uint32_t>(chunk->text.size()),
                       since_arrival(n) + in_.delay.client);
    } else if (const auto* end = std::get_if<end_answer>(&it)) {
      const auto n = end->request.value;
      book_.set_end(n, request_end::whole, since_arrival(n) + in_.delay.client);
    } else if (const auto* no = std::get_if<refuse_request>(&it)) {
      const auto n = no->request.value;
      const bool late = no->why.code == error_code::deadline_exceeded && no->why.at != step::admit;
      const auto how = late                              ? request_end::late
                       : no->why.ran == outcome::not_run ? request_end::refused
                                                         : request_end::failed;
      book_.set_end(n, how, since_arrival(n));
    }
  }
}

void
model_run::open(std::size_t entry, const open_attempt& what) {
  auto& engine = *by_name_.at(what.upstream.value);
  const auto& from = entries_[entry]->options.zone;
  if (cut(from.name, engine.zone.name)) {
    end_attempt(entry, what.attempt, error_code::unavailable, outcome::not_run, engine.name,
                connect_limit);
    return;
  }
  at(now_.boot + delay(from, engine.zone),
     [this, entry, what, &engine] { submit(entry, what, engine); });
}

void
model_run::submit(std::size_t entry, const open_attempt& what, world_engine& engine) {
  const auto& from = entries_[entry]->options.zone;
  const auto& planned = requests_[what.attempt.request.value - 1];
  if (engine.gone) {
    end_attempt(entry, what.attempt, error_code::unavailable, outcome::not_run, engine.name,
                delay(from, engine.zone));
    return;
  }
  engine_job job;
  job.id = ++last_job_;
  job.prompt_tokens = planned.prompt_tokens;
  job.output_tokens = planned.output_tokens;
  job.resume_from = what.resume_from;
  std::string salt;
  for (const auto& header : what.headers) {
    if (header.name == "x-priority") {
      job.priority = std::atoi(header.value.c_str());
    } else if (header.name == "x-cache-salt") {
      salt = header.value;
    }
  }
  for (const auto block : planned_blocks(planned, in_.engine.block_tokens)) {
    job.prefix_blocks.push_back(salted_block(block, salt));
  }
  run_engine(engine);
  if (!engine.model->submit(job, now_.boot)) {
    end_attempt(entry, what.attempt, error_code::unavailable, outcome::not_run, engine.name,
                delay(from, engine.zone));
    return;
  }
  engine_work work;
  work.entry = entry;
  work.attempt = what.attempt;
  work.prompt_tokens = planned.prompt_tokens;
  work.delivered = what.resume_from;
  engine.work[job.id] = work;
  if (from.region != engine.zone.region) {
    region_bytes_ += prompt_token_bytes * planned.prompt_tokens;
  }
  wake_engine(engine);
}

void
model_run::end_attempt(std::size_t entry, attempt_id attempt, error_code code, outcome ran,
                       const std::string& peer, duration delay) {
  attempt_ended ended;
  ended.attempt = attempt;
  ended.failure = error{code, step::attempt_stream, peer, "model", ran};
  at(now_.boot + delay, [this, entry, ended] { step(entry, ended); });
}

// ---------------------------------------------------------------------------------------------
// Engines

void
model_run::wake_engine(world_engine& it) {
  const auto due = it.model->next_due();
  if (it.gone || !due || (it.wake && *it.wake <= *due)) {
    return;
  }
  it.wake = due;
  at(*due, [this, &it] {
    it.wake.reset();
    run_engine(it);
    wake_engine(it);
  });
}

void
model_run::run_engine(world_engine& it) {
  if (it.gone) {
    return;
  }
  std::vector<engine_output> outputs;
  it.model->advance(now_.boot, outputs);
  for (const auto& output : outputs) {
    take_output(it, output);
  }
}

void
model_run::take_output(world_engine& it, const engine_output& output) {
  const auto found = it.work.find(output.job);
  if (found == it.work.end()) {
    return;
  }
  auto& work = found->second;
  const auto& to = entries_[work.entry]->options.zone;
  if (output.what == engine_output::kind::token) {
    work.gathered += 1;
    work.cached = output.cached_tokens;
    if (!work.any || now_.boot - work.last_chunk >= chunk_period) {
      flush(it, work);
    }
    return;
  }
  flush(it, work);
  const auto done = work;
  it.work.erase(found);
  if (output.what == engine_output::kind::cut) {
    end_attempt(done.entry, done.attempt, error_code::upstream_failed, outcome::unknown, it.name,
                delay(it.zone, to));
    return;
  }
  attempt_ended ended;
  ended.attempt = done.attempt;
  ended.usage = {done.prompt_tokens, output.index, done.cached};
  ended.finish_reason = "stop";
  ended.end_offset = output.index;
  if (cut(it.zone.name, to.name)) {
    return;
  }
  at(now_.boot + delay(it.zone, to), [this, entry = done.entry, ended] { step(entry, ended); });
}

void
model_run::flush(world_engine& engine, engine_work& work) {
  const auto& to = entries_[work.entry]->options.zone;
  if (work.gathered == 0) {
    return;
  }
  attempt_chunk chunk;
  chunk.attempt = work.attempt;
  chunk.offset = work.delivered;
  chunk.tokens = work.gathered;
  chunk.text = std::string(work.gathered, 'x');
  work.delivered += work.gathered;
  work.gathered = 0;
  work.any = true;
  work.last_chunk = now_.boot;
  if (engine.zone.region != to.region) {
    region_bytes_ += output_token_bytes * chunk.tokens;
  }
  if (!cut(engine.zone.name, to.name)) {
    at(now_.boot + delay(engine.zone, to),
       [this, entry = work.entry, chunk] { step(entry, chunk); });
  }
}

bool
model_run::cut(const std::string& a, const std::string& b) const {
  return a != b && (cut_zones_.contains(a) || cut_zones_.contains(b));
}

duration
model_run::delay(const zone_plan& a, const zone_plan& b) const {
  if (a.name == b.name) {
    return duration{200};
  }
  return a.region == b.region ? in_.delay.zone : in_.delay.region;
}

// ---------------------------------------------------------------------------------------------
// What entries hear

void
model_run::poll_reports(std::size_t entry, bool near) {
  auto& it = *entries_[entry];
  for (auto& engine : engines_) {
    const bool same = engine->zone.name == it.options.zone.name;
    const upstream_id id{engine->name};
    const auto found = it.upstreams.find(id);
    if (same != near || engine->gone || found == it.upstreams.end() ||
        cut(engine->zone.name, it.options.zone.name)) {
      continue;
    }
    run_engine(*engine);
    const auto seen = engine->model->report(now_.boot);
    auto& state = found->second;
    state.load = seen.load;
    state.load_measured = {seen.measured, now_.wall};
    state.state = engine->model->state();
    state.changing = engine->model->changing() || engine->draining;
    state.leaving = engine->leaving;
    for (const auto& change : engine->model->events_after(it.events_seen[id], now_.boot)) {
      it.events_seen[id] = change.number;
      state.cached_blocks.insert(change.stored.begin(), change.stored.end());
      for (const auto block : change.removed) {
        state.cached_blocks.erase(block);
      }
    }
  }
  const auto period = near ? report_period : far_report_period;
  at(now_.boot + period, [this, entry, near] { poll_reports(entry, near); });
}

void
model_run::tick_entry(std::size_t entry) {
  step(entry, tick{});
  at(now_.boot + tick_period, [this, entry] { tick_entry(entry); });
}

void
model_run::exchange_digests() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    for (const auto& service : entries_[i]->admission->take_local_service()) {
      for (std::size_t j = 0; j < entries_.size(); ++j) {
        if (i != j && entries_[i]->options.zone.name == entries_[j]->options.zone.name) {
          entries_[j]->admission->add_remote_service(service.team, service.weighted_tokens_milli);
        }
      }
    }
  }
  at(now_.boot + digest_period, [this] { exchange_digests(); });
}

void
model_run::mark(const std::string& engine, void (*change)(upstream_state&, bool), bool value) {
  for (auto& entry : entries_) {
    const auto found = entry->upstreams.find(upstream_id{engine});
    if (found != entry->upstreams.end()) {
      change(found->second, value);
    }
  }
}

// ---------------------------------------------------------------------------------------------
// Orders

void
model_run::want_role(const upstream_id& id, const engine_state& wanted) {
  auto& engine = *by_name_.at(id.value);
  if (engine.draining || engine.gone || platform_out_) {
    return;
  }
  engine.draining = true;
  mark(
      engine.name, [](upstream_state& it, bool value) { it.changing = value; }, true);
  drain_then_order(engine, wanted, now_.boot + drain_limit);
}

void
model_run::drain_then_order(world_engine& engine, const engine_state& wanted, time_point limit) {
  constexpr milliseconds look_again{100};
  if (engine.gone) {
    return;
  }
  if (!engine.work.empty() && now_.boot < limit) {
    at(now_.boot + look_again,
       [this, &engine, wanted, limit] { drain_then_order(engine, wanted, limit); });
    return;
  }
  engine.draining = false;
  if (!engine.work.empty()) {
    mark(
        engine.name, [](upstream_state& it, bool value) { it.changing = value; }, false);
    return;
  }
  std::vector<engine_output> outputs;
  run_engine(engine);
  engine.model->order(fence{1}, ++engine.last_sequence, wanted, now_.boot, outputs);
  role_changes_ += 1;
  wake_engine(engine);
}

void
model_run::want_upstreams(const zone_plan& zone, const std::string& kind, std::uint32_t wanted) {
  if (platform_out_) {
    return;
  }
  const bool reclaimable = kind == "reclaimable";
  std::vector<world_engine*> have;
  for (auto& it : engines_) {
    if (it->zone.name == zone.name && it->reclaimable == reclaimable && !it->gone && !it->leaving) {
      have.push_back(it.get());
    }
  }
  for (auto n = have.size(); n < wanted; ++n) {
    add_engine(zone, reclaimable, now_.boot + in_.engine.start);
  }
  for (auto n = have.size(); n > wanted; --n) {
    let_go(*have[n - 1]);
  }
}

void
model_run::let_go(world_engine& it) {
  it.leaving = true;
  mark(
      it.name, [](upstream_state& state, bool value) { state.leaving = value; }, true);
  at(now_.boot + drain_limit, [this, &it] { lose(it); });
}

void
model_run::lose(world_engine& it) {
  if (it.gone) {
    return;
  }
  it.gone = true;
  it.ended = now_.boot;
  const auto work = std::move(it.work);
  it.work.clear();
  for (const auto& [job, lost] : work) {
    end_attempt(lost.entry, lost.attempt, error_code::upstream_failed, outcome::unknown, it.name,
                delay(it.zone, entries_[lost.entry]->options.zone));
  }
  at(now_.boot + list_lag, [this, name = it.name] {
    for (auto& entry : entries_) {
      entry->upstreams.erase(upstream_id{name});
    }
  });
}

// ---------------------------------------------------------------------------------------------
// Faults

void
model_run::begin_fault(const fault_plan& fault) {
  const auto end = now_.boot + duration{static_cast<std::int64_t>(fault.for_s * 1e6)};
  switch (fault.kind) {
  case fault_kind::engine_lost:
    for (auto& it : engines_) {
      if (it->zone.name == fault.zone && !it->gone) {
        lose(*it);
        return;
      }
    }
    break;
  case fault_kind::zone_reclaim:
    reclaim(fault.zone);
    break;
  case fault_kind::platform_out:
    platform_out_ = true;
    at(end, [this] { platform_out_ = false; });
    break;
  case fault_kind::region_cut:
    cut_zones_.insert(fault.zone);
    at(end, [this, zone = fault.zone] { cut_zones_.erase(zone); });
    break;
  }
}

void
model_run::reclaim(const std::string& zone) {
  for (auto& it : engines_) {
    if (it->zone.name == zone && it->reclaimable && !it->gone) {
      it->leaving = true; // Entries hear of it with the next report.
      at(now_.boot + reclaim_notice, [this, engine = it.get()] { lose(*engine); });
    }
  }
}

// ---------------------------------------------------------------------------------------------
// The run

measures
model_run::sum_up() {
  auto sum = book_.sum_up();
  sum.policy = policy_.name;
  sum.role_changes = role_changes_;
  sum.region_bytes = region_bytes_;
  const auto end = start_.boot + duration{static_cast<std::int64_t>(in_.duration_s * 1e6)};
  double paid = 0;
  double full = 0;
  for (const auto& it : engines_) {
    const auto until = std::min(end, it->ended.value_or(end));
    const double span = std::max(0.0, static_cast<double>((until - it->ordered).count()) / 1e6);
    paid += span * (it->reclaimable ? in_.reclaimable_price_percent / 100.0 : 1.0);
  }
  for (const auto& zone : in_.zones) {
    full += zone.engines * in_.duration_s;
  }
  sum.spend = paid / full;
  return sum;
}

result<measures>
model_run::run() {
  if (auto built = build(); !built) {
    return fail(built.error());
  }
  schedule_arrivals(0);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const auto offset = milliseconds{13} * static_cast<int>(i);
    at(start_.boot + offset, [this, i] { tick_entry(i); });
    at(start_.boot + offset, [this, i] { poll_reports(i, true); });
    at(start_.boot + offset, [this, i] { poll_reports(i, false); });
  }
  at(start_.boot + digest_period, [this] { exchange_digests(); });
  for (const auto& fault : in_.faults) {
    at(start_.boot + duration{static_cast<std::int64_t>(fault.at_s * 1e6)},
       [this, fault] { begin_fault(fault); });
  }
  const auto end =
      start_.boot + duration{static_cast<std::int64_t>(in_.duration_s * 1e6)} + run_out;
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto node = queue_.extract(queue_.begin());
    now_ = now_.after(node.key().first - now_.boot);
    node.mapped()();
  }
  return sum_up();
}

} // namespace

std::span<const policy_bundle>
policy_bundles() {
  static const std::array<policy_bundle, 4> bundles{{
      {"nutmegspur", "predicted_latency", "fair_deadline", true},
      {"random", "random", "first_come", false},
      {"round_robin", "round_robin", "first_come", false},
      {"least_in_flight", "least_in_flight", "first_come", false},
  }};
  return bundles;
}

result<measures>
run_model(const scenario& in, const policy_bundle& policy) {
  return model_run(in, policy).run();
}

} // namespace nutmegspur::load
