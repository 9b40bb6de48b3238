// The duties of the lease's holder.
#include "duty_holder.h"

#include <nutmegspur/json_reader.h>
#include <nutmegspur/records.h>

#include <algorithm>

namespace nutmegspur::proxy {

namespace {

constexpr const char* sealed_key = "usage/sealed";
constexpr seconds lease_ttl{3};
/// A call for the lease is given up after this; the next renewal is then still in time.
constexpr milliseconds lease_call_limit{1'500};
constexpr milliseconds tick_time{100};
/// A call is given up after this, and its connection reset, so that it cannot arrive much later.
constexpr milliseconds call_limit{800};
/// Instances have told their counts of a window by this time after its end.
constexpr milliseconds usage_settle{2'500};
constexpr milliseconds report_retry{700};
/// From an engine's change until all instances see it listed: a heartbeat of about a second, and
/// the pause of a watch.
constexpr milliseconds listing_lag{3'000};

std::string
to_record(const usage_window& window) {
  QJsonObject counts;
  for (const auto& [team, n] : window.counts) {
    counts.insert(to_qt(team.value), static_cast<qint64>(n));
  }
  return compact_json({{"window", qint64{window.number}}, {"counts", counts}});
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
      fleet_(state.options.fleet), stages_(state.options.reader_share), calls_(state.loop, client) {
}

duty_holder::~duty_holder() {
  state_.loop.cancel(timer_);
}

void
duty_holder::start() {
  timer_ = state_.loop.every(tick_time, [this](const moment& now) { tick(now); });
}

void
duty_holder::stop() {
  step(stop_requested{});
}

void
duty_holder::step(const event& ev) {
  action_list actions;
  lease_.step(http1::event_loop::now(), ev, actions);
  carry_out(actions);
}

void
duty_holder::carry_out(const action_list& actions) {
  for (const auto& it : actions) {
    if (const auto* call = std::get_if<call_platform>(&it)) {
      store_.call(call->call, call->request, lease_call_limit,
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
  const auto by = lease_.current(now.boot);
  if (!by) {
    held_ = fence{};
    return std::nullopt;
  }
  if (by->number != held_) {
    held_ = by->number;
    held_since_ = now.boot;
    phase_ = seal_phase::unread;
    fleet_.reset();
  }
  // The former holder's last call has ended, and its turn is over, once the handover has passed.
  if (now.boot - held_since_ < state_.settings.min_handover_gap ||
      by->until - now.boot < call_limit) {
    return std::nullopt;
  }
  return by;
}

void
duty_holder::tick(const moment& now) {
  step(nutmegspur::tick{});
  const auto by = authority_for_call(now);
  if (!by || state_.stopping || state_.config == nullptr) {
    return;
  }
  if (state_.settings.reports_usage) {
    report_usage(now, *by);
  }
  if (state_.settings.orders_upstreams) {
    order_fleet(now, *by);
  }
  order_stages(now);
}

void
duty_holder::send(const endpoint& to, const wire_call& call, call_result on_result) {
  calls_.send(to, call, call_limit, [tell = std::move(on_result)](const call_outcome& ended) {
    tell(ended.whole() ? std::optional{ended.status} : std::nullopt);
  });
}

void
duty_holder::report_usage(const moment& now, const authority& by) {
  switch (phase_) {
  case seal_phase::unread:
    read_sealed();
    break;
  case seal_phase::idle:
    if (const auto number =
            state_.usage.next_due(state_.clock.agreed(now).wall, usage_settle, sealed_.number)) {
      seal(state_.usage.total(*number), by);
    }
    break;
  case seal_phase::sealed:
    if (now.boot >= next_report_) {
      report(by);
    }
    break;
  default:
    break;
  }
}

void
duty_holder::read_sealed() {
  phase_ = seal_phase::sealing;
  store_.call({duty::usage, 0}, kv_range{sealed_key, ""}, call_limit,
              [this](const platform_reply& reply) {
                if (!reply.answer) {
                  phase_ = seal_phase::unread;
                  return;
                }
                const auto& range = std::get<kv_range_reply>(*reply.answer);
                if (range.pairs.empty()) {
                  phase_ = seal_phase::idle;
                  return;
                }
                const auto window = parse_record(range.pairs.front().value);
                if (!window) {
                  log(log_event::usage_rejected, window.error());
                  phase_ = seal_phase::idle;
                  return;
                }
                // It may or may not have been reported; an exact repeat changes nothing.
                sealed_ = *window;
                peers_.on_sealed(window->number);
                phase_ = seal_phase::sealed;
              });
}

void
duty_holder::seal(const usage_window& window, const authority& by) {
  phase_ = seal_phase::sealing;
  kv_txn txn;
  txn.conditions.push_back({zone_lease_key(duties_zone), revision{by.number.value}});
  txn.writes.push_back({sealed_key, to_record(window), lease_id{}});
  store_.call({duty::usage, 0}, txn, call_limit, [this, window](const platform_reply& reply) {
    const bool sealed = reply.answer && std::get<kv_txn_reply>(*reply.answer).applied;
    if (!sealed) {
      // Lost, or written by a later holder: what the store holds decides.
      phase_ = seal_phase::unread;
      return;
    }
    sealed_ = window;
    peers_.on_sealed(window.number);
    phase_ = seal_phase::sealed;
    std::uint64_t requests = 0;
    for (const auto& [team, n] : window.counts) {
      requests += n;
    }
    log(log_event::usage_sealed, {{"window", std::to_string(window.number)},
                                  {"teams", std::to_string(window.counts.size())},
                                  {"requests", std::to_string(requests)}});
  });
}

void
duty_holder::report(const authority& by) {
  phase_ = seal_phase::reporting;
  next_report_ = http1::event_loop::now().boot + report_retry;
  const wire_call call = state_.wire.usage_call(sealed_, state_.settings.instance, by.number);
  send(state_.settings.platform_interface, call, [this](std::optional<int> status) {
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
duty_holder::order_fleet(const moment& now, const authority& by) {
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
      const zone_fleet& has = fleets[order.zone];
      log(log_event::fleet_ordered,
          {{"service", order.service.value},
           {"zone", order.zone.value},
           {"reclaimable", order.reclaimable ? "yes" : "no"},
           {"wanted", std::to_string(order.wanted)},
           {"has", std::to_string(order.reclaimable ? has.reclaimable : has.on_demand)},
           {"fence", std::to_string(by.number.value)}});
      const wire_call call = state_.wire.fleet_call(order, state_.settings.instance, by.number);
      send(state_.settings.platform_interface, call, [this, order](std::optional<int> status) {
        const order_result how =
            status ? state_.wire.parse_fleet_reply(*status) : order_result::unknown;
        log(log_event::fleet_answered, {{"zone", order.zone.value},
                                        {"reclaimable", order.reclaimable ? "yes" : "no"},
                                        {"wanted", std::to_string(order.wanted)},
                                        {"how", std::string{to_name(how)}}});
        fleet_.on_result(http1::event_loop::now(), order, how);
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
    std::map<zone_id, std::vector<const listed_upstream*>> zones;
    for (const auto* it : state_.upstreams.usable_of(service.name)) {
      zones[it->zone].push_back(it);
    }
    for (const auto& [zone, engines] : zones) {
      for (const auto& change : stages_.step(now, engines)) {
        announce_stage(now, service.engine->role_change_time, change);
      }
    }
  }
}

void
duty_holder::announce_stage(const moment& now, milliseconds role_change,
                            const stage_change& change) {
  // What waits at the engine is rejected, and so is all that comes until the list shows the change:
  // the order goes out when all instances have stopped sending there.
  const milliseconds lead = peers_.spread_time(now);
  state_.withhold(now, change.upstream, change.target, lead + role_change + listing_lag, "order");
  state_.loop.once(lead, [this, change](const moment& later) {
    if (const auto by = authority_for_call(later); by && !state_.stopping) {
      order_stage(change, *by);
    }
  });
}

void
duty_holder::order_stage(const stage_change& change, const authority& by) {
  const auto* upstream = state_.upstreams.usable(change.upstream);
  if (upstream == nullptr) {
    return;
  }
  const stage_order order{change.upstream, change.target, state_.settings.instance, by.number};
  log(log_event::order_sent, {{"upstream", change.upstream.value},
                              {"zone", upstream->zone.value},
                              {"stage", std::string{to_name(change.target)}},
                              {"fence", std::to_string(by.number.value)}});
  send({upstream->address, upstream->port}, state_.wire.stage_call(order),
       [id = change.upstream](std::optional<int> status) {
         log(log_event::order_resolved,
             {{"upstream", id.value}, {"status", status ? std::to_string(*status) : "no answer"}});
       });
}

} // namespace nutmegspur::proxy
