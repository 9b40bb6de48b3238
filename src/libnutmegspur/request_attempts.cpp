// Attempts at upstreams: in-order delivery of chunks, resumption, retries and the final outcome.
#include "request_rules.h"

#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/request_table.h>

#include <algorithm>

namespace nutmegspur {
namespace {

constexpr milliseconds default_retry_after{1000};

// Failures that would occur at any other upstream as well.
bool
is_permanent(error_code code) {
  return code == error_code::invalid_argument || code == error_code::too_large ||
         code == error_code::permission_denied || code == error_code::cancelled;
}

std::string
content_type_of(const std::vector<header_field>& headers) {
  const auto it = std::find_if(headers.begin(), headers.end(),
                               [](const auto& field) { return field.name == "content-type"; });
  return it == headers.end() ? std::string{} : it->value;
}

write_log
resume_log(request_id request, const upstream_id& from, const error& why, std::uint64_t at) {
  return {log_event::request_resumed,
          {{"request", std::to_string(request.value)},
           {"peer", from.value},
           {"delivered", std::to_string(at)},
           {"code", std::string{to_name(why.code)}},
           {"message", why.message}}};
}

} // namespace

outcome
request_table::known_outcome(const live_request& it) {
  if (!enabled(mechanism::outcome_from_first_byte)) {
    return outcome::not_run;
  }
  return it.attempt_open || it.may_have_run ? outcome::unknown : outcome::not_run;
}

request_table::live_request*
request_table::find_current(const attempt_id& attempt) {
  const auto found = live_.find(attempt.request);
  if (found == live_.end()) {
    return nullptr;
  }
  live_request& it = found->second;
  const bool is_current = it.attempt_open && it.attempts == attempt.number;
  return is_current || !enabled(mechanism::chunk_offset_check) ? &it : nullptr;
}

open_attempt
request_table::make_open_attempt(const live_request& it, const upstream_state& target) const {
  open_attempt what;
  what.attempt = {it.arrival.request, it.attempts};
  what.upstream = it.upstream;
  what.address = target.listed.address;
  what.port = target.listed.port;
  if (const auto* service = std::get_if<service_call>(&it.arrival.call)) {
    what.method = service->method;
    what.path = service->path;
  } else {
    const auto& call = std::get<inference_call>(it.arrival.call);
    const bool chat = call.format == api_format::chat_completions;
    what.path = chat ? "/v1/chat/completions" : "/v1/completions";
    what.streaming = true;
    what.resume_from = static_cast<std::uint32_t>(it.delivered);
  }
  what.headers =
      upstream_headers(it.arrival, {what.attempt, options_.instance,
                                    cache_salt(it.team, options_.cache_salt_secret), it.delivered});
  what.body = it.arrival.body;
  what.one_shot = !it.repeatable;
  what.deadline = it.arrival.deadline;
  what.progress_limit = it.progress_limit;
  return what;
}

void
request_table::begin_attempt(const moment& now, live_request& it, const placement& target,
                             action_list& out) {
  resuming_.erase(it.arrival.request);
  const auto found = dependencies_.upstreams.find(target.upstream);
  if (found == dependencies_.upstreams.end()) {
    retry_or_fail(
        now, it,
        {error_code::unavailable, step::route, target.upstream.value, "the upstream is not listed"},
        out);
    return;
  }
  ++it.attempts;
  it.current_phase = phase::running;
  it.attempt_open = true;
  it.prefilling = true;
  it.upstream = target.upstream;
  it.tried_upstreams.push_back(target.upstream);
  it.buffered.clear();
  upstream_state& upstream = found->second;
  ++upstream.own_in_flight;
  if (const auto* call = std::get_if<inference_call>(&it.arrival.call)) {
    upstream.own_prompt_tokens += call->prompt_tokens;
  }
  out.emplace_back(make_open_attempt(it, upstream));
}

void
request_table::close_attempt(live_request& it, bool cancel, action_list& out) {
  if (!it.attempt_open) {
    return;
  }
  it.attempt_open = false;
  it.buffered.clear();
  if (const auto found = dependencies_.upstreams.find(it.upstream);
      found != dependencies_.upstreams.end()) {
    upstream_state& upstream = found->second;
    upstream.own_in_flight -= std::min(upstream.own_in_flight, 1U);
  }
  end_prefill(it);
  if (cancel) {
    out.emplace_back(cancel_attempt{{it.arrival.request, it.attempts}, it.upstream});
  }
}

void
request_table::end_prefill(live_request& it) {
  const auto* call = std::get_if<inference_call>(&it.arrival.call);
  const auto found = dependencies_.upstreams.find(it.upstream);
  if (it.prefilling && call != nullptr && found != dependencies_.upstreams.end()) {
    auto& waiting = found->second.own_prompt_tokens;
    waiting -= std::min(waiting, call->prompt_tokens);
  }
  it.prefilling = false;
}

void
request_table::on_opened(const attempt_opened& ev, action_list& out) {
  live_request* it = find_current(ev.attempt);
  if (it == nullptr || std::holds_alternative<inference_call>(it->arrival.call)) {
    return; // An inference response starts with its first token; until then it can be placed
            // elsewhere.
  }
  it->recorded_result.status = ev.status;
  it->recorded_result.content_type = content_type_of(ev.headers);
  begin_response(*it, ev.status, caller_headers(ev.headers), out);
}

void
request_table::begin_response(live_request& it, int status, std::vector<header_field> headers,
                              action_list& out) {
  if (it.response_started) {
    return;
  }
  it.response_started = true;
  if (!it.caller_disconnected) {
    out.emplace_back(start_response{it.arrival.request, status, std::move(headers), it.team});
  }
}

void
request_table::on_chunk(const moment& now, const attempt_chunk& ev, action_list& out) {
  live_request* it = find_current(ev.attempt);
  if (it == nullptr) {
    return;
  }
  record_progress(now, *it, ev.tokens);
  end_prefill(*it);
  if (!enabled(mechanism::chunk_offset_check) || ev.offset == it->delivered) {
    deliver(*it, ev.tokens, ev.text, out);
    deliver_buffered(*it, out);
    return;
  }
  if (ev.offset + ev.tokens <= it->delivered) {
    return; // A duplicate.
  }
  const bool buffer_has_room = it->buffered.size() < options_.max_buffered_chunks;
  if (ev.offset > it->delivered && buffer_has_room) {
    it->buffered.emplace(ev.offset, buffered_chunk{ev.tokens, ev.text});
    return;
  }
  // Either the chunk partly overlaps the delivered text and cannot be split, or the buffer for
  // out-of-order chunks is full.
  const error why{error_code::upstream_failed, step::attempt_stream, it->upstream.value,
                  "the stream has a gap or an overlap", outcome::unknown};
  close_attempt(*it, true, out);
  retry_or_fail(now, *it, why, out);
}

void
request_table::record_progress(const moment& now, live_request& it, std::uint32_t tokens) {
  const bool inference = std::holds_alternative<inference_call>(it.arrival.call);
  if (inference && !it.prefilling) {
    dependencies_.routing.observe({it.upstream, now.boot - it.last_chunk, tokens});
  }
  it.last_chunk = now.boot;
}

void
request_table::deliver(live_request& it, std::uint32_t tokens, const std::string& text,
                       action_list& out) {
  begin_response(it, 200, {}, out);
  it.delivered += tokens;
  if (it.claimed && it.recorded_result.body.size() <= max_recorded_body) {
    it.recorded_result.body += text;
  }
  if (!it.caller_disconnected && !text.empty()) {
    out.emplace_back(send_chunk{it.arrival.request, text});
  }
}

void
request_table::deliver_buffered(live_request& it, action_list& out) {
  while (!it.buffered.empty() && it.buffered.begin()->first <= it.delivered) {
    const auto node = it.buffered.extract(it.buffered.begin());
    if (node.key() == it.delivered) {
      deliver(it, node.mapped().tokens, node.mapped().text, out);
    }
  }
}

void
request_table::on_ended(const moment& now, const attempt_ended& ev, action_list& out) {
  live_request* it = find_current(ev.attempt);
  if (it == nullptr) {
    return;
  }
  if (ev.usage.prompt_tokens > 0) {
    it->usage.prompt_tokens = ev.usage.prompt_tokens;
    it->usage.cached_tokens = ev.usage.cached_tokens;
  }
  const bool gap = !it->buffered.empty() || ev.end_offset > it->delivered;
  if (!ev.failure && gap && enabled(mechanism::chunk_offset_check)) {
    const error why{error_code::upstream_failed, step::attempt_done, it->upstream.value,
                    "the stream ended with a gap", outcome::unknown};
    close_attempt(*it, false, out);
    retry_or_fail(now, *it, why, out);
    return;
  }
  close_attempt(*it, false, out);
  if (!ev.failure) {
    complete(now, *it, ev, out);
    return;
  }
  mark_suspect(now, it->upstream, *ev.failure, out);
  retry_or_fail(now, *it, *ev.failure, out);
}

void
request_table::complete(const moment& now, live_request& it, const attempt_ended& ev,
                        action_list& out) {
  begin_response(it, 200, {}, out);
  it.usage.output_tokens = static_cast<std::uint32_t>(it.delivered);
  if (it.claimed) {
    it.recorded_result.ran = outcome::ran;
    dependencies_.claims.finish(now, it.arrival.request, it.recorded_result, out);
  }
  if (!it.caller_disconnected) {
    out.emplace_back(end_response{it.arrival.request, it.usage, ev.finish_reason});
  }
  erase(now, it, out);
}

void
request_table::retry_or_fail(const moment& now, live_request& it, const error& why,
                             action_list& out) {
  const bool did_not_run = why.ran == outcome::not_run;
  it.may_have_run = it.may_have_run || !did_not_run;
  const bool is_service = std::holds_alternative<service_call>(it.arrival.call);
  const bool may_repeat = did_not_run || (it.repeatable && !(is_service && it.response_started));
  const bool may_retry = may_repeat && !it.caller_disconnected && !is_permanent(why.code) &&
                         it.attempts < options_.max_attempts && now.boot < it.arrival.deadline;
  if (may_retry && (did_not_run || retry_budget_.take(now))) {
    it.current_phase = phase::resuming;
    resuming_.insert(it.arrival.request);
    out.emplace_back(resume_log(it.arrival.request, it.upstream, why, it.delivered));
    return;
  }
  error final_error = why;
  final_error.ran = known_outcome(it);
  if (!is_permanent(why.code) && !final_error.retry_after) {
    final_error.retry_after = default_retry_after;
  }
  finish_with_error(now, it, final_error, out);
}

void
request_table::mark_suspect(const moment& now, const upstream_id& upstream, const error& why,
                            action_list& out) {
  const auto found = dependencies_.upstreams.find(upstream);
  if (found == dependencies_.upstreams.end() || is_permanent(why.code) ||
      why.code == error_code::overloaded) {
    return;
  }
  found->second.suspect = true;
  found->second.suspect_until = now.boot + options_.suspect_span;
  out.emplace_back(write_log{log_event::upstream_failed,
                             {{"peer", upstream.value},
                              {"code", std::string{to_name(why.code)}},
                              {"message", why.message}}});
}

} // namespace nutmegspur
