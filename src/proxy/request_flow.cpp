// Admission, placement and sending of a request.
#include "request_flow.h"

#include "caller_host.h"
#include "millis_text.h"

#include <nutmegspur/member_ring.h>
#include <nutmegspur/request_fingerprint.h>
#include <nutmegspur/upstream_availability.h>

#include <algorithm>

namespace nutmegspur::proxy {

namespace {

/// Assumed processing time of a request to a service without engines: the middle of the range of
/// interactive services. Per-service histograms are not used yet.
constexpr double default_service_millis = 40;
/// Retry-After of requests that arrive before this instance has its configuration and upstreams.
constexpr milliseconds retry_after_not_ready{500};
/// Retry-After of requests that resume a stream whose origin this instance cannot find out: another
/// one may know it.
constexpr milliseconds retry_after_unknown_origin{150};
/// Questions for permits that a request waits for before it uses upstreams without a limit only.
constexpr unsigned max_permit_questions = 3;

/// What an upstream that works on a request may crash on. The last part of a prompt belongs to the
/// request or its session.
crash_suspects
suspects_of(const std::vector<prompt_part>& parts, std::uint64_t fingerprint) {
  crash_suspects suspects;
  suspects.of(blame_kind::request) = {fingerprint};
  for (std::size_t n = 0; n < parts.size(); ++n) {
    crash_suspects one;
    const bool last = n + 1 == parts.size();
    one.of(last ? blame_kind::session : blame_kind::part) = {parts[n].id};
    suspects.add(one);
  }
  return suspects;
}

} // namespace

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

request_flow::request_flow(proxy_state& state, http1::http_client& client,
                           call_set& background_calls, upstream_crashes& crashes,
                           permit_client& permits, origin_client& origins, upstream_paths& paths,
                           forward_client& forwards, http1::exchange_ptr caller,
                           std::function<void(request_flow*)> on_done)
    : state_(state), client_(client), background_calls_(background_calls), crashes_(crashes),
      permits_(permits), origins_(origins), paths_(paths), forwards_(forwards),
      caller_(std::move(caller)), on_done_(std::move(on_done)) {}

request_flow::~request_flow() {
  state_.loop.cancel(deadline_timer_);
  state_.loop.cancel(proof_timer_);
  state_.loop.cancel(unsent_timer_);
}

duration
request_flow::remaining_time() const {
  return deadline_ - http1::event_loop::now().boot;
}

std::string
request_flow::elapsed_text() const {
  return rounded(to_millis(http1::event_loop::now().boot - caller_->arrived().boot));
}

void
request_flow::start() {
  caller_->set_on_disconnect([this] { on_caller_disconnected(); });
  if (!admit()) {
    return;
  }
  if (!resumes_earlier_request()) {
    place();
    return;
  }
  origin_wait_ = std::make_shared<bool>(true);
  origins_.find(request_.resumes, *route_,
                [this, waiting = std::weak_ptr{origin_wait_}](const auto& origin) {
                  if (!waiting.expired()) {
                    origin_wait_.reset();
                    on_origin(origin);
                  }
                });
}

bool
request_flow::resumes_earlier_request() const {
  return streaming() && !(request_.last_event_id.empty() && request_.resumes.empty());
}

void
request_flow::set_service(const service_id& name) {
  service_name_ = name;
  service_ = config_->find_service(name);
  state_.retry_budget_of(name).on_new_request();
}

void
request_flow::on_origin(const std::optional<stream_origin>& origin) {
  if (!origin) {
    refuse("unknown_origin", retry_after_unknown_origin, 0);
    return;
  }
  stream_version_ = origin->software_version;
  const auto services = services_in_use(*route_);
  if (std::find(services.begin(), services.end(), origin->service) == services.end()) {
    refuse("version_gone", std::nullopt, 0);
    return;
  }
  set_service(origin->service);
  place();
}

bool
request_flow::admit() {
  config_ = state_.config;
  const auto read = state_.wire.parse_request_head(caller_->head());
  if (!read) {
    reject(400, read.error().message);
    return false;
  }
  request_ = *read;
  if (config_ == nullptr || !state_.upstreams_known) {
    refuse("no configuration yet", retry_after_not_ready, 0);
    return false;
  }
  route_ = config_->find_route(host_of(caller_->head()), caller_->head().path());
  if (route_ == nullptr) {
    reject(404, "no route");
    return false;
  }
  if (config_->needs_key(*route_)) {
    const auto* team = config_->find_team(request_.key);
    if (team == nullptr) {
      reject(401, "unknown key");
      return false;
    }
    team_ = team->name;
  }
  prompt_ = {chain_parts(request_.model, request_.parts), request_.prompt_tokens,
             request_.output_tokens};
  fingerprint_ = request_fingerprint(host_of(caller_->head()), caller_->head().method,
                                     caller_->head().target, request_.key, caller_->body(),
                                     prompt_.parts.empty() ? 0 : prompt_.parts.back().chain);
  suspects_ = suspects_of(request_.parts, fingerprint_);
  milliseconds timeout = route_->timeout;
  if (request_.wait_limit) {
    timeout = std::min(timeout, *request_.wait_limit);
  }
  deadline_ = caller_->arrived().boot + timeout;
  deadline_timer_ = state_.loop.once(std::max<duration>(remaining_time(), duration{0}),
                                     [this](const moment&) { on_deadline(); });
  history_.kind = route_->kind;
  history_.resumable = route_->resumable;
  history_.max_attempts = route_->max_attempts;
  history_.broken_off = route_->resumable && resumes_earlier_request();
  last_event_id_ = request_.last_event_id;
  if (stop_if_too_late()) {
    return false;
  }
  if (!resumes_earlier_request()) {
    set_service(pick_service(*route_, std::hash<std::string>{}(request_.id) ^
                                          static_cast<std::uint64_t>(
                                              caller_->arrived().boot.time_since_epoch().count())));
  }
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
  to.software_version = it.software_version;
  to.network_distance = state_.distance_to(it.zone);
  if (paths_.needs_peer(it.id)) {
    to.network_distance =
        to.network_distance == distance::same_zone ? distance::same_region : distance::other_region;
  }
  to.open = load.open;
  to.slots = it.slots;
  to.backlog_millis = load.backlog_millis;
  to.cached_tokens = state_.caches.cached_tokens(it.id, prompt_);
  to.failure_share = state_.health.failure_share(it.id);
  to.preference = preference_rank(state_.settings.instance, it.id);
  to.home_weight = chain == 0 ? 0 : home_weight(chain, it.id);
  return to;
}

std::vector<const listed_upstream*>
request_flow::eligible_upstreams() const {
  auto all = state_.upstreams.usable_of(service_name_);
  if (stream_version_) {
    std::erase_if(all, [&](const auto* it) { return it->software_version != *stream_version_; });
  } else if (streaming()) {
    std::erase_if(all, [&](const auto* it) {
      return !origins_.may_begin(service_name_, it->software_version);
    });
  }
  return all;
}

void
request_flow::prefer_undoubted(std::vector<placement_candidate>& choices) const {
  const auto doubtful = [&](const placement_candidate& it) {
    return paths_.state(it.id) == path_state::doubtful;
  };
  if (!std::all_of(choices.begin(), choices.end(), doubtful)) {
    std::erase_if(choices, doubtful);
  }
}

void
request_flow::prefer_held_permits(std::vector<placement_candidate>& choices) const {
  const auto held = [&](const placement_candidate& it) { return permits_held_.contains(it.id); };
  if (std::none_of(choices.begin(), choices.end(), held)) {
    return;
  }
  std::erase_if(choices, [&](const auto& it) {
    const auto* listed = state_.upstreams.find(it.id);
    return !held(it) && listed != nullptr && permits_.needed(*listed);
  });
}

placement_candidates
request_flow::candidates() const {
  placement_candidates choices;
  const moment now = http1::event_loop::now();
  for (const auto* it : eligible_upstreams()) {
    if (tried_.contains(it->id) || !state_.upstream_available(now, *it) ||
        !permit_in_reach(now, *it)) {
      continue;
    }
    if (it->stage != engine_stage::prefill) {
      choices.upstreams.push_back(candidate(now, *it));
    } else if (!prefill_failed_ && !history_.response_started) {
      choices.prefill_engines.push_back(candidate(now, *it));
    }
  }
  prefer_undoubted(choices.upstreams);
  prefer_undoubted(choices.prefill_engines);
  prefer_held_permits(choices.upstreams);
  prefer_held_permits(choices.prefill_engines);
  return choices;
}

placement_request
request_flow::placement_inputs() const {
  placement_request to;
  to.target_latency_millis = static_cast<double>(route_->target_latency.count());
  to.remaining_millis = to_millis(remaining_time());
  to.body_bytes = static_cast<double>(caller_->body().size());
  to.engine = service_ != nullptr && service_->engine.has_value();
  to.prompt_tokens = prompt_.prompt_tokens;
  to.shared_tokens = prompt_.shared_tokens();
  to.target_gap_millis = static_cast<double>(route_->target_gap.count());
  to.service_millis = default_service_millis;
  if (to.engine) {
    const auto& calibration = state_.calibrations[service_name_];
    to.mixed_timing = {calibration.mixed.fixed_millis(), calibration.mixed.prefill_millis(1)};
    to.prefill_timing = {calibration.prefill.fixed_millis(), calibration.prefill.prefill_millis(1)};
    to.transfer_timing = {calibration.transfer.fixed_millis(),
                          calibration.transfer.prefill_millis(1)};
  }
  return to;
}

bool
request_flow::stop_if_quarantined() {
  const moment now = http1::event_loop::now();
  const auto left = state_.blame.time_left(state_.clock.agreed(now).wall, suspects_);
  if (left) {
    end_request(after_last_attempt(history_), "quarantined", *left, 0);
  }
  return left.has_value();
}

bool
request_flow::stop_if_too_late() {
  const moment now = http1::event_loop::now();
  if (state_.may_start(now, {caller_->first_byte_at(), deadline_}) ||
      after_last_attempt(history_) != next_step::refuse) {
    return false;
  }
  refuse("stopping", retry_after_stopping, 0);
  return true;
}

void
request_flow::place() {
  if (stop_if_quarantined()) {
    return;
  }
  auto choices = candidates();
  if (choices.upstreams.empty() && !tried_.empty() && route_->kind == route_kind::repeatable) {
    tried_.clear();
    choices = candidates();
  }
  const auto placed = place_request(placement_inputs(), choices, state_.options.weights);
  if (placed) {
    placement_ = *placed;
    acquire_permits();
    return;
  }
  const auto& refusal = placed.error();
  const bool none_left = refusal.why == placement_refusal::reason::no_upstream;
  if (none_left && ask_for_promise()) {
    return;
  }
  if (stream_version_ && eligible_upstreams().empty()) {
    // This instance may be behind the list of the one that knew the origin.
    const bool seen = origins_.listed_lately({service_name_, *stream_version_});
    end_request(after_last_attempt(history_), "version_gone",
                seen ? std::nullopt : std::optional{retry_after_unknown_origin}, 0);
    return;
  }
  end_request(after_last_attempt(history_), to_name(refusal.why),
              none_left ? retry_time(refusal.retry_after) : refusal.retry_after,
              refusal.expected_millis);
}

bool
request_flow::permit_in_reach(const moment& now, const listed_upstream& it) const {
  return !permits_.needed(it) || permits_held_.contains(it.id) ||
         (permits_asked_ < max_permit_questions && permits_.time_left(now, it) <= milliseconds{0});
}

void
request_flow::acquire_permits() {
  for (const auto& id : {placement_.prefill_upstream, placement_.upstream}) {
    const auto* it = id.empty() ? nullptr : state_.upstreams.usable(id);
    if (it != nullptr && permits_.needed(*it) && !permits_held_.contains(id)) {
      acquire_permit(*it, milliseconds{0});
      return;
    }
  }
  start_placement();
}

void
request_flow::acquire_permit(const listed_upstream& it, milliseconds longest_wait) {
  permits_asked_++;
  permit_wait_ = std::make_shared<bool>(true);
  permits_.acquire(it, fingerprint_, longest_wait,
                   [this, it, last_resort = longest_wait > milliseconds{0},
                    waiting = std::weak_ptr{permit_wait_}](const permit_answer& answer) {
                     if (!waiting.expired()) {
                       permit_wait_.reset();
                       on_permit(it, answer, last_resort);
                     }
                   });
}

void
request_flow::on_permit(const listed_upstream& it, const permit_answer& answer, bool last_resort) {
  if (answer.granted) {
    permits_held_.insert(it.id);
  } else if (last_resort) {
    end_request(after_last_attempt(history_), "limited", answer.wait, 0);
    return;
  }
  if (answer.granted && !last_resort && still_available(placement_)) {
    acquire_permits();
  } else {
    place();
  }
}

bool
request_flow::ask_for_promise() {
  if (promise_asked_) {
    return false;
  }
  const moment now = http1::event_loop::now();
  const listed_upstream* chosen = nullptr;
  std::uint64_t most = 0;
  for (const auto* it : eligible_upstreams()) {
    if (it->stage == engine_stage::prefill || tried_.contains(it->id) ||
        !state_.upstream_available(now, *it) || !permits_.needed(*it)) {
      continue;
    }
    // The same upstream at each instance, so that the promise is found when the caller returns.
    const std::uint64_t weight = rendezvous_weight(std::to_string(fingerprint_), it->id.value);
    if (chosen == nullptr || weight > most) {
      chosen = it;
      most = weight;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  promise_asked_ = true;
  // Callers come back within a third of the time that they have left.
  constexpr int parts_of_remaining_time = 3;
  const auto longest_wait =
      std::chrono::floor<milliseconds>(remaining_time()) / parts_of_remaining_time;
  acquire_permit(*chosen, std::max(longest_wait, milliseconds{1}));
  return true;
}

bool
request_flow::still_available(const placement& chosen) const {
  const moment now = http1::event_loop::now();
  const auto available = [&](const upstream_id& id) {
    const auto* it = state_.upstreams.usable(id);
    return it != nullptr && state_.upstream_available(now, *it);
  };
  return available(chosen.upstream) &&
         (chosen.prefill_upstream.empty() || available(chosen.prefill_upstream));
}

milliseconds
request_flow::retry_time(milliseconds unknown) const {
  const moment now = http1::event_loop::now();
  std::vector<upstream_wait> waits;
  for (const auto* it : eligible_upstreams()) {
    const auto back = state_.withheld.expected_return(state_.clock.agreed(now).wall, *it);
    if (back && back->stage != engine_stage::prefill) {
      waits.push_back({!state_.health.allows(now, it->id), back->time_left,
                       state_.pauses.time_left(now, it->id), permits_.time_left(now, *it)});
    }
  }
  return first_availability(waits, unknown);
}

std::string
request_flow::version_of(const upstream_id& id) const {
  const auto* it = state_.upstreams.find(id);
  return it == nullptr ? "" : it->software_version;
}

void
request_flow::start_placement() {
  if (stop_before_attempt()) {
    return;
  }
  const bool separate_prefill = !placement_.prefill_upstream.empty();
  log(log_event::request_placed,
      {{"request", request_.id},
       {"route", route_->name},
       {"upstream", placement_.upstream.value},
       {"reader", placement_.prefill_upstream.value},
       {"version", version_of(placement_.upstream)},
       {"attempt", std::to_string(history_.sent + 1)},
       {"expected_ms", rounded(placement_.expected_millis)},
       {"limit_ms", rounded(to_millis(deadline_ - caller_->arrived().boot))},
       {"prompt", std::to_string(prompt_.prompt_tokens)},
       {"cached", std::to_string(placement_.cached_tokens)},
       {"config", std::to_string(config_->config().version)}});
  if (separate_prefill) {
    send(attempt_task::prefill, placement_.prefill_upstream, placement_.prefill_upstream_millis);
  } else {
    send(attempt_task::full, placement_.upstream, placement_.prefill_millis);
  }
}

milliseconds
request_flow::attempt_limit(attempt_task task) const {
  const auto rest = std::chrono::ceil<milliseconds>(remaining_time());
  if (task == attempt_task::prefill) {
    return prefill_time_limit(placement_.prefill_answer_millis, rest);
  }
  if (route_->kind != route_kind::repeatable || history_.sent + 1 >= history_.max_attempts) {
    return rest;
  }
  // Limit the attempt so that a repeatable request can be retried elsewhere if this one is slow.
  constexpr int target_latencies = 2;
  return std::min(rest, route_->target_latency * target_latencies);
}

std::string
request_flow::request_bytes(const upstream_attempt& to) const {
  forward_fields own;
  own.expected = to.upstream.id;
  own.team = team_;
  // The caller's wait limit, or the route's timeout, less the time spent in this instance.
  const auto wait_limit = request_.wait_limit.value_or(route_->timeout);
  const auto passed =
      std::chrono::floor<milliseconds>(http1::event_loop::now().boot - caller_->arrived().boot);
  own.wait_limit = std::max(wait_limit - passed, milliseconds{1});
  own.last_event_id = history_.response_started ? last_event_id_ : "";
  own.prefill_only = to.task == attempt_task::prefill;
  if (to.task == attempt_task::decode) {
    own.from = prompt_handle_;
  }
  const http_fields fields = state_.wire.forwarded_fields(caller_->head(), own);
  return format_request(caller_->head().method, caller_->head().target, fields, caller_->body());
}

void
request_flow::send(attempt_task task, const upstream_id& to, double prefill_millis) {
  const auto* upstream = state_.upstreams.usable(to);
  upstream_attempt& it = attempt_.emplace();
  it.task = task;
  it.upstream = *upstream;
  it.sent_at = http1::event_loop::now();
  it.engine_idle = state_.loads.total(it.sent_at, it.upstream.id).backlog_millis <= 0;
  it.resumed_after = history_.response_started ? last_event_id_ : request_.last_event_id;
  it.sequence = event_sequence{it.resumed_after};
  if (task != attempt_task::prefill && !it.resumed_after.empty()) {
    log(log_event::request_resumed, {{"request", request_.id},
                                     {"resumes", request_.resumes},
                                     {"after_event", it.resumed_after},
                                     {"service", service_name_.value},
                                     {"upstream", it.upstream.id.value},
                                     {"version", it.upstream.software_version}});
  }
  it.load_id = state_.loads.on_sent(it.sent_at, it.upstream.id, prefill_millis);
  state_.health.on_sent(it.sent_at, it.upstream.id);
  permits_held_.erase(it.upstream.id);
  if (service_ != nullptr && service_->engine) {
    it.new_parts =
        state_.caches.on_placed(it.upstream.id, prompt_.parts, service_->engine->cache_tokens);
    // The last part belongs only to this request or its session, so peers do not need it.
    std::vector<chained_part> shared;
    std::copy_if(it.new_parts.begin(), it.new_parts.end(), std::back_inserter(shared),
                 [&](const auto& part) { return part != prompt_.parts.back(); });
    state_.record_placed(it.sent_at, it.upstream.id, shared, state_.settings.instance);
  }
  if (task != attempt_task::prefill) {
    tried_.insert(it.upstream.id);
  }
  start_call(it);
}

void
request_flow::on_sending() {
  // An attempt that is not sent from start_call() has waited for its connection.
  if (attempt_->call != nullptr && caller_->end_if_closed()) {
    return;
  }
  history_.sent += attempt_->task == attempt_task::prefill ? 0 : 1;
}

void
request_flow::start_call(upstream_attempt& it) {
  const bool no_body = caller_->head().method == "HEAD";
  it.held.start(state_.held, it.upstream.id.value,
                {[this](bool reads) {
                   attempt_->held_back = !reads;
                   update_reading();
                 },
                 [this](bool at_fault) {
                   if (!done_ && attempt_ && attempt_->call != nullptr) {
                     end_overflowing(at_fault ? overflow_cause::at_fault : overflow_cause::no_room);
                   }
                 }});
  http1::call_events events{[this] { on_sending(); },
                            [this](const http_response_head& head) { on_head(head); },
                            [this](std::string_view bytes) { on_body(bytes); },
                            [this](http1::call_end how) { on_call_end(how); }};
  if (paths_.needs_peer(it.upstream.id) && forwards_.has_peers()) {
    forward_request request;
    request.limit = attempt_limit(it.task);
    request.request_id = request_.id;
    request.no_body = no_body;
    request.counts_as_run = it.task != attempt_task::prefill;
    request.suspects = suspects_;
    request.bytes = request_bytes(it);
    auto call = forwards_.start(it.upstream, std::move(request), std::move(events));
    it.by_peer = call.get();
    it.call = std::move(call);
    return;
  }
  http1::call_options options;
  options.timeout = attempt_limit(it.task);
  options.connect_timeout = upstream_connect_limit;
  options.examine_tail = it.task != attempt_task::prefill;
  options.accepts_response = [this](const http_response_head& head, bool reused) {
    return is_response_to(state_.wire.parse_response_head(head), request_.id, reused);
  };
  it.path_attempt = paths_.on_started(it.upstream.id);
  it.call = client_.start({it.upstream.address, it.upstream.port}, request_bytes(it),
                          std::move(events), options, no_body);
}

} // namespace nutmegspur::proxy
