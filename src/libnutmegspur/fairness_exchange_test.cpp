// Guards against service that is counted twice or not at all when sums are forwarded along the
// zone's distribution tree, and against messages that grow with the number of teams.
#include <nutmegspur/fairness_exchange.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace nutmegspur {
namespace {

/// Admission policy stub that records the remote service reported to it.
class counting_admission final : public admission_policy {
 public:
  result<void> enqueue(const waiting_request& /*it*/, const capacity_estimate& /*capacity*/,
                       const moment& /*now*/) override {
    return {};
  }

  std::optional<waiting_request> peek(const moment& /*now*/) override { return std::nullopt; }

  void remove(request_id /*request*/, bool /*placed*/) override {}

  std::vector<waiting_request> expire(const capacity_estimate& /*capacity*/,
                                      const moment& /*now*/) override {
    return {};
  }

  void settle(const team_id& /*team*/, std::uint64_t /*expected*/,
              std::uint64_t /*actual*/) override {}

  void add_remote_service(const team_id& team, std::uint64_t cost_milli) override {
    remote[team] += cost_milli;
  }

  std::vector<team_service_entry> take_local_service() override { return std::exchange(local, {}); }

  [[nodiscard]] std::size_t waiting() const override { return 0; }

  std::map<team_id, std::uint64_t> remote;
  std::vector<team_service_entry> local;
};

/// A distribution tree of exchanges with immediate message delivery.
struct exchange_tree {
  struct node {
    instance_id id;
    std::optional<instance_id> parent;
    counting_admission admission;
    std::unique_ptr<fairness_exchange> exchange;
  };

  std::vector<std::unique_ptr<node>> nodes;
  manual_clock clock;

  /// `parents[i]` must be less than `i`; node 0 is the root.
  explicit exchange_tree(const std::vector<std::size_t>& parents) {
    for (std::size_t i = 0; i < parents.size(); ++i) {
      auto it = std::make_unique<node>();
      it->id = instance_id{"i" + std::to_string(i)};
      if (i > 0) {
        it->parent = instance_id{"i" + std::to_string(parents[i])};
      }
      node* node_ptr = it.get();
      it->exchange = std::make_unique<fairness_exchange>(
          fairness_hooks{[node_ptr] { return node_ptr->parent; }}, node_ptr->admission);
      nodes.push_back(std::move(it));
    }
  }

  void deliver(const instance_id& from, const action_list& actions) {
    for (const auto& it : actions) {
      const auto& sent = std::get<send_to_peer>(it);
      for (const auto& to : nodes) {
        action_list none;
        if (to->id == sent.peer) {
          to->exchange->step(clock.now(), peer_received{from, sent.message}, none);
        }
      }
    }
  }

  void run_rounds(int rounds) {
    for (int n = 0; n < rounds; ++n) {
      clock.advance(fairness_exchange::period);
      for (const auto& it : nodes) {
        action_list out;
        it->exchange->step(clock.now(), tick{}, out);
        deliver(it->id, out);
      }
    }
  }
};

RC_GTEST_PROP(fairness_exchange, every_instance_receives_all_remote_service_exactly_once, ()) {
  const auto size = *rc::gen::inRange<std::size_t>(1, 12);
  std::vector<std::size_t> parents(size, 0);
  for (std::size_t i = 1; i < size; ++i) {
    parents[i] = *rc::gen::inRange<std::size_t>(0, i);
  }
  exchange_tree tree{parents};
  tree.run_rounds(2); // Parents register their children.
  std::vector<std::uint64_t> local_service(size);
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < size; ++i) {
    local_service[i] = *rc::gen::inRange<std::uint64_t>(0, 1000);
    sum += local_service[i];
    tree.nodes[i]->admission.local = {{team_id{"a"}, local_service[i], 0}};
  }
  tree.run_rounds(static_cast<int>(2 * size) + 2);
  for (std::size_t i = 0; i < size; ++i) {
    RC_ASSERT(tree.nodes[i]->admission.remote[team_id{"a"}] == sum - local_service[i]);
  }
}

TEST(fairness_exchange, downward_sums_are_ignored_unless_from_the_parent) {
  exchange_tree tree{{0, 0}};
  action_list out;
  fairness_digest digest;
  digest.entries = {{team_id{"a"}, 7, 0}};
  tree.nodes[0]->exchange->step(tree.clock.now(), peer_received{instance_id{"i1"}, digest}, out);
  EXPECT_TRUE(tree.nodes[0]->admission.remote.empty());
}

TEST(fairness_exchange, a_message_holds_at_most_max_teams) {
  exchange_tree tree{{0, 0}};
  for (int n = 0; n < 200; ++n) {
    tree.nodes[1]->admission.local.push_back({team_id{"t" + std::to_string(n)}, 1, 0});
  }
  tree.clock.advance(fairness_exchange::period);
  action_list out;
  tree.nodes[1]->exchange->step(tree.clock.now(), tick{}, out);
  ASSERT_EQ(out.size(), 1U);
  const auto& digest = std::get<fairness_digest>(std::get<send_to_peer>(out.front()).message);
  EXPECT_EQ(digest.entries.size(), fairness_exchange::max_teams);
}

} // namespace
} // namespace nutmegspur
