// Starts single HTTP calls and collects their responses.
#include "call_set.h"

#include <algorithm>

namespace nutmegspur::proxy {

call_set::~call_set() {
  for (const auto& [number, it] : calls_) {
    loop_.cancel(it.progress_timer);
  }
}

void
call_set::send(const endpoint& to, const wire_call& call, const call_limits& limits, handler on_end,
               time_point not_after) {
  const std::uint64_t number = ++last_number_;
  http_fields fields = call.fields;
  fields.add("Host", to_text(to));
  http1::call_options options;
  options.timeout = limits.all;
  options.connect_timeout = limits.connect.value_or(limits.all);
  options.new_connection = limits.new_connection;
  options.max_body_bytes = limits.reply_bytes;
  options.not_after = not_after;
  open_entry& it = calls_[number];
  it.outcome.sent_at = http1::event_loop::now();
  it.on_end = std::move(on_end);
  it.held.start(budget_, to_text(to),
                {[&it](bool reads) {
                   if (it.call != nullptr) {
                     it.call->set_reading(reads);
                   }
                 },
                 [this, number](bool) { end(number, http1::call_end::malformed); }});
  it.call = client_.start(to, format_request(call.method, call.target, fields, call.body),
                          {{},
                           [&it](const http_response_head& head) {
                             it.last_byte = http1::event_loop::now().boot;
                             it.outcome.status = head.status;
                             it.outcome.fields = head.fields;
                           },
                           [this, &it](std::string_view bytes) { on_body(it, bytes); },
                           [this, number](http1::call_end how) { end(number, how); }},
                          options);
  if (limits.progress) {
    it.last_byte = it.outcome.sent_at.boot;
    await_progress(number, *limits.progress);
  }
}

void
call_set::await_progress(std::uint64_t number, milliseconds limit) {
  open_entry& it = calls_.at(number);
  const duration left = it.last_byte + limit - http1::event_loop::now().boot;
  if (left <= duration{0}) {
    end(number, it.call->sent() ? http1::call_end::timed_out : http1::call_end::unreachable);
    return;
  }
  it.progress_timer =
      loop_.once(left, [this, number, limit](const moment&) { await_progress(number, limit); });
}

void
call_set::on_body(open_entry& it, std::string_view bytes) {
  it.last_byte = http1::event_loop::now().boot;
  it.outcome.body.append(bytes);
  it.held.update(std::max(it.outcome.body.capacity(), it.outcome.body.size()), false);
}

void
call_set::end(std::uint64_t number, http1::call_end how) {
  const auto row = calls_.find(number);
  if (row == calls_.end()) {
    return;
  }
  row->second.outcome.end = how;
  loop_.cancel(row->second.progress_timer);
  http1::discard(loop_, std::move(row->second.call));
  const call_outcome outcome = std::move(row->second.outcome);
  const handler notify = std::move(row->second.on_end);
  calls_.erase(row);
  if (notify) {
    notify(outcome);
  }
}

} // namespace nutmegspur::proxy
