// Attempts that broke at processes which may have ended.
#include <nutmegspur/crash_watch.h>
#include <nutmegspur/hashing.h>

#include <algorithm>

namespace nutmegspur {

std::uint64_t
process_key(const upstream_process& process) {
  return mix_bits(fnv1a(fnv_basis, process.id.value) ^
                  mix_bits(static_cast<std::uint64_t>(process.started_ms)));
}

bool
crash_suspects::empty() const {
  return std::all_of(ids_.begin(), ids_.end(), [](const auto& it) { return it.empty(); });
}

void
crash_suspects::add(const crash_suspects& others) {
  for (const auto kind : blame_kinds) {
    part_ids& ids = of(kind);
    const part_ids& more = others.of(kind);
    ids.insert(ids.end(), more.begin(), more.end());
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  }
}

void
crash_watch::expire(const moment& now) {
  std::erase_if(processes_,
                [&](const auto& row) { return now.boot - row.second.last >= retention; });
}

crash_watch::next_step
crash_watch::on_broken(const moment& now, const upstream_process& process,
                       const crash_suspects& suspects) {
  expire(now);
  broken_attempts& it = processes_[process];
  it.last = now.boot;
  if (it.ended) {
    return next_step::count;
  }
  it.suspects.add(suspects);
  if (it.checked != time_point{} && now.boot - it.checked < check_period) {
    return next_step::none;
  }
  it.checked = now.boot;
  return next_step::check;
}

crash_suspects
crash_watch::on_ended(const upstream_process& process) {
  const auto it = processes_.find(process);
  if (it == processes_.end()) {
    return {};
  }
  it->second.ended = true;
  return std::exchange(it->second.suspects, {});
}

} // namespace nutmegspur
