/// \file fleet_planner_test.cpp
/// Planning of roles and upstreams. Guards against roles that oscillate, changes that cost more
/// than they gain, and changes without authority.
// labels: P12

#include <nutmegspur/fleet_planner.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace nutmegspur {

namespace {

class switchable_authority final : public authority_source {
 public:
  [[nodiscard]] std::optional<authority> current(time_point now) const override {
    return held ? std::optional{authority{fence{3}, now + seconds{5}}} : std::nullopt;
  }

  bool held = true;
};

/// A zone of engines whose role changes take effect after 10 s.
class planned_zone {
 public:
  explicit planned_zone(std::uint32_t engines) {
    for (std::uint32_t i = 0; i < engines; ++i) {
      upstream_state it;
      it.listed.name = "e" + std::to_string(i);
      it.listed.kind = instance_kind::engine;
      it.listed.zone = zone_id{"z1"};
      upstreams[upstream_id{it.listed.name}] = it;
    }
  }

  fleet_hooks hooks() {
    fleet_hooks it;
    it.set_wanted_state = [this](const moment& now, const upstream_id& id,
                                 const engine_state& target, action_list&) {
      changes += 1;
      auto& engine = upstreams.at(id);
      RC_ASSERT(!engine.changing);
      engine.changing = true;
      pending.push_back({now.boot + seconds{10}, id, target});
    };
    it.set_wanted_upstreams = [this](const moment&, const std::string& kind, std::uint32_t n,
                                     action_list&) { wanted[kind] = n; };
    return it;
  }

  /// Runs one second with `rate` requests of the given size.
  void run_second(fleet_planner& planner, manual_clock& clock, int rate, std::uint32_t prompt,
                  std::uint32_t output) {
    action_list out;
    for (int i = 0; i < rate; ++i) {
      request_arrived it;
      inference_call call;
      call.prompt_tokens = prompt;
      call.max_tokens = output;
      it.call = call;
      it.deadline = clock.now().boot + seconds{600};
      planner.step(clock.now(), it, out);
    }
    clock.advance(seconds{1});
    for (auto& it : pending) {
      if (it.due <= clock.now().boot && upstreams.at(it.id).changing) {
        upstreams.at(it.id).changing = false;
        upstreams.at(it.id).state = it.wanted;
      }
    }
    planner.step(clock.now(), tick{}, out);
  }

  struct pending_change {
    time_point due;
    upstream_id id;
    engine_state wanted;
  };

  upstream_map upstreams;
  std::vector<pending_change> pending;
  std::map<std::string, std::uint32_t> wanted;
  int changes = 0;
};

fleet_options
zone_options() {
  fleet_options it;
  it.zone = zone_id{"z1"};
  return it;
}

} // namespace

