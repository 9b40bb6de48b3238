// The lease on a zone's duties: acquisition, renewal and release.
#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/zone_lease.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// The authority ends earlier than the lease by this fraction of the time to live, to allow for
/// clocks of different rates.
constexpr int margin_divisor = 5;
/// Number of renewals by a holder within one time to live.
constexpr int renewals_per_ttl = 3;
/// Delay before the key is read back again, if it was not found.
constexpr milliseconds confirm_retry{200};
/// Number of renewals in progress that are tracked; replies to older ones are ignored.
constexpr std::size_t max_renewals = 16;
/// A call without a reply is abandoned after this many times to live.
constexpr int reply_limit_ttls = 3;

write_log
log_line(log_event number, const zone_lease_settings& config, fence authority, const char* why) {
  return {number,
          {{"zone", config.zone.value},
           {"holder", config.self.value},
           {"fence", std::to_string(authority.value)},
           {"why", why}}};
}

template <class A>
const A*
answer_as(const platform_reply& reply) {
  return reply.answer ? std::get_if<A>(&*reply.answer) : nullptr;
}

} // namespace

zone_lease::zone_lease(zone_lease_settings config, zone_lease_hooks hooks)
    : config_(std::move(config)), hooks_(std::move(hooks)),
      jitter_state_(std::hash<std::string>{}(config_.self.value)) {}

std::optional<authority>
zone_lease::current(time_point now) const {
  if (phase_ != phase::held) {
    return std::nullopt;
  }
  if (enabled(mechanism::lease_deadline_check) && now >= until_) {
    return std::nullopt;
  }
  return authority{fence_, until_};
}

void
zone_lease::step(const moment& now, const event& ev, action_list& out) {
  if (const auto* reply = std::get_if<platform_reply>(&ev)) {
    if (reply->call.owner == duty::zone_lease) {
      on_reply(now, *reply, out);
    }
    return;
  }
  if (std::holds_alternative<stop_requested>(ev)) {
    stopping_ = true;
  }
  if (std::holds_alternative<tick>(ev) || std::holds_alternative<stop_requested>(ev)) {
    on_tick(now, out);
  }
}

void
zone_lease::on_tick(const moment& now, action_list& out) {
  if (stopping_) {
    on_stop(now, out);
  }
  if (pending_call_ != 0 && now.boot >= asked_at_ + duration{config_.ttl} * reply_limit_ttls) {
    revoke_lease(out);
    wait_before_retry(now, poll_period());
  }
  switch (phase_) {
  case phase::waiting:
    if (now.boot >= next_try_ && rank() < max_candidates) {
      read_key(now, out, phase::reading);
    }
    break;
  case phase::confirming:
    if (pending_call_ == 0 && now.boot >= next_try_) {
      read_key(now, out, phase::confirming);
    }
    break;
  case phase::held:
    if (now.boot >= next_renewal_) {
      renew(now, out);
    }
    break;
  default:
    break;
  }
}

void
zone_lease::on_stop(const moment& now, action_list& out) {
  if (phase_ == phase::waiting) {
    phase_ = phase::released;
    return;
  }
  if (phase_ != phase::held || (hooks_.busy && hooks_.busy())) {
    return;
  }
  // The authority ends here before the lease is revoked in the store, so that there are never two
  // holders.
  until_ = now.boot;
  phase_ = phase::released;
  revoke_lease(out);
  out.emplace_back(log_line(log_event::lease_lost, config_, fence_, "given up"));
}

void
zone_lease::on_reply(const moment& now, const platform_reply& reply, action_list& out) {
  if (renewals_.erase(reply.call.number) > 0) {
    on_renewed(now, reply, out);
    return;
  }
  if (reply.call.number != pending_call_) {
    return;
  }
  pending_call_ = 0;
  switch (phase_) {
  case phase::reading:
    on_read(now, reply, out);
    break;
  case phase::granting:
    on_granted(now, reply, out);
    break;
  case phase::writing:
    on_written(now, reply, out);
    break;
  case phase::confirming:
    on_confirmed(now, reply, out);
    break;
  default:
    break;
  }
}

void
zone_lease::on_read(const moment& now, const platform_reply& reply, action_list& out) {
  const auto* range = answer_as<kv_range_reply>(reply);
  if (range == nullptr) {
    wait_before_retry(now, poll_period());
    return;
  }
  if (!range->pairs.empty()) {
    const auto record = parse_zone_lease(range->pairs.front().value);
    if (record) {
      last_seen_holder_ = record->holder;
    }
    wait_before_retry(now, poll_period());
    return;
  }
  if (stopping_) {
    wait_before_retry(now, poll_period());
    return;
  }
  phase_ = phase::granting;
  call(now, lease_grant{config_.ttl}, out);
}

void
zone_lease::on_granted(const moment& now, const platform_reply& reply, action_list& out) {
  const auto* granted = answer_as<lease_reply>(reply);
  if (granted == nullptr || granted->lease.empty()) {
    wait_before_retry(now, poll_period());
    return;
  }
  lease_ = granted->lease;
  granted_at_ = reply.asked_at;
  writer_token_ = config_.self.value + "/" + std::to_string(granted->lease.value);
  phase_ = phase::writing;
  const std::string key = zone_lease_key(config_.zone);
  const std::string record = to_json(zone_lease_record{config_.self, writer_token_});
  call(now, kv_txn{{{key, revision{}}}, {{key, record, lease_}}}, out);
}

