// Simulated requests: arrivals, attempts at engines, and their output.
#include "model_run.h"

#include <nutmegspur/prefix.h>

#include <algorithm>

namespace nutmegspur::load::pvt {

namespace {

constexpr milliseconds connect_limit{2000};
constexpr milliseconds chunk_period{250};
constexpr double prompt_token_bytes = 4;
constexpr double output_token_bytes = 200;

} // namespace

void
simulation_run::schedule_arrivals(std::size_t next) {
  if (next >= requests_.size()) {
    return;
  }
  schedule(start_.boot + requests_[next].at, [this, next] {
    arrive(requests_[next]);
    schedule_arrivals(next + 1);
  });
}

void
simulation_run::arrive(const planned_request& it) {
  const auto& class_entry = in_.classes[it.class_index];
  request_arrived arrived;
  arrived.request = request_id{it.number};
  arrived.secret_sha256 = team_key_digest(it.team);
  arrived.priority = class_entry.priority;
  arrived.deadline = now_.boot + class_entry.deadline;
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
simulation_run::step(std::size_t entry, const event& ev) {
  carry_out(entry, entries_[entry]->step(now_, ev));
}

void
simulation_run::carry_out(std::size_t entry, const action_list& actions) {
  for (const auto& it : actions) {
    if (const auto* to_open = std::get_if<open_attempt>(&it)) {
      start_attempt(entry, *to_open);
    } else if (const auto* to_cancel = std::get_if<cancel_attempt>(&it)) {
      auto& engine = *engines_by_name_.at(to_cancel->upstream.value);
      for (const auto& [job, work] : engine.work) {
        if (work.attempt == to_cancel->attempt) {
          engine.model->cancel(job, now_.boot);
          engine.work.erase(job);
          break;
        }
      }
    } else if (const auto* chunk = std::get_if<send_chunk>(&it)) {
      const auto n = chunk->request.value;
      recorder_.add_tokens(n, static_cast<std::uint32_t>(chunk->text.size()),
                           since_arrival(n) + in_.delay.client);
    } else if (const auto* end = std::get_if<end_response>(&it)) {
      const auto n = end->request.value;
      recorder_.record_result(n, request_result::completed, since_arrival(n) + in_.delay.client);
    } else if (const auto* failed = std::get_if<fail_request>(&it)) {
      const auto n = failed->request.value;
      const bool late =
          failed->why.code == error_code::deadline_exceeded && failed->why.at != step::admit;
      const auto ended_as = late                                  ? request_result::late
                            : failed->why.ran == outcome::not_run ? request_result::refused
                                                                  : request_result::failed;
      recorder_.record_result(n, ended_as, since_arrival(n));
    }
  }
}

void
simulation_run::start_attempt(std::size_t entry, const open_attempt& to_open) {
  auto& engine = *engines_by_name_.at(to_open.upstream.value);
  const auto& from = entries_[entry]->options.zone;
  if (partitioned(from.name, engine.zone.name)) {
    end_attempt(entry, to_open.attempt, error_code::unavailable, outcome::not_run, engine.name,
                connect_limit);
    return;
  }
  schedule(now_.boot + delay(from, engine.zone),
           [this, entry, to_open, &engine] { submit(entry, to_open, engine); });
}

void
simulation_run::submit(std::size_t entry, const open_attempt& to_open, simulated_engine& engine) {
  const auto& from = entries_[entry]->options.zone;
  const auto& planned = requests_[to_open.attempt.request.value - 1];
  if (engine.stopped) {
    end_attempt(entry, to_open.attempt, error_code::unavailable, outcome::not_run, engine.name,
                delay(from, engine.zone));
    return;
  }
  engine_job job;
  job.id = ++last_job_;
  job.prompt_tokens = planned.prompt_tokens;
  job.output_tokens = planned.output_tokens;
  job.resume_from = to_open.resume_from;
  std::string salt;
  for (const auto& header : to_open.headers) {
    if (header.name == "x-priority") {
      job.priority = std::atoi(header.value.c_str());
    } else if (header.name == "x-cache-salt") {
      salt = header.value;
    }
  }
  for (const auto block : planned_blocks(planned, in_.engine.block_tokens)) {
    job.prefix_blocks.push_back(salted_block(block, salt));
  }
  advance_engine(engine);
  if (!engine.model->submit(job, now_.boot)) {
    end_attempt(entry, to_open.attempt, error_code::unavailable, outcome::not_run, engine.name,
                delay(from, engine.zone));
    return;
  }
  engine_work work;
  work.entry = entry;
  work.attempt = to_open.attempt;
  work.prompt_tokens = planned.prompt_tokens;
  work.forwarded = to_open.resume_from;
  engine.work[job.id] = work;
  if (from.region != engine.zone.region) {
    region_bytes_ += prompt_token_bytes * planned.prompt_tokens;
  }
  schedule_wakeup(engine);
}

void
simulation_run::end_attempt(std::size_t entry, attempt_id attempt, error_code code, outcome ran,
                            const std::string& peer, duration delay) {
  attempt_ended ended;
  ended.attempt = attempt;
  ended.failure = error{code, step::attempt_stream, peer, "model", ran};
  schedule(now_.boot + delay, [this, entry, ended] { step(entry, ended); });
}

void
simulation_run::schedule_wakeup(simulated_engine& it) {
  const auto due = it.model->next_due();
  if (it.stopped || !due || (it.next_wakeup && *it.next_wakeup <= *due)) {
    return;
  }
  it.next_wakeup = due;
  schedule(*due, [this, &it] {
    it.next_wakeup.reset();
    advance_engine(it);
    schedule_wakeup(it);
  });
}

void
simulation_run::advance_engine(simulated_engine& it) {
  if (it.stopped) {
    return;
  }
  std::vector<engine_output> outputs;
  it.model->advance(now_.boot, outputs);
  for (const auto& output : outputs) {
    handle_output(it, output);
  }
}

void
simulation_run::handle_output(simulated_engine& it, const engine_output& output) {
  const auto found = it.work.find(output.job);
  if (found == it.work.end()) {
    return;
  }
  auto& work = found->second;
  const auto& to = entries_[work.entry]->options.zone;
  if (output.what == engine_output::kind::token) {
    work.buffered += 1;
    work.cached = output.cached_tokens;
    if (!work.started || now_.boot - work.last_chunk >= chunk_period) {
      flush_tokens(it, work);
    }
    return;
  }
  flush_tokens(it, work);
  const auto done = work;
  it.work.erase(found);
  if (output.what == engine_output::kind::aborted) {
    end_attempt(done.entry, done.attempt, error_code::upstream_failed, outcome::unknown, it.name,
                delay(it.zone, to));
    return;
  }
  attempt_ended ended;
  ended.attempt = done.attempt;
  ended.usage = {done.prompt_tokens, output.index, done.cached};
  ended.finish_reason = "stop";
  ended.end_offset = output.index;
  if (partitioned(it.zone.name, to.name)) {
    return;
  }
  schedule(now_.boot + delay(it.zone, to),
           [this, entry = done.entry, ended] { step(entry, ended); });
}

void
simulation_run::flush_tokens(simulated_engine& engine, engine_work& work) {
  const auto& to = entries_[work.entry]->options.zone;
  if (work.buffered == 0) {
    return;
  }
  attempt_chunk chunk;
  chunk.attempt = work.attempt;
  chunk.offset = work.forwarded;
  chunk.tokens = work.buffered;
  chunk.text = std::string(work.buffered, 'x');
  work.forwarded += work.buffered;
  work.buffered = 0;
  work.started = true;
  work.last_chunk = now_.boot;
  if (engine.zone.region != to.region) {
    region_bytes_ += output_token_bytes * chunk.tokens;
  }
  if (!partitioned(engine.zone.name, to.name)) {
    schedule(now_.boot + delay(engine.zone, to),
             [this, entry = work.entry, chunk] { step(entry, chunk); });
  }
}

bool
simulation_run::partitioned(const std::string& a, const std::string& b) const {
  return a != b && (partitioned_zones_.contains(a) || partitioned_zones_.contains(b));
}

duration
simulation_run::delay(const zone_plan& a, const zone_plan& b) const {
  if (a.name == b.name) {
    return duration{200};
  }
  return a.region == b.region ? in_.delay.zone : in_.delay.region;
}

} // namespace nutmegspur::load::pvt
