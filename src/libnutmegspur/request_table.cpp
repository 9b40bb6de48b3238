// Arrival, admission and placement of requests, and requests that end for reasons other than an
// attempt's result: deadlines, withdrawn keys and disconnected callers.
#include "request_rules.h"

#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/prefix.h>
#include <nutmegspur/request_table.h>

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <algorithm>

namespace nutmegspur {
namespace {

/// Number of waiting requests that are tried for placement in one pass.
constexpr std::size_t max_candidates = 8;
constexpr milliseconds default_retry_after{1000};
constexpr std::uint64_t default_upstream_rate_milli = 500'000;

write_log
request_log(log_event number, request_id request, const error& why) {
  return {number,
          {{"request", std::to_string(request.value)},
           {"code", std::string{to_name(why.code)}},
           {"step", std::string{to_name(why.at)}},
           {"peer", why.peer},
           {"ran", std::string{to_name(why.ran)}},
           {"message", why.message}}};
}

void
send_error(request_id request, const error& why, log_event number, action_list& out) {
  out.emplace_back(request_log(number, request, why));
  out.emplace_back(fail_request{request, why});
}

} // namespace

request_table::request_table(request_options options, request_dependencies dependencies)
    : options_(std::move(options)), dependencies_(std::move(dependencies)) {
  dependencies_.claims.set_listener([this](const moment& now, const claim_result& claim,
                                           action_list& out) { on_claim_result(now, claim, out); });
}

void
request_table::step(const moment& now, const event& ev, action_list& out) {
  fail_withdrawn_keys(now, out);
  if (const auto* arrived = std::get_if<request_arrived>(&ev)) {
    on_arrived(now, *arrived, out);
  } else if (const auto* disconnected = std::get_if<caller_disconnected>(&ev)) {
    on_caller_disconnected(now, disconnected->request, out);
  } else if (const auto* opened = std::get_if<attempt_opened>(&ev)) {
    on_opened(*opened, out);
  } else if (const auto* chunk = std::get_if<attempt_chunk>(&ev)) {
    on_chunk(now, *chunk, out);
    if (resuming_.empty()) {
      return; // A chunk frees no capacity, so there is nothing to dispatch.
    }
  } else if (const auto* ended = std::get_if<attempt_ended>(&ev)) {
    on_ended(now, *ended, out);
  } else if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
  } else {
    return;
  }
  dispatch(now, out);
}

void
request_table::on_arrived(const moment& now, const request_arrived& it, action_list& out) {
  const config_view config = dependencies_.config();
  if (closed_) {
    send_error(it.request,
               {error_code::unavailable, step::admit, "", "this instance is stopping",
                outcome::not_run, default_retry_after},
               log_event::request_refused, out);
    return;
  }
  if (!config) {
    send_error(it.request,
               {error_code::unavailable, step::authenticate, "", "no configuration is held yet",
                outcome::not_run, default_retry_after},
               log_event::request_refused, out);
    return;
  }
  const milliseconds age =
      dependencies_.config_age ? dependencies_.config_age(now) : milliseconds{0};
  const auto granted = authorize(it, *config, options_.zone, age);
  if (!granted) {
    send_error(it.request, granted.error(), log_event::request_refused, out);
    return;
  }
  if (std::holds_alternative<list_models_call>(it.call)) {
    list_models(it, granted->team, *config, out);
    return;
  }
  const auto team = live_count_by_team_.find(granted->team);
  if (granted->limits.max_in_flight > 0 && team != live_count_by_team_.end() &&
      team->second >= granted->limits.max_in_flight) {
    send_error(it.request,
               {error_code::overloaded, step::admit, "",
                "the team has reached its limit of requests in progress", outcome::not_run,
                default_retry_after},
               log_event::request_refused, out);
    return;
  }
  const waiting_request waiting{
      it.request, granted->team, granted->limits.weight, it.priority,
      now.boot,   it.deadline,   granted->cost_milli,    expected_service_time(it, now)};
  if (auto offered = dependencies_.admission.enqueue(waiting, capacity(now), now); !offered) {
    send_error(it.request, offered.error(), log_event::request_refused, out);
    return;
  }
  retry_budget_.on_new_request();
  add(it, *granted);
}

