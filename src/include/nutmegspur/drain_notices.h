/// \file drain_notices.h
/// Notifies a zone's instances that an upstream takes no new work while it changes, and tracks
/// whether all of them have acknowledged it.
///
/// A notice is repeated while the drain lasts. An instance that receives one marks the upstream as
/// changing and acknowledges the notice. It removes the mark `mark_lifetime` after the last notice,
/// so that a failed drain initiator does not keep an upstream out of use. The order that follows a
/// drain arrives before the mark expires.
#pragma once

#include <nutmegspur/decision.h>

#include <functional>
#include <map>
#include <vector>

namespace nutmegspur {

/// Callbacks into the rest of the node. Both are optional.
struct drain_hooks {
  /// The zone's other live entry instances.
  std::function<std::vector<instance_id>()> peers;
  /// Called when this instance's routing must stop or may resume giving an upstream new work.
  std::function<void(const upstream_id&, bool changing)> mark_changing;
};

/// Both sides of the protocol: drains started by this instance, and marks set by notices of others.
class drain_notices {
 public:
  /// Interval between notices.
  static constexpr seconds repeat_period{1};
  /// How long an acknowledgement is valid, counted from when its notice was sent.
  static constexpr seconds acknowledgement_validity{3};
  /// A mark lasts this long after the last notice. It covers `acknowledgement_validity`, the time
  /// in which an order may then be sent, and the time in which it may arrive (3 + 2 + 5 s).
  static constexpr seconds mark_lifetime{12};

  explicit drain_notices(drain_hooks hooks);

  /// Starts to send notices for `id`.
  void begin(const moment& now, const upstream_id& id, action_list& out);
  /// Ends the drain of `id`, if this instance started one.
  void end(const upstream_id& id, action_list& out);
  /// Whether this instance must give the upstream no new work.
  [[nodiscard]] bool marked(const upstream_id& id) const;
  /// Whether every peer has acknowledged a notice that was sent within `acknowledgement_validity`.
  [[nodiscard]] bool all_acknowledged(time_point now, const upstream_id& id) const;
  void step(const moment& now, const event& ev, action_list& out);

 private:
  struct local_drain {
    time_point next_notice;
    std::map<std::uint64_t, time_point> sent; ///< Send times of the newest notices, by number.
    std::map<instance_id, time_point>
        acknowledged; ///< Send time of the newest acknowledged notice.
  };

  struct mark {
    instance_id initiator;
    time_point until;
  };

  void on_tick(const moment& now, action_list& out);
  void on_notice(const moment& now, const instance_id& from, const upstream_notice& notice,
                 action_list& out);
  void on_acknowledgement(const instance_id& from, const upstream_notice& notice);
  void send_notices(const moment& now, const upstream_id& id, local_drain& it, action_list& out);
  void apply_mark(const upstream_id& id);
  [[nodiscard]] std::vector<instance_id> peers() const;

  drain_hooks hooks_;
  std::uint64_t last_notice_ = 0;
  std::map<upstream_id, local_drain> local_drains_;
  std::map<upstream_id, mark> marks_;
};

} // namespace nutmegspur
