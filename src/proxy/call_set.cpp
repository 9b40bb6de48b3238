// Starts single HTTP calls and collects their responses.
#include "call_set.h"

namespace nutmegspur::proxy {

namespace {

/// Replies of the platform hold at most 1 MB of values, or one value of the configured maximum,
/// both longer by a third in their encoding.
constexpr std::size_t max_reply_bytes = 16UL * 1024 * 1024;

} // namespace

void
call_set::send(const endpoint& to, const wire_call& call, const call_limits& limits, handler on_end,
               time_point not_after) {
  const std::uint64_t number = ++last_number_;
  const auto outcome = std::make_shared<call_outcome>();
  outcome->sent_at = http1::event_loop::now();
  http_fields fields = call.fields;
  fields.add("Host", to_text(to));
  http1::call_options options;
  options.timeout = limits.all;
  options.connect_timeout = limits.connect.value_or(limits.all);
  options.new_connection = limits.new_connection;
  options.max_body_bytes = max_reply_bytes;
  options.not_after = not_after;
  calls_[number] =
      client_.start(to, format_request(call.method, call.target, fields, call.body),
                    {{},
                     [outcome](const http_response_head& head) {
                       outcome->status = head.status;
                       outcome->fields = head.fields;
                     },
                     [outcome](std::string_view bytes) { outcome->body.append(bytes); },
                     [this, number, outcome, notify = std::move(on_end)](http1::call_end how) {
                       outcome->end = how;
                       http1::discard(loop_, std::move(calls_[number]));
                       calls_.erase(number);
                       if (notify) {
                         notify(*outcome);
                       }
                     }},
                    options);
}

} // namespace nutmegspur::proxy
