// Tests of the fake platform. Other tests rely on its compare-and-swap, leases, injected faults and
// watches; an error in them would make those tests pass or fail for the wrong reason.
#include "testing/fake_store.h"

#include <gtest/gtest.h>

namespace nutmegspur::testing {
namespace {

call_platform
call(std::uint64_t number, platform_request request) {
  return {{duty::config, number}, std::move(request)};
}

template <class A>
A
only_answer(const std::vector<delivery>& got) {
  EXPECT_EQ(got.size(), 1U);
  const auto& reply = std::get<platform_reply>(got.at(0).what);
  return std::get<A>(*reply.answer);
}

TEST(fake_store, transaction_applies_only_if_its_conditions_hold) {
  manual_clock clock;
  fake_store store;
  const kv_txn create{{{"k", {}}}, {{"k", "v", {}}}};
  store.submit(clock.now(), "a", call(1, create));
  EXPECT_TRUE(only_answer<kv_txn_reply>(store.take_due(clock.now())).applied);
  store.submit(clock.now(), "a", call(2, create));
  EXPECT_FALSE(only_answer<kv_txn_reply>(store.take_due(clock.now())).applied);
  EXPECT_EQ(store.get("k")->created, store.current());
}

TEST(fake_store, expired_lease_removes_its_keys) {
  manual_clock clock;
  fake_store store;
  store.submit(clock.now(), "a", call(1, lease_grant{seconds{10}}));
  const auto granted = only_answer<lease_reply>(store.take_due(clock.now()));
  store.submit(clock.now(), "a", call(2, kv_txn{{}, {{"k", "v", granted.lease}}}));
  static_cast<void>(store.take_due(clock.now()));
  clock.advance(seconds{9});
  store.submit(clock.now(), "a", call(3, lease_keep_alive{granted.lease}));
  static_cast<void>(store.take_due(clock.now()));
  clock.advance(seconds{9});
  static_cast<void>(store.take_due(clock.now()));
  EXPECT_TRUE(store.get("k").has_value());
  clock.advance(seconds{1});
  static_cast<void>(store.take_due(clock.now()));
  EXPECT_FALSE(store.get("k").has_value());
}

TEST(fake_store, faults_report_whether_the_call_was_executed) {
  manual_clock clock;
  fake_store store;
  const kv_txn set{{}, {{"k", "v", {}}}};
  store.fault_next(store_fault::down);
  store.submit(clock.now(), "a", call(1, set));
  const auto refused = store.take_due(clock.now());
  EXPECT_EQ(std::get<platform_reply>(refused.at(0).what).answer.error().ran, outcome::not_run);
  EXPECT_FALSE(store.get("k").has_value());
  store.fault_next(store_fault::slow);
  store.submit(clock.now(), "a", call(2, set));
  EXPECT_TRUE(store.take_due(clock.now()).empty());
  EXPECT_FALSE(store.get("k").has_value());
  clock.advance(store.slow_delay);
  EXPECT_EQ(store.take_due(clock.now()).size(), 1U);
  EXPECT_TRUE(store.get("k").has_value());
  store.fault_next(store_fault::lost_after_effect);
  store.submit(clock.now(), "a", call(3, kv_txn{{}, {{"k", "w", {}}}}));
  clock.advance(store.lost_answer_timeout);
  const auto lost = store.take_due(clock.now());
  EXPECT_EQ(std::get<platform_reply>(lost.at(0).what).answer.error().ran, outcome::unknown);
  EXPECT_EQ(store.get("k")->value, "w");
  store.stale_read_revisions = 1;
  store.fault_next(store_fault::stale_read);
  store.submit(clock.now(), "a", call(4, kv_range{"k", ""}));
  EXPECT_EQ(only_answer<kv_range_reply>(store.take_due(clock.now())).pairs.at(0).value, "v");
}

TEST(fake_store, watches_deliver_changes_from_their_start_revision) {
  manual_clock clock;
  fake_store store;
  store.put(clock.now(), "cfg/a", "1");
  const revision since = store.put(clock.now(), "cfg/b", "2");
  store.submit(clock.now(), "a", call(1, watch_start{"cfg/", "cfg0", since}));
  const auto got = store.take_due(clock.now());
  ASSERT_EQ(got.size(), 2U);
  EXPECT_EQ(std::get<watch_batch>(got.at(1).what).changes.at(0).key, "cfg/b");
  store.put(clock.now(), "cfg/a", std::nullopt);
  const auto more = store.take_due(clock.now());
  ASSERT_EQ(more.size(), 1U);
  EXPECT_FALSE(std::get<watch_batch>(more.at(0).what).changes.at(0).value.has_value());
  store.end_watches(clock.now(), "a");
  EXPECT_TRUE(std::holds_alternative<watch_ended>(store.take_due(clock.now()).at(0).what));
}

} // namespace
} // namespace nutmegspur::testing
