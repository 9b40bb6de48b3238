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

void
crash_watch::expire(const moment& now) {
  std::erase_if(processes_,
                [&](const auto& row) { return now.boot - row.second.last >= retention; });
}

crash_watch::next_step
crash_watch::on_broken(const moment& now, const upstream_process& process, const part_ids& parts) {
  expire(now);
  broken_attempts& it = processes_[process];
  it.last = now.boot;
  if (it.ended) {
    return next_step::count;
  }
  it.parts.insert(it.parts.end(), parts.begin(), parts.end());
  std::sort(it.parts.begin(), it.parts.end());
  it.parts.erase(std::unique(it.parts.begin(), it.parts.end()), it.parts.end());
  if (it.checked != time_point{} && now.boot - it.checked < check_period) {
    return next_step::none;
  }
  it.checked = now.boot;
  return next_step::check;
}

part_ids
crash_watch::on_ended(const upstream_process& process) {
  const auto it = processes_.find(process);
  if (it == processes_.end()) {
    return {};
  }
  it->second.ended = true;
  return std::exchange(it->second.parts, {});
}

} // namespace nutmegspur
