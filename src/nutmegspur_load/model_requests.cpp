// Requests through the model: arrivals, attempts at engines, and their output.
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
    } else if (const auto* end = std::get_if<end_response>(&it)) {
      const auto n = end->request.value;
      book_.set_end(n, request_end::whole, since_arrival(n) + in_.delay.client);
    } else if (const auto* no = std::get_if<fail_request>(&it)) {
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

} // namespace nutmegspur::load::pvt
