// Counts by window, sent as totals. Guards against usage that is reported twice or not at all
// because a message between instances is lost, repeated or reordered.
// labels: P08
#include <nutmegspur/usage_windows.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

constexpr milliseconds length{5'000};
const team_id team{"t"};

wall_time
at(std::int64_t window, milliseconds offset = milliseconds{0}) {
  return wall_time{length * window + offset};
}

TEST(usage_windows, a_window_starts_at_a_multiple_of_its_length) {
  usage_windows usage{instance_id{"a"}, length};
  EXPECT_EQ(usage.number_at(at(7)), 7);
  EXPECT_EQ(usage.number_at(at(7, milliseconds{4'999})), 7);
  EXPECT_EQ(usage.number_at(at(8)), 8);
}

RC_GTEST_PROP(usage_windows, repeated_and_reordered_messages_change_nothing, ()) {
  usage_windows sender{instance_id{"a"}, length};
  usage_windows holder{instance_id{"b"}, length};
  std::vector<usage_window> messages;
  const auto n = *rc::gen::inRange(1, 30);
  for (int i = 0; i < n; ++i) {
    sender.count(team, at(100));
    messages.push_back(sender.own_windows(at(100)).front());
  }
  const auto order = *rc::gen::container<std::vector<std::size_t>>(
      60, rc::gen::inRange<std::size_t>(0, messages.size()));
  holder.merge_peer_counts(instance_id{"a"}, messages.back());
  for (const auto i : order) {
    holder.merge_peer_counts(instance_id{"a"}, messages[i]);
  }
  RC_ASSERT(holder.total(100).counts.at(team) == static_cast<std::uint64_t>(n));
}

TEST(usage_windows, counts_of_a_lost_instance_are_kept) {
  usage_windows holder{instance_id{"b"}, length};
  holder.merge_peer_counts(instance_id{"a"}, {100, {{team, 4}}});
  holder.count(team, at(100));
  EXPECT_EQ(holder.total(100).counts.at(team), 5U);
}

TEST(usage_windows, a_window_is_due_once_it_has_reached_its_minimum_age) {
  usage_windows usage{instance_id{"a"}, length};
  usage.count(team, at(100));
  EXPECT_EQ(usage.next_due(at(101, milliseconds{2'000}), milliseconds{2'500}, 0), std::nullopt);
  EXPECT_EQ(usage.next_due(at(101, milliseconds{2'500}), milliseconds{2'500}, 0), 100);
  EXPECT_EQ(usage.next_due(at(101, milliseconds{2'500}), milliseconds{2'500}, 100), std::nullopt);
}

TEST(usage_windows, sealed_windows_are_not_sent_again) {
  usage_windows usage{instance_id{"a"}, length};
  usage.count(team, at(7));
  usage.count(team, at(8));
  EXPECT_EQ(usage.own_windows(at(8)).size(), 2U);
  const auto rest = usage.own_windows(at(8), 7);
  ASSERT_EQ(rest.size(), 1U);
  EXPECT_EQ(rest[0].number, 8);
}

usage_window
window(std::int64_t number, std::uint64_t n) {
  return {number, {{team, n}}};
}

TEST(usage_windows, a_sealed_window_in_the_store_is_reported_as_it_was_sealed) {
  const auto position = continue_after(window(8, 5), window(7, 3), 8);
  EXPECT_EQ(position.step, sealed_step::report);
  EXPECT_EQ(position.window, window(8, 5));
  EXPECT_EQ(continue_after({}, {}, 0).step, sealed_step::skip);
}

// The store is restored from a copy of before the seal of window 9, which has been reported.
TEST(usage_windows, a_window_whose_seal_was_lost_is_not_reported_with_other_counts) {
  const auto by_its_sealer = continue_after(window(8, 5), window(9, 6), 9);
  EXPECT_EQ(by_its_sealer.step, sealed_step::seal_again);
  EXPECT_EQ(by_its_sealer.window, window(9, 6));
  const auto by_another = continue_after(window(8, 5), window(7, 3), 9);
  EXPECT_EQ(by_another.step, sealed_step::skip);
  EXPECT_EQ(by_another.window.number, 9);
}

// Regression: a new holder that had skipped a lost window and then read the record once more, after
// a write without a reply, sealed and reported that window without counts.
TEST(usage_windows, a_window_that_was_skipped_is_skipped_again) {
  const auto first = continue_after({}, {}, 9);
  EXPECT_EQ(first.step, sealed_step::skip);
  EXPECT_FALSE(known_counts(first));
  const auto second = continue_after({}, known_counts(first), 9);
  EXPECT_EQ(second.step, sealed_step::skip);
  EXPECT_EQ(second.window.number, 9);
  const auto read = continue_after(window(9, 6), known_counts(second), 9);
  EXPECT_EQ(known_counts(read), window(9, 6));
  EXPECT_EQ(continue_after({}, known_counts(read), 9).step, sealed_step::seal_again);
}

} // namespace
} // namespace nutmegspur
