// Claims of non-repeatable calls: written before a call is sent, completed with its outcome after
// it.
#include "request_rules.h"

#include <nutmegspur/claims.h>
#include <nutmegspur/event_log.h>

namespace nutmegspur {
namespace {

error
store_unavailable(outcome ran) {
  return {error_code::unavailable,
          step::claim_write,
          "platform",
          "the claim could not be checked: the key-value service is unavailable",
          ran,
          milliseconds{1000}};
}

error
refusal(error_code code, std::string message, outcome ran) {
  return {code, step::claim_write, "", std::move(message), ran};
}

} // namespace

claim_manager::claim_manager(claim_options options)
    : options_(std::move(options)), lease_(options_.lifetime) {}

void
claim_manager::set_listener(listener callback) {
  listener_ = std::move(callback);
}

std::size_t
claim_manager::unfinished() const {
  return entries_.size();
}

void
claim_manager::begin(const moment& now, const claim_request& what, action_list& out) {
  const auto [found, added] = entries_.try_emplace(what.request);
  if (!added) {
    return;
  }
  tracked_claim& it = found->second;
  it.what = what;
  it.key = claim_key(what.team, sha256_hex(what.idempotency_key));
  it.record.phase = claim_phase::claimed;
  it.record.holder = options_.instance;
  it.record.writer = options_.instance.value + "/" + std::to_string(options_.seed) + "/" +
                     std::to_string(++last_token_);
  it.record.request_sha256 = what.request_sha256;
  it.record.written_at = now.wall;
  it.started = now.boot;
  write(now, it, out);
}

void
claim_manager::finish(const moment& now, request_id request, const claimed_call_outcome& what,
                      action_list& out) {
  const auto found = entries_.find(request);
  if (found == entries_.end() || found->second.at != phase::held) {
    return;
  }
  tracked_claim& it = found->second;
  if (what.ran == outcome::unknown) {
    entries_.erase(found); // The stored claim already says that the call may have been sent.
    return;
  }
  claim_record record = it.record;
  record.ran = what.ran;
  record.phase = claim_phase::released;
  if (what.ran == outcome::ran) {
    record.phase = claim_phase::recorded;
    record.status = what.status;
    record.content_type = what.content_type;
    record.body = what.body.size() <= max_recorded_body ? what.body : std::string{};
  }
  write_outcome(now, it, std::move(record), out);
}

void
claim_manager::abandon(const moment& now, request_id request, action_list& out) {
  const auto found = entries_.find(request);
  if (found == entries_.end() || found->second.decision_delivered) {
    return;
  }
  release_unsent(now, found->second, out);
}

// Ends the claim of a call that was not and will not be sent. If the claim may be stored, or its
// write is still in progress and may take effect later, a release is written.
void
claim_manager::release_unsent(const moment& now, tracked_claim& it, action_list& out) {
  const bool write_in_progress = it.at == phase::writing_claim && it.call != 0;
  if (!it.may_be_stored && !write_in_progress) {
    calls_.erase(it.call);
    entries_.erase(it.what.request);
    return;
  }
  claim_record record = it.record;
  record.phase = claim_phase::released;
  record.ran = outcome::not_run;
  write_outcome(now, it, std::move(record), out);
}

void
claim_manager::write_outcome(const moment& now, tracked_claim& it, claim_record record,
                             action_list& out) {
  calls_.erase(it.call);
  it.call = 0;
  it.decision_delivered = true;
  it.record = std::move(record);
  it.record.written_at = now.wall;
  it.at = phase::writing_outcome;
  it.started = now.boot;
  write(now, it, out);
}

void
claim_manager::write(const moment& now, tracked_claim& it, action_list& out) {
  kv_txn txn;
  txn.conditions.push_back({it.key, it.modified});
  txn.writes.push_back({it.key, to_json(it.record), lease_.current()});
  call(now, it, std::move(txn), out);
}

void
claim_manager::read(const moment& now, tracked_claim& it, action_list& out) {
  kv_range range;
  range.from = it.key;
  call(now, it, std::move(range), out);
}

void
claim_manager::call(const moment& now, tracked_claim& it, platform_request what, action_list& out) {
  it.call = ++last_call_;
  it.next_try = now.boot + options_.retry_pause;
  calls_[it.call] = it.what.request;
  out.emplace_back(call_platform{{duty::claims, it.call}, std::move(what)});
}

void
claim_manager::step(const moment& now, const event& ev, action_list& out) {
  if (const auto* reply = std::get_if<platform_reply>(&ev)) {
    if (reply->call.owner == duty::claims) {
      on_reply(now, *reply, out);
    }
  } else if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
  }
}

