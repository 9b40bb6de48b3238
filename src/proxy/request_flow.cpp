// A request's way: match, place, send, pass on.
#include "request_flow.h"

#include <algorithm>
#include <charconv>

namespace nutmegspur::proxy {

namespace {

/// Usual work of a plain service's request, until histograms of each service are used: the middle
/// of what interactive services take.
constexpr double usual_service_millis = 40;
/// Time to come back for who arrives before this instance knows its configuration.
constexpr milliseconds retry_before_ready{500};
/// Time to come back where an upstream turned the request away or could not be reached.
constexpr milliseconds retry_after_rejection{150};
/// Time to come back for who reaches an instance that is about to end: another one takes them.
constexpr milliseconds retry_elsewhere{100};
/// Bytes of an answer that a caller may leave unread before it is cut off.
constexpr std::size_t most_unsent_bytes = 4UL * 1024 * 1024;
/// An attempt with less time than this is not worth sending.
constexpr milliseconds least_attempt_time{20};
/// Peers are told of a placed part for so long: three notices.
constexpr milliseconds placed_notice_time{350};

double
to_millis(duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

std::string
rounded(double millis) {
  return std::to_string(static_cast<std::int64_t>(millis));
}

std::string
host_of(const http_request_head& head) {
  std::string host{head.fields.get("Host")};
  if (const auto colon = host.find(':'); colon != std::string::npos) {
    host.erase(colon);
  }
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return host;
}

/// Whether event `id` comes after `last`; ids are numbers that grow.
bool
comes_after(const std::string& id, const std::string& last) {
  std::int64_t a = 0;
  std::int64_t b = 0;
  const auto read = [](const std::string& text, std::int64_t& to) {
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), to);
    return ec == std::errc{} && end == text.data() + text.size();
  };
  return !read(id, a) || !read(last, b) || a > b;
}

} // namespace

request_flow::request_flow(proxy_state& state, http1::http_client& client, call_set& aside,
                           http1::exchange_ptr caller, std::function<void(request_flow*)> on_done)
    : state_(state), client_(client), aside_(aside), caller_(std::move(caller)),
      on_done_(std::move(on_done)) {}

request_flow::~request_flow() {
  state_.loop.cancel(deadline_timer_);
  state_.loop.cancel(silence_timer_);
}

duration
request_flow::left() const {
  return deadline_ - http1::event_loop::now().boot;
}

std::string
request_flow::elapsed_text() const {
  return rounded(to_millis(http1::event_loop::now().boot - caller_->arrived().boot));
}

void
request_flow::start() {
  caller_->set_on_gone([this] { on_gone(); });
  if (admit()) {
    place();
  }
}

bool
request_flow::admit() {
  config_ = state_.config;
  const auto read = state_.wire.read_request(caller_->head());
  if (!read) {
    answer_error(400, read.error().message);
    return false;
  }
  request_ = *read;
  if (config_ == nullptr || !state_.upstreams_known) {
    refuse("no configuration yet", retry_before_ready, 0);
    return false;
  }
  if (!state_.takes_requests(caller_->arrived())) {
    refuse("stopping", retry_elsewhere, 0);
    return false;
  }
  route_ = config_->find_route(host_of(caller_->head()), caller_->head().path());
  if (route_ == nullptr) {
    answer_error(404, "no route");
    return false;
  }
  if (config_->has_teams() && !route_->open_to_all) {
    const auto* team = config_->find_team(request_.key);
    if (team == nullptr) {
      answer_error(401, "unknown key");
      return false;
    }
    team_ = team->name;
  }
  service_name_ = pick_service(
      *route_, std::hash<std::string>{}(request_.id) ^
                   static_cast<std::uint64_t>(caller_->arrived().boot.time_since_epoch().count()));
  service_ = config_->find_service(service_name_);
  prompt_ = {chain_parts(request_.model, request_.parts), request_.prompt_tokens,
             request_.output_tokens};
  milliseconds span = route_->timeout;
  if (request_.patience) {
    span = std::min(span, *request_.patience);
  }
  deadline_ = caller_->arrived().boot + span;
  deadline_timer_ = state_.loop.once(std::max<duration>(left(), duration{0}),
                                     [this](const moment&) { on_deadline(); });
  history_.kind = route_->kind;
  history_.resumable = route_->resumable;
  history_.max_attempts = route_->max_attempts;
  last_event_id_ = request_.last_event_id;
  state_.retries_of(service_name_).on_fresh();
  return true;
}

