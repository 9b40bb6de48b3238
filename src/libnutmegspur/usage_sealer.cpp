// Usage accounting by a zone's lease holder: sealing, reporting and confirming windows.
#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/usage_sealer.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// Delay after a failed load or write.
constexpr seconds reload_delay{1};
/// First and longest delay between two sends of a report.
constexpr seconds first_report_backoff{1};
constexpr seconds longest_report_backoff{30};
/// A store call without a reply is abandoned after this time.
constexpr seconds call_timeout{30};
/// A source without a sealed part for this long is removed from the mark; the copies of its parts
/// were released long before.
constexpr std::int64_t source_retention_seconds = 7LL * 24 * 3600;

template <class A>
const A*
answer_as(const platform_reply& reply) {
  return reply.answer ? std::get_if<A>(&*reply.answer) : nullptr;
}

std::string
part_name(const usage_part_key& key) {
  return key.first.value + ":" + std::to_string(key.second);
}

std::string
report_id(const usage_record& record) {
  return record.zone.value + "/" + std::to_string(record.window_start) + "/" +
         std::to_string(record.shard);
}

void
add_to_mark(usage_mark_record& mark, const usage_part_key& key, std::int64_t window) {
  auto it = std::lower_bound(
      mark.sources.begin(), mark.sources.end(), key.first,
      [](const usage_source_mark& a, const instance_id& b) { return a.source < b; });
  if (it == mark.sources.end() || it->source != key.first) {
    it = mark.sources.insert(it, {key.first, 0, {}, 0});
  }
  it->last_window = window;
  it->above.insert(std::lower_bound(it->above.begin(), it->above.end(), key.second), key.second);
  while (!it->above.empty() && it->above.front() <= it->upto + 1) {
    it->upto = std::max(it->upto, it->above.front());
    it->above.erase(it->above.begin());
  }
}

using line_map = std::map<std::pair<team_id, std::string>, usage_line>;

void
add_lines(line_map& into, const std::vector<usage_line>& lines) {
  for (const auto& it : lines) {
    usage_line& sum = into[{it.team, it.subject}];
    sum.team = it.team;
    sum.subject = it.subject;
    sum.requests += it.requests;
    sum.prompt_tokens += it.prompt_tokens;
    sum.output_tokens += it.output_tokens;
  }
}

write_log
log_line(log_event number, const usage_record& record, fence authority) {
  return {number,
          {{"window", report_id(record)},
           {"lines", std::to_string(record.lines.size())},
           {"parts", std::to_string(record.parts.size())},
           {"fence", std::to_string(authority.value)}}};
}

} // namespace

usage_sealer::usage_sealer(usage_settings config, const authority_source& source)
    : config_(std::move(config)), source_(source) {}

bool
usage_sealer::busy() const {
  if (stage_ == stage::idle) {
    return false;
  }
  return stage_ == stage::writing ||
         std::any_of(unconfirmed_.begin(), unconfirmed_.end(),
                     [](const auto& it) { return it.second.call != 0; });
}

part_status
usage_sealer::accept(const moment& now, const usage_part& part, const instance_id& sender) {
  if (stage_ != stage::ready && stage_ != stage::writing) {
    return part_status::refused;
  }
  const usage_part_key key{part.source, part.sequence};
  if (is_sealed(key)) {
    return part_status::sealed;
  }
  for (part_map* in : {&pending_, &batch_}) {
    const auto found = in->find(key);
    if (found != in->end()) {
      auto& senders = found->second.senders;
      if (std::find(senders.begin(), senders.end(), sender) == senders.end()) {
        senders.push_back(sender);
      }
      return part_status::accepted;
    }
  }
  if (pending_.size() >= max_pending_parts) {
    return part_status::refused;
  }
  pending_part it{part, {sender}};
  // A source whose clock is ahead must not delay its part.
  it.part.window_start = std::min(part.window_start, closed_window(now) + config_.window.count());
  pending_.emplace(key, std::move(it));
  return part_status::accepted;
}

