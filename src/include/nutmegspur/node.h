/// \file node.h
/// The decision core of one entry instance: composes all its parts behind one function,
/// `step(now, event) -> actions`.
///
/// It uses no sockets, threads, clocks or files. The daemon's decision thread and the tests call it
/// in the same way.
#pragma once

#include <nutmegspur/decision.h>
#include <nutmegspur/settings.h>

#include <memory>

namespace nutmegspur {

/// The decision core of one instance. Not thread-safe.
class node {
 public:
  /// Creates the core with the policies named in the settings. Fails if one is not registered.
  static result<std::unique_ptr<node>> make(const settings& config, std::uint64_t seed);

  node(const node&) = delete;
  node& operator=(const node&) = delete;
  ~node();

  /// Processes one event and returns the actions to execute, in order.
  action_list step(const moment& now, const event& ev);

 private:
  struct parts;

  explicit node(std::unique_ptr<parts> all);

  std::unique_ptr<parts> parts_;
};

} // namespace nutmegspur