placement_candidate
request_flow::candidate(const moment& now, const listed_upstream& it) const {
  const upstream_load load = state_.loads.total(now, it.id);
  const std::uint64_t chain = prompt_.shared_chain();
  placement_candidate to;
  to.id = it.id;
  to.zone = it.zone;
  if (const auto region = state_.settings.regions.find(it.zone);
      region != state_.settings.regions.end()) {
    to.region = region->second;
  }
  to.away = state_.distance_to(it.zone);
  to.open = load.open;
  to.slots = it.slots;
  to.backlog_millis = load.backlog_millis;
  to.cached_tokens = state_.caches.cached_tokens(it.id, prompt_);
  to.failure_share = state_.health.failure_share(it.id);
  to.preference = preference_rank(state_.settings.instance, it.id);
  to.home_weight = chain == 0 ? 0 : home_weight(chain, it.id);
  return to;
}

placement_field
request_flow::candidates() const {
  placement_field field;
  const moment now = http1::event_loop::now();
  for (const auto* it : state_.upstreams.usable_of(service_name_)) {
    if (tried_.contains(it->id) || !state_.health.allows(now, it->id)) {
      continue;
    }
    if (it->stage != engine_stage::prefill) {
      field.runners.push_back(candidate(now, *it));
    } else if (!split_failed_ && !history_.answer_begun) {
      field.readers.push_back(candidate(now, *it));
    }
  }
  return field;
}

placement_request
request_flow::wanted() const {
  placement_request to;
  to.objective_millis = static_cast<double>(route_->objective.count());
  to.remaining_millis = to_millis(left());
  to.body_bytes = static_cast<double>(caller_->body().size());
  to.engine = service_ != nullptr && service_->engine.has_value();
  to.prompt_tokens = prompt_.prompt_tokens;
  to.shared_tokens = prompt_.shared_tokens();
  to.gap_objective_millis = static_cast<double>(route_->gap_objective.count());
  to.service_millis = usual_service_millis;
  if (to.engine) {
    const auto& pace = state_.calibrations[service_name_];
    to.mixed = {pace.mixed.fixed_millis(), pace.mixed.read_millis(1)};
    to.reader = {pace.reader.fixed_millis(), pace.reader.read_millis(1)};
    to.mover = {pace.mover.fixed_millis(), pace.mover.read_millis(1)};
  }
  return to;
}

void
request_flow::place() {
  auto field = candidates();
  if (field.runners.empty() && !tried_.empty() && route_->kind == route_kind::repeatable) {
    tried_.clear();
    field = candidates();
  }
  const auto chosen = place_request(wanted(), field, state_.options.weights);
  if (chosen) {
    plan_ = *chosen;
    begin_plan();
    return;
  }
  const auto& refusal = chosen.error();
  if (history_.answer_begun) {
    cut(to_name(refusal.why));
  } else if (history_.may_have_run) {
    fail(502, to_name(refusal.why));
  } else {
    refuse(to_name(refusal.why), refusal.retry_after, refusal.expected_millis);
  }
}

void
request_flow::begin_plan() {
  const bool split = !plan_.reader.empty();
  log(log_event::request_placed, {{"request", request_.id},
                                  {"route", route_->name},
                                  {"upstream", plan_.upstream.value},
                                  {"reader", plan_.reader.value},
                                  {"attempt", std::to_string(history_.sent + 1)},
                                  {"expected_ms", rounded(plan_.expected_millis)},
                                  {"prompt", std::to_string(prompt_.prompt_tokens)},
                                  {"cached", std::to_string(plan_.cached_tokens)},
                                  {"config", std::to_string(config_->config().version)}});
  if (split) {
    send(task::reading, plan_.reader, plan_.reader_millis);
  } else {
    send(task::whole, plan_.upstream, plan_.read_millis);
  }
}

