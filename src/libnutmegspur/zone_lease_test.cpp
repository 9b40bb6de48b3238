// The zone lease on the fake store. Guards against two holders at the same time, after a pause, a
// lost or late answer or an unavailable store, and against a lease that nobody takes.
// labels: P03 P07
#include "testing/fake_store.h"

#include <nutmegspur/zone_lease.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace nutmegspur {
namespace {

using testing::fake_store;
using testing::store_fault;

/// Instances of one zone that share a store and a clock.
struct zone_under_test {
  struct member {
    std::string name;
    std::unique_ptr<zone_lease> lease;
    bool paused = false;
    std::vector<event> held_events; ///< Arrived while paused.
  };

  manual_clock clock;
  fake_store store;
  std::vector<member> members;

  void add(const std::string& name) {
    const auto rank = static_cast<unsigned>(members.size());
    const zone_lease_settings config{instance_id{name}, zone_id{"z"}, seconds{10}};
    members.push_back(
        {name,
         std::make_unique<zone_lease>(config, zone_lease_hooks{[rank] { return rank; }, {}}),
         false,
         {}});
  }

  void feed(member& to, const event& ev) {
    action_list out;
    to.lease->step(clock.now(), ev, out);
    for (const auto& it : out) {
      if (const auto* call = std::get_if<call_platform>(&it)) {
        store.submit(clock.now(), to.name, *call);
      }
    }
  }

  void deliver_all() {
    for (auto got = store.take_due(clock.now()); !got.empty(); got = store.take_due(clock.now())) {
      for (const auto& it : got) {
        for (auto& to : members) {
          if (to.name == it.client && to.paused) {
            to.held_events.push_back(it.what);
          } else if (to.name == it.client) {
            feed(to, it.what);
          }
        }
      }
    }
  }

  void run_for(duration span) {
    for (duration at{0}; at < span; at += tick_period) {
      clock.advance(tick_period);
      deliver_all();
      for (auto& it : members) {
        if (!it.paused) {
          feed(it, tick{});
        }
      }
      deliver_all();
      expect_at_most_one_holder();
    }
  }

  void resume(member& it) {
    it.paused = false;
    for (const auto& ev : std::exchange(it.held_events, {})) {
      feed(it, ev);
    }
  }

  [[nodiscard]] int holders() const {
    int n = 0;
    for (const auto& it : members) {
      n += it.lease->current(clock.now().boot) ? 1 : 0;
    }
    return n;
  }