void
claim_manager::on_reply(const moment& now, const platform_reply& reply, action_list& out) {
  if (lease_.accept_reply(reply)) {
    return;
  }
  if (!reply.answer && reply.answer.error().code == error_code::not_found) {
    lease_.invalidate(now.boot); // A claim write can only get not_found because its lease is gone.
  }
  const auto call = calls_.find(reply.call.number);
  if (call == calls_.end()) {
    return; // The claim no longer waits for this call.
  }
  tracked_claim& it = entries_.at(call->second);
  calls_.erase(call);
  it.call = 0;
  it.next_try = now.boot + options_.retry_pause;
  switch (it.at) {
  case phase::writing_claim:
    on_claim_written(now, it, reply, out);
    break;
  case phase::reading_claim:
    on_claim_read(now, it, reply, out);
    break;
  case phase::writing_outcome:
    on_outcome_written(now, it, reply, out);
    break;
  case phase::reading_outcome:
    on_outcome_read(now, it, reply, out);
    break;
  case phase::held:
    break;
  }
}

void
claim_manager::on_claim_written(const moment& now, tracked_claim& it, const platform_reply& reply,
                                action_list& out) {
  if (!reply.answer) {
    if (reply.answer.error().ran != outcome::not_run) {
      it.may_be_stored = true;
      it.at = phase::reading_claim; // Read back after the retry pause.
    } else if (!it.may_be_stored) {
      deliver_decision(
          now, it,
          {it.what.request, claim_decision::refuse, {}, store_unavailable(outcome::not_run)}, out);
    }
    return;
  }
  const auto* txn = std::get_if<kv_txn_reply>(&*reply.answer);
  if (txn != nullptr && txn->applied) {
    mark_held(now, it, txn->store, out);
    return;
  }
  it.at = phase::reading_claim;
  it.key_taken = true;
  read(now, it, out);
}

void
claim_manager::mark_held(const moment& now, tracked_claim& it, revision modified,
                         action_list& out) {
  it.modified = modified;
  it.at = phase::held;
  deliver_decision(now, it, {it.what.request, claim_decision::proceed, it.record, {}}, out);
}

void
claim_manager::on_claim_read(const moment& now, tracked_claim& it, const platform_reply& reply,
                             action_list& out) {
  if (!reply.answer) {
    if (reply.answer.error().ran == outcome::not_run && !it.may_be_stored) {
      // The key is in use, but the outcome of the call that holds it is not known.
      deliver_decision(
          now, it,
          {it.what.request, claim_decision::refuse, {}, store_unavailable(outcome::unknown)}, out);
    }
    return;
  }
  const auto* range = std::get_if<kv_range_reply>(&*reply.answer);
  if (range == nullptr || range->pairs.empty()) {
    // Not stored yet, or a stale read: repeating the conditional write tells which.
    it.at = phase::writing_claim;
    it.modified = {};
    return;
  }
  resolve_existing(now, it, range->pairs.front(), out);
}

void
claim_manager::resolve_existing(const moment& now, tracked_claim& it, const kv_pair& pair,
                                action_list& out) {
  claim_result claim{it.what.request, claim_decision::refuse, {}, {}};
  auto record = parse_claim(pair.value);
  if (!record) {
    claim.why =
        refusal(error_code::internal, "the stored claim record is malformed", outcome::unknown);
  } else if (record->request_sha256 != it.record.request_sha256) {
    claim.why =
        refusal(error_code::conflict,
                "the idempotency key was already used for a different request", outcome::not_run);
    out.emplace_back(write_log{
        log_event::claim_conflict,
        {{"team", it.what.team.value}, {"request", std::to_string(it.what.request.value)}}});
  } else if (record->phase == claim_phase::claimed && record->writer == it.record.writer) {
    mark_held(now, it, pair.modified, out);
    return;
  } else if (record->phase == claim_phase::released) {
    it.modified = pair.modified;
    it.at = phase::writing_claim;
    write(now, it, out);
    return;
  } else if (record->phase == claim_phase::recorded && record->status > 0) {
    claim.decision = claim_decision::replay;
    claim.record = std::move(*record);
  } else {
    claim.why = refusal(error_code::conflict,
                        "a call with this idempotency key was started and its outcome is not known",
                        outcome::unknown);
    claim.why.retry_after = milliseconds{1000};
  }
  deliver_decision(now, it, claim, out);
}

