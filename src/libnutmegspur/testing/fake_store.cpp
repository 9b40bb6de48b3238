// Implementation of the fake platform: fault injection, the key-value store, leases and watches.
#include "testing/fake_store.h"

#include <nutmegspur/mechanisms.h>

#include <algorithm>

namespace nutmegspur::testing {

namespace {

error
lost_answer_error() {
  return {error_code::unavailable, step::platform_call, "platform", "answer lost",
          outcome::unknown};
}

error
refused_call_error() {
  return {error_code::unavailable, step::platform_call, "platform", "connection refused",
          outcome::not_run};
}

bool
has_delivery_bound(const platform_request& request) {
  return std::holds_alternative<upstream_order>(request) ||
         std::holds_alternative<usage_report>(request);
}

error
deadline_passed_error() {
  return {error_code::lease_lost, step::platform_call, "platform", "not_after has passed",
          outcome::not_run};
}

bool
past_deadline(const moment& now, const platform_request& request) {
  if (const auto* order = std::get_if<upstream_order>(&request)) {
    return now.boot > order->not_after;
  }
  const auto* report = std::get_if<usage_report>(&request);
  return report != nullptr && now.boot > report->not_after;
}

bool
in_range(const std::string& key, const std::string& from, const std::string& to) {
  return to.empty() ? key == from : key >= from && key < to;
}

} // namespace

void
fake_store::set_fault(store_fault fault) {
  fault_ = fault;
}

void
fake_store::set_client_fault(const std::string& client, store_fault fault) {
  client_faults_[client] = fault;
}

void
fake_store::fault_next(store_fault fault, call_filter filter, int count) {
  pending_faults_.push_back({fault, std::move(filter), count});
}

store_fault
fake_store::choose_fault(const std::string& client, const platform_request& request) {
  for (auto& it : pending_faults_) {
    if (it.remaining > 0 && (!it.filter || it.filter(client, request))) {
      --it.remaining;
      return it.fault;
    }
  }
  const auto it = client_faults_.find(client);
  if (it != client_faults_.end() && it->second != store_fault::none) {
    return it->second;
  }
  return fault_;
}

void
fake_store::schedule(const moment& now, duration delay, pending it) {
  it.due = now.boot + delay;
  it.sequence = ++last_sequence_;
  it.submitted_at = now.boot;
  pending_.push_back(std::move(it));
}

void
fake_store::submit(const moment& now, const std::string& client, const call_platform& call) {
  expire_leases(now);
  ++calls_[call.request.index()];
  if (past_deadline(now, call.request) && enabled(mechanism::lease_deadline_check)) {
    schedule(now, duration{0},
             {.client = client, .call = call, .answer = fail(deadline_passed_error())});
    return;
  }
  const store_fault fault = choose_fault(client, call.request);
  switch (fault) {
  case store_fault::down:
    schedule(now, duration{0},
             {.client = client, .call = call, .answer = fail(refused_call_error())});
    return;
  case store_fault::slow:
    if (has_delivery_bound(call.request) && slow_delay > delivery_bound) {
      schedule(now, delivery_bound,
               {.client = client, .call = call, .answer = fail(lost_answer_error())});
      return;
    }
    schedule(now, slow_delay, {.client = client, .call = call, .take_effect = true});
    return;
  case store_fault::late_answer:
    schedule(now, slow_delay,
             {.client = client, .call = call, .answer = execute(now, client, call, false)});
    return;
  case store_fault::lost_after_effect:
    static_cast<void>(execute(now, client, call, false));
    schedule(now, lost_answer_timeout,
             {.client = client, .call = call, .answer = fail(lost_answer_error())});
    return;
  case store_fault::lost_before_effect:
    schedule(now, lost_answer_timeout,
             {.client = client, .call = call, .answer = fail(lost_answer_error())});
    return;
  case store_fault::executed_twice:
    static_cast<void>(execute(now, client, call, false));
    schedule(now, duration{0},
             {.client = client, .call = call, .answer = execute(now, client, call, false)});
    return;
  case store_fault::none:
  case store_fault::stale_read:
    schedule(now, duration{0},
             {.client = client,
              .call = call,
              .answer = execute(now, client, call, fault == store_fault::stale_read)});
    return;
  }
}

platform_reply
fake_store::answer_now(const moment& now, const std::string& client, const call_platform& call) {
  expire_leases(now);
  return {call.call, execute(now, client, call, false), now.boot};
}

std::vector<delivery>
fake_store::take_due(const moment& now) {
  expire_leases(now);
  std::vector<delivery> out = std::move(ready_deliveries_);
  ready_deliveries_.clear();
  std::vector<pending> due;
  const auto later = std::stable_partition(pending_.begin(), pending_.end(),
                                           [&](const pending& it) { return it.due <= now.boot; });
  due.assign(std::make_move_iterator(pending_.begin()), std::make_move_iterator(later));
  pending_.erase(pending_.begin(), later);
  std::stable_sort(due.begin(), due.end(),
                   [](const pending& a, const pending& b) { return a.due < b.due; });
  for (auto& it : due) {
    if (it.take_effect) {
      it.answer = execute(now, it.client, it.call, false);
    }
    if (it.answer && !it.client.empty()) {
      out.push_back({it.client, platform_reply{it.call.call, *it.answer, it.submitted_at}});
    }
  }
  deliver_watches(now, out);
  return out;
}

void
fake_store::deliver_watches(const moment& now, std::vector<delivery>& out) {
  for (auto& it : watches_) {
    const bool progress =
        progress_interval.count() > 0 && now.boot - it.last_message_at >= progress_interval;
    if (it.silent || (it.next_revision > revision_ && !progress)) {
      continue;
    }
    watch_batch batch{it.id, {}, revision{revision_}};
    for (const auto& change : history_) {
      if (change.modified.value >= it.next_revision && in_range(change.key, it.from, it.to)) {
        batch.changes.push_back(change);
      }
    }
    it.next_revision = revision_ + 1;
    if (!batch.changes.empty() || progress) {
      it.last_message_at = now.boot;
      out.push_back({it.client, std::move(batch)});
    }
  }
}

result<platform_answer>
fake_store::execute(const moment& now, const std::string& client, const call_platform& call,
                    bool stale) {
  const auto& what = call.request;
  if (const auto* it = std::get_if<kv_range>(&what)) {
    return run_range(now, client, call, *it, stale);
  }
  if (const auto* it = std::get_if<kv_txn>(&what)) {
    return run_txn(*it);
  }
  if (const auto* it = std::get_if<lease_grant>(&what)) {
    leases_[++last_lease_] = {it->ttl, now.boot + it->ttl, {}};
    return lease_reply{lease_id{last_lease_}, it->ttl};
  }
  if (const auto* it = std::get_if<lease_keep_alive>(&what)) {
    return run_keep_alive(now, it->lease);
  }
  if (const auto* it = std::get_if<lease_revoke>(&what)) {
    const auto found = leases_.find(it->lease.value);
    if (found != leases_.end()) {
      found->second.expires = now.boot;
      expire_leases(now);
    }
    return lease_reply{it->lease, seconds{0}};
  }
  if (const auto* it = std::get_if<watch_start>(&what)) {
    return run_watch(client, call, *it);
  }
  if (const auto* it = std::get_if<watch_stop>(&what)) {
    std::erase_if(watches_,
                  [&](const open_watch& w) { return w.client == client && w.id == it->watch; });
    return accepted_reply{};
  }
  if (std::holds_alternative<list_instances>(what)) {
    return instances_reply{instances_};
  }
  if (const auto* it = std::get_if<upstream_order>(&what)) {
    upstream_orders_.push_back({now.boot, client, *it});
    return accepted_reply{};
  }
  usage_reports_.push_back({now.boot, client, std::get<usage_report>(what)});
  return accepted_reply{};
}

result<platform_answer>
fake_store::run_range(const moment& /*now*/, const std::string& /*client*/,
                      const call_platform& /*c*/, const kv_range& range, bool stale) {
  std::int64_t at = range.at.value == 0 ? revision_ : range.at.value;
  if (stale) {
    at = std::max<std::int64_t>({1, compacted_revision_, at - stale_read_revisions});
  }
  if (at < compacted_revision_) {
    return fail({error_code::not_found, step::platform_call, "platform", "revision compacted"});
  }
  kv_range_reply reply;
  reply.store = revision{stale ? at : revision_};
  for (const auto& [key, pair] : at == revision_ ? pairs_ : state_at(at)) {
    if (!in_range(key, range.from, range.to)) {
      continue;
    }
    if (reply.pairs.size() >= range.limit) {
      reply.more = true;
      break;
    }
    reply.pairs.push_back(pair);
  }
  return reply;
}

result<platform_answer>
fake_store::run_txn(const kv_txn& txn) {
  for (const auto& it : txn.conditions) {
    const auto found = pairs_.find(it.key);
    const std::int64_t modified = found == pairs_.end() ? 0 : found->second.modified.value;
    if (modified != it.modified.value) {
      return kv_txn_reply{false, revision{revision_}};
    }
  }
  for (const auto& it : txn.writes) {
    if (!it.lease.empty() && leases_.count(it.lease.value) == 0) {
      return fail({error_code::not_found, step::platform_call, "platform", "lease not found"});
    }
  }
  if (!txn.writes.empty()) {
    ++revision_;
  }
  for (const auto& it : txn.writes) {
    write(it);
  }
  return kv_txn_reply{true, revision{revision_}};
}

result<platform_answer>
fake_store::run_keep_alive(const moment& now, lease_id lease) {
  const auto found = leases_.find(lease.value);
  if (found == leases_.end()) {
    return lease_reply{lease, seconds{0}};
  }
  found->second.expires = now.boot + found->second.ttl;
  return lease_reply{lease, found->second.ttl};
}

result<platform_answer>
fake_store::run_watch(const std::string& client, const call_platform& c, const watch_start& what) {
  if (what.since.value != 0 && what.since.value <= compacted_revision_) {
    const error why{error_code::not_found, step::platform_call, "platform", "revision compacted"};
    ready_deliveries_.push_back({client, watch_ended{c.call, true, why}});
    return watch_started{revision{revision_}};
  }
  const std::int64_t next = what.since.value == 0 ? revision_ + 1 : what.since.value;
  watches_.push_back({client, c.call, what.from, what.to, next, false});
  return watch_started{revision{revision_}};
}

void
fake_store::detach_from_leases(const std::string& key) {
  for (auto& [id, lease] : leases_) {
    lease.keys.erase(key);
  }
}

void
fake_store::write(const kv_write& what) {
  detach_from_leases(what.key);
  const auto found = pairs_.find(what.key);
  if (!what.value) {
    if (found != pairs_.end()) {
      history_.push_back({what.key, std::nullopt, found->second.created, revision{revision_}});
      pairs_.erase(found);
    }
    return;
  }
  const revision created = found == pairs_.end() ? revision{revision_} : found->second.created;
  pairs_[what.key] = {what.key, *what.value, created, revision{revision_}};
  history_.push_back({what.key, what.value, created, revision{revision_}});
  if (!what.lease.empty()) {
    leases_[what.lease.value].keys.insert(what.key);
  }
}

void
fake_store::expire_leases(const moment& now) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires > now.boot) {
      ++it;
      continue;
    }
    const auto keys = it->second.keys;
    it = leases_.erase(it);
    if (!keys.empty()) {
      ++revision_;
    }
    for (const auto& key : keys) {
      write({key, std::nullopt, {}});
    }
  }
}