void
usage_sealer::step(const moment& now, const event& ev, action_list& out) {
  if (const auto* reply = std::get_if<platform_reply>(&ev)) {
    if (reply->call.owner == duty::usage) {
      on_reply(now, *reply, out);
    }
  }
  if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
  }
}

void
usage_sealer::begin(const moment& now, fence number) {
  fence_ = number;
  stage_ = stage::delivery_wait;
  earliest_load_ = now.boot + config_.delivery_bound;
  next_load_ = earliest_load_;
  pending_call_ = 0;
  pending_.clear();
  batch_.clear();
  unconfirmed_.clear();
}

void
usage_sealer::on_tick(const moment& now, action_list& out) {
  const auto held = source_.current(now.boot);
  if (!held) {
    // Parts that are not sealed are not lost: their sources and the copies still have them.
    stage_ = stage::idle;
    pending_call_ = 0;
    pending_.clear();
    batch_.clear();
    unconfirmed_.clear();
    return;
  }
  if (stage_ == stage::idle || held->number != fence_) {
    begin(now, held->number);
  }
  if (pending_call_ != 0 && now.boot >= call_deadline_) {
    pending_call_ = 0;
    stage_ = stage::loading;
    next_load_ = now.boot;
  }
  if (stage_ == stage::delivery_wait && now.boot >= earliest_load_) {
    stage_ = stage::loading;
  }
  if (stage_ == stage::loading && pending_call_ == 0 && now.boot >= next_load_) {
    load(now, out);
  }
  if (stage_ == stage::ready) {
    send_reports(now, *held, out);
  }
  if (stage_ == stage::ready) {
    start_batch(now);
    seal(now, out);
  }
}

// ---------------------------------------------------------------------------------------------
// Replies

void
usage_sealer::on_reply(const moment& now, const platform_reply& reply, action_list& out) {
  if (pending_call_ != 0 && reply.call.number == pending_call_) {
    pending_call_ = 0;
    if (stage_ == stage::loading) {
      on_loaded(now, reply, out);
    } else if (stage_ == stage::writing) {
      on_written(now, reply, out);
    }
    return;
  }
  for (auto& [key, it] : unconfirmed_) {
    if (it.call != 0 && it.call == reply.call.number) {
      it.call = 0;
      on_window_reply(now, it, reply, out);
      return;
    }
  }
}

void
usage_sealer::on_loaded(const moment& now, const platform_reply& reply, action_list& /*out*/) {
  const auto* range = answer_as<kv_range_reply>(reply);
  next_load_ = now.boot + reload_delay;
  // An answer older than this lease may lack what the previous holder sealed.
  if (range == nullptr || range->store.value < fence_.value) {
    return;
  }
  if (range->pairs.empty()) {
    adopt_mark({}, revision{});
    stage_ = stage::ready;
    return;
  }
  auto mark = parse_usage_mark(range->pairs.front().value);
  if (mark) {
    adopt_mark(std::move(*mark), range->pairs.front().modified);
    stage_ = stage::ready;
  }
}

void
usage_sealer::adopt_mark(usage_mark_record mark, revision modified) {
  mark_ = std::move(mark);
  mark_modified_ = modified;
  drop_sealed();
  std::erase_if(unconfirmed_, [&](const auto& it) {
    return std::find(mark_.open.begin(), mark_.open.end(), it.first) == mark_.open.end();
  });
  for (const auto& key : mark_.open) {
    unconfirmed_.try_emplace(key);
  }
}

void
usage_sealer::drop_sealed() {
  for (part_map* in : {&pending_, &batch_}) {
    for (auto it = in->begin(); it != in->end();) {
      if (!is_sealed(it->first)) {
        ++it;
        continue;
      }
      sealed_.push_back({it->first, std::move(it->second.senders)});
      it = in->erase(it);
    }
  }
}

