/// \file fairness_exchange.h
/// Exchanges the service that each team received between the instances of a zone, so that fair
/// sharing applies to the whole zone and not to each instance alone.
///
/// Sums travel along the zone's distribution tree: up to the parent, and down to each child without
/// that child's own contribution. The number of messages per instance and period therefore does not
/// grow with the zone. Sums lost while the tree changes only make the shares temporarily less
/// accurate.
#pragma once

#include <nutmegspur/decision.h>
#include <nutmegspur/policy.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

/// Queries that the rest of the node answers.
struct fairness_hooks {
  /// The parent in the zone's distribution tree, from which this instance receives updates; empty
  /// at the root.
  std::function<std::optional<instance_id>()> update_source;
};

/// The decision part that exchanges service sums. It makes no platform calls.
class fairness_exchange {
 public:
  /// Interval between two rounds of messages.
  static constexpr seconds period{2};
  /// Maximum number of teams in a message; those with the most service are kept.
  static constexpr std::size_t max_teams = 64;
  /// A child that has sent nothing for this long is removed.
  static constexpr seconds child_timeout{10};

  fairness_exchange(fairness_hooks hooks, admission_policy& admission);

  void step(const moment& now, const event& ev, action_list& out);

 private:
  /// Service of each team since the last round, in thousandths of weighted tokens.
  using sums = std::map<team_id, std::uint64_t>;

  struct child {
    sums from; ///< Service reported for the child's subtree.
    time_point last_received;
  };

  void on_tick(const moment& now, action_list& out);
  void on_digest(const moment& now, const instance_id& from, const fairness_digest& digest);
  /// Service given here and reported by all neighbours in the tree except `except`.
  [[nodiscard]] sums total(const instance_id& except) const;
  void send(const instance_id& to, bool upward, action_list& out);

  fairness_hooks hooks_;
  admission_policy& admission_;
  sums own_;
  sums from_update_source_;
  std::map<instance_id, child> children_;
  std::uint64_t sequence_ = 0;
  time_point next_round_{};
};

static_assert(decision_part<fairness_exchange>);

} // namespace nutmegspur
