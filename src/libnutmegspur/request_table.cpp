// Arrival, admission and placement of requests, and their ends for reasons outside an attempt:
// deadlines, withdrawn keys and disconnected callers.
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
constexpr milliseconds retry_soon{1000};
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
answer_error(request_id request, const error& why, log_event number, action_list& out) {
  out.emplace_back(request_log(number, request, why));
  out.emplace_back(fail_request{request, why});
}

} // namespace

request_table::request_table(request_options options, request_dependencies needs)
    : options_(std::move(options)), needs_(std::move(needs)) {
  needs_.claims.set_listener([this](const moment& now, const claim_verdict& verdict,
                                    action_list& out) { on_verdict(now, verdict, out); });
}

void
request_table::step(const moment& now, const event& ev, action_list& out) {
  end_withdrawn(now, out);
  if (const auto* arrived = std::get_if<request_arrived>(&ev)) {
    on_arrived(now, *arrived, out);
  } else if (const auto* gone = std::get_if<caller_disconnected>(&ev)) {
    on_caller_gone(now, gone->request, out);
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
  const config_view config = needs_.config();
  if (closed_) {
    answer_error(it.request,
                 {error_code::unavailable, step::admit, "", "this instance is stopping",
                  outcome::not_run, retry_soon},
                 log_event::request_refused, out);
    return;
  }
  if (!config) {
    answer_error(it.request,
                 {error_code::unavailable, step::authenticate, "", "no configuration is held yet",
                  outcome::not_run, retry_soon},
                 log_event::request_refused, out);
    return;
  }
  const milliseconds age = needs_.config_age ? needs_.config_age(now) : milliseconds{0};
  const auto granted = authorize(it, *config, options_.zone, age);
  if (!granted) {
    answer_error(it.request, granted.error(), log_event::request_refused, out);
    return;
  }
  if (std::holds_alternative<list_models_call>(it.call)) {
    list_models(it, granted->team, *config, out);
    return;
  }
  const auto team = by_team_.find(granted->team);
  if (granted->limits.max_in_flight > 0 && team != by_team_.end() &&
      team->second >= granted->limits.max_in_flight) {
    answer_error(it.request,
                 {error_code::overloaded, step::admit, "",
                  "the team has reached its limit of requests in progress", outcome::not_run,
                  retry_soon},
                 log_event::request_refused, out);
    return;
  }
  const waiting_request waiting{
      it.request, granted->team, granted->limits.weight, it.priority,
      now.boot,   it.deadline,   granted->cost_milli,    expected_service_time(it, now)};
  if (auto offered = needs_.admission.enqueue(waiting, capacity(now), now); !offered) {
    answer_error(it.request, offered.error(), log_event::request_refused, out);
    return;
  }
  budget_.on_new_request();
  add(it, *granted);
}

void
request_table::add(const request_arrived& it, const access_grant& granted) {
  live_request& added = live_[it.request];
  added.what = it;
  added.team = granted.team;
  added.subject = granted.subject;
  added.cost_milli = granted.cost_milli;
  added.repeatable = granted.repeatable;
  added.progress_limit = granted.timeout.value_or(options_.progress_limit);
  if (auto* call = std::get_if<inference_call>(&added.what.call)) {
    const std::string salt = cache_salt(granted.team, options_.cache_salt_secret);
    for (auto& block : call->prefix_blocks) {
      block = salted_block(block, salt);
    }
  }
  ++by_team_[granted.team];
  if (!it.secret_sha256.empty()) {
    by_key_[it.secret_sha256].insert(it.request);
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
request_table::on_caller_gone(const moment& now, request_id request, action_list& out) {
  const auto found = live_.find(request);
  if (found == live_.end()) {
    return;
  }
  live_request& it = found->second;
  if (it.attempt_open && !it.repeatable) {
    // The call may be running and must not run again, so its result is still recorded.
    it.caller_left = true;
    return;
  }
  drop(now, it, ran_so_far(it), out);
}

void
request_table::on_verdict(const moment& now, const claim_verdict& verdict, action_list& out) {
  auto found = live_.find(verdict.request);
  if (found == live_.end() || found->second.at != phase::claiming) {
    return;
  }
  found->second.claimed = verdict.decision == claim_decision::proceed;
  end_withdrawn(now, out); // The key may have been withdrawn while the claim was written.
  found = live_.find(verdict.request);
  if (found == live_.end()) {
    return;
  }
  live_request& it = found->second;
  if (verdict.decision == claim_decision::refuse) {
    refuse(now, it, verdict.why, out);
    return;
  }
  if (verdict.decision == claim_decision::replay) {
    const claim_record& record = verdict.record;
    out.emplace_back(
        start_response{verdict.request,
                     record.status,
                     {{"content-type", record.content_type}, {"idempotency-replayed", "true"}},
                     it.team});
    if (!record.body.empty()) {
      out.emplace_back(send_chunk{verdict.request, record.body});
    }
    out.emplace_back(end_response{verdict.request, {}, "stop"});
    erase(now, it, out);
    return;
  }
  const auto where = needs_.routing.choose(query_for(it), needs_.upstreams, now);
  if (!where) {
    refuse(now, it,
           {error_code::unavailable, step::route, it.subject, "no upstream can take the call now",
            outcome::not_run, retry_soon},
           out);
    return;
  }
  begin_attempt(now, it, *where, out);
}

void
request_table::on_tick(const moment& now, action_list& out) {
  for (const auto& late : needs_.admission.expire(capacity(now), now)) {
    const auto found = live_.find(late.request);
    if (found != live_.end()) {
      refuse(now, found->second,
             {error_code::deadline_exceeded, step::admit, "",
              "the request cannot be answered before its deadline", outcome::not_run, retry_soon},
             out);
    }
  }
  pass_deadlines(now, out);
}

void
request_table::end_withdrawn(const moment& now, action_list& out) {
  if (!enabled(mechanism::withdraw_ends_streams)) {
    return;
  }
  config_view config = needs_.config();
  if (!config || config == seen_config_) {
    return;
  }
  seen_config_ = std::move(config);
  std::vector<request_id> ended;
  for (const auto& [digest, requests] : by_key_) {
    if (!check_key(digest, *seen_config_)) {
      ended.insert(ended.end(), requests.begin(), requests.end());
    }
  }
  std::sort(ended.begin(), ended.end());
  for (const request_id request : ended) {
    live_request& it = live_.at(request);
    refuse(now, it,
           {error_code::key_withdrawn, step::authenticate, "", "the key was withdrawn",
            ran_so_far(it)},
           out);
  }
}

void
request_table::pass_deadlines(const moment& now, action_list& out) {
  std::vector<request_id> late;
  for (const auto& [request, it] : live_) {
    if (it.what.deadline <= now.boot && !it.caller_left) {
      late.push_back(request);
    }
  }
  std::sort(late.begin(), late.end());
  for (const request_id request : late) {
    live_request& it = live_.at(request);
    refuse(now, it,
           {error_code::deadline_exceeded,
            it.at == phase::queued ? step::admit : step::attempt_stream, it.upstream.value,
            "the deadline has passed", ran_so_far(it), retry_soon},
           out);
  }
}

void
request_table::dispatch(const moment& now, action_list& out) {
  dispatch_resuming(now, out);
  bool more = true;
  while (more) {
    more = dispatch_one(now, out);
  }
}

bool
request_table::dispatch_one(const moment& now, action_list& out) {
  for (const auto& next : needs_.admission.candidates(now, max_candidates)) {
    const auto found = live_.find(next.request);
    if (found == live_.end()) {
      needs_.admission.remove(next.request, false);
      return true;
    }
    live_request& it = found->second;
    route_query query = query_for(it);
    query.deadline = next.place_by == time_point{} ? it.what.deadline : next.place_by;
    const auto where = needs_.routing.choose(query, needs_.upstreams, now);
    if (where) {
      place_next(now, it, *where, out);
      return true;
    }
    if (!anyone_serves(it, now)) {
      refuse(now, it,
             {error_code::unavailable, step::route, it.subject, "no upstream serves it now",
              outcome::not_run, retry_soon},
             out);
      return true;
    }
    // All that serve it are full, or too slow for its deadline; another may still be placed.
  }
  return false;
}

void
request_table::place_next(const moment& now, live_request& it, const placement& where,
                          action_list& out) {
  needs_.admission.remove(it.what.request, true);
  in_flight_cost_milli_ += it.cost_milli;
  const auto* service = std::get_if<service_call>(&it.what.call);
  const bool has_claim = !it.repeatable && service != nullptr && !service->idempotency_key.empty();
  if (!has_claim || !enabled(mechanism::claim_before_send)) {
    begin_attempt(now, it, where, out);
    return;
  }
  it.at = phase::claiming;
  needs_.claims.begin(now,
                      {it.what.request, it.team, service->idempotency_key,
                       call_digest(*service, it.what.body), it.what.deadline},
                      out);
}

void
request_table::dispatch_resuming(const moment& now, action_list& out) {
  const std::vector<request_id> waiting{resuming_.begin(), resuming_.end()};
  for (const request_id request : waiting) {
    live_request& it = live_.at(request);
    const auto where = needs_.routing.choose(query_for(it), needs_.upstreams, now);
    if (where) {
      begin_attempt(now, it, *where, out);
    } else {
      it.tried.clear(); // All others were tried; the next pass may use one of them again.
    }
  }
}

bool
request_table::anyone_serves(const live_request& it, const moment& now) const {
  const route_query query = query_for(it);
  return std::any_of(needs_.upstreams.begin(), needs_.upstreams.end(),
                     [&](const auto& row) { return can_serve(row.second, query, now.boot); });
}

route_query
request_table::query_for(const live_request& it) const {
  route_query query;
  query.request = it.what.request;
  query.team = it.team;
  query.inference = std::get_if<inference_call>(&it.what.call);
  if (const auto* service = std::get_if<service_call>(&it.what.call)) {
    query.service = service->service;
  }
  query.zone = options_.zone;
  query.region = options_.region;
  query.resume_from = static_cast<std::uint32_t>(it.delivered);
  query.deadline = it.what.deadline;
  query.excluded = it.tried;
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
  return needs_.routing.estimate_service_time(query, needs_.upstreams, now);
}

capacity_estimate
request_table::capacity(const moment& now) const {
  capacity_estimate estimate;
  for (const auto& [id, it] : needs_.upstreams) {
    if (it.takes_work(now.boot)) {
      ++estimate.upstreams_taking_work;
    }
  }
  estimate.cost_milli_per_second = estimate.upstreams_taking_work * default_upstream_rate_milli;
  estimate.in_flight_cost_milli = in_flight_cost_milli_;
  return estimate;
}

void
request_table::refuse(const moment& now, live_request& it, const error& why, action_list& out) {
  if (!it.caller_left) {
    const bool tried = it.attempts > 0;
    answer_error(it.what.request, why,
                 tried ? log_event::request_failed : log_event::request_refused, out);
  }
  if (it.attempt_open && !it.repeatable) {
    it.caller_left = true;
    return;
  }
  drop(now, it, why.ran, out);
}

void
request_table::drop(const moment& now, live_request& it, outcome ran, action_list& out) {
  if (it.claimed) {
    it.answer.ran = ran;
    needs_.claims.finish(now, it.what.request, it.answer, out);
  } else if (it.at == phase::claiming) {
    needs_.claims.abandon(now, it.what.request, out);
  }
  close_attempt(it, true, out);
  erase(now, it, out);
}

void
request_table::erase(const moment& now, live_request& it, action_list& out) {
  const request_id request = it.what.request;
  if (it.at == phase::queued) {
    needs_.admission.remove(request, false);
  } else {
    in_flight_cost_milli_ -= it.cost_milli;
    needs_.admission.settle(it.team, it.cost_milli, actual_cost_milli(it));
  }
  count_usage(now, it, out);
  resuming_.erase(request);
  if (const auto by_key = by_key_.find(it.what.secret_sha256); by_key != by_key_.end()) {
    by_key->second.erase(request);
    if (by_key->second.empty()) {
      by_key_.erase(by_key);
    }
  }
  if (const auto by_team = by_team_.find(it.team); --by_team->second == 0) {
    by_team_.erase(by_team);
  }
  live_.erase(request);
}

std::uint64_t
request_table::actual_cost_milli(const live_request& it) const {
  if (!it.started) {
    return 0;
  }
  const auto* call = std::get_if<inference_call>(&it.what.call);
  if (call == nullptr) {
    return service_cost_milli;
  }
  inference_call actual = *call;
  actual.max_tokens = static_cast<std::uint32_t>(it.delivered);
  if (it.usage.prompt_tokens > 0) {
    actual.prompt_tokens = it.usage.prompt_tokens;
  }
  const config_view config = needs_.config();
  return config ? expected_cost_milli(actual, *config) : it.cost_milli;
}

void
request_table::count_usage(const moment& now, const live_request& it, action_list& out) {
  if (!it.started || !needs_.count_usage) {
    return;
  }
  usage_line line;
  line.team = it.team;
  line.subject = it.subject;
  line.requests = 1;
  if (const auto* call = std::get_if<inference_call>(&it.what.call)) {
    line.prompt_tokens = it.usage.prompt_tokens > 0 ? it.usage.prompt_tokens : call->prompt_tokens;
    line.output_tokens = it.delivered;
  }
  needs_.count_usage(now, line, out);
}

} // namespace nutmegspur
