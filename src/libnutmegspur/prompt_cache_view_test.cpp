// Guards against cache estimates that differ from the engine's prefix cache: parts without their
// predecessors, evicted parts, and parts of failed attempts.
#include <nutmegspur/prompt_cache_view.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

const upstream_id engine{"e"};

prompt_shape
prompt(const std::vector<prompt_part>& parts) {
  prompt_shape it{chain_parts("m", parts), 0, 0};
  for (const auto& part : parts) {
    it.prompt_tokens += part.tokens;
  }
  return it;
}

TEST(prompt_cache_view, a_part_counts_only_if_all_parts_before_it_are_cached) {
  prompt_cache_view view;
  const auto one = prompt({{1, 100}, {2, 50}, {3, 10}});
  view.on_placed(engine, one.parts, 10'000);
  EXPECT_EQ(view.cached_tokens(engine, one), 160U);
  EXPECT_EQ(view.cached_tokens(engine, prompt({{1, 100}, {2, 50}, {9, 10}})), 150U);
  EXPECT_EQ(view.cached_tokens(engine, prompt({{2, 50}, {3, 10}})), 0U);
  EXPECT_EQ(view.cached_tokens(upstream_id{"other"}, one), 0U);
}

TEST(prompt_cache_view, chains_of_different_models_differ) {
  EXPECT_NE(chain_parts("m", {{1, 100}}).front().chain, chain_parts("n", {{1, 100}}).front().chain);
}

TEST(prompt_cache_view, the_least_recently_used_part_is_evicted) {
  prompt_cache_view view;
  const auto one = prompt({{1, 100}});
  const auto two = prompt({{2, 100}});
  const auto three = prompt({{3, 100}});
  view.on_placed(engine, one.parts, 250);
  view.on_placed(engine, two.parts, 250);
  view.on_placed(engine, one.parts, 250);
  view.on_placed(engine, three.parts, 250);
  EXPECT_EQ(view.cached_tokens(engine, one), 100U);
  EXPECT_EQ(view.cached_tokens(engine, two), 0U);
}

TEST(prompt_cache_view, parts_of_a_failed_attempt_are_removed) {
  prompt_cache_view view;
  const auto one = prompt({{1, 100}, {2, 50}});
  const auto added = view.on_placed(engine, one.parts, 10'000);
  EXPECT_EQ(added.size(), 2U);
  view.on_prefill_failed(engine, added);
  EXPECT_EQ(view.cached_tokens(engine, one), 0U);
}

TEST(prompt_cache_view, home_weight_depends_only_on_chain_and_upstream) {
  EXPECT_EQ(home_weight(42, engine), home_weight(42, engine));
  EXPECT_NE(home_weight(42, engine), home_weight(42, upstream_id{"f"}));
  EXPECT_NE(home_weight(42, engine), home_weight(43, engine));
}

} // namespace
} // namespace nutmegspur
