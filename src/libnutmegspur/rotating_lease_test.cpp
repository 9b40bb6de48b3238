// The rotating lease, alone and in the claim manager. Guards against records that expire before
// their minimum lifetime, or never.
// labels: P11
#include "testing/fake_store.h"

#include <nutmegspur/claims.h>
#include <nutmegspur/rotating_lease.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

constexpr seconds day{24 * 3600};

/// One claim manager on the fake store.
struct claim_harness {
  manual_clock clock;
  testing::fake_store store;
  claim_manager manager{{.instance = instance_id{"i1"}, .lifetime = day}};
  std::vector<claim_decision> decisions;
  std::uint64_t last = 0;

  claim_harness() {
    manager.set_listener([this](const moment&, const claim_result& it, action_list&) {
      decisions.push_back(it.decision);
    });
  }

  void submit(const action_list& out) {
    for (const auto& it : out) {
      if (const auto* call = std::get_if<call_platform>(&it)) {
        store.submit(clock.now(), "i1", *call);
      }
    }
  }

  void run(duration span, duration tick_interval = seconds{1}) {
    const time_point ends = clock.now().boot + span;
    while (clock.now().boot < ends) {
      clock.advance(tick_interval);
      action_list out;
      manager.step(clock.now(), tick{}, out);
      submit(out);
      for (const auto& it : store.take_due(clock.now())) {
        action_list more;
        manager.step(clock.now(), it.what, more);
        submit(more);
      }
    }
  }

  claim_decision claim_and_record(const std::string& key) {
    const request_id request{++last};
    action_list out;
    manager.begin(clock.now(),
                  {request, team_id{"t"}, key, "digest", clock.now().boot + seconds{30}}, out);
    submit(out);
    run(seconds{1}, tick_period); // One write, and one read if the key is in use.
    const claim_decision decision = decisions.back();
    action_list end;
    manager.finish(clock.now(), request, {outcome::ran, 200, "text/plain", "paid"}, end);
    submit(end);
    run(seconds{1}, tick_period);
    return decision;
  }
};

TEST(claims_lifetime,
     a_repeat_is_answered_from_the_record_for_the_whole_lifetime_then_the_record_expires) {
  claim_harness harness;
  harness.run(seconds{5});
  EXPECT_EQ(harness.claim_and_record("payment"), claim_decision::proceed);
  harness.run(day - seconds{60}, seconds{30});
  EXPECT_EQ(harness.claim_and_record("payment"), claim_decision::replay);
  harness.run(2 * rotating_lease::rotation, seconds{30});
  EXPECT_TRUE(harness.store.list("claim/").empty());
}

TEST(claims_lifetime, claims_work_without_a_lease) {
  claim_harness harness;
  harness.store.fault_next(
      testing::store_fault::down,
      [](const std::string&, const platform_request& it) {
        return std::holds_alternative<lease_grant>(it);
      },
      1);
  harness.run(seconds{5});
  EXPECT_EQ(harness.claim_and_record("payment"), claim_decision::proceed);
  EXPECT_EQ(harness.store.list("claim/").size(), 1U);
}

TEST(claims_lifetime, a_lease_that_the_store_has_lost_is_replaced) {
  claim_harness harness;
  harness.run(seconds{5});
  EXPECT_EQ(harness.claim_and_record("first"), claim_decision::proceed);
  // The store loses all leases.
  harness.clock.advance(3 * day);
  harness.store.take_due(harness.clock.now());
  harness.claim_and_record("second"); // Refused as not run or carried out; replaces the lease.
  harness.run(seconds{5});
  EXPECT_EQ(harness.claim_and_record("third"), claim_decision::proceed);
}

TEST(rotating_lease, requests_one_lease_per_rotation_and_retries_after_a_failure) {
  rotating_lease lease{day};
  const time_point start{seconds{1000}};
  ASSERT_TRUE(lease.grant_due(start));
  lease.next_grant(7, start);
  EXPECT_FALSE(lease.grant_due(start + rotating_lease::retry_pause));
  EXPECT_FALSE(lease.accept_reply({{duty::claims, 8}, lease_reply{lease_id{1}, day}, start}));
  EXPECT_TRUE(lease.accept_reply({{duty::claims, 7}, fail(error{}), start}));
  EXPECT_FALSE(lease.grant_due(start));
  EXPECT_TRUE(lease.grant_due(start + rotating_lease::retry_pause));
  lease.next_grant(9, start);
  EXPECT_TRUE(lease.accept_reply({{duty::claims, 9}, lease_reply{lease_id{1}, day}, start}));
  EXPECT_EQ(lease.current(), lease_id{1});
  EXPECT_FALSE(lease.grant_due(start + rotating_lease::rotation - seconds{1}));
  EXPECT_TRUE(lease.grant_due(start + rotating_lease::rotation));
}

TEST(rotating_lease, a_zero_lifetime_never_requests_a_lease) {
  EXPECT_FALSE(rotating_lease{seconds{0}}.grant_due(time_point{seconds{1000}}));
}

} // namespace
} // namespace nutmegspur
