/// \file engine_model.cpp
/// Steps, cache, load reports and orders of the engine model.

#include "engine_model.h"

#include <algorithm>

namespace nutmegspur::standin {

namespace {

constexpr std::size_t max_events = 4096;
constexpr std::size_t max_reports = 512;
constexpr double micros_per_second = 1e6;

/// Chunk size and batch slots of a role.
struct role_limits {
  engine_role role;
  std::uint32_t chunk_tokens; ///< Largest number of prompt tokens in a step.
  std::uint32_t slots_percent;
};

constexpr std::array<role_limits, 3> role_limits_table{{
    {engine_role::mixed, 512, 100},
    {engine_role::prefill, 4096, 50},
    {engine_role::decode, 128, 200},
}};

const role_limits&
find_role_limits(engine_role role) {
  for (const auto& it : role_limits_table) {
    if (it.role == role) {
      return it;
    }
  }
  return role_limits_table.front();
}

duration
from_seconds(double length) {
  return duration{static_cast<std::int64_t>(length * micros_per_second)};
}

} // namespace

engine_model::engine_model(engine_options options)
    : options_(std::move(options)), state_(options_.state), random_(options_.seed) {}

std::uint32_t
engine_model::current_slots() const {
  return std::max(1U, options_.slots * find_role_limits(state_.role).slots_percent / 100);
}

std::uint32_t
engine_model::current_chunk() const {
  return find_role_limits(state_.role).chunk_tokens;
}

bool
engine_model::submit(const engine_job& job, time_point now) {
  if (changing()) {
    return false;
  }
  sequence it;
  it.job = job;
  it.produced = job.resume_from;
  const auto lower_priority = [&](const sequence& other) {
    return other.job.priority < job.priority;
  };
  waiting_.insert(std::find_if(waiting_.begin(), waiting_.end(), lower_priority), std::move(it));
  if (!step_ends_) {
    begin_step(now);
  }
  record_load(now);
  return true;
}

void
engine_model::cancel(std::uint64_t job, time_point now) {
  std::erase_if(waiting_, [job](const sequence& it) { return it.job.id == job; });
  std::erase_if(running_, [this, job](const sequence& it) {
    if (it.job.id == job) {
      release(it);
      return true;
    }
    return false;
  });
  record_load(now);
}

void
engine_model::advance(time_point now, std::vector<engine_output>& out) {
  if (change_ends_ && *change_ends_ <= now) {
    const auto at = *change_ends_;
    change_ends_.reset();
    state_ = next_state_;
    record_load(at);
  }
  while (step_ends_ && *step_ends_ <= now) {
    const auto at = *step_ends_;
    step_ends_.reset();
    finish_step(at, out);
    begin_step(at);
    record_load(at);
  }
}

std::optional<time_point>
engine_model::next_due() const {
  if (step_ends_ && change_ends_) {
    return std::min(*step_ends_, *change_ends_);
  }
  return step_ends_ ? step_ends_ : change_ends_;
}

// ---------------------------------------------------------------------------------------------
// Steps

void
engine_model::begin_step(time_point at) {
  admit_waiting(at);
  if (running_.empty()) {
    return;
  }
  plan_prefill();
  std::uint32_t prefill = 0;
  std::uint32_t decoding = 0;
  for (auto& it : running_) {
    it.decoding = it.to_prefill == 0;
    decoding += it.decoding ? 1 : 0;
    prefill += it.planned;
  }
  const double base = 1.0 / options_.decode_rate;
  const double length = base * (1.0 + options_.batch_penalty * decoding) +
                        static_cast<double>(prefill) / options_.prefill_rate;
  step_ends_ = at + from_seconds(length);
}

void
engine_model::plan_prefill() {
  auto remaining = current_chunk();
  for (auto& it : running_) {
    it.planned = std::min(remaining, it.to_prefill);
    remaining -= it.planned;
  }
}

void
engine_model::finish_step(time_point at, std::vector<engine_output>& out) {
  for (auto& it : running_) {
    if (it.planned > 0) {
      it.to_prefill -= it.planned;
      it.planned = 0;
      if (it.to_prefill == 0) {
        finish_prefill(it, at);
        it.decoding = true;
      }
    }
    if (it.decoding && it.produced < it.job.output_tokens) {
      out.push_back({engine_output::kind::token, it.job.id, it.produced, at, it.cached});
      it.produced += 1;
    }
  }
  std::erase_if(running_, [&](sequence& it) {
    if (!it.decoding || it.produced < it.job.output_tokens) {
      return false;
    }
    finish_sequence(it, at, out);
    return true;
  });
}

void
engine_model::finish_sequence(sequence& it, time_point at, std::vector<engine_output>& out) {
  out.push_back({engine_output::kind::finished, it.job.id, it.produced, at, it.cached});
  release(it);
}

void
engine_model::admit_waiting(time_point at) {
  while (!waiting_.empty() && running_.size() < current_slots()) {
    if (!try_admit(waiting_.front(), at)) {
      return;
    }
    waiting_.pop_front();
  }
}

bool
engine_model::try_admit(sequence it, time_point at) {
  const auto& blocks = it.job.prefix_blocks;
  std::uint32_t prefix_hits = 0;
  while (prefix_hits < blocks.size() && cache_.contains(blocks[prefix_hits])) {
    prefix_hits += 1;
  }
  for (std::uint32_t i = 0; i < prefix_hits; ++i) {
    auto& block = cache_[blocks[i]];
    if (block.pins == 0) {
      unpinned_lru_.erase(block.lru_position);
    }
    block.pins += 1;
  }
  it.pinned = prefix_hits;
  const auto total_tokens = it.job.prompt_tokens + it.job.output_tokens;
  const auto needed = (total_tokens + options_.block_tokens - 1) / options_.block_tokens;
  it.reserved = needed > prefix_hits ? needed - prefix_hits : 0;
  // A job larger than the cache is admitted when no other runs; it would never run otherwise.
  if (!make_room(it.reserved, at) && !running_.empty()) {
    it.reserved = 0;
    release(it);
    return false;
  }
  reserved_ += it.reserved;
  const auto context = it.job.prompt_tokens + it.job.resume_from;
  it.cached = std::min(prefix_hits * options_.block_tokens, context > 0 ? context - 1 : 0);
  it.to_prefill = context - it.cached;
  running_.push_back(std::move(it));
  return true;
}

void
engine_model::release(const sequence& it) {
  for (std::uint32_t i = 0; i < it.pinned; ++i) {
    const auto found = cache_.find(it.job.prefix_blocks[i]);
    if (found != cache_.end() && found->second.pins > 0) {
      found->second.pins -= 1;
      if (found->second.pins == 0) {
        found->second.lru_position = unpinned_lru_.insert(unpinned_lru_.end(), found->first);
      }
    }
  }
  reserved_ -= std::min(reserved_, it.reserved);
}

// ---------------------------------------------------------------------------------------------
// Cache

std::uint32_t
engine_model::used_blocks() const {
  return reserved_ + static_cast<std::uint32_t>(cache_.size());
}

bool
engine_model::make_room(std::uint32_t blocks, time_point at) {
  std::vector<std::uint64_t> removed;
  while (used_blocks() + blocks > options_.blocks && !unpinned_lru_.empty()) {
    removed.push_back(unpinned_lru_.front());
    cache_.erase(unpinned_lru_.front());
    unpinned_lru_.pop_front();
  }
  if (!removed.empty()) {
    publish({}, std::move(removed), at);
  }
  return used_blocks() + blocks <= options_.blocks;
}

void
engine_model::store_block(std::uint64_t block, std::uint32_t pins) {
  cached_block it{pins, {}};
  if (pins == 0) {
    it.lru_position = unpinned_lru_.insert(unpinned_lru_.end(), block);
  }
  cache_.emplace(block, it);
}

void
engine_model::finish_prefill(sequence& it, time_point at) {
  std::vector<std::uint64_t> stored;
  // Moves blocks, in prompt order, from the sequence's reservation to the cache, where the sequence
  // pins them.
  while (it.pinned < it.job.prefix_blocks.size() && it.reserved > 0) {
    const auto block = it.job.prefix_blocks[it.pinned];
    if (cache_.contains(block)) {
      break;
    }
    store_block(block, 1);
    stored.push_back(block);
    it.pinned += 1;
    it.reserved -= 1;
    reserved_ -= 1;
  }
  if (!stored.empty()) {
    publish(std::move(stored), {}, at);
  }
}

void
engine_model::publish(std::vector<std::uint64_t> stored, std::vector<std::uint64_t> removed,
                      time_point at) {
  last_event_ += 1;
  if (options_.event_gap_in > 0 && random_() % options_.event_gap_in == 0) {
    return;
  }
  events_.push_back({last_event_, at + options_.event_lag, std::move(stored), std::move(removed)});
  if (events_.size() > max_events) {
    events_.pop_front();
  }
}

std::vector<published_event>
engine_model::events_after(std::uint64_t after, time_point now) const {
  std::vector<published_event> found;
  for (const auto& it : events_) {
    if (it.number > after && it.visible <= now) {
      found.push_back(it);
    }
  }
  return found;
}

std::vector<std::uint64_t>
engine_model::export_blocks(std::uint64_t job) const {
  for (const auto& it : running_) {
    if (it.job.id == job) {
      return {it.job.prefix_blocks.begin(), it.job.prefix_blocks.begin() + it.pinned};
    }
  }
  return {};
}

void
engine_model::import_blocks(const std::vector<std::uint64_t>& blocks, time_point now) {
  std::vector<std::uint64_t> stored;
  for (const auto block : blocks) {
    if (cache_.contains(block)) {
      continue;
    }
    if (!make_room(1, now)) {
      break;
    }
    store_block(block, 0);
    stored.push_back(block);
  }
  if (!stored.empty()) {
    publish(std::move(stored), {}, now);
  }
}

// ---------------------------------------------------------------------------------------------
// Reports and orders

engine_load
engine_model::load_now() const {
  engine_load load;
  load.running = static_cast<std::uint32_t>(running_.size());
  load.waiting = static_cast<std::uint32_t>(waiting_.size());
  for (const auto& it : waiting_) {
    load.waiting_tokens += it.job.prompt_tokens + it.job.resume_from;
  }
  for (const auto& it : running_) {
    load.waiting_tokens += it.to_prefill;
  }
  load.total_blocks = options_.blocks;
  load.free_blocks = options_.blocks - std::min(options_.blocks, reserved_);
  return load;
}

void
engine_model::record_load(time_point at) {
  reports_.push_back({load_now(), at});
  if (reports_.size() > max_reports) {
    reports_.pop_front();
  }
}

lagged_report
engine_model::report(time_point now) {
  const auto latest = now - options_.report_lag;
  while (reports_.size() > 1 && reports_[1].measured <= latest) {
    reports_.pop_front();
  }
  if (reports_.empty() || reports_.front().measured > latest) {
    return {engine_load{0, 0, 0, options_.blocks, options_.blocks}, latest};
  }
  return {reports_.front().load, latest};
}

void
engine_model::abort_all(time_point at, std::vector<engine_output>& out) {
  for (const auto& it : running_) {
    out.push_back({engine_output::kind::aborted, it.job.id, it.produced, at, it.cached});
    release(it);
  }
  for (const auto& it : waiting_) {
    out.push_back({engine_output::kind::aborted, it.job.id, it.produced, at, 0});
  }
  running_.clear();
  waiting_.clear();
  step_ends_.reset();
}

order_result
engine_model::order(fence authority, std::uint64_t order_sequence, const engine_state& target,
                    time_point now, std::vector<engine_output>& out) {
  if (options_.checks_fence && authority < highest_fence_) {
    return order_result::stale_fence;
  }
  if (order_sequence <= last_sequence_) {
    return order_result::stale_sequence;
  }
  if (changing()) {
    return order_result::changing;
  }
  highest_fence_ = options_.checks_fence ? std::max(highest_fence_, authority) : fence{};
  last_sequence_ = order_sequence;
  const bool loads_model = target.model != state_.model || target.version != state_.version ||
                           target.adapters != state_.adapters;
  if (!loads_model && target.role == state_.role) {
    return order_result::accepted;
  }
  abort_all(now, out);
  if (loads_model) {
    cache_.clear();
    unpinned_lru_.clear();
  }
  next_state_ = target;
  change_ends_ = now + (loads_model ? options_.load_time : options_.role_change_time);
  record_load(now);
  return order_result::accepted;
}

} // namespace nutmegspur::standin
