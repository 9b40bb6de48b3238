// After an attempt: another one, or the request's end.
#include "caller_host.h"
#include "millis_text.h"
#include "request_flow.h"

namespace nutmegspur::proxy {

namespace {

/// Time to come back where an upstream rejected the request or could not be reached.
constexpr milliseconds retry_after_rejection{150};
constexpr int misdirected_request = 421;
/// Until the list shows what is at an address: an entry lapses after three heartbeats of about a
/// second each, and the news takes a moment.
constexpr milliseconds misdirected_span{4'000};
/// An attempt with less time than this is not worth sending.
constexpr milliseconds least_attempt_time{20};

} // namespace

namespace {

/// What an ended attempt says about its upstream; empty where it says nothing.
std::optional<attempt_result>
health_result(attempt_end how) {
  switch (how) {
  case attempt_end::answered:
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
  state_.loads.on_ended(now, it.load);
  if (!it.read) {
    state_.caches.on_prefill_failed(it.upstream.id, it.new_parts);
  }
  if (const auto result = health_result(how)) {
    // A prompt that cannot be fetched is the fault of the engine that was to keep it.
    const bool lost_handle = it.asked == attempt_task::going_on && how == attempt_end::rejected;
    state_.health.on_result(now, lost_handle ? reader_ : it.upstream.id, *result);
  }
  if (how == attempt_end::rejected && it.head.status == misdirected_request) {
    // Another process, or the same in another stage: the list will show it.
    const engine_stage other = it.upstream.stage == engine_stage::none ? engine_stage::none
                               : it.asked == attempt_task::reading     ? engine_stage::decode
                                                                       : engine_stage::prefill;
    state_.withhold(now, it.upstream.id, other, misdirected_span, "misdirected");
  }
  if (how != attempt_end::answered) {
    client_.forget({it.upstream.address, it.upstream.port});
    log(log_event::upstream_failed, {{"request", request_.id},
                                     {"upstream", it.upstream.id.value},
                                     {"how", std::string{to_name(how)}},
                                     {"status", std::to_string(it.head.status)},
                                     {"elapsed_ms", elapsed_text()}});
  }
}

void
request_flow::end_reading(attempt_end how) {
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
    reader_ = it.upstream.id;
    handle_ = prompt_handle{{it.upstream.address, it.upstream.port}, handle};
    http1::discard(state_.loop, std::move(it.call));
    attempt_.reset();
    go_on();
    return;
  }
  // Reading is not running: nothing has run. A rejected call counts as an attempt.
  split_failed_ = true;
  history_.sent += how == attempt_end::unreachable ? 0 : 1;
  http1::discard(state_.loop, std::move(it.call));
  attempt_.reset();
  history_.time_left = left() > least_attempt_time;
  history_.upstream_left = !state_.upstreams.usable_of(service_name_).empty();
  history_.budget_left = history_.sent == 0 || history_.sent >= history_.max_attempts ||
                         state_.retries_of(service_name_).take(http1::event_loop::now());
  const next_step step = after_failed_prefill(history_);
  if (step == next_step::retry) {
    place();
  } else {
    give_up_with(step, to_name(how), retry_after_rejection, 0);
  }
}

void
request_flow::give_up_with(next_step step, std::string_view why, milliseconds retry_after,
                           double expected_millis) {
  constexpr int bad_gateway = 502;
  switch (step) {
  case next_step::cut:
    cut(why);
    break;
  case next_step::fail:
    fail(bad_gateway, why);
    break;
  default:
    refuse(why, retry_after, expected_millis);
    break;
  }
}

void
request_flow::go_on() {
  const moment now = http1::event_loop::now();
  const auto* planned = state_.upstreams.usable(plan_.upstream);
  if (planned != nullptr && planned->stage != engine_stage::prefill &&
      state_.takes_work(now, *planned)) {
    send(attempt_task::going_on, plan_.upstream, 0);
    return;
  }
  // The engine that was to go on has left meanwhile: any other may, the nearest first.
  const listed_upstream* reader = state_.upstreams.find(reader_);
  const listed_upstream* best = nullptr;
  for (const auto* it : state_.upstreams.usable_of(service_name_)) {
    if (it->stage == engine_stage::prefill || !state_.takes_work(now, *it)) {
      continue;
    }
    const bool nearer = reader != nullptr && it->zone == reader->zone &&
                        (best == nullptr || best->zone != reader->zone);
    if (best == nullptr || nearer) {
      best = it;
    }
  }
  if (best == nullptr) {
    give_up_with(after_last_attempt(history_), "no_upstream", retry_after_rejection, 0);
    return;
  }
  send(attempt_task::going_on, best->id, 0);
}

void
request_flow::free_handle() {
  if (!handle_) {
    return;
  }
  constexpr milliseconds free_limit{1'000};
  aside_.send(handle_->at, state_.wire.release_call(*handle_), free_limit, {});
  handle_.reset();
}

void
request_flow::end_attempt(attempt_end how) {
  if (attempt_->asked == attempt_task::reading) {
    end_reading(how);
    return;
  }
  close_attempt(how);
  upstream_attempt& it = *attempt_;
  // Another prompt read apart would count as an attempt by itself.
  split_failed_ = split_failed_ || it.asked == attempt_task::going_on;
  const moment now = http1::event_loop::now();
  history_.time_left = left() > least_attempt_time;
  history_.upstream_left = !state_.upstreams.usable_of(service_name_).empty();
  history_.budget_left = true;
  next_step step = after_attempt(how, history_);
  if (step == next_step::retry && history_.sent > 0 &&
      !state_.retries_of(service_name_).take(now)) {
    history_.budget_left = false;
    step = after_attempt(how, history_);
  }
  if (!streaming() && may_have_run(how)) {
    note_ran(it.sent_at);
  }
  history_.may_have_run = history_.may_have_run || may_have_run(how);
  switch (step) {
  case next_step::pass_on:
    pass_answer();
    break;
  case next_step::retry:
    log(log_event::request_retried, {{"request", request_.id},
                                     {"after", std::string{to_name(how)}},
                                     {"sent", std::to_string(history_.sent)}});
    http1::discard(state_.loop, std::move(it.call));
    attempt_.reset();
    place();
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
  }
}

void
request_flow::pass_answer() {
  upstream_attempt& it = *attempt_;
  const int status = it.head.status;
  if (history_.response_started) {
    caller_->write(it.events.take_rest());
    caller_->finish();
  } else {
    const std::string rest = it.events.take_rest();
    caller_->reply(status, it.head.reason, it.head.fields, rest.empty() ? it.body : rest);
  }
  log(log_event::request_answered, {{"request", request_.id},
                                    {"upstream", it.upstream.id.value},
                                    {"status", std::to_string(status)},
                                    {"first_event_ms", first_event_text()},
                                    {"longest_gap_ms", rounded(to_millis(longest_gap_))},
                                    {"elapsed_ms", elapsed_text()}});
  finish(status);
}

std::string
request_flow::first_event_text() const {
  return first_event_at_ == time_point{}
             ? ""
             : rounded(to_millis(first_event_at_ - caller_->arrived().boot));
}

void
request_flow::refuse(std::string_view why, milliseconds retry_after, double expected_millis) {
  constexpr int unavailable = 503;
  count("nutmegspur_refused_total", "why", why);
  log(log_event::request_refused, {{"request", request_.id},
                                   {"route", route_ == nullptr ? "" : route_->name},
                                   {"why", std::string{why}},
                                   {"expected_ms", rounded(expected_millis)},
                                   {"retry_after_ms", std::to_string(retry_after.count())},
                                   {"elapsed_ms", elapsed_text()}});
  caller_->reply(unavailable, "", state_.wire.own_response_fields(request_.id, retry_after), "");
  finish(unavailable);
}

void
request_flow::answer_error(int status, std::string_view why) {
  constexpr int bad_request = 400;
  // What is wrong with a request is free text, and no label.
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
request_flow::on_gone() {
  if (done_) {
    return;
  }
  log(log_event::caller_left, {{"request", request_.id}, {"elapsed_ms", elapsed_text()}});
  constexpr int client_closed_request = 499;
  finish(client_closed_request);
}

void
request_flow::on_deadline() {
  if (done_) {
    return;
  }
  if (history_.response_started) {
    cut("deadline");
  } else if (history_.may_have_run || (attempt_ && attempt_->asked != attempt_task::reading &&
                                       attempt_->call && attempt_->call->sent())) {
    fail(504, "deadline");
  } else {
    refuse("deadline", retry_after_rejection, 0);
  }
}

void
request_flow::finish(int status) {
  if (done_) {
    return;
  }
  done_ = true;
  state_.loop.cancel(deadline_timer_);
  state_.loop.cancel(silence_timer_);
  const moment now = http1::event_loop::now();
  if (attempt_) {
    state_.loads.on_ended(now, attempt_->load);
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
request_flow::observe_seconds(const char* name, duration span) {
  state_.metrics.get_histogram(name, {{"team", team_.value}})
      .observe(std::chrono::duration<double>(span).count());
}

} // namespace nutmegspur::proxy
