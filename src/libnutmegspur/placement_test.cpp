// Guards the choice of upstream for typical load patterns: cached prefixes, long and short prompts,
// network distance, overload and failures.
#include <nutmegspur/placement.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace nutmegspur {
namespace {

placement_candidate
engine(const std::string& id, const std::string& zone = "a") {
  placement_candidate it;
  it.id = upstream_id{id};
  it.zone = zone_id{zone};
  it.region = zone;
  it.network_distance = zone == "a" ? distance::same_zone : distance::other_region;
  it.slots = 64;
  return it;
}

/// A prompt of 17,000 tokens, of which 13,000 are shared.
placement_request
long_prompt() {
  placement_request it;
  it.target_latency_millis = 800;
  it.remaining_millis = 6'000;
  it.body_bytes = 17'000;
  it.engine = true;
  it.prompt_tokens = 17'000;
  it.shared_tokens = 13'000;
  it.target_gap_millis = 150;
  it.mixed_timing = {60, 0.04};
  it.prefill_timing = {50, 0.02};
  it.transfer_timing = {20, 0.0008};
  return it;
}

TEST(placement, prompts_go_to_the_engine_that_cached_their_prefix) {
  auto held = engine("held");
  held.cached_tokens = 13'000;
  auto idle = engine("idle");
  const auto placed = place_request(long_prompt(), {{engine("run")}, {idle, held}}, {});
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->prefill_upstream, upstream_id{"held"});
}

// Guards against a prompt that one software version prefills and another one decodes.
TEST(placement, both_engines_of_a_split_request_have_one_version) {
  auto held = engine("held");
  held.cached_tokens = 13'000;
  held.software_version = "v1";
  auto idle = engine("idle");
  idle.software_version = "v2";
  auto run = engine("run");
  run.software_version = "v2";
  auto placed = place_request(long_prompt(), {{run}, {held, idle}}, {});
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->prefill_upstream, upstream_id{"idle"});
  placed = place_request(long_prompt(), {{run}, {held}}, {});
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->upstream, upstream_id{"run"});
  EXPECT_TRUE(placed->prefill_upstream.empty()) << "the decode engine prefills the prompt itself";
}

TEST(placement, a_long_queue_outweighs_a_cached_prefix) {
  auto held = engine("held");
  held.cached_tokens = 13'000;
  held.backlog_millis = 2'000;
  const auto placed = place_request(long_prompt(), {{engine("run")}, {engine("idle"), held}}, {});
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->prefill_upstream, upstream_id{"idle"});
}

TEST(placement, an_uncached_shared_prefix_is_prefilled_at_its_home) {
  auto home = engine("home");
  home.home_weight = 9;
  auto other = engine("other");
  other.home_weight = 3;
  other.open = 0;
  const auto placed = place_request(long_prompt(), {{engine("run")}, {other, home}}, {});
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->prefill_upstream, upstream_id{"home"});
}

TEST(placement, long_prompts_are_prefilled_at_a_prefill_engine) {
  const auto placed = place_request(long_prompt(), {{engine("run")}, {engine("read")}}, {});
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->prefill_upstream, upstream_id{"read"});
  EXPECT_EQ(placed->upstream, upstream_id{"run"});
}

TEST(placement, short_prompts_are_prefilled_at_the_decode_engine) {
  auto request = long_prompt();
  request.prompt_tokens = 100;
  request.shared_tokens = 20;
  const auto placed = place_request(request, {{engine("run")}, {engine("read")}}, {});
  ASSERT_TRUE(placed);
  EXPECT_TRUE(placed->prefill_upstream.empty());
}

// Load reports of peers are slightly out of date. Instances that act on the same outdated reports
// must not all choose the same engine.
TEST(placement, instances_with_the_same_load_reports_choose_different_engines) {
  std::set<upstream_id> taken;
  for (const auto* instance : {"front-1", "front-2", "front-3", "front-4", "front-5", "front-6"}) {
    placement_candidates candidates;
    for (const auto* id : {"a", "b", "c", "d", "e", "f"}) {
      auto it = engine(id);
      it.preference = preference_rank(instance_id{instance}, it.id);
      candidates.upstreams.push_back(it);
    }
    auto request = long_prompt();
    request.prompt_tokens = 500;
    request.shared_tokens = 0;
    taken.insert(place_request(request, candidates, {})->upstream);
  }
  EXPECT_GE(taken.size(), 3U);
}

