// Applies changed entries of the replica to the list of upstreams.
#include <nutmegspur/upstream_derivation.h>

namespace nutmegspur {

std::vector<derived_upstream>
upstream_derivation::step(const moment& now, const store_replica& replica, upstream_list& list) {
  std::vector<derived_upstream> all;
  for (const auto& key : changes_.take(replica)) {
    derived_upstream it;
    it.id = upstream_id{key.substr(prefix_.size())};
    const auto* held = replica.find(key);
    if (held != nullptr) {
      const auto entry = parse_(key, held->value);
      if (entry) {
        it.how = list.put(*entry, held->modified);
        all.push_back(std::move(it));
        continue;
      }
      it.unreadable = entry.error();
    }
    it.how = list.remove(now, it.id, replica.revision_of(key));
    all.push_back(std::move(it));
  }
  return all;
}

} // namespace nutmegspur
