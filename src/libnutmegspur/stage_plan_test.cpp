// Guards against needless stage changes, zones or versions left without a prefill or a decode
// engine, and an engine that is ordered back while its last order may still be executed.
// labels: P01
#include <nutmegspur/stage_plan.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace nutmegspur {
namespace {

std::vector<listed_upstream>
engines(std::size_t prefill_engines, std::size_t decode_engines) {
  std::vector<listed_upstream> all;
  all.reserve(prefill_engines + decode_engines);
  for (std::size_t n = 0; n < prefill_engines + decode_engines; ++n) {
    listed_upstream it;
    it.id = upstream_id{"e" + std::to_string(n)};
    it.stage = n < prefill_engines ? engine_stage::prefill : engine_stage::decode;
    all.push_back(it);
  }
  return all;
}

std::vector<const listed_upstream*>
pointers(const std::vector<listed_upstream>& all) {
  std::vector<const listed_upstream*> out;
  out.reserve(all.size());
  for (const auto& it : all) {
    out.push_back(&it);
  }
  return out;
}

TEST(stage_plan, reaches_the_share_with_the_fewest_changes) {
  manual_clock clock;
  stage_plan plan{0.5};
  const auto all = engines(1, 5);
  EXPECT_EQ(plan.step(clock.now(), pointers(all)).size(), 2U);
}

TEST(stage_plan, two_engines_get_one_stage_each) {
  EXPECT_EQ(stage_plan{0.9}.target_prefill_engines(2), 1U);
  EXPECT_EQ(stage_plan{0.1}.target_prefill_engines(2), 1U);
  EXPECT_EQ(stage_plan{0.9}.target_prefill_engines(1), 0U);
  EXPECT_EQ(stage_plan{0}.target_prefill_engines(9), 0U);
}

TEST(stage_plan, an_engine_gets_no_second_order_during_the_cooldown) {
  manual_clock clock;
  stage_plan plan{0.5};
  const auto before = engines(0, 4);
  const auto first = plan.step(clock.now(), pointers(before));
  ASSERT_EQ(first.size(), 2U);
  // The other engines leave; only the two that were ordered remain.
  std::vector<const listed_upstream*> remaining;
  for (const auto& it : before) {
    for (const auto& change : first) {
      if (it.id == change.upstream) {
        remaining.push_back(&it);
      }
    }
  }
  EXPECT_TRUE(plan.step(clock.now(), remaining).empty());
  clock.advance(stage_plan::order_cooldown);
  EXPECT_EQ(plan.step(clock.now(), remaining).size(), 1U);
}

/// A service whose engines are replaced by those of other versions, and obey all orders at once.
class rollout {
 public:
  void add(int zone, int version) {
    listed_upstream it;
    it.id = upstream_id{"e" + std::to_string(++last_)};
    it.zone = zone_id{"z" + std::to_string(zone)};
    it.software_version = "v" + std::to_string(version);
    it.stage = engine_stage::decode;
    engines_.push_back(it);
  }

  void remove(std::size_t n) {
    if (!engines_.empty()) {
      engines_.erase(engines_.begin() + static_cast<std::ptrdiff_t>(n % engines_.size()));
    }
  }

  void step(duration passed) {
    clock_.advance(passed);
    for (const auto& change : plan_.step(clock_.now(), pointers(engines_))) {
      for (auto& it : engines_) {
        it.stage = it.id == change.upstream ? change.target : it.stage;
      }
    }
  }

  [[nodiscard]] std::size_t count(const std::string& version, engine_stage stage) const {
    return static_cast<std::size_t>(
        std::count_if(engines_.begin(), engines_.end(), [&](const auto& it) {
          return it.software_version == version && it.stage == stage;
        }));
  }

  [[nodiscard]] bool each_version_decodes() const {
    return std::all_of(engines_.begin(), engines_.end(), [&](const auto& it) {
      return count(it.software_version, engine_stage::decode) > 0;
    });
  }

 private:
  manual_clock clock_;
  stage_plan plan_{0.5};
  std::vector<listed_upstream> engines_;
  int last_ = 0;
};

// Both decode engines of a version were ordered to prefill, since another one had enough of them:
// the version could begin and resume nothing.
TEST(stage_plan, each_version_keeps_its_decode_engines) {
  rollout all;
  for (const int version : {1, 1, 2, 2}) {
    all.add(1, version);
  }
  all.step(seconds{1});
  for (const auto* version : {"v1", "v2"}) {
    EXPECT_EQ(all.count(version, engine_stage::decode), 2U) << version;
  }
  all.add(1, 1);
  all.step(seconds{1});
  EXPECT_EQ(all.count("v1", engine_stage::decode), 2U);
  EXPECT_EQ(all.count("v1", engine_stage::prefill), 1U);
}

TEST(stage_plan, one_version_alone_is_divided_as_before) {
  rollout all;
  for (int n = 0; n < 4; ++n) {
    all.add(1, 1);
  }
  all.step(seconds{1});
  EXPECT_EQ(all.count("v1", engine_stage::prefill), 2U);
}

// Whatever is released and removed, and in whichever order: once orders may be given again, no
// version is without an engine that decodes.
RC_GTEST_PROP(stage_plan, no_version_is_left_without_a_decode_engine, ()) {
  rollout all;
  for (int n = 0; n < 6; ++n) {
    all.add(n % 2, 1);
  }
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      40, rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 2), rc::gen::inRange(1, 4)));
  for (const auto& [kind, zone, version] : steps) {
    if (kind == 0) {
      all.remove(static_cast<std::size_t>(zone) + static_cast<std::size_t>(version) * 3);
    } else {
      all.add(zone, version);
    }
    all.step(milliseconds{version * 700});
  }
  all.step(stage_plan::order_cooldown);
  RC_ASSERT(all.each_version_decodes());
}

} // namespace
} // namespace nutmegspur
