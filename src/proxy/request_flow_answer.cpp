// Handles the response of an attempt as it arrives: head, body and events.
#include "caller_host.h"
#include "millis_text.h"
#include "request_flow.h"

#include <charconv>

namespace nutmegspur::proxy {

namespace {

/// Maximum response bytes that a caller may leave unread before its connection is aborted.
constexpr std::size_t max_unsent_bytes = 4UL * 1024 * 1024;

/// Retry-After of requests while neither this instance nor its peers reach upstreams.
constexpr milliseconds retry_after_cut_off{500};

/// Attempts that no peer would forward, after which the request is refused.
constexpr unsigned max_unforwarded = 3;

/// Maximum length of a response body that is held until it is complete, and of one event.
constexpr std::size_t max_held_body_bytes = 8UL * 1024 * 1024;
constexpr std::size_t max_event_bytes = 1024UL * 1024;

/// Error responses of more than this are at fault when the budget of held bytes is used up: there
/// is no use in them.
constexpr std::size_t max_error_bytes = 64UL * 1024;

/// Bytes that the caller has not taken, beyond which the response is not read, and how often it is
/// looked whether it has.
constexpr std::size_t max_behind_bytes = 64UL * 1024;
constexpr milliseconds behind_poll{20};

} // namespace

void
request_flow::count_usage(const moment& when) {
  if (!usage_counted_ && !team_.empty()) {
    usage_counted_ = true;
    state_.usage.count(team_, state_.clock.agreed(when).wall);
  }
}

void
request_flow::on_bytes() {
  attempt_->last_bytes_at = http1::event_loop::now().boot;
  if (attempt_->by_peer == nullptr) {
    paths_.on_bytes(attempt_->path_attempt);
  }
}

void
request_flow::on_head(const http_response_head& head) {
  on_bytes();
  attempt_->head = head;
  attempt_->marks = state_.wire.parse_response_head(head);
  const auto& marks = attempt_->marks;
  constexpr int ok = 200;
  const bool authentic =
      marks.stamped_by_upstream || (attempt_->task == attempt_task::prefill && head.status == ok);
  state_.on_response_head(http1::event_loop::now(), attempt_->upstream, marks, authentic);
  if (attempt_->task == attempt_task::decode) {
    prompt_handle_.reset(); // The engine has fetched the prompt, or the prompt is gone.
  }
  if (!streaming() && !attempt_->marks.not_run) {
    count_usage(attempt_->sent_at);
  }
  if (states_too_much(head)) {
    end_overflowing(overflow_cause::length);
  }
}

void
request_flow::on_first_byte() {
  upstream_attempt& it = *attempt_;
  if (it.first_byte_received) {
    return;
  }
  it.first_byte_received = true;
  const moment now = http1::event_loop::now();
  state_.loads.on_prefilled(now, it.load_id);
  if (it.marks.not_run || it.head.status >= 300 || !streaming()) {
    return;
  }
  calibrate(now);
  if (it.task != attempt_task::prefill) {
    count_usage(now);
  }
}

void
request_flow::calibrate(const moment& now) {
  const upstream_attempt& it = *attempt_;
  if (!it.engine_idle || service_ == nullptr || !service_->engine || history_.response_started ||
      state_.distance_to(it.upstream.zone) != distance::same_zone) {
    return;
  }
  const std::chrono::duration<double, std::milli> passed = now.boot - it.sent_at.boot;
  const std::uint32_t uncached =
      prompt_.prompt_tokens - std::min(prompt_.prompt_tokens, placement_.cached_tokens);
  auto& calibration = state_.calibrations[service_name_];
  if (it.task == attempt_task::decode) {
    const auto* prefill_engine = state_.upstreams.find(prefill_upstream_);
    if (prefill_engine != nullptr && prefill_engine->zone == it.upstream.zone) {
      calibration.transfer.add_sample(prompt_.prompt_tokens, passed.count());
    }
    return;
  }
  (it.task == attempt_task::prefill ? calibration.prefill : calibration.mixed)
      .add_sample(uncached, passed.count());
}

bool
request_flow::is_event_stream() const {
  const upstream_attempt& it = *attempt_;
  return streaming() && it.task != attempt_task::prefill &&
         carries_events(it.head.status, it.marks.not_run, it.marks.stamped_by_upstream,
                        it.head.fields.get("Content-Type"));
}

void
request_flow::on_body(std::string_view bytes) {
  on_bytes();
  on_first_byte();
  upstream_attempt& it = *attempt_;
  if (!is_event_stream()) {
    it.body.append(bytes);
  } else {
    it.events.add(bytes);
    forward_events();
  }
  // Checked last: the end of the attempt may end the request.
  if (!done_ && attempt_ && attempt_->call != nullptr) {
    if (attempt_->contradicted) {
      attempt_->call->cancel();
      end_attempt(attempt_end::malformed);
    } else if (holds_too_much()) {
      end_overflowing(overflow_cause::size);
    } else {
      update_held();
    }
  }
}

bool
request_flow::holds_too_much() const {
  return attempt_->body.size() > max_held_body_bytes ||
         attempt_->events.held_bytes() > max_event_bytes;
}

bool
request_flow::states_too_much(const http_response_head& head) const {
  if (is_event_stream() || caller_->head().method == "HEAD") {
    return false;
  }
  const std::string_view text = head.fields.get("Content-Length");
  std::size_t stated = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), stated);
  return read.ec == std::errc::result_out_of_range ||
         (read.ec == std::errc{} && stated > max_held_body_bytes);
}

