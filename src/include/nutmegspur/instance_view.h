/// \file instance_view.h
/// An instance's copy of the instance list, the changes between two states of it, and a hash by
/// which two instances compare their copies.
#pragma once

#include <nutmegspur/peer.h>

#include <map>
#include <string>
#include <vector>

namespace nutmegspur {

/// The changes that a list or an update made to the copy.
struct view_change {
  std::vector<listed_instance> changed; ///< New or different.
  std::vector<listed_instance> removed;

  [[nodiscard]] bool empty() const { return changed.empty() && removed.empty(); }
};

/// The copy of the instance list, keyed by name.
class instance_view {
 public:
  /// Replaces the copy by `list`; entries that `list` lacks are removed.
  view_change replace(const std::vector<listed_instance>& list);
  /// Applies a peer's update.
  view_change apply(const instance_list_update& update);

  /// The whole copy, as an update that replaces the receiver's copy.
  [[nodiscard]] instance_list_update full_update() const;

  /// Equal for equal lists; different lists have different hashes except for collisions.
  [[nodiscard]] std::uint64_t hash() const { return hash_; }

  [[nodiscard]] const std::map<std::string, listed_instance>& all() const { return instances_; }

 private:
  void put(const listed_instance& it, view_change& change);
  void remove(const std::string& name, view_change& change);

  std::map<std::string, listed_instance> instances_;
  // Invariant: the exclusive or of the hashes of all entries, so that a changed entry updates it
  // without rehashing the others.
  std::uint64_t hash_ = 0;
};

/// Converts `change` to an incremental update.
instance_list_update to_update(const view_change& change);

} // namespace nutmegspur
