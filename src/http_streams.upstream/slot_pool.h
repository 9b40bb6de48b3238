/// \file slot_pool.h
/// Assigns requests to connection groups, which lifts the connection limit of the HTTP library.
///
/// The library opens at most six connections to a host and port, and counts them separately for
/// each "peer verify name". Over plain HTTP the name has no other effect, so a new name for every
/// six requests allows any number of connections.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegspur::http_streams {

/// A place in a connection group. Must be released to the pool that gave it.
struct connection_slot {
  std::string endpoint; ///< "address:port"
  std::string name;
};

/// All connection groups of a worker.
class slot_pool {
 public:
  static constexpr std::uint32_t requests_per_group = 6;

  /// A place in a group of `endpoint` with room; opens a new group if there is none.
  connection_slot acquire(const std::string& endpoint);
  /// A place in a group that is used only once, so that its connection is new.
  connection_slot acquire_unshared(const std::string& endpoint);
  /// Releases a place. A retired group is not used again: if one of its connections is dead, the
  /// others may be dead too.
  void release(const connection_slot& slot, bool retire);

 private:
  struct group {
    std::string name;
    std::uint32_t used = 0;
  };

  std::string next_group_name();

  // Groups that may be shared; without retired groups and those of `acquire_unshared`.
  std::map<std::string, std::vector<group>> groups_;
  std::uint64_t last_group_number_ = 0;
};

} // namespace nutmegspur::http_streams
