/// \file upstream_tracker.h
/// Owns the upstream table and merges the information about each upstream from all sources.
///
/// An upstream stops taking work on the first of these signals: the instance list, an operator's
/// drain, its own closing signal, or a peer's notice. A closing signal holds until the upstream is
/// off the list. An upstream that was only found to be gone is restored by its next report.
#pragma once

#include <nutmegspur/instance_view.h>
#include <nutmegspur/upstream_table.h>

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace nutmegspur {

/// Queries to other parts. An empty function counts as returning false.
struct upstream_tracker_hooks {
  /// Whether an operator's drain is active.
  std::function<bool(const upstream_id&)> drained;
  /// Whether an order that changes the upstream is open or about to be written.
  std::function<bool(const upstream_id&)> change_ordered;
};

/// Tracks the upstreams of all zones; loads are kept up to date only for this instance's
/// zone.
class upstream_tracker {
 public:
  explicit upstream_tracker(upstream_tracker_hooks hooks) : hooks_(std::move(hooks)) {}

  [[nodiscard]] const upstream_map& all() const { return upstreams_; }

  /// Mutable, for parts that record their own work in progress in the table.
  [[nodiscard]] upstream_map& all() { return upstreams_; }

  /// Applies changes of the instance list and logs them.
  void on_list(const view_change& change, action_list& out);
  /// Updates the table from the drains and open change orders that the hooks report.
  void refresh_drains_and_changes();

  /// Applies a closing signal. Returns the notice to send to peers if the upstream was not known to
  /// be leaving.
  std::optional<upstream_notice> on_closing(const upstream_closing& closing, action_list& out);
  /// Applies a peer's notice. Returns whether it changed anything and must be forwarded.
  bool on_notice(const upstream_notice& notice, action_list& out);
  /// Applies a report. Returns a notice to send to peers if an upstream that was gone is back.
  std::optional<upstream_notice> on_report(const engine_report& report, action_list& out);

  /// Sets the minimum interval at which the load of one engine is forwarded, whichever instance
  /// polls it.
  void set_load_period(duration period) { load_period_ = period; }

  /// Applies cache events, which must arrive in order.
  void on_cache(const cache_event& ev);
  /// Applies a peer's digest; `from` is recorded so that nothing is sent back to it.
  void on_digest(const instance_id& from, const load_digest& digest, const moment& now);

  /// Updates since the last `mark_sent` that did not come from `peer`: states and, if `loads`,
  /// loads.
  [[nodiscard]] load_digest updates_for(const instance_id& peer, bool loads,
                                        const moment& now) const;
  /// All known states, and the loads of upstreams in `zone`.
  [[nodiscard]] load_digest full_digest(const zone_id& zone, const moment& now) const;
  /// Discards the updates that `updates_for` returns, after they were sent.
  void mark_sent();

 private:
  void add(const listed_instance& it, action_list& out);
  void remove(const upstream_id& id, action_list& out);
  void update_leaving(const upstream_id& id, action_list& out);

  // Per-upstream state that is not in the table: its leaving signals and forwarding times.
  struct tracking {
    bool listed_leaving = false;
    bool closing = false;           ///< It announced that it is closing; holds while listed.
    bool gone = false;              ///< It was found to be gone; holds until its next report.
    time_point load_forwarded_at{}; ///< Measurement time of the last load forwarded.
    moment state_measured_at{};
    bool state_known = false;
  };

  [[nodiscard]] load_digest_entry load_of(const upstream_id& id, const moment& now) const;
  [[nodiscard]] engine_state_entry state_of(const upstream_id& id, const moment& now) const;
  // Returns whether the state changed.
  bool set_state(const upstream_id& id, const engine_state& state, bool changing,
                 const moment& measured);

  upstream_tracker_hooks hooks_;
  upstream_map upstreams_;
  std::map<upstream_id, tracking> tracking_; ///< Invariant: the same keys as `upstreams_`.
  duration load_period_{0};
  // Loads and states not yet forwarded, with the peer they came from (empty: polled here).
  std::map<upstream_id, instance_id> unsent_loads_;
  std::map<upstream_id, instance_id> unsent_states_;
};

} // namespace nutmegspur
