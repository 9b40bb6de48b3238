// Orders to a zone's engines: intent, drain, send and resolution.
#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/order_manager.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// Delays after a failed store call, and after an order that the engine did not accept.
constexpr seconds retry_delay{1};
constexpr seconds refused_order_delay{5};
/// A store call without a reply is abandoned after this time.
constexpr seconds call_timeout{30};
/// Number of orders that the engine may fail to accept before the change is abandoned.
constexpr unsigned max_failures = 3;

template <class A>
const A*
answer_as(const platform_reply& reply) {
  return reply.answer ? std::get_if<A>(&*reply.answer) : nullptr;
}

bool
is_open(const std::optional<intent_record>& intent) {
  return intent && (intent->phase == intent_phase::written || intent->phase == intent_phase::sent);
}

write_log
log_line(log_event number, const upstream_id& id, const intent_record& intent, std::string why) {
  return {number,
          {{"upstream", id.value},
           {"sequence", std::to_string(intent.sequence)},
           {"fence", std::to_string(intent.authority.value)},
           {"why", std::move(why)}}};
}

} // namespace

order_manager::order_manager(order_settings config, order_hooks hooks,
                             const authority_source& source)
    : config_(std::move(config)), hooks_(std::move(hooks)), source_(source), notices_(hooks_.drain),
      upstream_orders_({config_.self, config_.zone, config_.send_window, config_.delivery_bound},
                       last_call_) {}

void
order_manager::set_wanted_state(const moment& now, const upstream_id& upstream,
                                const engine_state& wanted, action_list& out) {
  const auto held = source_.current(now.boot);
  if (!held || stopping_) {
    return;
  }
  if (held->number != fence_) {
    begin(now, held->number, out);
  }
  auto [it, is_new] = changes_.try_emplace(upstream);
  it->second.wanted = wanted;
  if (is_new) {
    it->second.latest_arrival = std::max(earliest_send_, now.boot);
  }
}

void
order_manager::set_wanted_upstreams(const moment& now, const std::string& kind,
                                    std::uint32_t wanted, action_list& out) {
  const auto held = source_.current(now.boot);
  if (!held || stopping_) {
    return;
  }
  if (held->number != fence_) {
    begin(now, held->number, out);
  }
  upstream_orders_.set_wanted(kind, wanted);
}

bool
order_manager::changing(const upstream_id& upstream) const {
  return changes_.count(upstream) != 0;
}

std::vector<upstream_id>
order_manager::changing_upstreams() const {
  std::vector<upstream_id> ids;
  for (const auto& [id, it] : changes_) {
    ids.push_back(id);
  }
  return ids;
}

bool
order_manager::busy() const {
  return upstream_orders_.busy() ||
         std::any_of(changes_.begin(), changes_.end(),
                     [](const auto& it) { return it.second.at >= stage::writing; });
}

void
order_manager::step(const moment& now, const event& ev, action_list& out) {
  notices_.step(now, ev, out);
  if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
  } else if (const auto* reply = std::get_if<platform_reply>(&ev)) {
    if (reply->call.owner == duty::orders) {
      on_reply(now, *reply, out);
    }
  } else if (const auto* answered = std::get_if<order_reply>(&ev)) {
    on_answered(now, *answered, out);
  } else if (const auto* report = std::get_if<engine_report>(&ev)) {
    on_report(*report);
  } else if (const auto* closing = std::get_if<upstream_closing>(&ev)) {
    const auto it = changes_.find(closing->upstream);
    if (closing->gone && it != changes_.end()) {
      abandon_change(it->first, it->second, "upstream gone", out);
      erase_finished();
    }
  } else if (std::holds_alternative<stop_requested>(ev)) {
    on_stop(out);
  }
}

void
order_manager::on_stop(action_list& out) {
  stopping_ = true;
  for (auto& [id, it] : changes_) {
    if (it.at < stage::writing) {
      abandon_change(id, it, "instance is stopping", out);
    }
  }
  erase_finished();
}

void
order_manager::begin(const moment& now, fence number, action_list& out) {
  abandon_changes(out);
  fence_ = number;
  earliest_send_ = now.boot + config_.delivery_bound;
  upstream_orders_.begin(number, earliest_send_);
}

void
order_manager::abandon_changes(action_list& out) {
  for (auto& [id, it] : changes_) {
    end_drain(id, it, out);
  }
  changes_.clear();
}

void
order_manager::erase_finished() {
  for (const auto& id : std::exchange(finished_, {})) {
    changes_.erase(id);
  }
}

void
order_manager::on_tick(const moment& now, action_list& out) {
  const auto held = source_.current(now.boot);
  if (!held) {
    abandon_changes(out);
    upstream_orders_.clear();
    fence_ = fence{};
    return;
  }
  if (held->number != fence_) {
    begin(now, held->number, out);
  }
  for (auto& [id, it] : changes_) {
    advance(now, *held, id, it, out);
  }
  erase_finished();
  upstream_orders_.on_tick(now, *held, out);
}

