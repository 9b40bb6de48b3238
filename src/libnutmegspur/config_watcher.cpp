// Opens and replaces watches, with a progress deadline and backoff.
#include <nutmegspur/config_watcher.h>
#include <nutmegspur/records.h>

#include <algorithm>

namespace nutmegspur {

namespace {

// The platform sends a progress notification every second.
constexpr milliseconds progress_deadline{2200};
// Time allowed for the start of a watch before another one is tried.
constexpr milliseconds start_deadline{3500};
constexpr milliseconds initial_wait{100};
constexpr std::uint32_t max_doublings = 10;

} // namespace

std::vector<config_watcher::open_watch>::iterator
config_watcher::find(call_id call) {
  return std::find_if(watches_.begin(), watches_.end(),
                      [&](const open_watch& it) { return it.id == call; });
}

bool
config_watcher::owns(call_id call) const {
  return std::any_of(watches_.begin(), watches_.end(),
                     [&](const open_watch& it) { return it.id == call; });
}

bool
config_watcher::has_live_watch(const moment& now) const {
  return std::any_of(watches_.begin(), watches_.end(), [&](const open_watch& it) {
    return it.established && now.boot - it.last_progress <= progress_deadline;
  });
}

void
config_watcher::open(const moment& now, revision at, action_list& out) {
  const call_id id = numbers_.next();
  watches_.push_back({id, at, false, now.boot});
  const watch_start what{std::string{config_prefix}, prefix_end(config_prefix),
                         revision{at.value + 1}};
  out.push_back(call_platform{id, what});
}

void
config_watcher::record_failure(const moment& now) {
  ++failures_;
  last_failure_ = now.boot;
}

void
config_watcher::drop_timed_out_starts(const moment& now, action_list& out) {
  const auto timed_out = [&](const open_watch& it) {
    return !it.established && now.boot - it.last_progress > start_deadline;
  };
  for (const auto& it : watches_) {
    if (timed_out(it)) {
      out.push_back(call_platform{numbers_.next(), watch_stop{it.id}});
      record_failure(now);
    }
  }
  std::erase_if(watches_, timed_out);
}

void
config_watcher::maintain(const moment& now, bool wanted, revision at, duration max_wait,
                         action_list& out) {
  if (!wanted) {
    stop(out);
    return;
  }
  drop_timed_out_starts(now, out);
  const bool starting = std::any_of(watches_.begin(), watches_.end(),
                                    [](const open_watch& it) { return !it.established; });
  if (starting || has_live_watch(now)) {
    return;
  }
  const duration doubled = initial_wait * (1U << std::min(failures_, max_doublings));
  const auto wait =
      std::chrono::duration_cast<duration>(std::min(doubled, max_wait) * options_.retry_jitter);
  if (failures_ == 0 || now.boot - last_failure_ >= wait) {
    open(now, at, out);
  }
}

void
config_watcher::stop(action_list& out) {
  for (const auto& it : watches_) {
    out.push_back(call_platform{numbers_.next(), watch_stop{it.id}});
  }
  watches_.clear();
}

bool
config_watcher::on_reply(const moment& now, const platform_reply& reply, action_list& out) {
  const auto it = find(reply.call);
  if (!reply.answer) {
    watches_.erase(it);
    record_failure(now);
    return false;
  }
  it->established = true;
  it->last_progress = now.boot;
  failures_ = 0;
  // The new watch is established, so the older ones are closed.
  for (auto old = watches_.begin(); old != it; ++old) {
    out.push_back(call_platform{numbers_.next(), watch_stop{old->id}});
  }
  watches_.erase(watches_.begin(), it);
  return true;
}

revision
config_watcher::on_batch(const moment& now, const watch_batch& batch) {
  const auto it = find(batch.watch);
  it->established = true;
  it->last_progress = now.boot;
  failures_ = 0;
  // A batch with changes is complete only up to its last change: more changes may follow up to the
  // store's revision. A batch without changes is a progress notification up to that revision.
  revision upto = batch.changes.empty() ? batch.store : revision{};
  for (const auto& change : batch.changes) {
    upto = std::max(upto, change.modified);
  }
  it->complete_upto = std::max(it->complete_upto, upto);
  return it->complete_upto;
}

void
config_watcher::on_ended(const moment& now, const watch_ended& ended) {
  const auto it = find(ended.watch);
  watches_.erase(it);
  record_failure(now);
}

} // namespace nutmegspur