// The listener may finish the claim immediately: `it` must not be used afterwards.
void
claim_manager::deliver_decision(const moment& now, tracked_claim& it, const claim_result& claim,
                                action_list& out) {
  it.decision_delivered = true;
  if (claim.decision != claim_decision::proceed) {
    calls_.erase(it.call);
    entries_.erase(it.what.request);
  }
  if (listener_) {
    listener_(now, claim, out);
  }
}

void
claim_manager::on_outcome_written(const moment& now, tracked_claim& it, const platform_reply& reply,
                                  action_list& out) {
  if (!reply.answer) {
    const bool not_written = reply.answer.error().ran == outcome::not_run;
    it.at = not_written ? phase::writing_outcome : phase::reading_outcome;
    return;
  }
  const auto* txn = std::get_if<kv_txn_reply>(&*reply.answer);
  if (txn != nullptr && txn->applied) {
    entries_.erase(it.what.request);
    return;
  }
  it.at = phase::reading_outcome;
  read(now, it, out);
}

void
claim_manager::on_outcome_read(const moment& now, tracked_claim& it, const platform_reply& reply,
                               action_list& out) {
  if (!reply.answer) {
    return; // Read again after the retry pause.
  }
  const auto* range = std::get_if<kv_range_reply>(&*reply.answer);
  it.at = phase::writing_outcome;
  if (range == nullptr || range->pairs.empty()) {
    return; // Not stored, or a stale read: write again after the retry pause.
  }
  const kv_pair& pair = range->pairs.front();
  const auto record = parse_claim(pair.value);
  const bool ours = record && record->writer == it.record.writer;
  if (!ours && it.record.phase == claim_phase::released && pair.modified > it.modified) {
    entries_.erase(it.what.request); // Another writer's claim: this one can no longer take effect.
    return;
  }
  if (ours && record->phase == it.record.phase) {
    entries_.erase(it.what.request);
    return;
  }
  if (ours && pair.modified > it.modified) {
    it.modified = pair.modified;
    write(now, it, out);
  }
}

void
claim_manager::on_tick(const moment& now, action_list& out) {
  request_lease(now, out);
  std::vector<request_id> ids;
  for (const auto& [request, it] : entries_) {
    ids.push_back(request);
  }
  for (const request_id request : ids) {
    const auto found = entries_.find(request);
    if (found != entries_.end()) {
      advance(now, found->second, out);
    }
  }
}

void
claim_manager::request_lease(const moment& now, action_list& out) {
  if (!lease_.grant_due(now.boot)) {
    return;
  }
  const std::uint64_t number = ++last_call_;
  out.emplace_back(call_platform{{duty::claims, number}, lease_.next_grant(number, now.boot)});
}

void
claim_manager::advance(const moment& now, tracked_claim& it, action_list& out) {
  if (it.at == phase::held) {
    return;
  }
  if (!it.decision_delivered && now.boot >= it.started + options_.decision_limit) {
    refuse_on_timeout(now, it, out);
    return;
  }
  if (it.decision_delivered && now.boot >= it.started + options_.record_limit) {
    out.emplace_back(write_log{log_event::request_failed,
                               {{"request", std::to_string(it.what.request.value)},
                                {"step", std::string{to_name(step::claim_record)}},
                                {"peer", "platform"},
                                {"message", "the outcome of the call could not be recorded"}}});
    calls_.erase(it.call);
    entries_.erase(it.what.request);
    return;
  }
  if (it.call != 0 || now.boot < it.next_try) {
    return;
  }
  if (it.at == phase::writing_claim || it.at == phase::writing_outcome) {
    write(now, it, out);
  } else {
    read(now, it, out);
  }
}

// The claim was not decided in time. Nothing was sent, so the call is refused as `not_run`, unless
// another call under the same key may have been sent.
void
claim_manager::refuse_on_timeout(const moment& now, tracked_claim& it, action_list& out) {
  const outcome ran = it.key_taken && !it.may_be_stored ? outcome::unknown : outcome::not_run;
  const claim_result claim{it.what.request, claim_decision::refuse, {}, store_unavailable(ran)};
  it.decision_delivered = true;
  release_unsent(now, it, out);
  if (listener_) {
    listener_(now, claim, out);
  }
}

} // namespace nutmegspur