void
order_manager::advance(const moment& now, const authority& held, const upstream_id& id, change& it,
                       action_list& out) {
  if (it.call != 0) {
    if (now.boot >= it.call_deadline) {
      it.call = 0;
      it.at = stage::load;
    }
    return;
  }
  if (now.boot < it.next_try || now.boot < earliest_send_) {
    return;
  }
  switch (it.at) {
  case stage::load:
    load(now, id, it, out);
    break;
  case stage::resolve:
    resolve(now, id, it, out);
    break;
  case stage::drain:
    drain(now, id, it, out);
    break;
  case stage::send:
    send(now, held, id, it, out);
    break;
  case stage::sent:
    if (now.boot >= it.latest_arrival) {
      it.at = stage::resolve; // No answer; reports measured after this show whether it arrived.
    }
    break;
  default:
    break;
  }
}

// ---------------------------------------------------------------------------------------------
// Resolving orders that are or may be in progress

void
order_manager::load(const moment& now, const upstream_id& id, change& it, action_list& out) {
  it.at = stage::loading;
  it.call = ++last_call_;
  it.call_deadline = now.boot + call_timeout;
  out.emplace_back(call_platform{{duty::orders, it.call}, kv_range{intent_key(id), ""}});
}

void
order_manager::on_loaded(const moment& now, change& it, const platform_reply& reply) {
  const auto* range = answer_as<kv_range_reply>(reply);
  it.at = stage::load;
  it.next_try = now.boot + retry_delay;
  // An answer older than this lease may lack the previous holder's intent.
  if (range == nullptr || range->store.value < fence_.value) {
    return;
  }
  it.intent.reset();
  it.modified = revision{};
  if (!range->pairs.empty()) {
    auto intent = parse_intent(range->pairs.front().value);
    if (!intent) {
      return;
    }
    it.intent = std::move(*intent);
    it.modified = range->pairs.front().modified;
  }
  const bool written = it.pending_unsent && it.intent && it.intent->writer == it.pending.writer;
  it.pending_unsent = written;
  it.at = written ? stage::send : stage::resolve;
  it.next_try = now.boot;
}

void
order_manager::resolve(const moment& now, const upstream_id& id, change& it, action_list& out) {
  if (!enabled(mechanism::one_open_intent)) {
    it.at = stage::drain;
    return;
  }
  if (!reported_since(it, it.latest_arrival) || it.report->changing) {
    return;
  }
  if (is_open(it.intent)) {
    const bool seen = it.report->last_sequence >= it.intent->sequence;
    it.failures += seen ? 0 : 1;
    record_outcome(now, id, it, seen ? intent_phase::answered : intent_phase::failed, out);
    return;
  }
  if (it.report->state == it.wanted) {
    end_drain(id, it, out);
    finished_.push_back(id);
    return;
  }
  if (it.failures >= max_failures) {
    abandon_change(id, it, "engine did not accept the order", out);
    return;
  }
  it.at = stage::drain;
}

void
order_manager::on_report(const engine_report& report) {
  const auto it = changes_.find(report.upstream);
  if (it == changes_.end()) {
    return;
  }
  auto& newest = it->second.report;
  if (!newest || newest->measured.boot <= report.measured.boot) {
    newest = report;
  }
}

void
order_manager::on_answered(const moment& now, const order_reply& answered, action_list& out) {
  const auto found = changes_.find(answered.upstream);
  if (found == changes_.end()) {
    return;
  }
  auto& [id, it] = *found;
  if (it.at != stage::sent || it.call != 0 || answered.sequence != it.intent->sequence) {
    return;
  }
  if (answered.answer) {
    it.latest_arrival = now.boot;
    record_outcome(now, id, it, intent_phase::answered, out);
    return;
  }
  const error& ec = answered.answer.error();
  out.emplace_back(log_line(log_event::order_refused, id, *it.intent, ec.message));
  if (ec.ran != outcome::not_run) {
    return; // The order may still arrive; wait until `latest_arrival`.
  }
  it.latest_arrival = now.boot;
  ++it.failures;
  it.next_try = now.boot + refused_order_delay;
  const bool refused = ec.code == error_code::conflict;
  record_outcome(now, id, it, refused ? intent_phase::failed : intent_phase::undeliverable, out);
}

void
order_manager::record_outcome(const moment& now, const upstream_id& id, change& it,
                              intent_phase phase, action_list& out) {
  it.pending_unsent = false;
  it.pending = *it.intent;
  it.pending.phase = phase;
  out.emplace_back(
      log_line(log_event::order_resolved, id, it.pending, std::string{to_name(phase)}));
  write_pending(now, id, it, stage::recording, out);
}

// ---------------------------------------------------------------------------------------------
// Drain, write, send

bool
order_manager::interrupts_streams(const change& it) {
  const engine_state& is = it.report->state;
  return is.role != it.wanted.role || is.model != it.wanted.model ||
         is.version != it.wanted.version;
}

bool
order_manager::reported_since(const change& it, time_point after) {
  return it.report && it.report->measured.boot > after;
}

