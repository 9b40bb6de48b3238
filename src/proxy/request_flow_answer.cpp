// What an attempt tells, as it comes: heads, bodies, events.
#include "caller_host.h"
#include "millis_text.h"
#include "request_flow.h"

#include <charconv>

namespace nutmegspur::proxy {

namespace {

/// Bytes of an answer that a caller may leave unread before it is cut off.
constexpr std::size_t most_unsent_bytes = 4UL * 1024 * 1024;

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

void
request_flow::note_ran(const moment& when) {
  if (!counted_ && !team_.empty()) {
    counted_ = true;
    state_.usage.count(team_, state_.clock.agreed(when).wall);
  }
}

void
request_flow::on_head(const http_response_head& head) {
  attempt_->head = head;
  attempt_->marks = state_.wire.read_answer(head);
  if (attempt_->asked == attempt_task::going_on) {
    handle_.reset(); // Taken, or gone.
  }
  if (!streaming() && !attempt_->marks.not_run) {
    note_ran(attempt_->sent_at);
  }
}

void
request_flow::note_first_byte() {
  upstream_attempt& it = *attempt_;
  if (it.read) {
    return;
  }
  it.read = true;
  const moment now = http1::event_loop::now();
  state_.loads.on_prefilled(now, it.load);
  if (it.marks.not_run || it.head.status >= 300 || !streaming()) {
    return;
  }
  learn_pace(now);
  if (it.asked != attempt_task::reading) {
    note_ran(now);
  }
}

void
request_flow::learn_pace(const moment& now) {
  const upstream_attempt& it = *attempt_;
  if (!it.alone || service_ == nullptr || !service_->engine || history_.response_started ||
      state_.distance_to(it.upstream.zone) != distance::same_zone) {
    return;
  }
  const std::chrono::duration<double, std::milli> passed = now.boot - it.sent_at.boot;
  const std::uint32_t unread =
      prompt_.prompt_tokens - std::min(prompt_.prompt_tokens, plan_.cached_tokens);
  auto& pace = state_.calibrations[service_name_];
  if (it.asked == attempt_task::going_on) {
    const auto* reader = state_.upstreams.find(reader_);
    if (reader != nullptr && reader->zone == it.upstream.zone) {
      pace.mover.add_sample(prompt_.prompt_tokens, passed.count());
    }
    return;
  }
  (it.asked == attempt_task::reading ? pace.reader : pace.mixed).add_sample(unread, passed.count());
}

void
request_flow::on_body(std::string_view bytes) {
  note_first_byte();
  upstream_attempt& it = *attempt_;
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
  if (!id.empty() && !last_event_id_.empty() && history_.response_started &&
      !comes_after(id, last_event_id_)) {
    return; // Passed on already, from an earlier attempt.
  }
  if (!history_.response_started) {
    history_.response_started = true;
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
  case http1::call_end::completed:
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
  const upstream_attempt& it = *attempt_;
  constexpr int first_server_error = 500;
  constexpr int first_redirect = 300;
  if (it.marks.not_run) {
    end_attempt(attempt_end::rejected);
  } else if (it.asked != attempt_task::reading && it.head.status < first_redirect &&
             !it.marks.signed_by_upstream) {
    end_attempt(attempt_end::malformed);
  } else if (it.head.status >= first_server_error) {
    end_attempt(attempt_end::server_error);
  } else {
    end_attempt(attempt_end::answered);
  }
}

} // namespace nutmegspur::proxy