TEST(placement, kv_transfer_stays_within_a_zone_if_possible) {
  auto near = engine("near");
  auto far = engine("far", "b");
  far.network_distance = distance::same_zone; // As near to this instance as the other.
  const auto placed = place_request(long_prompt(), {{far, near}, {engine("read")}}, {});
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->upstream, upstream_id{"near"});
}

TEST(placement, a_request_that_would_be_late_is_refused_with_a_retry_time) {
  auto busy = engine("busy");
  busy.backlog_millis = 5'000;
  const auto placed = place_request(long_prompt(), {{busy}, {}}, {});
  ASSERT_FALSE(placed);
  EXPECT_EQ(placed.error().why, placement_refusal::reason::too_late);
  EXPECT_GT(placed.error().retry_after, milliseconds{0});
}

TEST(placement, without_an_upstream_the_refusal_reason_is_no_upstream) {
  const auto placed = place_request(long_prompt(), {}, {});
  ASSERT_FALSE(placed);
  EXPECT_EQ(placed.error().why, placement_refusal::reason::no_upstream);
}

TEST(placement_weights, are_set_by_name) {
  placement_weights weights;
  ASSERT_TRUE(set_weights("reread=0.75,home_millis=10", weights));
  EXPECT_DOUBLE_EQ(weights.reread, 0.75);
  EXPECT_DOUBLE_EQ(weights.home_millis, 10);
  EXPECT_FALSE(set_weights("unheard_of=1", weights));
  EXPECT_FALSE(set_weights("reread=-1", weights));
  EXPECT_FALSE(set_weights("reread", weights));
}

TEST(placement, service_requests_go_to_the_less_loaded_upstream) {
  placement_request request;
  request.target_latency_millis = 200;
  request.remaining_millis = 3'000;
  request.service_millis = 40;
  auto full = engine("full");
  full.slots = 6;
  full.open = 4;
  auto empty = engine("empty");
  empty.slots = 6;
  EXPECT_EQ(place_request(request, {{full, empty}, {}}, {})->upstream, upstream_id{"empty"});
}

TEST(placement, an_upstream_that_often_fails_is_avoided) {
  placement_request request;
  request.target_latency_millis = 200;
  request.remaining_millis = 3'000;
  request.service_millis = 40;
  auto failing = engine("grey");
  failing.failure_share = 0.4;
  auto busy = engine("busy");
  busy.open = 20;
  EXPECT_EQ(place_request(request, {{failing, busy}, {}}, {})->upstream, upstream_id{"busy"});
}

placement_candidate
arbitrary_engine(int n) {
  auto it = engine("e" + std::to_string(n), *rc::gen::element<std::string>("a", "b", "c", "d"));
  it.region = it.zone < zone_id{"c"} ? "r1" : "r2";
  it.network_distance = it.zone == zone_id{"a"} ? distance::same_zone
                        : it.region == "r1"     ? distance::same_region
                                                : distance::other_region;
  it.slots = 4;
  it.open = *rc::gen::inRange<std::uint32_t>(0, 8);
  it.backlog_millis = *rc::gen::inRange(0, 900);
  it.cached_tokens = *rc::gen::element<std::uint32_t>(0, 6'000, 13'000);
  it.failure_share = *rc::gen::inRange(0, 10) / 10.0;
  it.preference = *rc::gen::inRange(0, 10) / 10.0;
  return it;
}

// Load pattern: hundreds of engines in several zones. Not each pair of them is examined.
RC_GTEST_PROP(placement, the_best_of_all_pairs_is_found, ()) {
  placement_candidates all;
  const int decode = *rc::gen::inRange(1, 12);
  const int prefill = *rc::gen::inRange(1, 12);
  for (int n = 0; n < decode + prefill; ++n) {
    (n < decode ? all.upstreams : all.prefill_engines).push_back(arbitrary_engine(n));
  }
  auto request = long_prompt();
  request.prompt_tokens = *rc::gen::inRange<std::uint32_t>(100, 20'000);
  request.remaining_millis = 60'000;
  placement_weights weights;
  weights.refuse_past_objectives = 1'000;
  double lowest = std::numeric_limits<double>::max();
  for (const auto& from : all.prefill_engines) {
    for (const auto& to : all.upstreams) {
      lowest = std::min(lowest, place_request(request, {{to}, {from}}, weights)->cost);
    }
  }
  const auto placed = place_request(request, all, weights);
  RC_ASSERT(placed.has_value());
  RC_ASSERT(std::abs(placed->cost - lowest) < 1e-6);
}

} // namespace
} // namespace nutmegspur
