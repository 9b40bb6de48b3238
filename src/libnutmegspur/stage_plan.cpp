// The split of engines between reading and making tokens.
#include <nutmegspur/stage_plan.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

std::size_t
stage_plan::wanted_readers(std::size_t engines) const {
  if (reader_share_ <= 0 || engines < 2) {
    return 0;
  }
  const auto n =
      static_cast<std::size_t>(std::lround(reader_share_ * static_cast<double>(engines)));
  return std::clamp<std::size_t>(n, 1, engines - 1);
}

std::vector<stage_change>
stage_plan::step(const moment& now, const std::vector<const listed_upstream*>& engines) {
  std::size_t readers = 0;
  std::vector<const listed_upstream*> free;
  for (const auto* it : engines) {
    const auto last = ordered_.find(it->id);
    const bool quiet = last != ordered_.end() && now.boot - last->second.at < quiet_time;
    // What was ordered is taken to happen.
    const engine_stage stage = quiet ? last->second.wanted : it->stage;
    readers += stage == engine_stage::prefill ? 1 : 0;
    if (!quiet) {
      free.push_back(it);
    }
  }
  const std::size_t wanted = wanted_readers(engines.size());
  std::vector<stage_change> out;
  for (const auto* it : free) {
    const bool reads = it->stage == engine_stage::prefill;
    const bool change = reads ? readers > wanted : readers < wanted;
    if (!change) {
      continue;
    }
    const engine_stage to = reads ? engine_stage::decode : engine_stage::prefill;
    readers = reads ? readers - 1 : readers + 1;
    ordered_[it->id] = {now.boot, to};
    out.push_back({it->id, to});
  }
  return out;
}

} // namespace nutmegspur
