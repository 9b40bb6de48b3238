// Checks of upstreams at which attempts broke.
#include "upstream_crashes.h"

#include "part_text.h"

namespace nutmegspur::proxy {

namespace {

/// Longer than a connection to another region takes, shorter than an upstream's restart.
constexpr milliseconds check_timeout{1'000};
/// The status with which another process at the upstream's address responds.
constexpr int misdirected_request = 421;
/// Checks until one neither breaks nor times out.
constexpr int max_checks = 2;

} // namespace

upstream_crashes::upstream_crashes(proxy_state& state, http1::http_client& client,
                                   upstream_paths& paths)
    : state_(state), paths_(paths), checks_(state.loop, client, state.held) {}

void
upstream_crashes::record_crash(const listed_upstream& upstream, const crash_suspects& suspects) {
  if (suspects.empty()) {
    return;
  }
  const moment now = http1::event_loop::now();
  log(log_event::upstream_crashed,
      {{"upstream", upstream.id.value},
       {"started_ms", std::to_string(upstream.started_ms)},
       {"parts", part_list_text(suspects.of(blame_kind::part))},
       {"sessions", part_list_text(suspects.of(blame_kind::session))},
       {"requests", part_list_text(suspects.of(blame_kind::request))}});
  const std::uint64_t process = process_key({upstream.id, upstream.started_ms});
  state_.blame.on_crash(state_.clock.agreed(now).wall, process, suspects);
}

void
upstream_crashes::on_attempt_broken(const listed_upstream& upstream,
                                    const crash_suspects& suspects) {
  const moment now = http1::event_loop::now();
  const listed_upstream* listed = state_.upstreams.find(upstream.id);
  const bool leaving = upstream.leaving || (listed != nullptr && listed->leaving);
  // A process that was about to stop anyway did not end because of a request.
  if (leaving || !state_.accepts_calls(now, upstream)) {
    return;
  }
  switch (watch_.on_broken(now, {upstream.id, upstream.started_ms}, suspects)) {
  case crash_watch::next_step::none:
    return;
  case crash_watch::next_step::count:
    record_crash(upstream, suspects);
    return;
  case crash_watch::next_step::check:
    break;
  }
  check(upstream, max_checks);
}

void
upstream_crashes::check(const listed_upstream& upstream, int checks_left) {
  const auto* service =
      state_.config == nullptr ? nullptr : state_.config->find_service(upstream.service);
  checks_.send({upstream.address, upstream.port},
               state_.wire.running_check_call(upstream.id, service),
               {.all = check_timeout, .new_connection = true},
               [this, upstream, checks_left](const call_outcome& outcome) {
                 on_check_end(upstream, outcome, checks_left - 1);
               });
}

void
upstream_crashes::on_check_end(const listed_upstream& upstream, const call_outcome& outcome,
                               int checks_left) {
  const upstream_process process{upstream.id, upstream.started_ms};
  const bool other_process = outcome.complete() && outcome.status == misdirected_request;
  if (other_process) {
    record_crash(upstream, watch_.on_ended(process));
  } else if (outcome.end == http1::call_end::unreachable) {
    paths_.hold(upstream.id,
                [this, upstream, process] { record_crash(upstream, watch_.on_ended(process)); });
  } else if (outcome.complete()) {
    watch_.on_running(process);
  } else if (outcome.end == http1::call_end::broken && checks_left > 0) {
    // It went over a connection of before, which broke with the others.
    check(upstream, checks_left);
  }
}

} // namespace nutmegspur::proxy
