/// \file upstream_tracker.h
/// Owns the upstream table and merges what is heard of each upstream.
///
/// An upstream is leaving by whichever sign comes first: the instance list, an operator's drain,
/// its own closing sign, or a peer's notice. A closing sign holds until the upstream is off the
/// list; one that was only seen gone comes back with its next report.
#pragma once

#include <nutmegspur/instance_view.h>
#include <nutmegspur/upstream_table.h>

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace nutmegspur {

/// What the tracker must know of other parts. Empty functions mean no.
struct upstream_tracker_hooks {
  /// Whether an operator's drain is in force.
  std::function<bool(const upstream_id&)> drained;
  /// Whether an order that changes it is open or about to be written.
  std::function<bool(const upstream_id&)> change_ordered;
};

/// The upstreams of all zones; load is known for the own zone's.
class upstream_tracker {
 public:
  explicit upstream_tracker(upstream_tracker_hooks hooks) : hooks_(std::move(hooks)) {}

  [[nodiscard]] const upstream_map& all() const { return upstreams_; }

  /// For the parts that note their own work there.
  [[nodiscard]] upstream_map& all() { return upstreams_; }

  /// Takes over the list's changes, and logs them.
  void on_list(const view_change& change, action_list& out);
  /// Evaluates drains and open changes.
  void refresh_drains_and_changes();

  /// Returns the notice that peers should hear, if this is news.
  std::optional<upstream_notice> on_closing(const upstream_closing& closing, action_list& out);
  /// Returns whether the notice is news, to be passed on.
  bool on_notice(const upstream_notice& notice, action_list& out);
  /// Takes a report; returns a notice if it shows that an upstream seen gone is back.
  std::optional<upstream_notice> on_report(const engine_report& report, action_list& out);

  /// How often the load of one engine is passed on, whoever reads it.
  void set_load_period(duration period) { load_period_ = period; }

  /// Takes cache events, in order.
  void on_cache(const cache_event& ev);
  /// Takes a peer's digest; `from` is remembered, so that nothing is sent back.
  void on_digest(const instance_id& from, const load_digest& digest, const moment& now);

  /// News since the last call of `sent` that did not come from `peer`: states, and loads if asked.
  [[nodiscard]] load_digest updates_for(const instance_id& peer, bool loads,
                                        const moment& now) const;
  /// All states and, of `zone`, all loads.
  [[nodiscard]] load_digest full_digest(const zone_id& zone, const moment& now) const;
  void mark_sent();

 private:
  void add(const listed_instance& it, action_list& out);
  void remove(const upstream_id& id, action_list& out);
  void update_leaving(const upstream_id& id, action_list& out);

  // What was said of an upstream beside the list.
  struct tracking {
    bool listed_leaving = false;
    bool closing = false;           ///< It said that it goes; holds while it is listed.
    bool gone = false;              ///< It was seen gone; holds until it reports again.
    time_point load_forwarded_at{}; ///< When the last load that was passed on was measured.
    moment state_measured_at{};
    bool state_known = false;
  };

  [[nodiscard]] load_digest_entry load_of(const upstream_id& id, const moment& now) const;
  [[nodiscard]] engine_state_entry state_of(const upstream_id& id, const moment& now) const;
  // Returns whether the state is news.
  bool set_state(const upstream_id& id, const engine_state& state, bool changing,
                 const moment& measured);

  upstream_tracker_hooks hooks_;
  upstream_map upstreams_;
  std::map<upstream_id, tracking> tracking_; ///< Invariant: the same keys as `upstreams_`.
  duration load_period_{0};
  // Loads and states not yet passed on, with the peer that they came from (empty: read here).
  std::map<upstream_id, instance_id> unsent_loads_;
  std::map<upstream_id, instance_id> unsent_states_;
};

} // namespace nutmegspur
