/// \file node.h
/// The decision core of one entry instance: all parts composed, `step(now, event) -> actions`.
///
/// No socket, thread, clock or file is in here; the daemon's decision thread and the tests drive it
/// in the same way.
#pragma once

#include <nutmegspur/decision.h>
#include <nutmegspur/settings.h>

#include <memory>

namespace nutmegspur {

/// One instance's decisions.
class node {
 public:
  /// Fails if a policy named in the settings is not registered.
  static result<std::unique_ptr<node>> make(const settings& config, std::uint64_t seed);

  node(const node&) = delete;
  node& operator=(const node&) = delete;
  ~node();

  /// Feeds one event; the actions come back in the order in which they should be carried out.
  action_list step(const moment& now, const event& ev);

 private:
  struct parts;

  explicit node(std::unique_ptr<parts> all);

  std::unique_ptr<parts> parts_;
};

} // namespace nutmegspur