void
request_table::add(const request_arrived& it, const access_grant& granted) {
  live_request& added = live_[it.request];
  added.arrival = it;
  added.team = granted.team;
  added.subject = granted.subject;
  added.cost_milli = granted.cost_milli;
  added.repeatable = granted.repeatable;
  added.progress_limit = granted.timeout.value_or(options_.progress_limit);
  if (auto* call = std::get_if<inference_call>(&added.arrival.call)) {
    const std::string salt = cache_salt(granted.team, options_.cache_salt_secret);
    for (auto& block : call->prefix_blocks) {
      block = salted_block(block, salt);
    }
  }
  ++live_count_by_team_[granted.team];
  if (!it.secret_sha256.empty()) {
    requests_by_key_[it.secret_sha256].insert(it.request);
  }
}

void
request_table::list_models(const request_arrived& it, const team_id& team,
                           const config_snapshot& config, action_list& out) {
  std::set<std::string> names;
  for (const auto& [name, model] : config.models) {
    if (config.offered(team, model_id{name}, options_.zone)) {
      names.insert(name);
    }
  }
  QJsonArray models;
  for (const auto& name : names) {
    models.append(QJsonObject{{QStringLiteral("id"), QString::fromStdString(name)},
                              {QStringLiteral("object"), QStringLiteral("model")},
                              {QStringLiteral("created"), 0},
                              {QStringLiteral("owned_by"), QStringLiteral("nutmegspur")}});
  }
  const QJsonObject body{{QStringLiteral("object"), QStringLiteral("list")},
                         {QStringLiteral("data"), models}};
  out.emplace_back(start_response{it.request, 200, {{"content-type", "application/json"}}, team});
  out.emplace_back(
      send_chunk{it.request, QJsonDocument{body}.toJson(QJsonDocument::Compact).toStdString()});
  out.emplace_back(end_response{it.request, {}, "stop"});
}

void
request_table::on_caller_disconnected(const moment& now, request_id request, action_list& out) {
  const auto found = live_.find(request);
  if (found == live_.end()) {
    return;
  }
  live_request& it = found->second;
  if (it.attempt_open && !it.repeatable) {
    // The call may be running and must not run again, so its result is still recorded.
    it.caller_disconnected = true;
    return;
  }
  drop(now, it, known_outcome(it), out);
}

void
request_table::on_claim_result(const moment& now, const claim_result& claim, action_list& out) {
  auto found = live_.find(claim.request);
  if (found == live_.end() || found->second.current_phase != phase::claiming) {
    return;
  }
  found->second.claimed = claim.decision == claim_decision::proceed;
  fail_withdrawn_keys(now, out); // The key may have been withdrawn while the claim was written.
  found = live_.find(claim.request);
  if (found == live_.end()) {
    return;
  }
  live_request& it = found->second;
  if (claim.decision == claim_decision::refuse) {
    finish_with_error(now, it, claim.why, out);
    return;
  }
  if (claim.decision == claim_decision::replay) {
    const claim_record& record = claim.record;
    out.emplace_back(
        start_response{claim.request,
                       record.status,
                       {{"content-type", record.content_type}, {"idempotency-replayed", "true"}},
                       it.team});
    if (!record.body.empty()) {
      out.emplace_back(send_chunk{claim.request, record.body});
    }
    out.emplace_back(end_response{claim.request, {}, "stop"});
    erase(now, it, out);
    return;
  }
  const auto target = dependencies_.routing.choose(query_for(it), dependencies_.upstreams, now);
  if (!target) {
    finish_with_error(now, it,
                      {error_code::unavailable, step::route, it.subject,
                       "no upstream can take the call now", outcome::not_run, default_retry_after},
                      out);
    return;
  }
  begin_attempt(now, it, *target, out);
}

void
request_table::on_tick(const moment& now, action_list& out) {
  for (const auto& expired : dependencies_.admission.expire(capacity(now), now)) {
    const auto found = live_.find(expired.request);
    if (found != live_.end()) {
      finish_with_error(now, found->second,
                        {error_code::deadline_exceeded, step::admit, "",
                         "the request cannot be completed before its deadline", outcome::not_run,
                         default_retry_after},
                        out);
    }
  }
  fail_expired(now, out);
}

