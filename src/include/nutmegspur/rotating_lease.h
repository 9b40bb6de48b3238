/// \file rotating_lease.h
/// A lease of the key-value service that gives many records the same lifetime.
///
/// A new lease is granted every `rotation`, and none is kept alive: a record attached to the
/// current one lives for at least `lifetime` and at most `lifetime` and a rotation. One grant in a
/// rotation serves any number of records.
#pragma once

#include <nutmegspur/platform.h>

#include <cstdint>
#include <optional>

namespace nutmegspur {

/// Pure; its owner sends the grants and hands in the replies.
class rotating_lease {
 public:
  static constexpr seconds rotation{3600};
  /// Between two tries while no lease can be had.
  static constexpr seconds retry_pause{60};

  /// A zero `lifetime` never asks for a lease: records live for ever.
  explicit rotating_lease(seconds lifetime) : lifetime_(lifetime) {}

  /// The lease to attach records to; zero while there is none.
  [[nodiscard]] lease_id current() const { return current_; }

  /// Whether a grant should be asked for now.
  [[nodiscard]] bool grant_due(time_point now) const;
  /// The grant to ask for, under call `number`.
  lease_grant next_grant(std::uint64_t number, time_point now);
  /// Takes the reply to call `number`; false if it is not this lease's.
  bool accept_reply(const platform_reply& reply);
  /// A record could not be attached: the store may have lost the lease. The next one is due at
  /// once.
  void invalidate(time_point now);

 private:
  seconds lifetime_;
  lease_id current_;
  std::uint64_t pending_call_ = 0; ///< Grant under way; 0 if none.
  time_point next_grant_{};
};

} // namespace nutmegspur