void
usage_sealer::on_written(const moment& now, const platform_reply& reply, action_list& out) {
  const auto* txn = answer_as<kv_txn_reply>(reply);
  if (txn == nullptr || !txn->applied) {
    // The mark, read again, shows whether the write took effect.
    for (auto& [key, it] : unconfirmed_) {
      it.loaded = it.loaded && key != pending_write_.key;
    }
    stage_ = stage::loading;
    next_load_ = now.boot + reload_delay;
    return;
  }
  stage_ = stage::ready;
  if (!pending_write_.confirms) {
    out.emplace_back(log_line(log_event::usage_sealed, pending_write_.record, fence_));
    unconfirmed_window it;
    it.record = pending_write_.record;
    it.modified = txn->store;
    it.loaded = true;
    it.next_send = now.boot;
    unconfirmed_[pending_write_.key] = std::move(it);
  }
  adopt_mark(std::move(pending_write_.mark), txn->store);
}

void
usage_sealer::on_window_reply(const moment& now, unconfirmed_window& it,
                              const platform_reply& reply, action_list& out) {
  if (!it.loaded) {
    it.next_send = now.boot + reload_delay;
    const auto* range = answer_as<kv_range_reply>(reply);
    if (range == nullptr || range->pairs.empty()) {
      return;
    }
    const auto& pair = range->pairs.front();
    auto record = parse_usage(pair.value);
    if (record) {
      it.record = std::move(*record);
      it.modified = pair.modified;
      it.loaded = true;
      it.next_send = now.boot;
    }
    return;
  }
  if (answer_as<accepted_reply>(reply) != nullptr) {
    it.accepted = true;
    out.emplace_back(log_line(log_event::usage_reported, it.record, fence_));
    return;
  }
  if (!reply.answer && reply.answer.error().code == error_code::invalid_argument) {
    out.emplace_back(log_line(log_event::usage_rejected, it.record, fence_));
  }
  it.backoff = std::clamp<duration>(it.backoff * 2, first_report_backoff, longest_report_backoff);
  it.next_send = now.boot + it.backoff;
}

// ---------------------------------------------------------------------------------------------
// Store and reports

void
usage_sealer::load(const moment& now, action_list& out) {
  call_deadline_ = now.boot + call_timeout;
  pending_call_ = call(kv_range{usage_mark_key(config_.zone), ""}, out);
}

void
usage_sealer::start_batch(const moment& now) {
  const std::int64_t window = closed_window(now);
  if (!batch_.empty() || pending_.empty() || window <= mark_.last_window) {
    return;
  }
  batch_window_ = window;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->second.part.window_start > window) {
      ++it;
      continue;
    }
    batch_.insert(pending_.extract(it++));
  }
}

usage_record
usage_sealer::fill_record(pending_write& into) const {
  usage_record record;
  line_map lines;
  for (const auto& [key, it] : batch_) {
    if (!lines.empty() && lines.size() + it.part.lines.size() > max_record_lines) {
      break;
    }
    add_lines(lines, it.part.lines);
    into.parts.push_back(key);
    record.parts.push_back(part_name(key));
  }
  for (auto& [key, line] : lines) {
    record.lines.push_back(std::move(line));
  }
  return record;
}

void
usage_sealer::seal(const moment& now, action_list& out) {
  if (batch_.empty()) {
    return;
  }
  if (mark_.last_window > batch_window_) {
    pending_.merge(batch_);
    batch_.clear();
    return;
  }
  call_deadline_ = now.boot + call_timeout;
  pending_write_ = {};
  pending_write_.record = fill_record(pending_write_);
  pending_write_.record.zone = config_.zone;
  pending_write_.record.window_start = batch_window_;
  pending_write_.record.window_seconds = static_cast<std::uint32_t>(config_.window.count());
  pending_write_.record.shard = mark_.last_window == batch_window_ ? mark_.last_shard + 1 : 0;
  pending_write_.record.authority = fence_;
  pending_write_.record.writer = config_.self.value + "/" + std::to_string(++last_writer_);
  pending_write_.key = usage_key(config_.zone, batch_window_, pending_write_.record.shard);
  pending_write_.mark = mark_;
  pending_write_.mark.last_window = batch_window_;
  pending_write_.mark.last_shard = pending_write_.record.shard;
  pending_write_.mark.open.push_back(pending_write_.key);
  for (const auto& key : pending_write_.parts) {
    add_to_mark(pending_write_.mark, key, batch_window_);
  }
  std::erase_if(pending_write_.mark.sources, [&](const usage_source_mark& it) {
    return it.last_window < batch_window_ - source_retention_seconds;
  });
  write(out);
}