  void expect_at_most_one_holder() const { EXPECT_LE(holders(), 1); }
};

TEST(zone_lease, one_candidate_acquires_and_keeps_the_lease) {
  zone_under_test zone;
  for (const char* name : {"a", "b", "c", "d"}) {
    zone.add(name);
  }
  zone.run_for(seconds{60});
  EXPECT_EQ(zone.holders(), 1);
  const auto held = zone.members.at(0).lease->current(zone.clock.now().boot);
  ASSERT_TRUE(held.has_value());
  EXPECT_EQ(held->number.value, zone.store.get("lease/zone/z")->created.value);
  EXPECT_EQ(zone.members.at(1).lease->last_seen_holder(), instance_id{"a"});
  // An instance whose rank is not a candidate makes no call.
  EXPECT_FALSE(zone.members.at(3).lease->last_seen_holder().has_value());
}

TEST(zone_lease, a_paused_holder_has_lost_the_lease_when_it_resumes) {
  zone_under_test zone;
  zone.add("a");
  zone.add("b");
  zone.run_for(seconds{5});
  auto& a = zone.members.at(0);
  const auto old = a.lease->current(zone.clock.now().boot);
  ASSERT_TRUE(old.has_value());
  a.paused = true;
  zone.run_for(seconds{40});
  // The authority has expired, although the instance has not received any event since the pause.
  EXPECT_FALSE(a.lease->current(zone.clock.now().boot).has_value());
  zone.resume(a);
  zone.run_for(seconds{20});
  const auto now = zone.members.at(1).lease->current(zone.clock.now().boot);
  ASSERT_TRUE(now.has_value());
  EXPECT_GT(now->number, old->number);
}

TEST(zone_lease, a_lost_answer_is_resolved_by_the_writer_token) {
  zone_under_test zone;
  zone.add("a");
  zone.store.fault_next(store_fault::lost_after_effect, [](const auto&, const auto& request) {
    return std::holds_alternative<kv_txn>(request);
  });
  zone.run_for(seconds{5});
  EXPECT_EQ(zone.holders(), 1);
}

TEST(zone_lease, validity_counts_from_the_renewal_request) {
  zone_under_test zone;
  zone.add("a");
  zone.run_for(seconds{5});
  zone.store.set_fault(store_fault::late_answer);
  zone.run_for(seconds{20});
  zone.store.set_fault(store_fault::down);
  const auto held = zone.members.at(0).lease->current(zone.clock.now().boot);
  ASSERT_TRUE(held.has_value());
  // The last answer came up to 3 s after its request, so less than the full validity is left.
  EXPECT_LE(held->until, zone.clock.now().boot + seconds{8});
  zone.run_for(seconds{9});
  EXPECT_EQ(zone.holders(), 0);
}

TEST(zone_lease, a_graceful_stop_releases_the_lease_at_once) {
  zone_under_test zone;
  zone.add("a");
  zone.add("b");
  zone.run_for(seconds{5});
  zone.feed(zone.members.at(0), stop_requested{});
  EXPECT_EQ(zone.holders(), 0);
  EXPECT_TRUE(zone.members.at(0).lease->released());
  zone.deliver_all();
  EXPECT_FALSE(zone.store.get("lease/zone/z").has_value());
  zone.run_for(seconds{12});
  EXPECT_TRUE(zone.members.at(1).lease->current(zone.clock.now().boot).has_value());
}

TEST(zone_lease, the_authority_ends_when_the_store_was_restored) {
  zone_under_test zone;
  zone.add("a");
  zone.run_for(seconds{5});
  auto& lease = *zone.members.at(0).lease;
  ASSERT_TRUE(lease.current(zone.clock.now().boot).has_value());
  action_list out;
  lease.on_store_restored(zone.clock.now(), out);
  EXPECT_FALSE(lease.current(zone.clock.now().boot).has_value());
  // The id of the lost lease may belong to another instance now.
  for (const auto& it : out) {
    EXPECT_FALSE(std::holds_alternative<call_platform>(it));
  }
  // A renewal that was in progress does not bring the authority back.
  zone.run_for(milliseconds{100});
  EXPECT_EQ(zone.holders(), 0);
  // The key of before the restore expires, and the lease is taken anew.
  zone.run_for(seconds{40});
  EXPECT_EQ(zone.holders(), 1);
}

RC_GTEST_PROP(zone_lease, never_has_two_holders_under_faults, ()) {
  zone_under_test zone;
  for (const char* name : {"a", "b", "c"}) {
    zone.add(name);
  }
  const auto rounds = *rc::gen::inRange(5, 25);
  for (int i = 0; i < rounds; ++i) {
    const auto who = *rc::gen::inRange<std::size_t>(0, zone.members.size());
    auto& it = zone.members.at(who);
    const auto fault = static_cast<store_fault>(*rc::gen::inRange(0, 8));
    zone.store.slow_delay = seconds{*rc::gen::inRange(1, 20)};
    if (*rc::gen::arbitrary<bool>()) {
      zone.store.set_client_fault(it.name, fault);
    } else if (it.paused) {
      zone.resume(it);
    } else {
      it.paused = *rc::gen::arbitrary<bool>();
    }
    const auto span = milliseconds{*rc::gen::inRange(100, 15'000)};
    for (duration at{0}; at < span; at += tick_period) {
      zone.run_for(tick_period);
      RC_ASSERT(zone.holders() <= 1);
    }
  }
  // Liveness: once the faults are gone, one instance acquires the lease.
  for (auto& it : zone.members) {
    zone.store.set_client_fault(it.name, store_fault::none);
    zone.resume(it);
  }
  zone.run_for(seconds{60});
  RC_ASSERT(zone.holders() == 1);
}

} // namespace
} // namespace nutmegspur
