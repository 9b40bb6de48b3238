/// \file slot_pool.h
/// Names of connection groups.
///
/// The HTTP library opens at most six connections to a host and port, and counts them for each
/// "peer verify name". A name for every six requests lifts the bound over plain HTTP.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegspur::http_streams {

/// A place in a connection group. Released by the same pool.
struct connection_slot {
  std::string endpoint; ///< "address:port"
  std::string name;
};

/// All connection groups of a worker.
class slot_pool {
 public:
  static constexpr std::uint32_t requests_in_group = 6;

  /// A place in a group of `endpoint` that has one free.
  connection_slot take(const std::string& endpoint);
  /// A group that nobody else had or will have: its connection is new.
  connection_slot take_fresh(const std::string& endpoint);
  /// Gives a place back. A retired group is not used again: its other connections may be just as
  /// dead as the one that showed it.
  void give_back(const connection_slot& slot, bool retire);

 private:
  struct group {
    std::string name;
    std::uint32_t used = 0;
  };

  std::string next_name();

  // Groups that may be taken from; retired and fresh ones are not in here.
  std::map<std::string, std::vector<group>> groups_;
  std::uint64_t last_name_ = 0;
};

} // namespace nutmegspur::http_streams
