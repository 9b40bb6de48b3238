/// \file routing_test.cpp
/// Guards against placements at upstreams that accept no work, for every routing policy, and checks
/// how predicted latency accounts for prefixes, load, deadlines and regions.
// labels: P12

#include <nutmegspur/policy.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {

namespace {

upstream_state
engine(const std::string& name, const std::string& region = "bern") {
  upstream_state it;
  it.listed.name = name;
  it.listed.kind = instance_kind::engine;
  it.listed.region = region;
  it.state.model = model_id{"m1"};
  return it;
}

inference_call
call_of(std::uint32_t prompt, std::uint32_t output) {
  inference_call it;
  it.model = model_id{"m1"};
  it.prompt_tokens = prompt;
  it.max_tokens = output;
  for (std::uint64_t i = 0; i < prompt / 16; ++i) {
    it.prefix_blocks.push_back(7000 + i);
  }
  return it;
}

route_query
query_of(const inference_call& call) {
  route_query it;
  it.inference = &call;
  it.region = "bern";
  it.deadline = manual_clock{}.now().boot + seconds{1000};
  return it;
}

std::unique_ptr<routing_policy>
make(const std::string& name) {
  return std::move(*routing_registry::instance().make(name, routing_options{}));
}

} // namespace

RC_GTEST_PROP(routing, never_picks_an_upstream_that_accepts_no_work, ()) {
  const auto names = routing_registry::instance().names();
  const auto policy = make(*rc::gen::elementOf(names));
  const manual_clock clock;
  upstream_map upstreams;
  const auto n = *rc::gen::inRange(1, 8);
  for (int i = 0; i < n; ++i) {
    auto it = engine("e" + std::to_string(i));
    it.leaving = *rc::gen::arbitrary<bool>();
    it.drained = *rc::gen::arbitrary<bool>();
    it.changing = *rc::gen::arbitrary<bool>();
    it.suspect = *rc::gen::arbitrary<bool>();
    it.suspect_until = clock.now().boot + seconds{*rc::gen::inRange(-2, 3)};
    upstreams[upstream_id{it.listed.name}] = it;
  }
  const auto call = call_of(100, 10);
  const auto chosen = policy->choose(query_of(call), upstreams, clock.now());
  const bool any = std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& it) {
    return it.second.takes_work(clock.now().boot);
  });
  RC_ASSERT(chosen.has_value() == any);
  if (chosen) {
    RC_ASSERT(upstreams.at(chosen->upstream).takes_work(clock.now().boot));
  }
}

TEST(routing, can_serve_checks_model_kind_service_and_exclusion) {
  const manual_clock clock;
  const auto call = call_of(100, 10);
  auto query = query_of(call);
  auto it = engine("e1");
  EXPECT_TRUE(can_serve(it, query, clock.now().boot));
  const std::vector<upstream_id> tried{upstream_id{"e1"}};
  query.excluded = tried;
  EXPECT_FALSE(can_serve(it, query, clock.now().boot));
  query.excluded = {};
  it.state.model = model_id{"m2"};
  EXPECT_FALSE(can_serve(it, query, clock.now().boot));
  it.listed.kind = instance_kind::service;
  it.listed.service = "payments";
  query.inference = nullptr;
  query.service = service_id{"payments"};
  EXPECT_TRUE(can_serve(it, query, clock.now().boot));
  query.service = service_id{"other"};
  EXPECT_FALSE(can_serve(it, query, clock.now().boot));
}

TEST(predicted_latency, prefers_the_engine_that_cached_the_prefix) {
  const manual_clock clock;
  upstream_map upstreams;
  upstreams[upstream_id{"e1"}] = engine("e1");
  upstreams[upstream_id{"e2"}] = engine("e2");
  const auto call = call_of(8000, 10);
  auto& cached = upstreams[upstream_id{"e2"}].cached_blocks;
  cached.insert(call.prefix_blocks.begin(), call.prefix_blocks.end());
  const auto policy = make("predicted_latency");
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(policy->choose(query_of(call), upstreams, clock.now())->upstream.value, "e2");
  }
}

TEST(predicted_latency, counts_its_own_placement_as_cached_before_the_cache_event) {
  const manual_clock clock;
  upstream_map upstreams;
  for (int i = 0; i < 6; ++i) {
    const auto name = "e" + std::to_string(i);
    upstreams[upstream_id{name}] = engine(name);
  }
  const auto call = call_of(8000, 10);
  const auto policy = make("predicted_latency");
  const auto first = policy->choose(query_of(call), upstreams, clock.now())->upstream;
  upstreams[first].load_measured = clock.now().after(seconds{2});
  EXPECT_EQ(policy->choose(query_of(call), upstreams, clock.now().after(seconds{3}))->upstream,
            first);
}

