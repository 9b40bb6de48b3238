/// \file member_table.h
/// The entry instances that an instance knows, and whether it counts on them.
///
/// A member is known from the instance list or from peers. Its heartbeat grows while it lives; news
/// with a greater heartbeat wins, so an instance that was given up by mistake comes back with its
/// next heartbeat.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/member_ring.h>
#include <nutmegspur/peer.h>

#include <map>
#include <vector>

namespace nutmegspur {

/// Silence after which an instance that is gone and off the list is forgotten.
inline constexpr seconds member_retention_period{60};

/// One entry instance.
struct member {
  member_entry entry;
  bool listed = false;         ///< The instance list shows it.
  bool listed_leaving = false; ///< The instance list shows it as leaving.
  time_point last_contact{};   ///< Last direct sign of life, or when it was first known.
  time_point excluded_until{}; ///< Not counted on before; for instances of other zones.
};

/// All known entry instances, this one included.
class member_table {
 public:
  explicit member_table(member_entry self);

  [[nodiscard]] const member* find(const instance_id& id) const;

  [[nodiscard]] const std::map<instance_id, member>& all() const { return members_; }

  [[nodiscard]] const member_entry& self() const;
  /// Whether it is counted on: neither leaving nor given up.
  [[nodiscard]] bool alive(const instance_id& id) const;
  /// The zone's instances that are counted on, in the order of their ranks.
  [[nodiscard]] const std::vector<instance_id>& ring(const zone_id& zone) const;

  /// Grows with each change of any ring.
  [[nodiscard]] std::uint64_t version() const { return version_; }

  /// Takes over what the list shows; every relay reads that itself.
  void on_listed(const listed_instance& it, time_point now);
  /// Each of these returns whether the member's state changed, so that peers should hear of it.
  bool merge(const member_entry& received, time_point now);
  bool presume_dead(const instance_id& id);

  /// The list does not show it any more; one that is `connected` stays known.
  void on_unlisted(const instance_id& id, bool connected);
  /// Forgets those that are off the list, gone or leaving, and long silent.
  void prune(time_point now);
  /// Notes a direct sign of life.
  void record_contact(const instance_id& id, time_point now);
  /// Counts an instance of another zone out for a while, without telling anybody.
  void exclude(const instance_id& id, time_point until);
  /// Ends the avoidance of those whose time has come.
  void end_expired_exclusions(time_point now);
  /// Forgets silences, after this process was itself paused.
  void reset_contact_times(time_point now);
  /// The own heartbeat grows; it also grows over a restart of the same name.
  void advance_heartbeat(const moment& now);
  /// This instance is leaving.
  void leave();

 private:
  member& add(const instance_id& id, time_point now);
  void mark_changed();

  instance_id self_;
  std::map<instance_id, member> members_;
  std::uint64_t version_ = 1;
  // Rings as of `version_`, made when asked for.
  mutable std::map<zone_id, std::vector<instance_id>> rings_;
};

} // namespace nutmegspur
