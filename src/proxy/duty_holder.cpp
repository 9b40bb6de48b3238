// Usage reports, upstream orders and stage orders of the instance that holds the lease.
#include "duty_holder.h"

#include <nutmegspur/json_reader.h>
#include <nutmegspur/records.h>
#include <nutmegspur/store_era.h>

#include <algorithm>

namespace nutmegspur::proxy {

namespace {

constexpr const char* sealed_key = "usage/sealed";
constexpr seconds lease_ttl{3};
/// Timeout of a call for the lease; it leaves time for another renewal before the lease expires.
constexpr milliseconds lease_call_timeout{1'500};
constexpr milliseconds tick_period{100};
/// Timeout of a duty's call. The connection is reset then, so that the call cannot arrive much
/// later.
constexpr milliseconds call_timeout{800};
/// Delay after a window's end until the counts of all instances are expected to have arrived.
constexpr milliseconds usage_settle_delay{2'500};
constexpr milliseconds report_retry_delay{700};

std::string
to_record(const usage_window& window) {
  QJsonObject counts;
  for (const auto& [team, n] : window.counts) {
    counts.insert(to_qt(team.value), static_cast<qint64>(n));
  }
  return compact_json({{"window", qint64{window.number}}, {"counts", counts}});
}

std::uint64_t
request_count(const usage_window& window) {
  std::uint64_t sum = 0;
  for (const auto& [team, n] : window.counts) {
    sum += n;
  }
  return sum;
}

result<usage_window>
parse_record(std::string_view json) {
  const auto object = parse_json_object(json, "sealed usage");
  if (!object) {
    return tl::unexpected(object.error());
  }
  usage_window window;
  window.number = object->value(QLatin1String("window")).toInteger();
  const QJsonObject counts = object->value(QLatin1String("counts")).toObject();
  for (auto it = counts.begin(); it != counts.end(); ++it) {
    window.counts.emplace(team_id{it.key().toStdString()},
                          static_cast<std::uint64_t>(it.value().toInteger()));
  }
  return window;
}

} // namespace

duty_holder::duty_holder(proxy_state& state, http1::http_client& client, store_link& store,
                         peer_group& peers)
    : state_(state), store_(store), peers_(peers),
      lease_({state.settings.instance, duties_zone, lease_ttl},
             {[this] { return peers_.rank(http1::event_loop::now()); },
              [this] { return !calls_.empty(); }}),
      sealed_record_(sealed_key), fleet_(state.options.fleet), stages_(state.options.prefill_share),
      calls_(state.loop, client, state.held) {}

duty_holder::~duty_holder() {
  state_.loop.cancel(timer_);
}

void
duty_holder::start() {
  timer_ = state_.loop.every(tick_period, [this](const moment& now) { tick(now); });
}

void
duty_holder::stop() {
  step(stop_requested{});
}

void
duty_holder::on_store_restored() {
  action_list actions;
  lease_.on_store_restored(http1::event_loop::now(), actions);
  execute(actions);
}

void
duty_holder::step(const event& ev) {
  action_list actions;
  lease_.step(http1::event_loop::now(), ev, actions);
  execute(actions);
}

void
duty_holder::execute(const action_list& actions) {
  for (const auto& it : actions) {
    if (const auto* call = std::get_if<call_platform>(&it)) {
      store_.call(call->call, call->request, lease_call_timeout,
                  [this](const platform_reply& reply) { step(reply); });
    } else if (const auto* line = std::get_if<write_log>(&it)) {
      std::vector<log_field> fields;
      for (const auto& [key, value] : line->fields) {
        fields.push_back({key, value});
      }
      log(line->number, fields);
    }
  }
}

std::optional<authority>
duty_holder::authority_for_call(const moment& now) {
  const auto granted = lease_.current(now.boot);
  if (!granted) {
    current_fence_ = fence{};
    return std::nullopt;
  }
  if (granted->number != current_fence_) {
    current_fence_ = granted->number;
    held_since_ = now.boot;
    phase_ = seal_phase::unread;
    fleet_.reset();
  }
  // Calls of the former holder have ended once the handover period has passed.
  if (now.boot - held_since_ < state_.settings.min_handover_gap ||
      granted->until - now.boot < call_timeout) {
    return std::nullopt;
  }
  return granted;
}

void
duty_holder::tick(const moment& now) {
  step(nutmegspur::tick{});
  // The process may have been paused since `now`, for example while it sent a renewal.
  const auto granted = authority_for_call(http1::event_loop::now());
  if (!granted || state_.stopping || state_.config == nullptr) {
    return;
  }
  if (state_.settings.reports_usage) {
    report_usage(now, *granted);
  }
  if (state_.settings.orders_upstreams) {
    order_fleet(now, *granted);
  }
  order_stages(now);
}

void
duty_holder::send(const endpoint& to, const wire_call& call, const authority& granted,
                  status_handler on_result) {
  calls_.send(
      to, call, {call_timeout},
      [notify = std::move(on_result)](const call_outcome& ended) {
        notify(ended.complete() ? std::optional{ended.status} : std::nullopt);
      },
      granted.until);
}

void
duty_holder::report_usage(const moment& now, const authority& granted) {
  switch (phase_) {
  case seal_phase::unread:
    read_sealed(granted);
    break;
  case seal_phase::idle:
    if (const auto number = state_.usage.next_due(state_.clock.agreed(now).wall, usage_settle_delay,
                                                  sealed_.number)) {
      seal(state_.usage.total(*number), granted);
    }
    break;
  case seal_phase::sealed:
    if (now.boot >= next_report_) {
      report(granted);
    }
    break;
  default:
    break;
  }
}

void
duty_holder::read_sealed(const authority& granted) {
  phase_ = seal_phase::sealing;
  store_.call({duty::usage, 0}, sealed_record_.read(), call_timeout,
              [this, granted](const platform_reply& reply) {
                if (!reply.answer) {
                  phase_ = seal_phase::unread;
                  return;
                }
                const auto* value = sealed_record_.on_read(std::get<kv_range_reply>(*reply.answer));
                auto window =
                    value == nullptr ? result<usage_window>{usage_window{}} : parse_record(*value);
                if (!window) {
                  log(log_event::usage_rejected, window.error());
                }
                continue_from(window.value_or(usage_window{}), granted);
              });
}

void
duty_holder::continue_from(const usage_window& stored, const authority& granted) {
  const auto position = continue_after(stored, known_counts_, peers_.sealed_window());
  log(log_event::usage_record_read,
      {{"window", std::to_string(stored.number)},
       {"requests", std::to_string(request_count(stored))},
       {"revision", std::to_string(number_of(sealed_record_.current()))},
       {"next", std::string{to_name(position.step)}}});
  switch (position.step) {
  case sealed_step::report:
    sealed_ = position.window;
    known_counts_ = known_counts(position);
    peers_.on_sealed(sealed_.number);
    phase_ = seal_phase::sealed;
    break;
  case sealed_step::seal_again:
    seal(position.window, granted);
    break;
  case sealed_step::skip:
    sealed_ = position.window;
    phase_ = seal_phase::idle;
    break;
  }
}

void
duty_holder::seal(const usage_window& window, const authority& granted) {
  phase_ = seal_phase::sealing;
  kv_txn txn = sealed_record_.write(to_record(window), lease_id{});
  txn.conditions.push_back({zone_lease_key(duties_zone), revision{granted.number.value}});
  store_.call({duty::usage, 0}, txn, call_timeout, [this, window](const platform_reply& reply) {
    const cas_result written = sealed_record_.on_written(reply);
    if (written != cas_result::applied) {
      // Another write may have sealed the window, with other counts, or may do so until the next.
      phase_ = seal_phase::unread;
      log(log_event::usage_seal_unconfirmed, {{"window", std::to_string(window.number)},
                                              {"requests", std::to_string(request_count(window))},
                                              {"how", std::string{to_name(written)}}});
      return;
    }
    sealed_ = window;
    known_counts_ = window;
    peers_.on_sealed(window.number);
    phase_ = seal_phase::sealed;
    log(log_event::usage_sealed,
        {{"window", std::to_string(window.number)},
         {"teams", std::to_string(window.counts.size())},
         {"requests", std::to_string(request_count(window))},
         {"revision", std::to_string(number_of(sealed_record_.current()))}});
  });
}

void
duty_holder::report(const authority& granted) {
  phase_ = seal_phase::reporting;
  next_report_ = http1::event_loop::now().boot + report_retry_delay;
  const wire_call call = state_.wire.usage_call(sealed_, state_.settings.instance, granted.number);
  send(state_.settings.platform_interface, call, granted, [this](std::optional<int> status) {
    constexpr int ok = 200;
    if (status == ok) {
      log(log_event::usage_reported, {{"window", std::to_string(sealed_.number)}});
      phase_ = seal_phase::idle;
      return;
    }
    log(log_event::usage_rejected, {{"window", std::to_string(sealed_.number)},
                                    {"status", status ? std::to_string(*status) : "no answer"}});
    const bool too_old =
        state_.usage.number_at(state_.clock.agreed(http1::event_loop::now()).wall) -
            sealed_.number >
        usage_windows::retained_windows;
    phase_ = too_old ? seal_phase::idle : seal_phase::sealed;
  });
}

void
duty_holder::order_fleet(const moment& now, const authority& granted) {
  for (const auto& service : state_.config->config().services) {
    if (!service.scaling) {
      continue;
    }
    std::map<zone_id, zone_fleet> fleets;
    for (const auto& [zone, price] : service.scaling->zone_prices) {
      fleets[zone];
    }
    for (const auto* it : state_.upstreams.usable_of(service.name)) {
      auto& zone = fleets[it->zone];
      (it->reclaimable ? zone.reclaimable : zone.on_demand)++;
    }
    for (const auto& order : fleet_.step(now, service.name, *service.scaling, fleets)) {
      const zone_fleet& current = fleets[order.zone];
      log(log_event::fleet_ordered,
          {{"service", order.service.value},
           {"zone", order.zone.value},
           {"reclaimable", order.reclaimable ? "yes" : "no"},
           {"wanted", std::to_string(order.wanted)},
           {"has", std::to_string(order.reclaimable ? current.reclaimable : current.on_demand)},
           {"fence", std::to_string(granted.number.value)}});
      const wire_call call =
          state_.wire.fleet_call(order, state_.settings.instance, granted.number);
      send(state_.settings.platform_interface, call, granted,
           [this, order](std::optional<int> status) {
             const order_result answer =
                 status ? state_.wire.parse_fleet_reply(*status) : order_result::unknown;
             log(log_event::fleet_answered, {{"zone", order.zone.value},
                                             {"reclaimable", order.reclaimable ? "yes" : "no"},
                                             {"wanted", std::to_string(order.wanted)},
                                             {"how", std::string{to_name(answer)}}});
             fleet_.on_result(http1::event_loop::now(), order, answer);
           });
    }
  }
}

void
duty_holder::order_stages(const moment& now) {
  for (const auto& service : state_.config->config().services) {
    if (!service.engine) {
      continue;
    }
    for (const auto& change : stages_.step(now, state_.upstreams.usable_of(service.name))) {
      prepare_stage_order(now, service.engine->role_change_time, change);
    }
  }
}

void
duty_holder::prepare_stage_order(const moment& now, milliseconds role_change_time,
                                 const stage_change& change) {
  // The engine rejects its queued requests and all that arrive before the list shows the change, so
  // the order is sent once all instances have stopped sending requests there.
  const milliseconds lead_time = peers_.spread_time(now);
  state_.withhold(now, change.upstream, change.target,
                  lead_time + role_change_time + withheld_upstreams::listing_lag, "order");
  state_.loop.once(lead_time, [this, change](const moment& later) {
    if (const auto granted = authority_for_call(later); granted && !state_.stopping) {
      order_stage(change, *granted);
    }
  });
}

void
duty_holder::order_stage(const stage_change& change, const authority& granted) {
  const auto* upstream = state_.upstreams.usable(change.upstream);
  if (upstream == nullptr || state_.config == nullptr ||
      !state_.accepts_calls(http1::event_loop::now(), *upstream)) {
    return;
  }
  calls_.send(
      {upstream->address, upstream->port},
      state_.wire.running_check_call(upstream->id, state_.config->find_service(upstream->service)),
      {.all = call_timeout, .new_connection = true},
      [this, change, it = *upstream](const call_outcome& ended) {
        constexpr int ok = 200;
        const bool reported = ended.complete() && ended.status == ok;
        const auto accepted = state_.wire.parse_order_count(reported ? ended.body : "");
        const auto granted_now = authority_for_call(http1::event_loop::now());
        if (!accepted || !granted_now || state_.stopping) {
          log(log_event::order_resolved,
              {{"upstream", it.id.value}, {"status", accepted ? "not sent" : "no report"}});
          return;
        }
        send_stage_order(it,
                         {change.upstream, change.target, state_.settings.instance,
                          granted_now->number, *accepted},
                         *granted_now);
      },
      granted.until);
}

void
duty_holder::send_stage_order(const listed_upstream& to, const stage_order& order,
                              const authority& granted) {
  log(log_event::order_sent, {{"upstream", to.id.value},
                              {"zone", to.zone.value},
                              {"stage", std::string{to_name(order.stage)}},
                              {"accepted_before", std::to_string(order.accepted_before)},
                              {"fence", std::to_string(granted.number.value)}});
  calls_.send(
      {to.address, to.port}, state_.wire.stage_call(order),
      {.all = call_timeout, .new_connection = true},
      [this, it = to](const call_outcome& ended) {
        log(log_event::order_resolved,
            {{"upstream", it.id.value},
             {"status", ended.complete() ? std::to_string(ended.status) : "no answer"}});
        if (ended.complete()) {
          state_.on_response_head(http1::event_loop::now(), it,
                                  state_.wire.parse_response_head({ended.status, "", ended.fields}),
                                  false);
        }
      },
      granted.until);
}

} // namespace nutmegspur::proxy