RC_GTEST_PROP(role_planning, target_roles_add_up_and_serve_no_less_than_mixed, ()) {
  const engine_profile profile;
  std::vector<traffic_class> classes;
  for (int i = 0; i < 2; ++i) {
    traffic_class traffic;
    traffic.requests_per_second = *rc::gen::inRange(0, 50);
    traffic.prefill_tokens = *rc::gen::inRange(10, 20'000);
    traffic.output_tokens = *rc::gen::inRange(10, 1000);
    classes.push_back(traffic);
  }
  const auto n = static_cast<std::uint32_t>(*rc::gen::inRange(1, 40));
  const auto roles = target_roles(profile, classes, n);
  RC_ASSERT(std::accumulate(roles.begin(), roles.end(), 0U) == n);
  for (const auto& traffic : classes) {
    const auto best = sustained_rate(profile, demand_of(profile, traffic).role, traffic);
    RC_ASSERT(best >= sustained_rate(profile, engine_role::mixed, traffic));
  }
}

RC_GTEST_PROP(role_planning, a_limit_on_the_time_between_tokens_never_raises_the_rate, ()) {
  const engine_profile profile;
  traffic_class traffic{1, static_cast<double>(*rc::gen::inRange(10, 20'000)),
                        static_cast<double>(*rc::gen::inRange(10, 1000))};
  for (const auto& role : enum_names<engine_role>::table) {
    traffic.max_token_seconds = 0;
    const auto unlimited_rate = sustained_rate(profile, role.value, traffic);
    traffic.max_token_seconds = *rc::gen::inRange(20, 200) / 1000.0;
    RC_ASSERT(sustained_rate(profile, role.value, traffic) <= unlimited_rate + 1e-9);
  }
}

RC_GTEST_PROP(fleet_planner, does_not_oscillate_in_a_steady_mix, ()) {
  const auto n = static_cast<std::uint32_t>(*rc::gen::inRange(2, 12));
  planned_zone zone(n);
  const switchable_authority authority;
  fleet_planner planner(zone_options(), zone.hooks(), zone.upstreams, authority);
  manual_clock clock;
  const int rate = *rc::gen::inRange(1, 40);
  const auto prompt = static_cast<std::uint32_t>(*rc::gen::inRange(50, 15'000));
  const auto output = static_cast<std::uint32_t>(*rc::gen::inRange(20, 900));
  constexpr int settle_seconds = 600;
  for (int i = 0; i < settle_seconds; ++i) {
    zone.run_second(planner, clock, rate, prompt, output);
  }
  const int settled = zone.changes;
  RC_ASSERT(settled <= static_cast<int>(n));
  for (int i = 0; i < settle_seconds; ++i) {
    zone.run_second(planner, clock, rate, prompt, output);
  }
  RC_ASSERT(zone.changes == settled);
}

TEST(fleet_planner, changes_roles_when_it_pays_off_and_spaces_the_changes) {
  planned_zone zone(4);
  const switchable_authority authority;
  fleet_planner planner(zone_options(), zone.hooks(), zone.upstreams, authority);
  manual_clock clock;
  constexpr int one_minute = 60;
  for (int i = 0; i < one_minute; ++i) {
    zone.run_second(planner, clock, 10, 200, 800); // Output-heavy, more than mixed sustains.
  }
  EXPECT_GE(zone.changes, 1);
  EXPECT_LE(zone.changes, 2); // 30 s apart, after 15 s of averaging.
  EXPECT_EQ(zone.upstreams.begin()->second.state.role, engine_role::decode);
}

TEST(fleet_planner, does_nothing_without_authority) {
  planned_zone zone(4);
  switchable_authority authority;
  authority.held = false;
  fleet_planner planner(zone_options(), zone.hooks(), zone.upstreams, authority);
  manual_clock clock;
  for (int i = 0; i < 60; ++i) {
    zone.run_second(planner, clock, 10, 200, 800);
  }
  EXPECT_EQ(zone.changes, 0);
  EXPECT_TRUE(zone.wanted.empty());
}

TEST(fleet_planner, never_changes_a_leaving_or_drained_engine) {
  planned_zone zone(3);
  zone.upstreams.begin()->second.leaving = true;
  std::next(zone.upstreams.begin())->second.drained = true;
  const switchable_authority authority;
  fleet_planner planner(zone_options(), zone.hooks(), zone.upstreams, authority);
  manual_clock clock;
  for (int i = 0; i < 120; ++i) {
    zone.run_second(planner, clock, 10, 200, 800);
  }
  EXPECT_EQ(zone.changes, 0); // One engine is left, and the last one of a zone is not changed.
}

RC_GTEST_PROP(fleet_planner, reclaimable_upstreams_stay_within_the_percentage, ()) {
  const auto needed = static_cast<std::uint32_t>(*rc::gen::inRange(0, 1000));
  const auto percent = static_cast<std::uint32_t>(*rc::gen::inRange(0, 130));
  const auto counts = split_by_kind(needed, percent);
  RC_ASSERT(counts.on_demand + counts.reclaimable == needed);
  RC_ASSERT(counts.reclaimable * 100 <= needed * std::min(percent, 100U));
}

TEST(fleet_planner, grows_immediately_and_shrinks_after_a_delay) {
  planned_zone zone(4);
  const switchable_authority authority;
  fleet_planner planner(zone_options(), zone.hooks(), zone.upstreams, authority);
  manual_clock clock;
  for (int i = 0; i < 60; ++i) {
    zone.run_second(planner, clock, 20, 500, 200);
  }
  const auto peak = zone.wanted["on_demand"] + zone.wanted["reclaimable"];
  EXPECT_GT(peak, 2U);
  for (int i = 0; i < 90; ++i) {
    zone.run_second(planner, clock, 1, 500, 200);
  }
  EXPECT_EQ(zone.wanted["on_demand"] + zone.wanted["reclaimable"], peak);
  for (int i = 0; i < 1200; ++i) {
    zone.run_second(planner, clock, 1, 500, 200);
  }
  EXPECT_EQ(zone.wanted["on_demand"] + zone.wanted["reclaimable"], 2U);
}

} // namespace nutmegspur