milliseconds
request_flow::attempt_limit() const {
  const auto rest = std::chrono::ceil<milliseconds>(left());
  if (route_->kind != route_kind::repeatable || history_.sent + 1 >= history_.max_attempts) {
    return rest;
  }
  // A repeatable request is worth a second try elsewhere while the first may only be slow.
  constexpr int objectives = 2;
  return std::min(rest, route_->objective * objectives);
}

std::string
request_flow::request_bytes(const attempt& to) const {
  forward_fields own;
  own.expected = to.upstream.id;
  own.team = team_;
  // What the caller still waits, by the time passed here.
  const auto patience = request_.patience.value_or(route_->timeout);
  const auto passed =
      std::chrono::floor<milliseconds>(http1::event_loop::now().boot - caller_->arrived().boot);
  own.patience = std::max(patience - passed, milliseconds{1});
  own.last_event_id = history_.answer_begun ? last_event_id_ : "";
  own.read_only = to.asked == task::reading;
  if (to.asked == task::going_on) {
    own.from = handle_;
  }
  const http_fields fields = state_.wire.forward(caller_->head(), own);
  return format_request(caller_->head().method, caller_->head().target, fields, caller_->body());
}

void
request_flow::send(task asked, const upstream_id& to, double read_millis) {
  const auto* upstream = state_.upstreams.usable(to);
  attempt& it = attempt_.emplace();
  it.asked = asked;
  it.upstream = *upstream;
  it.sent_at = http1::event_loop::now();
  it.alone = state_.loads.total(it.sent_at, it.upstream.id).backlog_millis <= 0;
  it.load = state_.loads.on_sent(it.sent_at, it.upstream.id, read_millis);
  state_.health.on_sent(it.sent_at, it.upstream.id);
  if (service_ != nullptr && service_->engine) {
    it.new_parts =
        state_.caches.on_placed(it.upstream.id, prompt_.parts, service_->engine->cache_tokens);
    for (const auto& part : it.new_parts) {
      state_.placed.emplace_back(it.sent_at.boot + placed_notice_time,
                                 cached_part_notice{it.upstream.id, part});
    }
  }
  if (asked != task::reading) {
    tried_.insert(it.upstream.id);
  }
  http1::call_options options;
  options.limit = attempt_limit();
  options.is_ours = [this](const http_answer_head& head) {
    const auto marks = state_.wire.read_answer(head);
    return marks.request_id.empty() || marks.request_id == request_.id;
  };
  it.call = client_.start({it.upstream.address, it.upstream.port}, request_bytes(it),
                          {[this] { history_.sent += attempt_->asked == task::reading ? 0 : 1; },
                           [this](const http_answer_head& head) { on_head(head); },
                           [this](std::string_view bytes) { on_body(bytes); },
                           [this](http1::call_end how) { on_call_end(how); }},
                          options, caller_->head().method == "HEAD");
}

void
request_flow::note_ran(const moment& when) {
  if (!counted_ && !team_.empty()) {
    counted_ = true;
    state_.usage.count(team_, state_.clock.agreed(when).wall);
  }
}

void
request_flow::on_head(const http_answer_head& head) {
  attempt_->head = head;
  attempt_->marks = state_.wire.read_answer(head);
  if (attempt_->asked == task::going_on) {
    handle_.reset(); // Taken, or gone.
  }
  if (!streaming() && !attempt_->marks.not_run) {
    note_ran(attempt_->sent_at);
  }
}

void
request_flow::note_first_byte() {
  attempt& it = *attempt_;
  if (it.read) {
    return;
  }
  it.read = true;
  const moment now = http1::event_loop::now();
  state_.loads.on_read(now, it.load);
  if (it.marks.not_run || it.head.status >= 300 || !streaming()) {
    return;
  }
  learn_pace(now);
  if (it.asked != task::reading) {
    note_ran(now);
  }
}

void
request_flow::learn_pace(const moment& now) {
  const attempt& it = *attempt_;
  if (!it.alone || service_ == nullptr || !service_->engine || history_.answer_begun ||
      state_.distance_to(it.upstream.zone) != distance::same_zone) {
    return;
  }
  const std::chrono::duration<double, std::milli> passed = now.boot - it.sent_at.boot;
  const std::uint32_t unread =
      prompt_.prompt_tokens - std::min(prompt_.prompt_tokens, plan_.cached_tokens);
  auto& pace = state_.calibrations[service_name_];
  if (it.asked == task::going_on) {
    const auto* reader = state_.upstreams.find(reader_);
    if (reader != nullptr && reader->zone == it.upstream.zone) {
      pace.mover.learn(prompt_.prompt_tokens, passed.count());
    }
    return;
  }
  (it.asked == task::reading ? pace.reader : pace.mixed).learn(unread, passed.count());
}