void
usage_sealer::confirm(const std::string& key, unconfirmed_window& it, action_list& out) {
  pending_write_ = {};
  pending_write_.confirms = true;
  pending_write_.key = key;
  pending_write_.record = it.record;
  pending_write_.record.confirmed = true;
  pending_write_.mark = mark_;
  std::erase(pending_write_.mark.open, key);
  pending_write_.mark.kept.push_back(key);
  write(out);
}

void
usage_sealer::write(action_list& out) {
  kv_txn txn;
  if (enabled(mechanism::seal_once)) {
    const auto known = unconfirmed_.find(pending_write_.key);
    const revision record = known == unconfirmed_.end() ? revision{} : known->second.modified;
    // The lease record is written only once, so its revision is the fence: this condition rejects
    // the write if the lease was lost.
    txn.conditions = {{zone_lease_key(config_.zone), revision{fence_.value}},
                      {pending_write_.key, record},
                      {usage_mark_key(config_.zone), mark_modified_}};
  }
  if (pending_write_.mark.kept.size() > max_kept_windows) {
    txn.writes.push_back({pending_write_.mark.kept.front(), std::nullopt, {}});
    pending_write_.mark.kept.erase(pending_write_.mark.kept.begin());
  }
  txn.writes.push_back({pending_write_.key, to_json(pending_write_.record), {}});
  txn.writes.push_back({usage_mark_key(config_.zone), to_json(pending_write_.mark), {}});
  stage_ = stage::writing;
  pending_call_ = call(std::move(txn), out);
}

void
usage_sealer::send_reports(const moment& now, const authority& held, action_list& out) {
  for (auto& [key, it] : unconfirmed_) {
    if (it.call != 0 || now.boot < it.next_send) {
      continue;
    }
    if (it.accepted && it.loaded) {
      call_deadline_ = now.boot + call_timeout;
      confirm(key, it, out);
      return;
    }
    if (it.loaded) {
      send_report(now, held, it, out);
      continue;
    }
    it.call = call(kv_range{key, ""}, out);
    it.next_send = now.boot + call_timeout;
  }
}

void
usage_sealer::send_report(const moment& /*now*/, const authority& held, unconfirmed_window& it,
                          action_list& out) {
  usage_report report;
  report.id = report_id(it.record);
  report.record = it.record;
  report.authority = held.number;
  report.not_after = held.until;
  it.call = call(std::move(report), out);
}

std::uint64_t
usage_sealer::call(platform_request request, action_list& out) {
  ++last_call_;
  out.emplace_back(call_platform{{duty::usage, last_call_}, std::move(request)});
  return last_call_;
}

bool
usage_sealer::is_sealed(const usage_part_key& key) const {
  const auto it = std::lower_bound(
      mark_.sources.begin(), mark_.sources.end(), key.first,
      [](const usage_source_mark& a, const instance_id& b) { return a.source < b; });
  if (it == mark_.sources.end() || it->source != key.first) {
    return false;
  }
  return key.second <= it->upto ||
         std::binary_search(it->above.begin(), it->above.end(), key.second);
}

std::int64_t
usage_sealer::closed_window(const moment& now) const {
  const auto wall = std::chrono::floor<seconds>(now.wall.time_since_epoch()) - config_.grace;
  return wall.count() / config_.window.count() * config_.window.count() - config_.window.count();
}

} // namespace nutmegspur
