// Orders to the platform's upstream interface.
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/upstream_orders.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// Delay after a failed call.
constexpr seconds retry_delay{1};
/// A call without a reply is abandoned after this time.
constexpr seconds call_timeout{30};

template <class A>
const A*
answer_as(const platform_reply& reply) {
  return reply.answer ? std::get_if<A>(&*reply.answer) : nullptr;
}

} // namespace

upstream_orders::upstream_orders(upstream_order_settings config, std::uint64_t& last_call)
    : config_(std::move(config)), last_call_(last_call) {}

void
upstream_orders::set_wanted(const std::string& kind, std::uint32_t wanted) {
  kinds_[kind].wanted = wanted;
}

void
upstream_orders::begin(fence number, time_point earliest_send) {
  clear();
  fence_ = number;
  earliest_send_ = earliest_send;
}

void
upstream_orders::clear() {
  kinds_.clear();
}

bool
upstream_orders::busy() const {
  return std::any_of(kinds_.begin(), kinds_.end(), [](const auto& it) {
    return it.second.at == stage::writing || it.second.at == stage::sending ||
           it.second.at == stage::confirming;
  });
}

void
upstream_orders::on_tick(const moment& now, const authority& held, action_list& out) {
  if (now.boot < earliest_send_) {
    return;
  }
  for (auto& [kind, it] : kinds_) {
    advance(now, held, kind, it, out);
  }
}

void
upstream_orders::advance(const moment& now, const authority& held, const std::string& kind,
                         kind_state& it, action_list& out) {
  if (it.call != 0) {
    if (now.boot >= it.call_deadline) {
      it.call = 0;
      it.at = stage::load;
    }
    return;
  }
  if (now.boot < it.next_try) {
    return;
  }
  switch (it.at) {
  case stage::load:
    it.at = stage::loading;
    call(now, it, kv_range{upstream_order_key(config_.zone, kind), ""}, out);
    break;
  case stage::decide:
    it.record.kind = kind;
    decide(now, it, out);
    break;
  case stage::send:
    send(now, held, it, out);
    break;
  case stage::confirm:
    it.record.accepted = true;
    write(now, it, stage::confirming, out);
    break;
  default:
    break;
  }
}

void
upstream_orders::decide(const moment& now, kind_state& it, action_list& out) {
  const bool open = it.modified.value != 0 && !it.record.accepted;
  if (open && enabled(mechanism::one_open_intent)) {
    it.at = stage::send;
    return;
  }
  if (it.modified.value != 0 && it.record.wanted == it.wanted && !open) {
    return;
  }
  it.record.order += 1;
  it.record.wanted = it.wanted;
  it.record.accepted = false;
  it.record.authority = fence_;
  it.record.writer = config_.self.value + "/" + std::to_string(++last_writer_);
  write(now, it, stage::writing, out);
}

void
upstream_orders::send(const moment& now, const authority& held, kind_state& it, action_list& out) {
  if (now.boot < it.latest_arrival && enabled(mechanism::one_open_intent)) {
    return;
  }
  upstream_order order;
  order.zone = config_.zone;
  order.kind = it.record.kind;
  order.wanted = it.record.wanted;
  order.authority = held.number;
  order.order = it.record.order;
  order.not_after = std::min(held.until, now.boot + config_.send_window);
  it.latest_arrival = order.not_after + config_.delivery_bound;
  it.at = stage::sending;
  call(now, it, std::move(order), out);
}

void
upstream_orders::write(const moment& now, kind_state& it, stage next, action_list& out) {
  const std::string key = upstream_order_key(config_.zone, it.record.kind);
  kv_txn txn;
  txn.conditions = {{zone_lease_key(config_.zone), revision{fence_.value}}, {key, it.modified}};
  txn.writes = {{key, to_json(it.record), {}}};
  it.at = next;
  call(now, it, std::move(txn), out);
}

bool
upstream_orders::on_reply(const moment& now, const platform_reply& reply) {
  for (auto& [kind, it] : kinds_) {
    if (it.call != 0 && it.call == reply.call.number) {
      it.call = 0;
      on_kind_reply(now, it, reply);
      return true;
    }
  }
  return false;
}

void
upstream_orders::on_kind_reply(const moment& now, kind_state& it, const platform_reply& reply) {
  const auto* txn = answer_as<kv_txn_reply>(reply);
  switch (it.at) {
  case stage::loading:
    on_loaded(now, it, reply);
    return;
  case stage::writing:
  case stage::confirming:
    if (txn == nullptr || !txn->applied) {
      it.at = stage::load; // The stored record shows whether the write took effect.
      it.next_try = now.boot + retry_delay;
      return;
    }
    it.modified = txn->store;
    it.at = stage::decide;
    return;
  case stage::sending:
    if (answer_as<accepted_reply>(reply) == nullptr) {
      it.at = stage::send;
      it.next_try = now.boot + retry_delay;
      return;
    }
    it.latest_arrival = time_point{};
    it.at = stage::confirm;
    return;
  default:
    return;
  }
}

void
upstream_orders::on_loaded(const moment& now, kind_state& it, const platform_reply& reply) {
  const auto* range = answer_as<kv_range_reply>(reply);
  it.at = stage::load;
  it.next_try = now.boot + retry_delay;
  // An answer older than this lease may lack the previous holder's order.
  if (range == nullptr || range->store.value < fence_.value) {
    return;
  }
  it.modified = revision{};
  it.record = {};
  if (!range->pairs.empty()) {
    auto record = parse_upstream_order(range->pairs.front().value);
    if (!record) {
      return;
    }
    it.record = std::move(*record);
    it.modified = range->pairs.front().modified;
  }
  it.next_try = now.boot;
  it.at = stage::decide;
}

void
upstream_orders::call(const moment& now, kind_state& it, platform_request request,
                      action_list& out) {
  it.call = ++last_call_;
  it.call_deadline = now.boot + call_timeout;
  out.emplace_back(call_platform{{duty::orders, it.call}, std::move(request)});
}

} // namespace nutmegspur
