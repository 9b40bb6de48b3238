// Checks of engines at which attempts broke.
#include "engine_crashes.h"

#include "part_text.h"

namespace nutmegspur::proxy {

namespace {

/// Longer than a connection to another region takes, shorter than an engine's restart.
constexpr milliseconds check_timeout{1'000};

} // namespace

engine_crashes::engine_crashes(proxy_state& state, http1::http_client& client)
    : state_(state), checks_(state.loop, client) {}

void
engine_crashes::record_crash(const listed_upstream& engine, const part_ids& parts) {
  if (parts.empty()) {
    return;
  }
  const moment now = http1::event_loop::now();
  log(log_event::upstream_crashed, {{"upstream", engine.id.value},
                                    {"started_ms", std::to_string(engine.started_ms)},
                                    {"parts", part_list_text(parts)}});
  const std::uint64_t process = process_key({engine.id, engine.started_ms});
  state_.quarantine.on_crash(state_.clock.agreed(now).wall, process, parts);
}

void
engine_crashes::on_attempt_broken(const listed_upstream& engine, const part_ids& parts) {
  const moment now = http1::event_loop::now();
  const listed_upstream* listed = state_.upstreams.find(engine.id);
  const bool leaving = engine.leaving || (listed != nullptr && listed->leaving);
  // A process that was about to stop anyway did not end because of a request.
  if (leaving || !state_.accepts_calls(now, engine)) {
    return;
  }
  const upstream_process process{engine.id, engine.started_ms};
  switch (watch_.on_broken(now, process, parts)) {
  case crash_watch::next_step::none:
    return;
  case crash_watch::next_step::count:
    record_crash(engine, parts);
    return;
  case crash_watch::next_step::check:
    break;
  }
  checks_.send({engine.address, engine.port}, state_.wire.running_check_call(engine.id),
               check_timeout, [this, process, engine](const call_outcome& outcome) {
                 const bool other_process =
                     outcome.complete() &&
                     state_.wire.parse_response_head({outcome.status, "", outcome.fields}).not_run;
                 if (outcome.end == http1::call_end::unreachable || other_process) {
                   record_crash(engine, watch_.on_ended(process));
                 } else if (outcome.complete()) {
                   watch_.on_running(process);
                 }
               });
}

} // namespace nutmegspur::proxy