TEST(predicted_latency, corrects_a_delayed_report_by_its_placements_since) {
  const manual_clock clock;
  upstream_map upstreams;
  upstreams[upstream_id{"e1"}] = engine("e1");
  upstreams[upstream_id{"e2"}] = engine("e2");
  const auto policy = make("predicted_latency");
  std::map<std::string, int> placed;
  for (std::uint64_t i = 0; i < 10; ++i) {
    auto call = call_of(4000, 10);
    for (auto& block : call.prefix_blocks) {
      block += i * 100'000;
    }
    placed[policy->choose(query_of(call), upstreams, clock.now())->upstream.value] += 1;
  }
  EXPECT_EQ(placed["e1"], 5);
  EXPECT_EQ(placed["e2"], 5);
}

TEST(predicted_latency, forgets_ended_placements_of_an_engine_that_never_reports) {
  // Reports of engines in other zones do not reach this instance. Placements that were counted
  // until the next report would make such an engine appear full forever.
  const auto policy = make("predicted_latency");
  manual_clock clock;
  upstream_map upstreams;
  upstreams.emplace(upstream_id{"e1"}, engine("e1"));
  const auto call = call_of(64, 2);
  constexpr int requests = 500;
  for (int n = 0; n < requests; ++n) {
    clock.advance(milliseconds{100});
    auto query = query_of(call);
    query.deadline = clock.now().boot + seconds{30};
    auto& it = upstreams.at(upstream_id{"e1"});
    ASSERT_TRUE(policy->choose(query, upstreams, clock.now()).has_value()) << n;
    ++it.own_in_flight;
    clock.advance(milliseconds{100});
    --it.own_in_flight; // The request has ended.
  }
}

TEST(predicted_latency, does_not_place_if_every_engine_has_a_queue) {
  const manual_clock clock;
  upstream_map upstreams;
  auto& it = upstreams[upstream_id{"e1"}] = engine("e1");
  it.load.running = 16;
  it.load.waiting = 8;
  const auto call = call_of(100, 10);
  EXPECT_FALSE(make("predicted_latency")->choose(query_of(call), upstreams, clock.now()));
}

TEST(predicted_latency, does_not_place_what_would_miss_its_deadline) {
  const manual_clock clock;
  upstream_map upstreams;
  upstreams[upstream_id{"e1"}] = engine("e1");
  const auto call = call_of(100, 100); // About 100 steps of 25 ms.
  auto query = query_of(call);
  const auto policy = make("predicted_latency");
  query.deadline = clock.now().boot + seconds{1};
  EXPECT_FALSE(policy->choose(query, upstreams, clock.now()));
  EXPECT_GT(policy->estimate_service_time(query, upstreams, clock.now()), seconds{1});
  query.deadline = clock.now().boot + seconds{4};
  EXPECT_TRUE(policy->choose(query, upstreams, clock.now()));
}

TEST(predicted_latency, slow_streams_raise_the_estimate) {
  const manual_clock clock;
  upstream_map upstreams;
  upstreams[upstream_id{"e1"}] = engine("e1");
  const auto call = call_of(100, 100);
  const auto policy = make("predicted_latency");
  const auto before = policy->estimate_service_time(query_of(call), upstreams, clock.now());
  for (int i = 0; i < 100; ++i) {
    policy->observe({upstream_id{"e1"}, milliseconds{1000}, 10});
  }
  EXPECT_GT(policy->estimate_service_time(query_of(call), upstreams, clock.now()), 2 * before);
}

TEST(predicted_latency, traffic_between_regions_adds_cost) {
  const manual_clock clock;
  upstream_map upstreams;
  upstreams[upstream_id{"far"}] = engine("far", "vaud");
  upstreams[upstream_id{"near"}] = engine("near");
  upstreams[upstream_id{"near"}].load.waiting_tokens = 500;
  const auto policy = make("predicted_latency");
  const auto call = call_of(100, 100);
  EXPECT_EQ(policy->choose(query_of(call), upstreams, clock.now())->upstream.value, "near");
  upstreams[upstream_id{"near"}].load.waiting_tokens = 50'000;
  EXPECT_EQ(policy->choose(query_of(call), upstreams, clock.now())->upstream.value, "far");
}

} // namespace nutmegspur
