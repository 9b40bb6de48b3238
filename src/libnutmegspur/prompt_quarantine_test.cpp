// Guards against prompt parts that crash engine after engine, and against sound parts that are
// refused because they were in the same prompts or at engines that ended for other reasons.
// labels: P10
#include <nutmegspur/prompt_quarantine.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

constexpr std::uint64_t deadly = 0xDEAD;
constexpr std::uint64_t first_part = 0xAA;
constexpr std::uint64_t rare = 0xBB;

wall_time
at(int millis) {
  return wall_time{seconds{1'700'000'000} + milliseconds{millis}};
}

bool
refused(const prompt_quarantine& all, int millis, std::uint64_t part) {
  return all.time_left(at(millis), {part}).has_value();
}

/// Crashes of different processes, a second apart from `from` on.
void
crash(prompt_quarantine& all, int from, int count, const part_ids& parts) {
  for (int n = 0; n < count; ++n) {
    const int when = from + n * 1'000;
    all.on_crash(at(when), static_cast<std::uint64_t>(when) + 1, parts);
  }
}

// Requests with one part went on to crash engine after engine.
TEST(prompt_quarantine, a_part_that_crashes_engines_in_turn_is_refused) {
  prompt_quarantine all;
  crash(all, 0, 2, {deadly});
  EXPECT_FALSE(refused(all, 1'500, deadly));
  crash(all, 2'000, 1, {deadly});
  EXPECT_TRUE(refused(all, 2'000, deadly));
  EXPECT_EQ(all.time_left(at(12'000), {first_part, deadly}), milliseconds{50'000});
  EXPECT_EQ(all.size(at(12'000)), 1U);
}

// The first part, which all requests of a route share, was refused along with the deadly one.
TEST(prompt_quarantine, a_part_that_completes_elsewhere_is_not_refused) {
  prompt_quarantine all;
  for (int n = 0; n < 6; ++n) {
    crash(all, n * 1'000, 1, {first_part, deadly});
    all.on_completed(at(n * 1'000 + 300), {first_part});
  }
  EXPECT_TRUE(refused(all, 6'000, deadly));
  EXPECT_FALSE(refused(all, 6'000, first_part));
}

// One loss of many engines, as of a zone, counted as many crashes.
TEST(prompt_quarantine, engines_that_end_at_the_same_time_count_once) {
  prompt_quarantine all;
  for (int n = 0; n < 12; ++n) {
    all.on_crash(at(n * 20), static_cast<std::uint64_t>(n), {first_part});
  }
  EXPECT_FALSE(refused(all, 1'000, first_part));
}

// Notices of several instances about one crash counted as several.
TEST(prompt_quarantine, one_process_counts_once) {
  prompt_quarantine all;
  for (int n = 0; n < 5; ++n) {
    all.on_crash(at(n * 1'000), 7, {deadly});
  }
  EXPECT_FALSE(refused(all, 5'000, deadly));
}

// A rare part that was in the first prompts beside the deadly one was refused with it.
TEST(prompt_quarantine, a_part_with_fewer_crashes_than_another_is_not_refused) {
  prompt_quarantine all;
  crash(all, 0, 3, {rare, deadly});
  EXPECT_FALSE(refused(all, 2'500, deadly)) << "nothing distinguishes the two yet";
  crash(all, 3'000, 1, {deadly});
  EXPECT_TRUE(refused(all, 3'500, deadly));
  EXPECT_FALSE(refused(all, 3'500, rare));
}

// Two parts that always came together were never refused.
TEST(prompt_quarantine, parts_that_nothing_distinguishes_are_both_refused_later) {
  prompt_quarantine all;
  crash(all, 0, 5, {rare, deadly});
  EXPECT_TRUE(refused(all, 4'500, deadly));
  EXPECT_TRUE(refused(all, 4'500, rare));
  // A request that was under way shows that one of them is sound.
  all.on_completed(at(5'000), {rare});
  EXPECT_FALSE(refused(all, 5'000, rare));
  EXPECT_TRUE(refused(all, 5'000, deadly));
}

// A second deadly part was not noticed beside the first.
TEST(prompt_quarantine, two_deadly_parts_are_both_refused) {
  prompt_quarantine all;
  crash(all, 0, 4, {1});
  crash(all, 4'500, 3, {2});
  EXPECT_TRUE(refused(all, 7'000, 1));
  EXPECT_TRUE(refused(all, 7'000, 2));
}

// A part was refused for ever, or crashed three engines again after each quarantine.
TEST(prompt_quarantine, a_quarantine_ends_and_the_next_crash_renews_it) {
  prompt_quarantine all;
  crash(all, 0, 3, {deadly});
  EXPECT_TRUE(refused(all, 61'000, deadly));
  EXPECT_FALSE(refused(all, 62'001, deadly));
  crash(all, 70'000, 1, {deadly});
  EXPECT_TRUE(refused(all, 70'000 + 119'000, deadly));
  EXPECT_FALSE(refused(all, 70'000 + 121'000, deadly));
  // A completed response ends the probation.
  all.on_completed(at(200'000), {deadly});
  crash(all, 201'000, 2, {deadly});
  EXPECT_FALSE(refused(all, 202'500, deadly));
}

/// Instances that see each crash alone, and tell each other afterwards.
struct instances {
  prompt_quarantine a;
  prompt_quarantine b;
  prompt_quarantine c;

  void exchange(int millis) {
    for (auto* from : {&a, &b, &c}) {
      const auto notices = from->current(at(millis));
      for (auto* to : {&a, &b, &c}) {
        if (to != from) {
          to->merge(at(millis), notices);
        }
      }
    }
  }
};

// Each instance saw too few of the crashes to notice the part.
TEST(prompt_quarantine, crashes_at_different_instances_add_up) {
  instances all;
  all.a.on_crash(at(0), 1, {deadly, first_part});
  all.exchange(200);
  all.b.on_completed(at(400), {first_part});
  all.b.on_crash(at(1'000), 2, {deadly});
  all.exchange(1'200);
  all.c.on_crash(at(2'000), 3, {deadly, first_part});
  all.exchange(2'200);
  for (const auto* it : {&all.a, &all.b, &all.c}) {
    EXPECT_TRUE(refused(*it, 2'300, deadly));
    EXPECT_FALSE(refused(*it, 2'300, first_part));
  }
}

// A restarted instance sent the part again.
TEST(prompt_quarantine, a_new_instance_learns_a_quarantine_long_after_the_crashes) {
  instances all;
  crash(all.a, 0, 3, {deadly});
  all.exchange(50'000);
  EXPECT_TRUE(refused(all.b, 50'000, deadly));
  EXPECT_FALSE(refused(all.b, 62'001, deadly));
}

// A part that one instance had cleared came back from the notices of another.
TEST(prompt_quarantine, a_completed_response_ends_the_quarantine_everywhere) {
  instances all;
  crash(all.a, 0, 3, {rare});
  all.exchange(2'100);
  EXPECT_TRUE(refused(all.b, 2'200, rare));
  all.c.on_completed(at(2'300), {rare});
  for (int n = 0; n < 3; ++n) {
    all.exchange(2'400 + n * 100);
  }
  for (const auto* it : {&all.a, &all.b, &all.c}) {
    EXPECT_FALSE(refused(*it, 2'700, rare));
  }
}

// A response that had completed before a peer's late report of a crash did not clear the part.
TEST(prompt_quarantine, a_response_that_completed_after_a_crash_refutes_a_late_report) {
  prompt_quarantine all;
  all.on_completed(at(5'000), {rare});
  all.merge(at(6'000), {{rare, {}, {{1, at(1'000)}, {2, at(2'000)}, {3, at(3'000)}}, {}}});
  EXPECT_FALSE(refused(all, 6'000, rare));
  // The peer is told.
  const auto notices = all.current(at(6'100));
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices[0].cleared, at(5'000));
}

// Evidence about many parts made notices too long, or left out the part that matters.
TEST(prompt_quarantine, notices_are_bounded_and_hold_the_worst_part) {
  prompt_quarantine all;
  for (int n = 0; n < 40; ++n) {
    part_ids parts{deadly};
    for (std::uint64_t own = 0; own < 50; ++own) {
      parts.push_back(static_cast<std::uint64_t>(n) * 50 + own);
    }
    all.on_crash(at(n * 500), static_cast<std::uint64_t>(n) + 1, parts);
    const auto notices = all.current(at(n * 500));
    EXPECT_LE(notices.size(),
              prompt_quarantine::max_shared_suspects + prompt_quarantine::max_shared_disputed);
    if (n > 0) {
      EXPECT_EQ(notices[0].part, deadly);
      EXPECT_LE(notices[0].crashes.size(), prompt_quarantine::max_shared_crashes);
    }
  }
}

// A peer with a wrong clock had a part refused for years, or cleared it for the future.
TEST(prompt_quarantine, times_of_a_peer_are_bounded_by_the_present) {
  prompt_quarantine all;
  all.merge(at(0), {{deadly, at(90'000'000), {}, {}},
                    {rare, {}, {}, quarantine_span{at(0), at(90'000'000), 1}}});
  EXPECT_EQ(all.time_left(at(0), {rare}), prompt_quarantine::max_span);
  crash(all, 1'000, 3, {deadly});
  EXPECT_TRUE(refused(all, 4'000, deadly));
}

// In a random history, a part whose responses go on completing was refused for long.
RC_GTEST_PROP(prompt_quarantine, a_part_is_not_refused_after_a_completed_response, ()) {
  instances all;
  int now = 0;
  const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100));
  for (const int step : steps) {
    now += 50 + step * 5;
    auto* at_instance = step % 3 == 0 ? &all.a : step % 3 == 1 ? &all.b : &all.c;
    if (step < 60) {
      at_instance->on_crash(at(now), static_cast<std::uint64_t>(now), {deadly, rare});
    } else if (step < 90) {
      all.exchange(now);
    } else {
      at_instance->on_completed(at(now), {rare});
      all.exchange(now + 10);
      all.exchange(now + 20);
      RC_ASSERT(!refused(all.a, now + 30, rare));
      RC_ASSERT(!refused(all.b, now + 30, rare));
      RC_ASSERT(!refused(all.c, now + 30, rare));
    }
  }
}

} // namespace
} // namespace nutmegspur