void
zone_lease::on_written(const moment& now, const platform_reply& reply, action_list& out) {
  const auto* txn = answer_as<kv_txn_reply>(reply);
  const bool lost_race = txn != nullptr && !txn->applied;
  const bool not_run = !reply.answer && reply.answer.error().ran == outcome::not_run;
  if (lost_race || not_run) {
    revoke_lease(out);
    wait_before_retry(now, poll_period());
    return;
  }
  // The outcome of the write may be unknown: the writer token in the record shows who created it.
  read_key(now, out, phase::confirming);
}

void
zone_lease::on_confirmed(const moment& now, const platform_reply& reply, action_list& out) {
  const time_point until = valid_until(granted_at_);
  const auto* range = answer_as<kv_range_reply>(reply);
  if (range != nullptr && !range->pairs.empty()) {
    const auto& pair = range->pairs.front();
    const auto record = parse_zone_lease(pair.value);
    if (record && record->writer == writer_token_) {
      phase_ = phase::held;
      fence_ = fence{pair.created.value};
      until_ = until;
      next_renewal_ = granted_at_ + duration{config_.ttl} / renewals_per_ttl;
      last_seen_holder_ = config_.self;
      out.emplace_back(log_line(log_event::lease_taken, config_, fence_, "created"));
      return;
    }
  }
  if (now.boot >= until) {
    // The lease is revoked, so that a write that is still in transit cannot take effect.
    revoke_lease(out);
    wait_before_retry(now, poll_period());
    return;
  }
  // The read may have been stale, or the write may be in transit.
  next_try_ = now.boot + confirm_retry;
}

void
zone_lease::renew(const moment& now, action_list& out) {
  next_renewal_ = now.boot + duration{config_.ttl} / renewals_per_ttl;
  call(now, lease_keep_alive{lease_}, out);
  // A renewal may be answered late, while the next one is in progress; any of them extends the
  // lease.
  renewals_.insert(std::exchange(pending_call_, 0));
  if (renewals_.size() > max_renewals) {
    renewals_.erase(renewals_.begin());
  }
}

void
zone_lease::on_renewed(const moment& now, const platform_reply& reply, action_list& out) {
  if (phase_ != phase::held) {
    return;
  }
  const auto* renewed = answer_as<lease_reply>(reply);
  if (renewed == nullptr || renewed->lease != lease_) {
    return; // Not extended; the next renewal may succeed.
  }
  if (renewed->ttl == seconds{0}) {
    mark_lost(now, "lapsed", out);
    return;
  }
  until_ = std::max(until_, valid_until(reply.asked_at));
}

void
zone_lease::mark_lost(const moment& now, const char* why, action_list& out) {
  until_ = time_point{};
  lease_ = lease_id{};
  last_seen_holder_.reset();
  out.emplace_back(log_line(log_event::lease_lost, config_, fence_, why));
  wait_before_retry(now, jittered(poll_period()));
}

void
zone_lease::on_store_restored(const moment& now, action_list& out) {
  renewals_.clear();
  pending_call_ = 0;
  lease_ = lease_id{};
  if (phase_ == phase::held) {
    mark_lost(now, "store restored", out);
  } else if (phase_ != phase::released) {
    wait_before_retry(now, jittered(poll_period()));
  }
}

void
zone_lease::revoke_lease(action_list& out) {
  pending_call_ = 0;
  if (lease_.empty()) {
    return;
  }
  // The reply is not waited for.
  out.emplace_back(call_platform{{duty::zone_lease, ++last_call_}, lease_revoke{lease_}});
  lease_ = lease_id{};
}

void
zone_lease::read_key(const moment& now, action_list& out, phase next) {
  phase_ = next;
  call(now, kv_range{zone_lease_key(config_.zone), ""}, out);
}

void
zone_lease::wait_before_retry(const moment& now, duration span) {
  phase_ = stopping_ ? phase::released : phase::waiting;
  next_try_ = now.boot + span;
}

void
zone_lease::call(const moment& now, platform_request request, action_list& out) {
  asked_at_ = now.boot;
  pending_call_ = ++last_call_;
  out.emplace_back(call_platform{{duty::zone_lease, pending_call_}, std::move(request)});
}

duration
zone_lease::jittered(duration span) {
  // Returns 0.5 to 1.5 times the span, by a linear congruential generator (Knuth's MMIX).
  constexpr std::uint64_t multiplier = 6364136223846793005ULL;
  constexpr std::uint64_t increment = 1442695040888963407ULL;
  constexpr unsigned high_bits = 44; // Keeps the top 20 bits, which are the most random.
  constexpr std::int64_t range = 1LL << 20U;
  jitter_state_ = jitter_state_ * multiplier + increment;
  const auto share = static_cast<std::int64_t>(jitter_state_ >> high_bits);
  return span / 2 + duration{span.count() * share / range};
}

duration
zone_lease::poll_period() {
  // Higher ranks poll less often, so that a free lease goes to a low rank.
  return jittered(duration{config_.ttl} / renewals_per_ttl * (1 + rank()));
}

time_point
zone_lease::valid_until(time_point asked_at) const {
  return asked_at + duration{config_.ttl} / margin_divisor * (margin_divisor - 1);
}

} // namespace nutmegspur
