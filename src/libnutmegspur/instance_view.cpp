// Applies lists and updates to an instance's copy of the instance list.
#include <nutmegspur/instance_view.h>
#include <nutmegspur/member_ring.h>

#include <set>

namespace nutmegspur {

namespace {

std::uint64_t
hash_of(const listed_instance& it) {
  const std::string rest = it.zone.value + "/" + it.region + "/" + it.address + "/" +
                           std::to_string(it.port) + "/" + it.service + "/" +
                           std::string{to_name(it.kind)} + (it.leaving ? "/leaving" : "");
  return rendezvous_weight(it.name, rest);
}

} // namespace

void
instance_view::put(const listed_instance& it, view_change& change) {
  const auto [found, added] = instances_.try_emplace(it.name, it);
  if (!added) {
    if (found->second == it) {
      return;
    }
    hash_ ^= hash_of(found->second);
    found->second = it;
  }
  hash_ ^= hash_of(it);
  change.changed.push_back(it);
}

void
instance_view::remove(const std::string& name, view_change& change) {
  const auto it = instances_.find(name);
  if (it == instances_.end()) {
    return;
  }
  hash_ ^= hash_of(it->second);
  change.removed.push_back(std::move(it->second));
  instances_.erase(it);
}

view_change
instance_view::replace(const std::vector<listed_instance>& list) {
  view_change change;
  std::set<std::string> names;
  for (const auto& it : list) {
    names.insert(it.name);
    put(it, change);
  }
  std::vector<std::string> absent;
  for (const auto& [name, it] : instances_) {
    if (!names.contains(name)) {
      absent.push_back(name);
    }
  }
  for (const auto& it : absent) {
    remove(it, change);
  }
  return change;
}

view_change
instance_view::apply(const instance_list_update& update) {
  if (update.full) {
    return replace(update.changed);
  }
  view_change change;
  for (const auto& it : update.changed) {
    put(it, change);
  }
  for (const auto& it : update.removed) {
    remove(it, change);
  }
  return change;
}

instance_list_update
instance_view::full_update() const {
  instance_list_update update;
  update.full = true;
  update.changed.reserve(instances_.size());
  for (const auto& [name, it] : instances_) {
    update.changed.push_back(it);
  }
  return update;
}

instance_list_update
to_update(const view_change& change) {
  instance_list_update update{false, change.changed, {}};
  for (const auto& it : change.removed) {
    update.removed.push_back(it.name);
  }
  return update;
}

} // namespace nutmegspur
