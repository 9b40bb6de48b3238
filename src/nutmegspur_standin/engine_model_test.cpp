/// \file engine_model_test.cpp
/// Guards against an engine timing model that repeats or reorders tokens, does not reuse cached
/// prefixes, publishes loads or cache events without delay, or accepts a stale order.

#include "engine_model.h"

#include <gtest/gtest.h>

namespace nutmegspur::standin {

namespace {

constexpr time_point start{seconds{1000}};

engine_options
plain_options() {
  engine_options it;
  it.name = "e1";
  it.event_gap_in = 0;
  return it;
}

engine_job
job(std::uint64_t id, std::uint32_t prompt, std::uint32_t output) {
  engine_job it;
  it.id = id;
  it.prompt_tokens = prompt;
  it.output_tokens = output;
  for (std::uint64_t i = 0; i < prompt / 16; ++i) {
    it.prefix_blocks.push_back(100 + i);
  }
  return it;
}

std::vector<engine_output>
run(engine_model& engine, time_point until) {
  std::vector<engine_output> out;
  engine.advance(until, out);
  return out;
}

} // namespace

TEST(engine_model, generates_each_token_once_and_in_order) {
  engine_model engine(plain_options());
  ASSERT_TRUE(engine.submit(job(1, 1000, 5), start));
  const auto out = run(engine, start + seconds{10});
  ASSERT_EQ(out.size(), 6U);
  for (std::uint32_t i = 0; i < 5; ++i) {
    EXPECT_EQ(out[i].what, engine_output::kind::token);
    EXPECT_EQ(out[i].index, i);
  }
  EXPECT_EQ(out[5].what, engine_output::kind::finished);
}

TEST(engine_model, first_token_is_faster_with_a_cached_prefix) {
  engine_model engine(plain_options());
  engine.submit(job(1, 8000, 1), start);
  const auto cold = run(engine, start + seconds{20});
  engine.submit(job(2, 8000, 1), start + seconds{20});
  const auto warm = run(engine, start + seconds{40});
  EXPECT_EQ(cold.front().cached_tokens, 0U);
  EXPECT_EQ(warm.front().cached_tokens, 7999U);
  EXPECT_LT((warm.front().at - (start + seconds{20})) * 5, cold.front().at - start);
}

TEST(engine_model, resumes_at_the_given_token) {
  engine_model engine(plain_options());
  auto it = job(1, 100, 10);
  it.resume_from = 7;
  engine.submit(it, start);
  const auto out = run(engine, start + seconds{10});
  EXPECT_EQ(out.front().index, 7U);
  EXPECT_EQ(out.size(), 4U);
}

TEST(engine_model, load_reports_are_delayed) {
  engine_model engine(plain_options());
  engine.submit(job(1, 4000, 500), start);
  EXPECT_EQ(engine.report(start + milliseconds{100}).load.running, 0U);
  run(engine, start + milliseconds{600});
  EXPECT_EQ(engine.report(start + milliseconds{600}).load.running, 1U);
}

TEST(engine_model, cache_events_are_delayed_and_have_gaps) {
  auto options = plain_options();
  options.event_gap_in = 2;
  engine_model engine(options);
  for (std::uint64_t i = 1; i <= 40; ++i) {
    auto it = job(i, 160, 1);
    for (auto& block : it.prefix_blocks) {
      block += i * 1000;
    }
    engine.submit(it, start);
  }
  run(engine, start + seconds{30});
  EXPECT_TRUE(engine.events_after(0, start + milliseconds{700}).empty());
  const auto seen = engine.events_after(0, start + seconds{60});
  EXPECT_LT(seen.size(), seen.back().number);
}

TEST(engine_model, cancel_frees_slots_and_blocks) {
  engine_model engine(plain_options());
  engine.submit(job(1, 8000, 500), start);
  engine.cancel(1, start + milliseconds{10});
  EXPECT_EQ(engine.load_now().running, 0U);
  EXPECT_EQ(engine.load_now().free_blocks, engine.options().blocks);
  EXPECT_TRUE(run(engine, start + seconds{20}).empty());
}

TEST(engine_model, an_order_aborts_jobs_and_takes_time) {
  engine_model engine(plain_options());
  engine.submit(job(1, 100, 500), start);
  std::vector<engine_output> out;
  engine_state wanted;
  wanted.role = engine_role::decode;
  EXPECT_EQ(engine.order({7}, 1, wanted, start, out), order_result::accepted);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out.front().what, engine_output::kind::aborted);
  EXPECT_FALSE(engine.submit(job(2, 10, 1), start));
  EXPECT_EQ(engine.order({7}, 2, wanted, start, out), order_result::changing);
  run(engine, start + seconds{6});
  EXPECT_EQ(engine.state().role, engine_role::decode);
  EXPECT_TRUE(engine.submit(job(2, 10, 1), start + seconds{6}));
}

TEST(engine_model, rejects_stale_sequences_always_and_stale_fences_if_configured) {
  auto options = plain_options();
  options.checks_fence = true;
  engine_model checking(options);
  engine_model trusting(plain_options());
  std::vector<engine_output> out;
  const engine_state same;
  EXPECT_EQ(checking.order({9}, 1, same, start, out), order_result::accepted);
  EXPECT_EQ(checking.order({8}, 2, same, start, out), order_result::stale_fence);
  EXPECT_EQ(checking.order({9}, 1, same, start, out), order_result::stale_sequence);
  EXPECT_EQ(trusting.order({9}, 1, same, start, out), order_result::accepted);
  EXPECT_EQ(trusting.order({8}, 2, same, start, out), order_result::accepted);
}

} // namespace nutmegspur::standin