void
request_table::fail_withdrawn_keys(const moment& now, action_list& out) {
  if (!enabled(mechanism::withdraw_ends_streams)) {
    return;
  }
  config_view config = dependencies_.config();
  if (!config || config == checked_config_) {
    return;
  }
  checked_config_ = std::move(config);
  std::vector<request_id> ended;
  for (const auto& [digest, requests] : requests_by_key_) {
    if (!check_key(digest, *checked_config_)) {
      ended.insert(ended.end(), requests.begin(), requests.end());
    }
  }
  std::sort(ended.begin(), ended.end());
  for (const request_id request : ended) {
    live_request& it = live_.at(request);
    finish_with_error(now, it,
                      {error_code::key_withdrawn, step::authenticate, "", "the key was withdrawn",
                       known_outcome(it)},
                      out);
  }
}

void
request_table::fail_expired(const moment& now, action_list& out) {
  fail_requests(now, now.boot, error_code::deadline_exceeded, "the deadline has passed", out);
}

void
request_table::fail_unfinished(const moment& now, action_list& out) {
  fail_requests(now, time_point::max(), error_code::unavailable, "this instance is stopping", out);
}

void
request_table::fail_requests(const moment& now, time_point due_by, error_code code,
                             const std::string& why, action_list& out) {
  std::vector<request_id> due;
  for (const auto& [request, it] : live_) {
    if (it.arrival.deadline <= due_by && !it.caller_disconnected) {
      due.push_back(request);
    }
  }
  std::sort(due.begin(), due.end());
  for (const request_id request : due) {
    live_request& it = live_.at(request);
    finish_with_error(now, it,
                      {code, it.current_phase == phase::queued ? step::admit : step::attempt_stream,
                       it.upstream.value, why, known_outcome(it), default_retry_after},
                      out);
  }
}

void
request_table::dispatch(const moment& now, action_list& out) {
  dispatch_resuming(now, out);
  bool placed_or_refused = true;
  while (placed_or_refused) {
    placed_or_refused = dispatch_one(now, out);
  }
}

bool
request_table::dispatch_one(const moment& now, action_list& out) {
  for (const auto& next : dependencies_.admission.candidates(now, max_candidates)) {
    const auto found = live_.find(next.request);
    if (found == live_.end()) {
      dependencies_.admission.remove(next.request, false);
      return true;
    }
    live_request& it = found->second;
    route_query query = query_for(it);
    query.deadline = next.place_by == time_point{} ? it.arrival.deadline : next.place_by;
    const auto target = dependencies_.routing.choose(query, dependencies_.upstreams, now);
    if (target) {
      place(now, it, *target, out);
      return true;
    }
    if (!any_upstream_serves(it, now)) {
      finish_with_error(now, it,
                        {error_code::unavailable, step::route, it.subject,
                         "no upstream serves the requested model or service now", outcome::not_run,
                         default_retry_after},
                        out);
      return true;
    }
    // All upstreams that serve it are full, or too slow for its deadline. Another request may
    // still be placed.
  }
  return false;
}

void
request_table::place(const moment& now, live_request& it, const placement& target,
                     action_list& out) {
  dependencies_.admission.remove(it.arrival.request, true);
  in_flight_cost_milli_ += it.cost_milli;
  const auto* service = std::get_if<service_call>(&it.arrival.call);
  const bool has_claim = !it.repeatable && service != nullptr && !service->idempotency_key.empty();
  if (!has_claim || !enabled(mechanism::claim_before_send)) {
    begin_attempt(now, it, target, out);
    return;
  }
  it.current_phase = phase::claiming;
  dependencies_.claims.begin(now,
                             {it.arrival.request, it.team, service->idempotency_key,
                              call_digest(*service, it.arrival.body), it.arrival.deadline},
                             out);
}

void
request_table::dispatch_resuming(const moment& now, action_list& out) {
  const std::vector<request_id> waiting{resuming_.begin(), resuming_.end()};
  for (const request_id request : waiting) {
    live_request& it = live_.at(request);
    const auto target = dependencies_.routing.choose(query_for(it), dependencies_.upstreams, now);
    if (target) {
      begin_attempt(now, it, *target, out);
    } else {
      it.tried_upstreams.clear(); // No untried one can take it; allow all in the next pass.
    }
  }
}

bool
request_table::any_upstream_serves(const live_request& it, const moment& now) const {
  const route_query query = query_for(it);
  return std::any_of(dependencies_.upstreams.begin(), dependencies_.upstreams.end(),
                     [&](const auto& row) { return can_serve(row.second, query, now.boot); });
}

