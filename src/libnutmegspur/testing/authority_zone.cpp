// A zone of instances on a fake store and fake engines, with faults.
#include "testing/authority_zone.h"

#include <nutmegspur/mechanisms.h>

#include <algorithm>

namespace nutmegspur::testing {

namespace {

constexpr milliseconds network_delay{20};
constexpr milliseconds report_lag{300};
constexpr seconds stream_length{2};
constexpr seconds delivery_bound{5};
// In ticks of 100 ms.
constexpr std::uint64_t ticks_per_stream = 5;
constexpr std::uint64_t ticks_per_report = 5;
constexpr std::uint64_t ticks_per_second = 10;

/// A killed process loses usage that it has not closed into a part and sent: at most what it
/// counted within this time.
constexpr seconds max_unsent_age{3};

} // namespace

authority_zone::authority_zone() {
  engines.emplace_back(upstream_id{"checks"}, true);
  engines.emplace_back(upstream_id{"ignores"}, false);
  for (unsigned rank = 0; rank < 3; ++rank) {
    add_member(rank);
  }
}

zone_member&
authority_zone::add_member(unsigned rank) {
  auto it = std::make_unique<zone_member>();
  it->name = "i" + std::to_string(++last_name_);
  it->rank = rank;
  build(*it);
  members.push_back(std::move(it));
  return *members.back();
}

void
authority_zone::build(zone_member& it) {
  zone_member* self = &it;
  const instance_id id{it.name};
  const zone_id zone{"z"};
  it.lease = std::make_unique<zone_lease>(
      zone_lease_settings{id, zone, lease_ttl},
      zone_lease_hooks{[self] { return self->rank; },
                       [self] { return self->orders->busy() || self->usage->busy(); }});
  usage_settings usage{id, zone};
  usage.part_period = seconds{2};
  usage.window = seconds{10};
  usage.grace = seconds{4};
  usage.resend_delay = seconds{3};
  usage.copy_forward_delay = seconds{15};
  usage.delivery_bound = delivery_bound;
  usage_hooks usage_peers;
  usage_peers.holder = [self] { return self->lease->last_seen_holder(); };
  usage_peers.copy_peer = [this, self] {
    return other_member(*self, self->lease->last_seen_holder());
  };
  it.usage = std::make_unique<usage_ledger>(usage, usage_peers, *it.lease);
  order_hooks hooks;
  hooks.address = [](const upstream_id&) { return engine_address{"127.0.0.1", 1}; };
  hooks.drain.peers = [this, self] {
    std::vector<instance_id> peers;
    for (const auto& other : members) {
      if (other.get() != self) {
        peers.emplace_back(other->name);
      }
    }
    return peers;
  };
  hooks.drain.mark_changing = [self](const upstream_id& upstream, bool changing) {
    if (changing) {
      self->marked.insert(upstream);
    } else {
      self->marked.erase(upstream);
    }
  };
  order_settings orders{id, zone};
  orders.delivery_bound = delivery_bound;
  it.orders = std::make_unique<order_manager>(orders, hooks, *it.lease);
}

std::optional<instance_id>
authority_zone::other_member(const zone_member& it, const std::optional<instance_id>& avoided) {
  std::optional<instance_id> other;
  for (const auto& each : members) {
    if (each.get() == &it) {
      continue;
    }
    const instance_id id{each->name};
    if (!other || id != avoided) {
      other = id;
    }
  }
  return other;
}

zone_member*
authority_zone::find(const std::string& name) {
  for (const auto& it : members) {
    if (it->name == name) {
      return it.get();
    }
  }
  return nullptr;
}

zone_member*
authority_zone::holder() {
  for (const auto& it : members) {
    if (it->lease->current(clock.now().boot)) {
      return it.get();
    }
  }
  return nullptr;
}

void
authority_zone::kill(const std::string& name) {
  note(name, "killed");
  store.forget(name);
  for (const auto& at : recent_counts_[name]) {
    max_lost += at + max_unsent_age >= clock.now().boot ? 1 : 0;
  }
  const auto it = std::find_if(members.begin(), members.end(),
                               [&](const auto& each) { return each->name == name; });
  const unsigned rank = (*it)->rank;
  members.erase(it);
  replace_member(name, rank);
}

void
authority_zone::replace_member(const std::string& name, unsigned rank) {
  for (const auto& it : members) {
    network_.emplace(clock.now().boot + network_delay,
                     in_flight{it->name, peer_disconnected{instance_id{name}}});
  }
  add_member(rank);
}

void
authority_zone::stop_gracefully(zone_member& it) {
  note(it.name, "asked to stop");
  it.stopping = true;
  receive(it, stop_requested{});
}

void
authority_zone::resume(zone_member& it) {
  if (!it.paused) {
    return;
  }
  note(it.name, "resumed");
  it.paused = false;
  // Actions from before the pause are carried out first, then events that arrived during it are
  // processed.
  for (const auto& what : std::exchange(it.held_actions, {})) {
    carry_out(it, what, delivery_mode::normal);
  }
  for (const auto& ev : std::exchange(it.held_events, {})) {
    feed(it, ev);
  }
}

void
authority_zone::run_for(duration span) {
  for (duration at{0}; at < span; at += tick_period) {
    clock.advance(tick_period);
    ++ticks_;
    deliver_due();
    tick_all();
    drive_streams();
    drive_reports();
    count_usage_and_plan();
    deliver_due();
    replace_stopped();
  }
}

void
authority_zone::feed(zone_member& to, const event& ev) {
  action_list out;
  const std::string name = to.name;
  to.lease->step(clock.now(), ev, out);
  to.orders->step(clock.now(), ev, out);
  to.usage->step(clock.now(), ev, out);
  for (const auto& what : out) {
    zone_member* from = find(name);
    if (from == nullptr) {
      return; // Killed by a fault during one of its actions.
    }
    dispatch(*from, what);
  }
}

void
authority_zone::dispatch(zone_member& from, const action& what) {
  if (from.paused) {
    from.held_actions.push_back(what);
    return;
  }
  const std::string name = from.name;
  const delivery_mode how = before_action ? before_action(from, what) : delivery_mode::normal;
  zone_member* it = find(name);
  if (it == nullptr) {
    return;
  }
  if (it->paused) {
    it->held_actions.push_back(what);
    return;
  }
  carry_out(*it, what, how);
}

void
authority_zone::carry_out(zone_member& from, const action& what, delivery_mode how) {
  if (const auto* call = std::get_if<call_platform>(&what)) {
    submit_call(from, *call, how);
  } else if (const auto* order = std::get_if<send_order>(&what)) {
    deliver_order(from, *order, how);
  } else if (const auto* message = std::get_if<send_to_peer>(&what)) {
    deliver_message(from, *message, how);
  } else if (const auto* line = std::get_if<write_log>(&what)) {
    std::string text = std::to_string(static_cast<int>(line->number));
    for (const auto& [key, value] : line->fields) {
      text += ' ';
      text += key;
      text += '=';
      text += value;
    }
    note(from.name, text);
  }
}

void
authority_zone::submit_call(zone_member& from, const call_platform& call, delivery_mode how) {
  note(from.name, "platform call " + std::string{to_name(call.call.owner)} + " kind " +
                      std::to_string(call.request.index()) +
                      (how == delivery_mode::normal ? "" : " disturbed"));
  switch (how) {
  case delivery_mode::normal:
    break;
  case delivery_mode::drop:
    store.fault_next(store_fault::lost_after_effect);
    break;
  case delivery_mode::twice:
    store.fault_next(store_fault::executed_twice);
    break;
  case delivery_mode::late:
    store.slow_delay = std::chrono::ceil<seconds>(short_delay);
    store.fault_next(store_fault::slow);
    break;
  case delivery_mode::very_late:
    store.slow_delay = long_delay;
    store.fault_next(store_fault::slow);
    break;
  }
  store.submit(clock.now(), from.name, call);
}

void
authority_zone::deliver_order(zone_member& from, const send_order& what, delivery_mode how) {
  const moment now = clock.now();
  order_reply answered{what.order.upstream, what.order.sequence, {}};
  const auto answer_at = [&](duration delay) {
    network_.emplace(now.boot + delay, in_flight{from.name, answered});
  };
  if (enabled(mechanism::lease_deadline_check) && now.boot > what.order.not_after) {
    note(from.name, "order held back");
    answered.answer = fail({error_code::lease_lost, step::intent_send, "engine", "too late"});
    answer_at(network_delay);
    return;
  }
  const auto engine = std::find_if(engines.begin(), engines.end(), [&](const fake_engine& it) {
    return it.id() == what.order.upstream;
  });
  // The connection of a send that cannot arrive in time is reset.
  const bool arrives = !from.cut_from_engines && how != delivery_mode::very_late;
  std::optional<result<void>> answer;
  if (arrives) {
    note(from.name, "order " + std::to_string(what.order.sequence) + " fence " +
                        std::to_string(what.order.authority.value) + " reaches " +
                        what.order.upstream.value);
    answer = engine->receive(now, what.order);
  }
  if (!answer || from.engine_answers_lost || how == delivery_mode::drop) {
    const error lost{error_code::unavailable, step::intent_send, "engine", "no answer",
                     outcome::unknown};
    answered.answer = fail(lost);
    answer_at(delivery_bound);
    return;
  }
  answered.answer = *answer;
  answer_at(how == delivery_mode::late ? short_delay : network_delay);
}

void
authority_zone::deliver_message(zone_member& from, const send_to_peer& what, delivery_mode how) {
  const zone_member* to = find(what.peer.value);
  if (to == nullptr || from.cut_from_peers || to->cut_from_peers || how == delivery_mode::drop) {
    return;
  }
  const in_flight message{to->name, peer_received{instance_id{from.name}, what.message}};
  duration delay = network_delay;
  if (how == delivery_mode::late) {
    delay = short_delay;
  } else if (how == delivery_mode::very_late) {
    delay = long_delay;
  }
  network_.emplace(clock.now().boot + delay, message);
  if (how == delivery_mode::twice) {
    network_.emplace(clock.now().boot + delay, message);
  }
}

void
authority_zone::receive(zone_member& to, const event& ev) {
  if (to.paused) {
    to.held_events.push_back(ev);
    return;
  }
  const std::string name = to.name;
  const delivery_mode how = before_event ? before_event(to, ev) : delivery_mode::normal;
  zone_member* it = find(name);
  if (it == nullptr || how == delivery_mode::drop) {
    return;
  }
  if (it->paused) {
    it->held_events.push_back(ev);
    return;
  }
  if (how == delivery_mode::late || how == delivery_mode::very_late) {
    const duration delay =
        how == delivery_mode::late ? duration{short_delay} : duration{long_delay};
    network_.emplace(clock.now().boot + delay, in_flight{name, ev});
    return;
  }
  feed(*it, ev);
  it = find(name);
  if (how == delivery_mode::twice && it != nullptr) {
    feed(*it, ev);
  }
}

void
authority_zone::deliver_due() {
  for (bool more = true; more;) {
    more = false;
    for (const auto& it : store.take_due(clock.now())) {
      if (zone_member* to = find(it.client)) {
        receive(*to, it.what);
      }
      more = true;
    }
    while (!network_.empty() && network_.begin()->first <= clock.now().boot) {
      const in_flight it = std::move(network_.begin()->second);
      network_.erase(network_.begin());
      if (zone_member* to = find(it.to)) {
        receive(*to, it.what);
      }
      more = true;
    }
  }
}

void
authority_zone::tick_all() {
  std::vector<std::string> names;
  for (const auto& it : members) {
    names.push_back(it->name);
  }
  for (const auto& name : names) {
    zone_member* it = find(name);
    if (it != nullptr && !it->paused) {
      feed(*it, tick{});
    }
  }
}

void
authority_zone::drive_streams() {
  const time_point now = clock.now().boot;
  std::erase_if(streams_, [&](const stream& it) { return it.ends <= now; });
  if (ticks_ % ticks_per_stream == 0) {
    for (const auto& it : members) {
      for (std::size_t i = 0; i < engines.size(); ++i) {
        const auto report = engines.at(i).report(clock.now());
        const bool open = report && !report->changing && !it->marked.contains(engines.at(i).id());
        if (open && !it->paused && !it->cut_from_engines) {
          streams_.push_back({i, now + stream_length});
        }
      }
    }
  }
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines.at(i).streams = static_cast<std::uint32_t>(std::count_if(
        streams_.begin(), streams_.end(), [&](const stream& it) { return it.engine == i; }));
  }
}

