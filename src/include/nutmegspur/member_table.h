/// \file member_table.h
/// The entry instances (members) known to an instance, and which of them it considers alive.
///
/// A member is learned of from the instance list or from peers. Its heartbeat counter increases
/// while it runs, and the entry with the greater heartbeat wins. An instance that was presumed dead
/// by mistake is therefore restored by its next heartbeat.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/member_ring.h>
#include <nutmegspur/peer.h>

#include <map>
#include <vector>

namespace nutmegspur {

/// A member that is presumed dead or leaving and no longer on the instance list is removed after
/// this time without contact.
inline constexpr seconds member_retention_period{60};

/// State of one entry instance.
struct member {
  member_entry entry;
  bool listed = false;         ///< It is on the instance list.
  bool listed_leaving = false; ///< The instance list marks it as leaving.
  time_point last_contact{};   ///< Last message from it or connection to it; initially, when it
                               ///< was first learned of.
  time_point excluded_until{}; ///< Not considered alive before this time; used for other zones.
                               ///< The default value means not excluded.
};

/// All known entry instances, including this one.
class member_table {
 public:
  explicit member_table(member_entry self);

  [[nodiscard]] const member* find(const instance_id& id) const;

  [[nodiscard]] const std::map<instance_id, member>& all() const { return members_; }

  [[nodiscard]] const member_entry& self() const;
  /// Whether it is considered alive: neither leaving, presumed dead nor excluded.
  [[nodiscard]] bool alive(const instance_id& id) const;
  /// The zone's instances that are considered alive, by rank.
  [[nodiscard]] const std::vector<instance_id>& ring(const zone_id& zone) const;

  /// Increases with each change that may affect a ring.
  [[nodiscard]] std::uint64_t version() const { return version_; }

  /// Applies an entry of the instance list. Not reported to peers, because every relay reads the
  /// list itself.
  void on_listed(const listed_instance& it, time_point now);
  /// Merges an entry from a peer. Returns whether the member is new or its state changed, so that
  /// peers must be informed.
  bool merge(const member_entry& received, time_point now);
  /// Marks a member as presumed dead. Returns whether its state changed, as `merge` does.
  bool presume_dead(const instance_id& id);

  /// The instance is off the instance list. It is removed unless it is still `connected`.
  void on_unlisted(const instance_id& id, bool connected);
  /// Removes members that are off the list, presumed dead or leaving, and without contact for
  /// longer than `member_retention_period`.
  void prune(time_point now);
  /// Records direct contact with the member.
  void record_contact(const instance_id& id, time_point now);
  /// Treats an instance of another zone as not alive until `until`. Local: peers are not informed.
  void exclude(const instance_id& id, time_point until);
  /// Ends exclusions whose time has passed.
  void end_expired_exclusions(time_point now);
  /// Sets every last contact to `now`. Used after this process was paused, when the others only
  /// seemed silent.
  void reset_contact_times(time_point now);
  /// Increases this instance's heartbeat. It is at least the Unix time in milliseconds, so that it
  /// also increases across a restart under the same name.
  void advance_heartbeat(const moment& now);
  /// Marks this instance as leaving.
  void leave();

 private:
  member& add(const instance_id& id, time_point now);
  void mark_changed();

  instance_id self_;
  std::map<instance_id, member> members_;
  std::uint64_t version_ = 1;
  // Cache of rings for the current `version_`, filled on demand.
  mutable std::map<zone_id, std::vector<instance_id>> rings_;
};

} // namespace nutmegspur
