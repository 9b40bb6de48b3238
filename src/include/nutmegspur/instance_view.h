/// \file instance_view.h
/// The instance list as an instance holds it, and the changes between two states of it.
#pragma once

#include <nutmegspur/peer.h>

#include <map>
#include <string>
#include <vector>

namespace nutmegspur {

/// What a list or an update changed.
struct view_change {
  std::vector<listed_instance> changed; ///< New or different.
  std::vector<listed_instance> removed;

  [[nodiscard]] bool empty() const { return changed.empty() && removed.empty(); }
};

/// The list, by name.
class instance_view {
 public:
  /// Takes a whole list.
  view_change replace(const std::vector<listed_instance>& list);
  /// Takes a peer's update.
  view_change apply(const instance_list_update& update);

  /// All of it, as an update that replaces what a peer holds.
  [[nodiscard]] instance_list_update full_update() const;

  /// The same for two views exactly if, but for chance, they hold the same list.
  [[nodiscard]] std::uint64_t hash() const { return hash_; }

  [[nodiscard]] const std::map<std::string, listed_instance>& all() const { return instances_; }

 private:
  void put(const listed_instance& it, view_change& change);
  void remove(const std::string& name, view_change& change);

  std::map<std::string, listed_instance> instances_;
  // Invariant: the exclusive or of the hashes of all entries.
  std::uint64_t hash_ = 0;
};

/// The update that carries `change`.
instance_list_update to_update(const view_change& change);

} // namespace nutmegspur