void
authority_zone::drive_reports() {
  if (ticks_ % ticks_per_report != 0) {
    return;
  }
  for (const auto& it : members) {
    if (it->cut_from_engines || it->engine_answers_lost) {
      continue;
    }
    for (const auto& id : it->orders->changing_upstreams()) {
      for (const auto& engine : engines) {
        const auto report = engine.report(clock.now());
        if (engine.id() == id && report) {
          network_.emplace(clock.now().boot + report_lag, in_flight{it->name, *report});
        }
      }
    }
  }
}

void
authority_zone::count_usage_and_plan() {
  if (ticks_ % ticks_per_second != 0) {
    return;
  }
  std::vector<std::string> names;
  for (const auto& it : members) {
    names.push_back(it->name);
  }
  for (const auto& name : names) {
    zone_member* it = find(name);
    if (it == nullptr || it->paused) {
      continue;
    }
    action_list out;
    if (counting && !it->stopping) {
      it->usage->count(clock.now(), {team_id{"t"}, "m", 1, 10, 20}, out);
      ++counted;
      recent_counts_[name].push_back(clock.now().boot);
    }
    if (wanted_state) {
      for (const auto& engine : engines) {
        it->orders->set_wanted_state(clock.now(), engine.id(), wanted_state(engine.id()), out);
      }
      it->orders->set_wanted_upstreams(clock.now(), "on_demand", wanted_upstreams, out);
    }
    for (const auto& what : out) {
      it = find(name);
      if (it == nullptr) {
        break;
      }
      dispatch(*it, what);
    }
  }
}

void
authority_zone::replace_stopped() {
  for (std::size_t i = 0; i < members.size(); ++i) {
    const zone_member& it = *members.at(i);
    if (it.stopping && !it.paused && it.lease->released() && it.usage->handed_over()) {
      note(it.name, "stopped");
      const unsigned rank = it.rank;
      const std::string name = it.name;
      store.forget(name);
      members.erase(members.begin() + static_cast<std::ptrdiff_t>(i));
      replace_member(name, rank);
      return;
    }
  }
}

void
authority_zone::note(const std::string& who, const std::string& what) {
  if (tracing) {
    const auto since = std::chrono::duration_cast<milliseconds>(clock.now().boot - time_point{});
    trace.push_back(std::to_string(since.count()) + " ms " + who + " " + what);
  }
}

} // namespace nutmegspur::testing