void
request_flow::update_held() {
  upstream_attempt& it = *attempt_;
  constexpr int first_error = 400;
  const bool useless = it.head.status >= first_error && it.body.size() > max_error_bytes;
  it.held.update(std::max(it.body.capacity(), it.body.size()) + it.events.held_bytes(), useless);
}

void
request_flow::end_overflowing(overflow_cause why) {
  upstream_attempt& it = *attempt_;
  count("nutmegspur_upstream_overflows_total", "why", to_name(why));
  log(log_event::upstream_overflow,
      {{"request", request_.id},
       {"upstream", it.upstream.id.value},
       {"why", std::string{to_name(why)}},
       {"status", std::to_string(it.head.status)},
       {"held", std::to_string(it.body.size() + it.events.held_bytes())},
       {"held_in_all", std::to_string(state_.held.total())}});
  if (why == overflow_cause::size || why == overflow_cause::length) {
    it.held.blame();
  }
  it.call->cancel();
  // Without room it did nothing wrong: as if its time were up while it waited.
  end_attempt(why == overflow_cause::no_room ? attempt_end::timed_out : attempt_end::malformed);
}

void
request_flow::update_reading() {
  if (attempt_ && attempt_->call != nullptr) {
    attempt_->call->set_reading(!attempt_->held_back && !attempt_->caller_behind);
  }
}

void
request_flow::wait_for_caller() {
  const bool behind = caller_->unsent() > max_behind_bytes;
  if (behind != attempt_->caller_behind) {
    attempt_->caller_behind = behind;
    update_reading();
  }
  if (behind) {
    state_.loop.cancel(unsent_timer_);
    unsent_timer_ = state_.loop.once(behind_poll, [this](const moment&) {
      if (!done_ && attempt_) {
        wait_for_caller();
      }
    });
  }
}

void
request_flow::forward_events() {
  for (std::string event = attempt_->events.next_event(); !event.empty();
       event = attempt_->events.next_event()) {
    if (!forward_event(event)) {
      attempt_->contradicted = true;
      return;
    }
  }
  if (caller_->unsent() > max_unsent_bytes) {
    cut("the caller does not read");
  } else {
    wait_for_caller();
  }
}

bool
request_flow::forward_event(const std::string& event) {
  const std::string id = event_splitter::id_of(event);
  const event_place place =
      attempt_->sequence.add(id, event_splitter::has_data(event), std::hash<std::string>{}(event));
  attempt_->has_events = attempt_->has_events || place != event_place::comment;
  switch (place) {
  case event_place::repeated:
    return true;
  case event_place::misplaced:
    // After a wrong id that the caller has, no upstream can resume.
    history_.resumable = history_.resumable && attempt_->sequence.can_go_on();
    return false;
  case event_place::ahead:
  case event_place::unnumbered:
    if (habits().consecutive()) {
      attempt_->unusual_ids = true;
      return false;
    }
    break;
  case event_place::next:
    if (attempt_->forwarded == 0 && attempt_->resumed_after.empty() && habits().begins_late(id)) {
      attempt_->unusual_ids = true;
      return false;
    }
    break;
  case event_place::comment:
    break;
  }
  attempt_->forwarded++;
  if (!history_.response_started) {
    history_.response_started = true;
    stream_version_ = attempt_->upstream.software_version;
    origins_.on_stream_began(stream_request(), {service_name_, *stream_version_});
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
  if (place != event_place::comment) {
    history_.end_unproven = false;
    state_.loop.cancel(proof_timer_);
  }
  caller_->write(event);
  return true;
}

void
request_flow::on_call_end(http1::call_end how) {
  switch (how) {
  case http1::call_end::completed:
    break;
  case http1::call_end::unreachable:
    if (attempt_->by_peer != nullptr && attempt_->by_peer->no_peer() &&
        ++unforwarded_ >= max_unforwarded) {
      close_attempt(attempt_end::unreachable);
      attempt_.reset();
      end_request(after_last_attempt(history_), "cut_off", retry_after_cut_off, 0);
      return;
    }
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
  const upstream_attempt& it = *attempt_;
  ended_response response;
  response.status = it.head.status;
  response.not_run = it.marks.not_run;
  response.authentic = it.task == attempt_task::prefill || it.marks.stamped_by_upstream;
  response.close_delimited = it.head.close_delimited;
  response.event_stream = is_event_stream();
  response.response_started = history_.response_started;
  response.has_events = it.has_events;
  response.inside_event = it.events.inside_event();
  response.behind = it.sequence.behind();
  response.tail = it.call->tail();
  response.asked_for_proof = history_.end_unproven;
  response.service_frames = habits().frames();
  response.doubtful_upstream = state_.spoiled.doubtful(http1::event_loop::now(), it.upstream.id);
  end_attempt(end_of_response(response));
}

} // namespace nutmegspur::proxy
