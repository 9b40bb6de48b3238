// Records, writes and reads the origins of streams in the store.
#include "origin_store.h"

#include <algorithm>

namespace nutmegspur::proxy {

namespace {

constexpr milliseconds step_period{50};
constexpr milliseconds call_limit{500};
/// Pause after an update of the record that failed.
constexpr milliseconds retry_pause{250};
/// An origin without an upstream for this long is recorded anew before it is used again, and for
/// the second time is gone. In between all instances have noticed, whichever way they follow the
/// list.
constexpr milliseconds unlisted_after{2'000};
constexpr milliseconds gone_after{10'000};
/// The store counts as away after failing for this long.
constexpr milliseconds away_after{1'000};
/// Part of the store's writes that all instances together use for batches.
constexpr double share_of_writes = 0.25;
/// Writes that an instance may save up, as a time at its rate.
constexpr std::chrono::duration<double> write_burst{1.0};
constexpr std::size_t max_own_streams = 1'000;
/// Batches outlive their writer for as long as streams are resumed.
constexpr seconds batch_ttl{60};
constexpr milliseconds lease_renewal_period{20'000};

} // namespace

void
origin_store::start() {
  state_.loop.every(step_period, [this](const moment& now) { step(now); });
}

void
origin_store::step(const moment& now) {
  observe(now);
  ready_ = ready_ || (state_.upstreams_known && state_.config != nullptr &&
                      std::all_of(listed_.begin(), listed_.end(), [&](const auto& row) {
                        return may_begin(row.first.service, row.first.software_version);
                      }));
  if (!updating_ && record_is_due(now)) {
    update_record();
  }
  write_batch(now);
}

void
origin_store::observe(const moment& now) {
  std::erase_if(own_, [&](const auto& row) {
    return now.boot - row.second.began >= stream_origins::retention;
  });
  if (state_.config == nullptr || !state_.upstreams_known) {
    return;
  }
  std::set<service_id> services;
  for (const auto& route : state_.config->config().routes) {
    if (route.kind == route_kind::stream) {
      const auto used = services_in_use(route);
      services.insert(used.begin(), used.end());
    }
  }
  for (const auto* it : state_.upstreams.all()) {
    if (services.contains(it->service)) {
      listed_[{it->service, it->software_version}] = now.boot;
    }
  }
  std::erase_if(listed_, [&](const auto& row) { return now.boot - row.second >= gone_after; });
  // An origin that comes back is recorded anew: meanwhile another instance may have retired it.
  std::erase_if(recorded_, [&](const auto& it) { return !in_use(now, it); });
}

bool
origin_store::in_use(const moment& now, const stream_origin& origin) const {
  const auto it = listed_.find(origin);
  return it != listed_.end() && now.boot - it->second < unlisted_after;
}

bool
origin_store::record_is_due(const moment& now) const {
  if (now.boot < next_update_) {
    return false;
  }
  const bool lacks = std::any_of(listed_.begin(), listed_.end(), [&](const auto& row) {
    return in_use(now, row.first) && !recorded_.contains(row.first);
  });
  if (lacks) {
    return true;
  }
  const bool has_retired =
      std::any_of(record_.entries().begin(), record_.entries().end(),
                  [&](const auto& it) { return !it.gone && !listed_.contains(it.origin); });
  return has_retired && !listed_.empty() && store_.reachable() && peers_.rank(now) == 0;
}

void
origin_store::update_record() {
  updating_ = true;
  store_.call({duty::config, 0}, kv_range{std::string{possible_origins_key}, ""}, call_limit,
              [this](const platform_reply& reply) {
                if (reply.answer) {
                  on_record_read(std::get<kv_range_reply>(*reply.answer));
                } else {
                  end_update(false);
                }
              });
}

void
origin_store::on_record_read(const kv_range_reply& reply) {
  const moment now = http1::event_loop::now();
  const wall_time agreed = state_.clock.agreed(now).wall;
  origin_record record;
  revision modified{};
  if (!reply.pairs.empty()) {
    modified = reply.pairs.front().modified;
    auto read = origin_record::unpack(reply.pairs.front().value);
    if (read) {
      record = std::move(*read);
    } else {
      // What it listed is lost: the origin of no stream is clear until none of before is resumed.
      log(log_event::peer_rejected, read.error(), {{"key", std::string{possible_origins_key}}});
      record.add({});
      record.retire(agreed, {});
    }
  }
  std::set<stream_origin> not_gone;
  std::set<stream_origin> used;
  bool changed = false;
  for (const auto& [origin, at] : listed_) {
    not_gone.insert(origin);
    if (in_use(now, origin)) {
      used.insert(origin);
      changed = record.add(origin) || changed;
    }
  }
  if (peers_.rank(now) == 0 && store_.reachable()) {
    changed = record.retire(agreed, not_gone) || changed;
  }
  if (changed || !modified.value) {
    write_record(std::move(record), modified);
    return;
  }
  record_ = std::move(record);
  recorded_ = std::move(used);
  end_update(true);
}

void
origin_store::write_record(origin_record record, revision modified) {
  kv_txn txn;
  txn.conditions.push_back({std::string{possible_origins_key}, modified});
  txn.writes.push_back({std::string{possible_origins_key}, record.pack(), {}});
  store_.call({duty::config, 0}, txn, call_limit,
              [this, record = std::move(record)](const platform_reply& reply) {
                if (!reply.answer) {
                  end_update(false);
                  return;
                }
                if (!std::get<kv_txn_reply>(*reply.answer).applied) {
                  updating_ = false; // Another instance was first; read again in the next step.
                  return;
                }
                record_ = record;
                for (const auto& it : record_.entries()) {
                  if (!it.gone) {
                    recorded_.insert(it.origin);
                  }
                }
                end_update(true);
              });
}

void
origin_store::end_update(bool done) {
  const time_point now = http1::event_loop::now().boot;
  updating_ = false;
  if (done) {
    failing_since_ = time_point{};
    return;
  }
  next_update_ = now + retry_pause;
  if (failing_since_ == time_point{}) {
    failing_since_ = now;
  }
}

bool
origin_store::may_begin(const service_id& service, const std::string& version) const {
  if (recorded_.contains({service, version})) {
    return true;
  }
  const bool away = failing_since_ != time_point{} &&
                    http1::event_loop::now().boot - failing_since_ >= away_after;
  return away && state_.live_peers > 0;
}

void
origin_store::on_began(const std::string& request, const stream_origin& origin) {
  const moment now = http1::event_loop::now();
  if (request.size() > stream_origins::max_request_bytes) {
    return;
  }
  if (own_.size() >= max_own_streams) {
    own_.erase(std::min_element(own_.begin(), own_.end(), [](const auto& a, const auto& b) {
      return a.second.began < b.second.began;
    }));
  }
  own_[request] = {origin, now.boot};
  own_changed_ = true;
  write_batch(now);
}

void
origin_store::write_batch(const moment& now) {
  const double per_second = state_.settings.store_writes_per_second * share_of_writes /
                            static_cast<double>(state_.live_peers + 1);
  const std::chrono::duration<double> passed = now.boot - tokens_at_;
  write_tokens_ = std::min(std::max(write_burst.count() * per_second, 1.0),
                           write_tokens_ + passed.count() * per_second);
  tokens_at_ = now.boot;
  const bool several =
      record_.possible(state_.clock.agreed(now).wall, stream_origins::retention).size() > 1;
  if (!several || !own_changed_ || writing_ || write_tokens_ < 1 || !store_.reachable()) {
    return;
  }
  write_tokens_ -= 1;
  writing_ = true;
  if (!batch_.known()) {
    read_batch();
    return;
  }
  if (lease_.empty()) {
    grant_lease();
    return;
  }
  if (now.boot - lease_renewed_ >= lease_renewal_period) {
    lease_renewed_ = now.boot;
    store_.call({duty::config, 0}, lease_keep_alive{lease_}, call_limit, {});
  }
  put_batch();
}

void
origin_store::read_batch() {
  store_.call({duty::config, 0}, batch_.read(), call_limit, [this](const platform_reply& reply) {
    writing_ = false;
    if (reply.answer) {
      batch_.on_read(std::get<kv_range_reply>(*reply.answer));
      write_batch(http1::event_loop::now());
    }
  });
}

void
origin_store::grant_lease() {
  store_.call({duty::config, 0}, lease_grant{batch_ttl}, call_limit,
              [this](const platform_reply& reply) {
                if (!reply.answer) {
                  writing_ = false;
                  return;
                }
                lease_ = std::get<lease_reply>(*reply.answer).lease;
                lease_renewed_ = http1::event_loop::now().boot;
                put_batch();
              });
}

void
origin_store::put_batch() {
  std::vector<stream_origin_notice> streams;
  for (const auto& [request, it] : own_) {
    streams.push_back({request, it.origin});
  }
  own_changed_ = false;
  const kv_txn txn = batch_.write(pack_origin_batch(streams), lease_);
  store_.call({duty::config, 0}, txn, call_limit, [this](const platform_reply& reply) {
    writing_ = false;
    const cas_result written = batch_.on_written(reply);
    if (written != cas_result::applied) {
      own_changed_ = true;
    }
    if (written == cas_result::unknown) {
      lease_ = lease_id{}; // It may have ended.
    } else {
      write_batch(http1::event_loop::now());
    }
  });
}

void
origin_store::find(const std::string& request, milliseconds window, handler on_end) {
  questions_.push_back({request, window, std::move(on_end)});
  read_for_questions();
}

void
origin_store::read_for_questions() {
  if (being_read_.empty() && !questions_.empty()) {
    being_read_ = std::exchange(questions_, {});
    read_page(std::string{origin_prefix});
  }
}

void
origin_store::read_page(const std::string& from) {
  store_.call({duty::config, 0}, kv_range{from, prefix_end(origin_prefix)}, call_limit,
              [this](const platform_reply& reply) {
                if (reply.answer) {
                  on_page(std::get<kv_range_reply>(*reply.answer));
                } else {
                  end_read(false);
                }
              });
}

void
origin_store::on_page(const kv_range_reply& reply) {
  const moment now = http1::event_loop::now();
  for (const auto& it : reply.pairs) {
    if (it.key == possible_origins_key) {
      if (auto read = origin_record::unpack(it.value)) {
        record_ = std::move(*read);
      }
      continue;
    }
    const auto streams = unpack_origin_batch(it.value);
    if (!streams) {
      log(log_event::peer_rejected, streams.error(), {{"key", it.key}});
      continue;
    }
    for (const auto& stream : *streams) {
      state_.origins.add(now, stream.request, stream.origin);
    }
  }
  if (reply.more && !reply.pairs.empty()) {
    read_page(reply.pairs.back().key + std::string(1, '\0'));
  } else {
    end_read(true);
  }
}

std::optional<stream_origin>
origin_store::found(const question& it) const {
  const moment now = http1::event_loop::now();
  if (auto known = state_.origins.find(now, it.request)) {
    return known;
  }
  const auto possible = record_.possible(state_.clock.agreed(now).wall, it.window);
  return possible.size() == 1 ? std::optional{possible.front()} : std::nullopt;
}

void
origin_store::end_read(bool complete) {
  const auto asked = std::exchange(being_read_, {});
  for (const auto& it : asked) {
    it.on_end(complete ? found(it) : std::nullopt);
  }
  read_for_questions();
}

} // namespace nutmegspur::proxy