std::map<std::string, kv_pair>
fake_store::state_at(std::int64_t at) const {
  std::map<std::string, kv_pair> state;
  for (const auto& it : history_) {
    if (it.modified.value > at) {
      break;
    }
    if (it.value) {
      state[it.key] = {it.key, *it.value, it.created, it.modified};
    } else {
      state.erase(it.key);
    }
  }
  return state;
}

void
fake_store::end_watches(const moment& /*now*/, const std::string& client) {
  for (const auto& it : watches_) {
    if (it.client == client) {
      ready_deliveries_.push_back({client, watch_ended{it.id, false, lost_answer_error()}});
    }
  }
  std::erase_if(watches_, [&](const open_watch& it) { return it.client == client; });
}

void
fake_store::silence_watches(const std::string& client) {
  for (auto& it : watches_) {
    it.silent = it.silent || it.client == client;
  }
}

void
fake_store::compact(revision upto) {
  compacted_revision_ = upto.value;
}

void
fake_store::forget(const std::string& client) {
  std::erase_if(watches_, [&](const open_watch& it) { return it.client == client; });
  std::erase_if(ready_deliveries_, [&](const delivery& it) { return it.client == client; });
  for (auto& it : pending_) {
    if (it.client == client) {
      it.client.clear();
    }
  }
}

std::optional<kv_pair>
fake_store::get(const std::string& key) const {
  const auto found = pairs_.find(key);
  return found == pairs_.end() ? std::nullopt : std::optional{found->second};
}

std::vector<kv_pair>
fake_store::list(const std::string& prefix) const {
  std::vector<kv_pair> found;
  for (auto it = pairs_.lower_bound(prefix); it != pairs_.end(); ++it) {
    if (!it->first.starts_with(prefix)) {
      break;
    }
    found.push_back(it->second);
  }
  return found;
}

revision
fake_store::put(const moment& now, const std::string& key, std::optional<std::string> value) {
  expire_leases(now);
  ++revision_;
  write({key, std::move(value), {}});
  return current();
}

void
fake_store::set_instances(std::vector<listed_instance> instances) {
  instances_ = std::move(instances);
}

std::uint64_t
fake_store::calls(std::size_t kind) const {
  const auto found = calls_.find(kind);
  return found == calls_.end() ? 0 : found->second;
}

} // namespace nutmegspur::testing
