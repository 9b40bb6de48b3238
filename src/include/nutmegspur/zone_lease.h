/// \file zone_lease.h
/// The lease on a zone's duties: its holder, one entry instance of the zone, sends the zone's
/// orders and reports its usage.
///
/// The lease is the key `lease/zone/<zone>`, created by compare-and-swap and attached to a lease of
/// the key-value service. The key's creation revision is the fence. A holder's authority ends by
/// its own clock before the store can give the key to another instance; while the store is
/// unavailable the authority is not extended.
#pragma once

#include <nutmegspur/authority.h>
#include <nutmegspur/decision.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace nutmegspur {

/// Settings of a zone lease.
struct zone_lease_settings {
  instance_id self;
  zone_id zone;
  /// Time to live of the key-value service's lease.
  seconds ttl{10};
};

/// Functions through which a zone lease reaches the rest of the node. Empty functions mean rank 0
/// and never busy.
struct zone_lease_hooks {
  /// This instance's position among the zone's live entry instances, from 0.
  std::function<unsigned()> rank;
  /// Whether the authority is still needed; a graceful stop waits until it is not.
  std::function<bool()> busy;
};

/// Acquires, renews and releases the lease. Only the lowest ranks of a zone make store calls for
/// it: the holder renews the lease, the other candidates read the key periodically.
class zone_lease final : public authority_source {
 public:
  /// Number of ranks that try to acquire the lease; the others make no calls.
  static constexpr unsigned max_candidates = 3;

  zone_lease(zone_lease_settings config, zone_lease_hooks hooks);

  [[nodiscard]] std::optional<authority> current(time_point now) const override;

  /// The holder last seen in the store; may be this instance.
  [[nodiscard]] const std::optional<instance_id>& last_seen_holder() const {
    return last_seen_holder_;
  }

  /// Whether a graceful stop has released the lease.
  [[nodiscard]] bool released() const { return phase_ == phase::released; }

  void step(const moment& now, const event& ev, action_list& out);
  /// The store was restored from an older copy. The authority ends at once; the lease is neither
  /// renewed nor revoked, because its id may have been given out again.
  void on_store_restored(const moment& now, action_list& out);

 private:
  enum class phase {
    waiting,    ///< Not held; reads the key at `next_try_`.
    reading,    ///< The key is being read.
    granting,   ///< A lease of the key-value service is being granted.
    writing,    ///< The key is being created.
    confirming, ///< The key is being read back.
    held,       ///< This instance holds the key, unless it has expired.
    released,   ///< Released; it is not acquired again.
  };

  void on_tick(const moment& now, action_list& out);
  void on_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_read(const moment& now, const platform_reply& reply, action_list& out);
  void on_granted(const moment& now, const platform_reply& reply, action_list& out);
  void on_written(const moment& now, const platform_reply& reply, action_list& out);
  void on_confirmed(const moment& now, const platform_reply& reply, action_list& out);
  void on_renewed(const moment& now, const platform_reply& reply, action_list& out);
  void on_stop(const moment& now, action_list& out);

  void read_key(const moment& now, action_list& out, phase next);
  void renew(const moment& now, action_list& out);
  void revoke_lease(action_list& out);
  void wait_before_retry(const moment& now, duration span);
  void mark_lost(const moment& now, const char* why, action_list& out);
  void call(const moment& now, platform_request request, action_list& out);
  [[nodiscard]] duration jittered(duration span);
  [[nodiscard]] duration poll_period();
  [[nodiscard]] time_point valid_until(time_point asked_at) const;

  [[nodiscard]] unsigned rank() const { return hooks_.rank ? hooks_.rank() : 0; }

  zone_lease_settings config_;
  zone_lease_hooks hooks_;
  phase phase_ = phase::waiting;
  std::uint64_t last_call_ = 0;
  std::uint64_t pending_call_ = 0;   ///< Call whose reply ends the phase; 0 if none.
  time_point asked_at_;              ///< When the last call was made.
  std::set<std::uint64_t> renewals_; ///< Keep-alive calls in progress.
  lease_id lease_;
  time_point granted_at_; ///< When the grant of `lease_` was requested.
  std::string writer_token_;
  fence fence_;
  /// End of the authority. Invariant: at most the ttl minus the margin after the last successful
  /// grant or renewal was requested.
  time_point until_;
  time_point next_try_;
  time_point next_renewal_;
  bool stopping_ = false;
  std::uint64_t jitter_state_ = 0;
  std::optional<instance_id> last_seen_holder_;
};

} // namespace nutmegspur
