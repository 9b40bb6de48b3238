/// \file rotating_lease.h
/// A lease of the key-value service that is shared by many records with the same lifetime.
///
/// A new lease is requested once per `rotation` and none is renewed, so a record attached to the
/// current one lives at least `lifetime` and at most about `lifetime` plus one rotation. One grant
/// per rotation serves any number of records.
#pragma once

#include <nutmegspur/platform.h>

#include <cstdint>
#include <optional>

namespace nutmegspur {

/// Keeps state only: its owner sends the grant requests and passes in the replies.
class rotating_lease {
 public:
  static constexpr seconds rotation{3600};
  /// Delay before a failed grant is retried.
  static constexpr seconds retry_pause{60};

  /// With a zero `lifetime` no lease is requested: records live for ever.
  explicit rotating_lease(seconds lifetime) : lifetime_(lifetime) {}

  /// The lease that records are attached to; zero if there is none.
  [[nodiscard]] lease_id current() const { return current_; }

  /// Whether a new lease should be requested now.
  [[nodiscard]] bool grant_due(time_point now) const;
  /// Returns the grant request to send as call `number`.
  lease_grant next_grant(std::uint64_t number, time_point now);
  /// Processes the reply to a grant request; false if the reply is to another call.
  bool accept_reply(const platform_reply& reply);
  /// Call this if a record could not be attached because the store no longer knows the lease. The
  /// next grant is due immediately.
  void invalidate(time_point now);

 private:
  seconds lifetime_;
  lease_id current_;
  std::uint64_t pending_call_ = 0; ///< Grant request in progress; 0 if none.
  time_point next_grant_{};
};

} // namespace nutmegspur
