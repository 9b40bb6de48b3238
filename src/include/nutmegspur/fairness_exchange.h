/// \file fairness_exchange.h
/// Tells the instances of a zone how much service each team had at the others, so that shares are
/// fair over the zone and not only at one instance.
///
/// Sums flow along the tree of feeds: up to the parent, and down to each child without that child's
/// own share. Each instance so sends and takes a few messages in a period, however large the zone
/// is. A sum that is lost while the tree changes makes shares less exact for a while, no more.
#pragma once

#include <nutmegspur/decision.h>
#include <nutmegspur/policy.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

/// What the exchange asks of the rest of the node.
struct fairness_hooks {
  /// The parent in the zone's tree; empty for its root.
  std::function<std::optional<instance_id>()> parent;
};

/// A decision part that owns no platform calls.
class fairness_exchange {
 public:
  /// Between two rounds of messages.
  static constexpr seconds period{2};
  /// Teams in one message, those with the most service first.
  static constexpr std::size_t max_teams = 64;
  /// A child that sent nothing for so long is forgotten.
  static constexpr seconds child_timeout{10};

  fairness_exchange(fairness_hooks hooks, admission_policy& admission);

  void step(const moment& now, const event& ev, action_list& out);

 private:
  /// Weighted tokens (thousandths) of each team since the last round.
  using sums = std::map<team_id, std::uint64_t>;

  struct child {
    sums subtree; ///< What its subtree gave.
    time_point last_received;
  };

  void on_tick(const moment& now, action_list& out);
  void on_digest(const moment& now, const instance_id& from, const fairness_digest& digest);
  /// Own service and that of all neighbours but `except`.
  [[nodiscard]] sums total(const instance_id& except) const;
  void send(const instance_id& to, bool upward, action_list& out);

  fairness_hooks hooks_;
  admission_policy& admission_;
  sums own_;
  sums from_parent_;
  std::map<instance_id, child> children_;
  std::uint64_t sequence_ = 0;
  time_point next_round_{};
};

static_assert(decision_part<fairness_exchange>);

} // namespace nutmegspur
