// Tests of the exchange of service sums: every instance learns each other's service exactly once.
#include <nutmegspur/fairness_exchange.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace nutmegspur {
namespace {

/// Only what the exchange calls; counts what it is told.
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

/// A tree of exchanges; messages arrive at once.
struct tree {
  struct part {
    instance_id id;
    std::optional<instance_id> parent;
    counting_admission admission;
    std::unique_ptr<fairness_exchange> exchange;
  };

  std::vector<std::unique_ptr<part>> parts;
  manual_clock clock;

  /// `parents[i]` is less than `i`; the first is the root.
  explicit tree(const std::vector<std::size_t>& parents) {
    for (std::size_t i = 0; i < parents.size(); ++i) {
      auto it = std::make_unique<part>();
      it->id = instance_id{"i" + std::to_string(i)};
      if (i > 0) {
        it->parent = instance_id{"i" + std::to_string(parents[i])};
      }
      part* raw = it.get();
      it->exchange = std::make_unique<fairness_exchange>(
          fairness_hooks{[raw] { return raw->parent; }}, raw->admission);
      parts.push_back(std::move(it));
    }
  }

  void deliver(const instance_id& from, const action_list& actions) {
    for (const auto& it : actions) {
      const auto& sent = std::get<send_to_peer>(it);
      for (const auto& to : parts) {
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
      for (const auto& it : parts) {
        action_list out;
        it->exchange->step(clock.now(), tick{}, out);
        deliver(it->id, out);
      }
    }
  }
};

RC_GTEST_PROP(fairness_exchange, every_instance_hears_of_all_service_once, ()) {
  const auto size = *rc::gen::inRange<std::size_t>(1, 12);
  std::vector<std::size_t> parents(size, 0);
  for (std::size_t i = 1; i < size; ++i) {
    parents[i] = *rc::gen::inRange<std::size_t>(0, i);
  }
  tree all{parents};
  all.run_rounds(2); // Parents learn of their children.
  std::vector<std::uint64_t> given(size);
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < size; ++i) {
    given[i] = *rc::gen::inRange<std::uint64_t>(0, 1000);
    sum += given[i];
    all.parts[i]->admission.local = {{team_id{"a"}, given[i], 0}};
  }
  all.run_rounds(static_cast<int>(2 * size) + 2);
  for (std::size_t i = 0; i < size; ++i) {
    RC_ASSERT(all.parts[i]->admission.remote[team_id{"a"}] == sum - given[i]);
  }
}

TEST(fairness_exchange, sums_from_one_that_is_not_the_feed_are_ignored) {
  tree all{{0, 0}};
  action_list out;
  fairness_digest digest;
  digest.entries = {{team_id{"a"}, 7, 0}};
  all.parts[0]->exchange->step(all.clock.now(), peer_received{instance_id{"i1"}, digest}, out);
  EXPECT_TRUE(all.parts[0]->admission.remote.empty());
}

TEST(fairness_exchange, a_message_is_bounded) {
  tree all{{0, 0}};
  for (int n = 0; n < 200; ++n) {
    all.parts[1]->admission.local.push_back({team_id{"t" + std::to_string(n)}, 1, 0});
  }
  all.clock.advance(fairness_exchange::period);
  action_list out;
  all.parts[1]->exchange->step(all.clock.now(), tick{}, out);
  ASSERT_EQ(out.size(), 1U);
  const auto& digest = std::get<fairness_digest>(std::get<send_to_peer>(out.front()).message);
  EXPECT_EQ(digest.entries.size(), fairness_exchange::max_teams);
}

} // namespace
} // namespace nutmegspur
