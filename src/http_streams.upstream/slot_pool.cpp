// Assignment of requests to connection groups.
#include "slot_pool.h"

#include <algorithm>

namespace nutmegspur::http_streams {

std::string
slot_pool::next_name() {
  return "slot-" + std::to_string(++last_name_);
}

connection_slot
slot_pool::take(const std::string& endpoint) {
  auto& groups = groups_[endpoint];
  auto it = std::find_if(groups.begin(), groups.end(),
                         [](const group& g) { return g.used < requests_in_group; });
  if (it == groups.end()) {
    it = groups.insert(groups.end(), group{next_name(), 0});
  }
  ++it->used;
  return {endpoint, it->name};
}

connection_slot
slot_pool::take_fresh(const std::string& endpoint) {
  return {endpoint, next_name()};
}

void
slot_pool::give_back(const connection_slot& slot, bool retire) {
  const auto found = groups_.find(slot.endpoint);
  if (found == groups_.end()) {
    return;
  }
  auto& groups = found->second;
  const auto it = std::find_if(groups.begin(), groups.end(),
                               [&slot](const group& g) { return g.name == slot.name; });
  if (it == groups.end()) {
    return;
  }
  if (retire) {
    groups.erase(it);
  } else {
    --it->used;
  }
}

} // namespace nutmegspur::http_streams