void
request_flow::on_body(std::string_view bytes) {
  note_first_byte();
  attempt& it = *attempt_;
  const bool stream_going =
      streaming() && it.head.status == 200 && !it.marks.not_run && it.marks.signed_by_upstream;
  if (!stream_going) {
    it.body.append(bytes);
    return;
  }
  it.events.add(bytes);
  pass_events();
}

void
request_flow::pass_events() {
  for (std::string event = attempt_->events.take(); !event.empty();
       event = attempt_->events.take()) {
    pass_event(event);
  }
  if (caller_->unsent() > most_unsent_bytes) {
    cut("the caller does not read");
  }
}

void
request_flow::pass_event(const std::string& event) {
  const std::string id = event_splitter::id_of(event);
  if (!id.empty() && !last_event_id_.empty() && history_.answer_begun &&
      !comes_after(id, last_event_id_)) {
    return; // Passed on already, from an earlier attempt.
  }
  if (!history_.answer_begun) {
    history_.answer_begun = true;
    caller_->begin(attempt_->head.status, attempt_->head.reason, attempt_->head.fields);
  }
  if (!id.empty()) {
    last_event_id_ = id;
  }
  const time_point now = http1::event_loop::now().boot;
  if (first_event_at_ == time_point{}) {
    first_event_at_ = now;
  } else {
    longest_gap_ = std::max(longest_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
  caller_->write(event);
}

void
request_flow::on_call_end(http1::call_end how) {
  switch (how) {
  case http1::call_end::whole:
    break;
  case http1::call_end::unreachable:
    end_attempt(attempt_end::unreachable);
    return;
  case http1::call_end::broken:
    end_attempt(attempt_end::broken);
    return;
  case http1::call_end::malformed:
    end_attempt(attempt_end::malformed);
    return;
  case http1::call_end::timed_out:
    end_attempt(attempt_end::timed_out);
    return;
  }
  const attempt& it = *attempt_;
  constexpr int first_server_error = 500;
  constexpr int first_redirect = 300;
  if (it.marks.not_run) {
    end_attempt(attempt_end::rejected);
  } else if (it.asked != task::reading && it.head.status < first_redirect &&
             !it.marks.signed_by_upstream) {
    end_attempt(attempt_end::malformed);
  } else if (it.head.status >= first_server_error) {
    end_attempt(attempt_end::server_error);
  } else {
    end_attempt(attempt_end::answered);
  }
}

namespace {

/// What an ended attempt says about its upstream; empty where it says nothing.
std::optional<attempt_result>
health_result(attempt_end how) {
  switch (how) {
  case attempt_end::answered:
    return attempt_result::answered;
  case attempt_end::server_error:
    return attempt_result::erred;
  case attempt_end::rejected:
    return attempt_result::erred;
  case attempt_end::unreachable:
    return attempt_result::unreachable;
  case attempt_end::broken:
  case attempt_end::malformed:
    return attempt_result::failed;
  case attempt_end::timed_out:
    return attempt_result::silent;
  }
  return std::nullopt;
}

} // namespace

void
request_flow::close_attempt(attempt_end how) {
  attempt& it = *attempt_;
  const moment now = http1::event_loop::now();
  state_.loads.on_ended(now, it.load);
  if (!it.read) {
    state_.caches.on_not_read(it.upstream.id, it.new_parts);
  }
  if (const auto result = health_result(how)) {
    // A prompt that cannot be fetched is the fault of the engine that was to keep it.
    const bool lost_handle = it.asked == task::going_on && how == attempt_end::rejected;
    state_.health.on_result(now, lost_handle ? reader_ : it.upstream.id, *result);
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
  attempt& it = *attempt_;
  std::string handle;
  if (how == attempt_end::answered) {
    const auto read = state_.wire.read_handle(it.body);
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
  // Reading is not running: nothing has run. A call that was turned away counts as an attempt.
  split_failed_ = true;
  history_.sent += how == attempt_end::unreachable ? 0 : 1;
  http1::discard(state_.loop, std::move(it.call));
  attempt_.reset();
  const bool allowed = how == attempt_end::unreachable ||
                       (history_.sent < history_.max_attempts &&
                        state_.retries_of(service_name_).take(http1::event_loop::now()));
  if (allowed && left() > least_attempt_time) {
    place();
  } else {
    refuse(to_name(how), retry_after_rejection, 0);
  }
}

void
request_flow::go_on() {
  const moment now = http1::event_loop::now();
  const auto* planned = state_.upstreams.usable(plan_.upstream);
  if (planned != nullptr && planned->stage != engine_stage::prefill &&
      state_.health.allows(now, plan_.upstream)) {
    send(task::going_on, plan_.upstream, 0);
    return;
  }
  // The engine that was to go on has left meanwhile: any other may, the nearest first.
  const listed_upstream* reader = state_.upstreams.find(reader_);
  const listed_upstream* best = nullptr;
  for (const auto* it : state_.upstreams.usable_of(service_name_)) {
    if (it->stage == engine_stage::prefill || !state_.health.allows(now, it->id)) {
      continue;
    }
    const bool nearer = reader != nullptr && it->zone == reader->zone &&
                        (best == nullptr || best->zone != reader->zone);
    if (best == nullptr || nearer) {
      best = it;
    }
  }
  if (best == nullptr) {
    refuse("no_upstream", retry_after_rejection, 0);
    return;
  }
  send(task::going_on, best->id, 0);
}

void
request_flow::free_handle() {
  if (!handle_) {
    return;
  }
  constexpr milliseconds free_limit{1'000};
  aside_.send(handle_->at, state_.wire.free_call(*handle_), free_limit, {});
  handle_.reset();
}

void
request_flow::end_attempt(attempt_end how) {
  if (attempt_->asked == task::reading) {
    end_reading(how);
    return;
  }
  close_attempt(how);
  attempt& it = *attempt_;
  // Another prompt read apart would count as an attempt by itself.
  split_failed_ = split_failed_ || it.asked == task::going_on;
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
  attempt& it = *attempt_;
  const int status = it.head.status;
  if (history_.answer_begun) {
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
  log(log_event::request_refused, {{"request", request_.id},
                                   {"route", route_ == nullptr ? "" : route_->name},
                                   {"why", std::string{why}},
                                   {"expected_ms", rounded(expected_millis)},
                                   {"retry_after_ms", std::to_string(retry_after.count())},
                                   {"elapsed_ms", elapsed_text()}});
  caller_->reply(unavailable, "", state_.wire.own_answer(request_.id, retry_after), "");
  finish(unavailable);
}

void
request_flow::answer_error(int status, std::string_view why) {
  log(log_event::request_refused,
      {{"request", request_.id},
       {"status", std::to_string(status)},
       {"why", std::string{why}},
       {"host", host_of(caller_->head())},
       {"path", std::string{caller_->head().path()}},
       {"config", config_ == nullptr ? "none" : std::to_string(config_->config().version)}});
  caller_->reply(status, "", state_.wire.own_answer(request_.id, std::nullopt), "");
  finish(status);
}

void
request_flow::fail(int status, std::string_view why) {
  log(log_event::request_failed, {{"request", request_.id},
                                  {"status", std::to_string(status)},
                                  {"why", std::string{why}},
                                  {"sent", std::to_string(history_.sent)},
                                  {"elapsed_ms", elapsed_text()}});
  caller_->reply(status, "", state_.wire.own_answer(request_.id, std::nullopt), "");
  finish(status);
}

void
request_flow::cut(std::string_view why) {
  constexpr int bad_gateway = 502;
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
  if (history_.answer_begun) {
    cut("deadline");
  } else if (history_.may_have_run || (attempt_ && attempt_->asked != task::reading &&
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
  on_done_(this);
}

void
request_flow::observe_seconds(const char* name, duration span) {
  state_.metrics.get_histogram(name, {{"team", team_.value}})
      .observe(std::chrono::duration<double>(span).count());
}

} // namespace nutmegspur::proxy
