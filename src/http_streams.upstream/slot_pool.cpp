// Assignment of requests to connection groups.
#include "slot_pool.h"

#include <algorithm>

namespace nutmegspur::http_streams {

std::string
slot_pool::next_group_name() {
  return "slot-" + std::to_string(++last_group_number_);
}

connection_slot
slot_pool::acquire(const std::string& endpoint) {
  auto& groups = groups_[endpoint];
  auto it = std::find_if(groups.begin(), groups.end(),
                         [](const group& g) { return g.used < requests_per_group; });
  if (it == groups.end()) {
    it = groups.insert(groups.end(), group{next_group_name(), 0});
  }
  ++it->used;
  return {endpoint, it->name};
}

connection_slot
slot_pool::acquire_unshared(const std::string& endpoint) {
  return {endpoint, next_group_name()};
}

void
slot_pool::release(const connection_slot& slot, bool retire) {
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
