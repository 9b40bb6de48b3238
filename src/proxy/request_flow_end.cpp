// Handles the end of an attempt (retry, forward or fail) and of the request.
#include "caller_host.h"
#include "millis_text.h"
#include "part_text.h"
#include "request_flow.h"

namespace nutmegspur::proxy {

namespace {

/// Retry-After of requests that an upstream rejected or that could not reach one.
constexpr milliseconds retry_after_rejection{150};
constexpr int misdirected_request = 421;
/// Time until the upstream list shows which upstream is now at an address: an entry expires after
/// three heartbeats of about a second each, and the change takes a moment to arrive.
constexpr milliseconds misdirected_period{4'000};
/// An attempt with less time left than this is not sent.
constexpr milliseconds min_attempt_time{20};

} // namespace

namespace {

/// Effect of an attempt's end on the health of its upstream; empty if it has none.
std::optional<attempt_result>
health_result(attempt_end how) {
  switch (how) {
  case attempt_end::answered:
  case attempt_end::unproven:
    return attempt_result::answered;
  case attempt_end::server_error:
  case attempt_end::rejected:
    return attempt_result::server_error;
  case attempt_end::unreachable:
    return attempt_result::unreachable;
  case attempt_end::broken:
  case attempt_end::malformed:
    return attempt_result::failed;
  case attempt_end::timed_out:
    return attempt_result::timed_out;
  }
  return std::nullopt;
}

} // namespace

void
request_flow::close_attempt(attempt_end how) {
  upstream_attempt& it = *attempt_;
  const moment now = http1::event_loop::now();
  count("nutmegspur_attempts_total", "how", to_name(how));
  state_.loads.on_ended(now, it.load_id);
  paths_.on_ended(it.path_attempt);
  if (!it.first_byte_received) {
    state_.caches.on_prefill_failed(it.upstream.id, it.new_parts);
  }
  record_evidence(how);
  if (how == attempt_end::rejected && it.head.status == misdirected_request) {
    // Another process is at the address, or the engine changed its stage: the list will show it.
    const engine_stage other = it.upstream.stage == engine_stage::none ? engine_stage::none
                               : it.task == attempt_task::prefill      ? engine_stage::decode
                                                                       : engine_stage::prefill;
    state_.withhold(now, it.upstream.id, other, misdirected_period, "misdirected");
  }
  const bool path_known = it.by_peer == nullptr || it.by_peer->path_known();
  if ((how == attempt_end::malformed && !it.unusual_ids) ||
      (how == attempt_end::broken && it.head.status != 0 && path_known)) {
    state_.spoiled.on_spoiled(now, it.upstream.id);
  }
  if (is_event_stream()) {
    habits().on_stream(it.sequence.counts(), !it.resumed_after.empty(), framing_of(it.head));
  }
  if (how != attempt_end::answered && how != attempt_end::unproven) {
    client_.forget({it.upstream.address, it.upstream.port});
    log(log_event::upstream_failed,
        {{"request", request_.id},
         {"upstream", it.upstream.id.value},
         {"peer", it.by_peer == nullptr ? "" : it.by_peer->peer().value},
         {"how", std::string{to_name(how)}},
         {"status", std::to_string(it.head.status)},
         {"close_delimited", it.head.close_delimited ? "yes" : "no"},
         {"partial_event", std::to_string(it.events.held_bytes())},
         {"fingerprint", part_text(fingerprint_)},
         {"elapsed_ms", elapsed_text()}});
  }
}

void
request_flow::log_stream(std::string_view how, std::string_view next) {
  if (!is_event_stream()) {
    return;
  }
  upstream_attempt& it = *attempt_;
  it.stream_logged = true;
  const event_counts& seen = it.sequence.counts();
  log(log_event::stream_ended,
      {{"request", request_.id},
       {"upstream", it.upstream.id.value},
       {"peer", it.by_peer == nullptr ? "" : it.by_peer->peer().value},
       {"attempt", std::to_string(history_.sent)},
       {"how", std::string{how}},
       {"next", std::string{next}},
       {"framing", std::string{to_name(framing_of(it.head))}},
       {"tail",
        std::string{to_name(it.call == nullptr ? response_tail::nothing : it.call->tail())}},
       {"resumed_after", it.resumed_after},
       {"events", std::to_string(seen.events)},
       {"forwarded", std::to_string(it.forwarded)},
       {"first_id", seen.first_id},
       {"last_id", seen.last_id},
       {"repeated", std::to_string(seen.repeated)},
       {"ahead", std::to_string(seen.ahead)},
       {"misplaced", std::to_string(seen.misplaced)},
       {"unnumbered", std::to_string(seen.unnumbered)},
       {"partial_event", std::to_string(it.events.held_bytes())}});
}

void
request_flow::record_evidence(attempt_end how) {
  const upstream_attempt& it = *attempt_;
  const auto result = health_result(how);
  if (!result || it.unusual_ids) {
    return; // A habit may have changed, at a sound upstream.
  }
  if (how == attempt_end::timed_out && it.held.waited()) {
    // This instance did not read its response.
    state_.health.on_abandoned(it.upstream.id);
    return;
  }
  // If the prompt cannot be fetched, the engine that should have kept it is at fault.
  const bool lost_handle = it.task == attempt_task::decode && how == attempt_end::rejected;
  const auto record = [this_state = &state_, id = lost_handle ? prefill_upstream_ : it.upstream.id,
                       kind = *result] {
    this_state->record_result(http1::event_loop::now(), id, kind);
  };
  const bool path_in_question = how == attempt_end::unreachable || how == attempt_end::broken ||
                                how == attempt_end::timed_out;
  if (!path_in_question) {
    record();
  } else if (it.by_peer != nullptr) {
    // The peer has counted what the upstream may have crashed on.
    if (it.by_peer->path_known()) {
      record();
    }
  } else {
    paths_.hold(it.upstream.id, record);
    if (how == attempt_end::broken && it.task != attempt_task::prefill) {
      crashes_.on_attempt_broken(it.upstream, suspects_);
    }
  }
}

void
request_flow::on_path_cut(const upstream_id& upstream) {
  if (done_ || !attempt_ || attempt_->call == nullptr || attempt_->by_peer != nullptr ||
      attempt_->upstream.id != upstream) {
    return;
  }
  const upstream_attempt& it = *attempt_;
  const moment now = http1::event_loop::now();
  const bool waits =
      now.boot - std::max(it.sent_at.boot, it.last_bytes_at) >= path_watch::silence_limit;
  if (!it.call->sent()) {
    attempt_->call->cancel();
    end_attempt(attempt_end::unreachable);
    return;
  }
  attempt_history next = history_;
  next.time_left = remaining_time() > min_attempt_time;
  next.upstream_left = !eligible_upstreams().empty();
  const bool prefill = it.task == attempt_task::prefill;
  const auto step = prefill ? after_failed_prefill(next) : after_attempt(attempt_end::broken, next);
  if (waits && step == next_step::retry) {
    attempt_->call->cancel();
    end_attempt(attempt_end::broken);
  }
}

void
request_flow::end_prefill(attempt_end how) {
  close_attempt(how);
  upstream_attempt& it = *attempt_;
  std::string handle;
  if (how == attempt_end::answered) {
    const auto read = state_.wire.parse_handle(it.body);
    if (!read) {
      log(log_event::upstream_failed, read.error(), {{"request", request_.id}});
    }
    handle = read.value_or("");
  }
  if (!handle.empty()) {
    prefill_upstream_ = it.upstream.id;
    prefill_version_ = it.upstream.software_version;
    prompt_handle_ = prompt_handle{{it.upstream.address, it.upstream.port}, handle};
    http1::discard(state_.loop, std::move(it.call));
    attempt_.reset();
    start_decode();
    return;
  }
  // Prefill does not count as running the request.
  prefill_failed_ = true;
  history_.sent += prefill_is_attempt(how) ? 1 : 0;
  http1::discard(state_.loop, std::move(it.call));
  attempt_.reset();
  history_.time_left = remaining_time() > min_attempt_time;
  history_.upstream_left = !eligible_upstreams().empty();
  history_.budget_left = how == attempt_end::unreachable ||
                         history_.sent >= history_.max_attempts ||
                         state_.retry_budget_of(service_name_).take(http1::event_loop::now());
  const next_step step = after_failed_prefill(history_);
  if (step == next_step::retry) {
    place();
  } else {
    end_request(step, to_name(how), retry_after_rejection, 0);
  }
}

void
request_flow::end_request(next_step step, std::string_view why,
                          std::optional<milliseconds> retry_after, double expected_millis) {
  constexpr int bad_gateway = 502;
  switch (step) {
  case next_step::cut:
    cut(why);
    break;
  case next_step::fail:
    fail(bad_gateway, why);
    break;
  case next_step::complete:
    complete();
    break;
  default:
    refuse(why, retry_after, expected_millis);
    break;
  }
}

void
request_flow::start_decode() {
  if (stop_before_attempt() || stop_if_quarantined()) {
    return;
  }
  const moment now = http1::event_loop::now();
  const auto* planned = state_.upstreams.usable(placement_.upstream);
  if (planned != nullptr && planned->stage != engine_stage::prefill &&
      planned->software_version == prefill_version_ && state_.upstream_available(now, *planned) &&
      !lacks_permit(*planned)) {
    send(attempt_task::decode, placement_.upstream, 0);
    return;
  }
  // The planned engine is no longer available: use another of the version that prefilled the
  // prompt, preferably in the same zone.
  const listed_upstream* prefill_engine = state_.upstreams.find(prefill_upstream_);
  const listed_upstream* best = nullptr;
  for (const auto* it : eligible_upstreams()) {
    if (it->stage == engine_stage::prefill || !state_.upstream_available(now, *it) ||
        lacks_permit(*it) || it->software_version != prefill_version_) {
      continue;
    }
    const bool nearer = prefill_engine != nullptr && it->zone == prefill_engine->zone &&
                        (best == nullptr || best->zone != prefill_engine->zone);
    if (best == nullptr || nearer) {
      best = it;
    }
  }
  if (best == nullptr) {
    // Another engine may prefill the prompt anew and run it.
    free_handle();
    prefill_failed_ = true;
    place();
    return;
  }
  send(attempt_task::decode, best->id, 0);
}

void
request_flow::free_handle() {
  if (!prompt_handle_) {
    return;
  }
  constexpr milliseconds free_timeout{1'000};
  const auto* engine = state_.upstreams.find(prefill_upstream_);
  // An engine that is paused, leaving or limited frees the cache by itself after its retention
  // time.
  if (engine == nullptr ||
      (state_.accepts_calls(http1::event_loop::now(), *engine) && !permits_.needed(*engine))) {
    background_calls_.send(prompt_handle_->at, state_.wire.release_call(*prompt_handle_),
                           {free_timeout}, {});
  }
  prompt_handle_.reset();
}

namespace {

/// Whether an attempt that was to prove an end has shown that events were missing.
bool
shows_more_events(const upstream_attempt& it) {
  return it.sequence.has_new_events() || it.events.inside_data();
}

} // namespace

void
request_flow::note_contradicted_end() {
  if (history_.end_unproven && attempt_ && shows_more_events(*attempt_)) {
    history_.end_unproven = false;
    history_.broken_off = true;
  }
}

void
request_flow::end_attempt(attempt_end how) {
  if (attempt_->task == attempt_task::prefill) {
    end_prefill(how);
    return;
  }
  close_attempt(how);
  upstream_attempt& it = *attempt_;
  // After a decode, a retry uses no separate prefill, because that would count as another attempt.
  prefill_failed_ = prefill_failed_ || it.task == attempt_task::decode;
  const moment now = http1::event_loop::now();
  history_.time_left = remaining_time() > min_attempt_time;
  history_.upstream_left = !eligible_upstreams().empty();
  history_.budget_left = true;
  if (how != attempt_end::answered && how != attempt_end::unproven) {
    note_contradicted_end();
  }
  next_step step = after_attempt(how, history_);
  if (step == next_step::retry && history_.sent > 0) {
    auto& budget = state_.retry_budget_of(service_name_);
    history_.budget_left = how == attempt_end::unproven ? budget.take_spare(now) : budget.take(now);
    step = after_attempt(how, history_);
  }
  if (!streaming() && may_have_run(how)) {
    count_usage(it.sent_at);
  }
  history_.may_have_run = history_.may_have_run || may_have_run(how);
  log_stream(to_name(how), to_name(step));
  switch (step) {
  case next_step::pass_on:
    if (is_event_stream() || (!streaming() && it.marks.stamped_by_upstream)) {
      proxy_state::log_blame(state_.blame.on_completed(state_.clock.agreed(now).wall, suspects_),
                             "own");
    }
    forward_response();
    break;
  case next_step::retry:
    retry(how);
    break;
  case next_step::refuse:
    refuse(to_name(how), retry_after_rejection, 0);
    break;
  case next_step::fail:
    fail(how == attempt_end::timed_out ? 504 : 502, to_name(how));
    break;
  case next_step::cut:
    cut(to_name(how));
    break;
  case next_step::complete:
    complete();
    break;
  }
}

void
request_flow::retry(attempt_end how) {
  log(log_event::request_retried, {{"request", request_.id},
                                   {"after", std::string{to_name(how)}},
                                   {"sent", std::to_string(history_.sent)}});
  if (how == attempt_end::unproven) {
    history_.end_unproven = true;
    ended_by_ = attempt_->upstream.id;
  } else if (history_.response_started && !history_.end_unproven) {
    history_.broken_off = true;
  }
  if (how == attempt_end::unproven && history_.response_started) {
    // The caller has its events, and waits for nothing but the end.
    state_.loop.cancel(proof_timer_);
    proof_timer_ =
        state_.loop.once(route_->target_latency, [this](const moment&) { on_proof_timeout(); });
  }
  http1::discard(state_.loop, std::move(attempt_->call));
  attempt_.reset();
  place();
}

void
request_flow::on_proof_timeout() {
  if (done_ || !history_.end_unproven) {
    return;
  }
  if (attempt_ && attempt_->call != nullptr) {
    attempt_->call->cancel();
    history_.max_attempts = history_.sent; // There is no time for another one.
    end_attempt(attempt_end::timed_out);
    return;
  }
  end_request(after_last_attempt(history_), "no proof", std::nullopt, 0);
}

void
request_flow::complete() {
  constexpr int ok = 200;
  caller_->finish();
  origins_.on_stream_completed(stream_request());
  log_answer(ended_by_, ok, "none", 0);
  finish(ok);
}

void
request_flow::forward_response() {
  upstream_attempt& it = *attempt_;
  const int status = it.head.status;
  const std::size_t partial_event = it.events.held_bytes();
  if (history_.response_started) {
    caller_->write(it.events.take_remainder());
    caller_->finish();
  } else {
    const std::string rest = it.events.take_remainder();
    caller_->reply(status, it.head.reason, it.head.fields, rest.empty() ? it.body : rest);
  }
  if (streaming()) {
    origins_.on_stream_completed(stream_request());
  }
  log_answer(it.upstream.id, status, to_name(framing_of(it.head)), partial_event);
  finish(status);
}

void
request_flow::log_answer(const upstream_id& upstream, int status, std::string_view proof,
                         std::size_t partial_event) {
  log(log_event::request_answered, {{"request", request_.id},
                                    {"upstream", upstream.value},
                                    {"status", std::to_string(status)},
                                    {"first_event_ms", first_event_text()},
                                    {"longest_gap_ms", rounded(to_millis(longest_gap_))},
                                    {"proof", std::string{proof}},
                                    {"partial_event", std::to_string(partial_event)},
                                    {"elapsed_ms", elapsed_text()}});
}

std::string
request_flow::first_event_text() const {
  return first_event_at_ == time_point{}
             ? ""
             : rounded(to_millis(first_event_at_ - caller_->arrived().boot));
}

void
request_flow::refuse(std::string_view why, std::optional<milliseconds> retry_after,
                     double expected_millis) {
  constexpr int unavailable = 503;
  count("nutmegspur_refused_total", "why", why);
  log(log_event::request_refused,
      {{"request", request_.id},
       {"route", route_ == nullptr ? "" : route_->name},
       {"why", std::string{why}},
       {"expected_ms", rounded(expected_millis)},
       {"retry_after_ms", retry_after ? std::to_string(retry_after->count()) : ""},
       {"elapsed_ms", elapsed_text()}});
  caller_->reply(unavailable, "", state_.wire.own_response_fields(request_.id, retry_after), "");
  finish(unavailable);
}

void
request_flow::reject(int status, std::string_view why) {
  constexpr int bad_request = 400;
  // The reason of a bad request is free text, which must not become a label value.
  count("nutmegspur_refused_total", "why", status == bad_request ? "bad request" : why);
  log(log_event::request_refused,
      {{"request", request_.id},
       {"status", std::to_string(status)},
       {"why", std::string{why}},
       {"host", host_of(caller_->head())},
       {"path", std::string{caller_->head().path()}},
       {"config", config_ == nullptr ? "none" : std::to_string(config_->config().version)}});
  caller_->reply(status, "", state_.wire.own_response_fields(request_.id, std::nullopt), "");
  finish(status);
}

void
request_flow::fail(int status, std::string_view why) {
  count("nutmegspur_failed_total", "why", why);
  log(log_event::request_failed, {{"request", request_.id},
                                  {"status", std::to_string(status)},
                                  {"why", std::string{why}},
                                  {"sent", std::to_string(history_.sent)},
                                  {"elapsed_ms", elapsed_text()}});
  caller_->reply(status, "", state_.wire.own_response_fields(request_.id, std::nullopt), "");
  finish(status);
}

void
request_flow::cut(std::string_view why) {
  constexpr int bad_gateway = 502;
  count("nutmegspur_failed_total", "why", why);
  log(log_event::request_failed, {{"request", request_.id},
                                  {"status", "cut"},
                                  {"why", std::string{why}},
                                  {"sent", std::to_string(history_.sent)},
                                  {"elapsed_ms", elapsed_text()}});
  caller_->abort();
  finish(bad_gateway);
}

void
request_flow::on_caller_disconnected() {
  if (done_) {
    return;
  }
  log(log_event::caller_left, {{"request", request_.id}, {"elapsed_ms", elapsed_text()}});
  // An upstream that has not responded may be silent: its probe keeps waiting for a result.
  if (attempt_ && attempt_->first_byte_received) {
    state_.health.on_abandoned(attempt_->upstream.id);
  }
  constexpr int client_closed_request = 499;
  finish(client_closed_request);
}

request_progress
request_flow::progress() const {
  if (history_.response_started) {
    return request_progress::responding;
  }
  // Prefill does not count as running the request.
  const bool attempt_sent = attempt_ && attempt_->task != attempt_task::prefill &&
                            attempt_->call != nullptr && attempt_->call->sent();
  return history_.may_have_run || attempt_sent ? request_progress::sent : request_progress::unsent;
}

void
request_flow::on_deadline() {
  end_unfinished("deadline", retry_after_rejection);
}

void
request_flow::on_instance_end() {
  end_unfinished("stopping", retry_after_stopping);
}

void
request_flow::end_unfinished(std::string_view why, milliseconds retry_after) {
  if (done_) {
    return;
  }
  constexpr int gateway_timeout = 504;
  note_contradicted_end();
  switch (progress()) {
  case request_progress::responding:
    end_request(after_last_attempt(history_), why, std::nullopt, 0);
    break;
  case request_progress::sent:
    fail(gateway_timeout, why);
    break;
  case request_progress::unsent:
    refuse(why, retry_after, 0);
    break;
  }
}

void
request_flow::finish(int status) {
  if (done_) {
    return;
  }
  done_ = true;
  state_.loop.cancel(deadline_timer_);
  state_.loop.cancel(proof_timer_);
  state_.loop.cancel(unsent_timer_);
  permit_wait_.reset();
  origin_wait_.reset();
  const moment now = http1::event_loop::now();
  if (attempt_) {
    if (attempt_->call != nullptr && attempt_->first_byte_received && !attempt_->stream_logged) {
      log_stream("unfinished", std::to_string(status));
    }
    state_.loads.on_ended(now, attempt_->load_id);
    paths_.on_ended(attempt_->path_attempt);
    attempt_->held.release();
    http1::discard(state_.loop, std::move(attempt_->call));
  }
  free_handle();
  const std::string route_kind_name =
      route_ == nullptr ? "none" : std::string{to_name(route_->kind)};
  state_.metrics
      .get_counter("nutmegspur_requests_total",
                   {{"kind", route_kind_name}, {"status", std::to_string(status)}})
      .add();
  if (first_event_at_ != time_point{}) {
    observe_seconds("nutmegspur_first_event_seconds", first_event_at_ - caller_->arrived().boot);
  }
  observe_seconds("nutmegspur_request_seconds", now.boot - caller_->arrived().boot);
  state_.metrics
      .get_histogram("nutmegspur_class_seconds",
                     {{"service", service_name_.value}, {"kind", route_kind_name}})
      .observe(std::chrono::duration<double>(now.boot - caller_->arrived().boot).count());
  on_done_(this);
}

void
request_flow::count(const char* name, const char* label, std::string_view value) {
  state_.metrics.get_counter(name, {{label, std::string{value}}}).add();
}

void
request_flow::observe_seconds(const char* name, duration time) {
  state_.metrics.get_histogram(name, {{"team", team_.value}})
      .observe(std::chrono::duration<double>(time).count());
}

} // namespace nutmegspur::proxy