bool
order_manager::drained(const moment& now, const upstream_id& id, const change& it) const {
  if (!enabled(mechanism::drain_before_change) || !interrupts_streams(it)) {
    return true;
  }
  const time_point notified_at = it.drain_began + config_.notice_bound;
  if (!it.draining || now.boot < notified_at || !reported_since(it, notified_at)) {
    return false;
  }
  if (it.report->load.running != 0 || it.report->load.waiting != 0) {
    return false;
  }
  if (hooks_.has_streams && hooks_.has_streams(id)) {
    return false;
  }
  return notices_.all_acknowledged(now.boot, id);
}

void
order_manager::drain(const moment& now, const upstream_id& id, change& it, action_list& out) {
  if (!it.report) {
    return;
  }
  if (!it.draining && interrupts_streams(it)) {
    it.draining = true;
    it.drain_began = now.boot;
    notices_.begin(now, id, out);
  }
  if (drained(now, id, it)) {
    write_intent(now, id, it, out);
    return;
  }
  if (now.boot >= it.drain_began + config_.drain_limit) {
    abandon_change(id, it, "streams did not end in time", out);
  }
}

void
order_manager::write_intent(const moment& now, const upstream_id& id, change& it,
                            action_list& out) {
  const std::uint64_t last = it.intent ? it.intent->sequence : 0;
  it.pending = {};
  it.pending.authority = fence_;
  it.pending.sequence = std::max(last, it.report->last_sequence) + 1;
  it.pending.wanted = it.wanted;
  it.pending.phase = intent_phase::written;
  it.pending.holder = config_.self;
  it.pending.writer = config_.self.value + "/" + std::to_string(++last_writer_);
  it.pending.written_at = now.wall;
  it.pending_unsent = true;
  write_pending(now, id, it, stage::writing, out);
}

void
order_manager::write_pending(const moment& now, const upstream_id& id, change& it, stage next,
                             action_list& out) {
  const std::string key = intent_key(id);
  kv_txn txn;
  // The lease record is written only once, so its revision is the fence: this condition rejects the
  // write if the lease was lost.
  txn.conditions = {{zone_lease_key(config_.zone), revision{fence_.value}}, {key, it.modified}};
  txn.writes = {{key, to_json(it.pending), {}}};
  it.at = next;
  it.call = ++last_call_;
  it.call_deadline = now.boot + call_timeout;
  out.emplace_back(call_platform{{duty::orders, it.call}, std::move(txn)});
}

void
order_manager::on_reply(const moment& now, const platform_reply& reply, action_list& /*out*/) {
  if (upstream_orders_.on_reply(now, reply)) {
    return;
  }
  for (auto& [id, it] : changes_) {
    if (it.call == 0 || it.call != reply.call.number) {
      continue;
    }
    it.call = 0;
    if (it.at == stage::loading) {
      on_loaded(now, it, reply);
    } else {
      on_written(now, it, reply);
    }
    return;
  }
}

void
order_manager::on_written(const moment& now, change& it, const platform_reply& reply) {
  const auto* txn = answer_as<kv_txn_reply>(reply);
  if (txn == nullptr || !txn->applied) {
    it.at = stage::load; // The writer token in the record shows whether the write took effect.
    it.next_try = now.boot + retry_delay;
    return;
  }
  it.intent = it.pending;
  it.modified = txn->store;
  it.at = it.at == stage::writing ? stage::send : stage::resolve;
}

void
order_manager::send(const moment& now, const authority& held, const upstream_id& id, change& it,
                    action_list& out) {
  const auto address = hooks_.address ? hooks_.address(id) : std::nullopt;
  const bool late = now.boot >= it.drain_began + config_.drain_limit && it.draining;
  const bool superseded = it.intent->wanted != it.wanted;
  if (late || superseded || !address) {
    record_outcome(now, id, it, intent_phase::undeliverable, out); // The order was never sent.
    return;
  }
  if (!drained(now, id, it)) {
    return;
  }
  send_order sent;
  sent.order.upstream = id;
  sent.order.authority = held.number;
  sent.order.sequence = it.intent->sequence;
  sent.order.wanted = it.intent->wanted;
  sent.order.not_after = std::min(held.until, now.boot + config_.send_window);
  sent.address = address->address;
  sent.port = address->port;
  it.pending_unsent = false;
  it.latest_arrival = sent.order.not_after + config_.delivery_bound;
  it.at = stage::sent;
  out.emplace_back(std::move(sent));
  out.emplace_back(log_line(log_event::order_sent, id, *it.intent, ""));
}

// ---------------------------------------------------------------------------------------------
// Ends

void
order_manager::end_drain(const upstream_id& id, change& it, action_list& out) {
  if (it.draining) {
    it.draining = false;
    notices_.end(id, out);
  }
}

void
order_manager::abandon_change(const upstream_id& id, change& it, const char* why,
                              action_list& out) {
  end_drain(id, it, out);
  out.emplace_back(
      log_line(log_event::order_refused, id, it.intent.value_or(intent_record{}), why));
  finished_.push_back(id);
}

} // namespace nutmegspur