route_query
request_table::query_for(const live_request& it) const {
  route_query query;
  query.request = it.arrival.request;
  query.team = it.team;
  query.inference = std::get_if<inference_call>(&it.arrival.call);
  if (const auto* service = std::get_if<service_call>(&it.arrival.call)) {
    query.service = service->service;
  }
  query.zone = options_.zone;
  query.region = options_.region;
  query.resume_from = static_cast<std::uint32_t>(it.delivered);
  query.deadline = it.arrival.deadline;
  query.excluded = it.tried_upstreams;
  return query;
}

milliseconds
request_table::expected_service_time(const request_arrived& it, const moment& now) const {
  route_query query;
  query.request = it.request;
  query.inference = std::get_if<inference_call>(&it.call);
  query.zone = options_.zone;
  query.region = options_.region;
  query.deadline = it.deadline;
  if (query.inference == nullptr) {
    return milliseconds{0};
  }
  return dependencies_.routing.estimate_service_time(query, dependencies_.upstreams, now);
}

capacity_estimate
request_table::capacity(const moment& now) const {
  capacity_estimate estimate;
  for (const auto& [id, it] : dependencies_.upstreams) {
    if (it.takes_work(now.boot)) {
      ++estimate.upstreams_taking_work;
    }
  }
  estimate.cost_milli_per_second = estimate.upstreams_taking_work * default_upstream_rate_milli;
  estimate.in_flight_cost_milli = in_flight_cost_milli_;
  return estimate;
}

void
request_table::finish_with_error(const moment& now, live_request& it, const error& why,
                                 action_list& out) {
  if (!it.caller_disconnected) {
    const bool tried = it.attempts > 0;
    send_error(it.arrival.request, why,
               tried ? log_event::request_failed : log_event::request_refused, out);
  }
  if (it.attempt_open && !it.repeatable) {
    it.caller_disconnected = true;
    return;
  }
  drop(now, it, why.ran, out);
}

void
request_table::drop(const moment& now, live_request& it, outcome ran, action_list& out) {
  if (it.claimed) {
    it.recorded_result.ran = ran;
    dependencies_.claims.finish(now, it.arrival.request, it.recorded_result, out);
  } else if (it.current_phase == phase::claiming) {
    dependencies_.claims.abandon(now, it.arrival.request, out);
  }
  close_attempt(it, true, out);
  erase(now, it, out);
}

void
request_table::erase(const moment& now, live_request& it, action_list& out) {
  const request_id request = it.arrival.request;
  if (it.current_phase == phase::queued) {
    dependencies_.admission.remove(request, false);
  } else {
    in_flight_cost_milli_ -= it.cost_milli;
    dependencies_.admission.settle(it.team, it.cost_milli, actual_cost_milli(it));
  }
  count_usage(now, it, out);
  resuming_.erase(request);
  if (const auto by_key = requests_by_key_.find(it.arrival.secret_sha256);
      by_key != requests_by_key_.end()) {
    by_key->second.erase(request);
    if (by_key->second.empty()) {
      requests_by_key_.erase(by_key);
    }
  }
  if (const auto by_team = live_count_by_team_.find(it.team); --by_team->second == 0) {
    live_count_by_team_.erase(by_team);
  }
  live_.erase(request);
}

std::uint64_t
request_table::actual_cost_milli(const live_request& it) const {
  if (!it.response_started) {
    return 0;
  }
  const auto* call = std::get_if<inference_call>(&it.arrival.call);
  if (call == nullptr) {
    return service_cost_milli;
  }
  inference_call actual = *call;
  actual.max_tokens = static_cast<std::uint32_t>(it.delivered);
  if (it.usage.prompt_tokens > 0) {
    actual.prompt_tokens = it.usage.prompt_tokens;
  }
  const config_view config = dependencies_.config();
  return config ? expected_cost_milli(actual, *config) : it.cost_milli;
}

void
request_table::count_usage(const moment& now, const live_request& it, action_list& out) {
  if (!it.response_started || !dependencies_.count_usage) {
    return;
  }
  usage_line line;
  line.team = it.team;
  line.subject = it.subject;
  line.requests = 1;
  if (const auto* call = std::get_if<inference_call>(&it.arrival.call)) {
    line.prompt_tokens = it.usage.prompt_tokens > 0 ? it.usage.prompt_tokens : call->prompt_tokens;
    line.output_tokens = it.delivered;
  }
  dependencies_.count_usage(now, line, out);
}

} // namespace nutmegspur
