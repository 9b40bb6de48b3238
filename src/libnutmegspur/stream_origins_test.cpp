// Tests of the origins of streams. They guard against a stream that is resumed at another software
// version than the one that began it, and against losing the origin when its first instance ends.
// labels: P09
#include <nutmegspur/stream_origins.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace nutmegspur {
namespace {

const stream_origin v1{service_id{"s"}, "v1"};
const stream_origin v2{service_id{"s"}, "v2"};
constexpr milliseconds window{8'000};

void
put(upstream_list& list, const std::string& id, const std::string& version, std::int64_t at) {
  listed_upstream it;
  it.id = upstream_id{id};
  it.service = service_id{"s"};
  it.software_version = version;
  list.put(it, revision{at});
}

/// Observes `list` four times a second for `time`.
void
observe(manual_clock& clock, version_history& history, const upstream_list& list, milliseconds time,
        bool followed = true) {
  for (milliseconds passed{0}; passed <= time; passed += milliseconds{250}) {
    history.observe(clock.now(), list, followed);
    clock.advance(milliseconds{250});
  }
}

TEST(stream_origins, a_record_lasts_for_its_retention) {
  manual_clock clock;
  stream_origins origins;
  origins.add(clock.now(), "a", v1);
  clock.advance(stream_origins::retention / 2);
  origins.add(clock.now(), "a", v2);
  origins.add(clock.now(), "b", v1);
  clock.advance(stream_origins::retention / 2);
  EXPECT_EQ(origins.find(clock.now(), "a"), v2) << "a record that is written again lasts longer";
  clock.advance(stream_origins::retention / 2);
  EXPECT_EQ(origins.find(clock.now(), "a"), std::nullopt);
  EXPECT_EQ(origins.find(clock.now(), "c"), std::nullopt);
}

TEST(stream_origins, memory_is_bounded) {
  manual_clock clock;
  stream_origins origins;
  for (std::size_t n = 0; n < 2 * stream_origins::max_records; ++n) {
    origins.add(clock.now(), std::to_string(n), v1);
  }
  EXPECT_LE(origins.size(), stream_origins::max_records);
  EXPECT_EQ(origins.find(clock.now(), std::to_string(2 * stream_origins::max_records - 1)), v1);
  origins.add(clock.now(), std::string(stream_origins::max_request_bytes + 1, 'x'), v1);
  EXPECT_LE(origins.size(), stream_origins::max_records);
}

TEST(stream_origins, recent_records_are_told_once_each) {
  manual_clock clock;
  stream_origins origins;
  origins.add(clock.now(), "old", v1);
  clock.advance(milliseconds{1'000});
  origins.add(clock.now(), "a", v1);
  clock.advance(milliseconds{10});
  origins.add(clock.now(), "a", v2);
  const std::vector<stream_origin_notice> expected{{"a", v2}};
  EXPECT_EQ(origins.recent(clock.now(), milliseconds{500}), expected);
}

// Guards against keepers that the instance at which a stream is resumed does not ask.
RC_GTEST_PROP(stream_origins, any_instance_asks_all_keepers, (const std::string& request)) {
  const auto n = *rc::gen::inRange<std::size_t>(2, 30);
  std::vector<instance_id> all;
  for (std::size_t it = 0; it < n; ++it) {
    all.emplace_back("front-" + std::to_string(it));
  }
  const auto others_of = [&](const instance_id& self) {
    std::vector<instance_id> others = all;
    std::erase(others, self);
    return others;
  };
  const auto writer = *rc::gen::elementOf(all);
  const auto reader = *rc::gen::elementOf(all);
  const auto kept = origin_keepers(request, others_of(writer), origin_keeper_count);
  const auto asked = origin_keepers(request, others_of(reader), origin_keeper_count + 1);
  for (const auto& it : kept) {
    RC_ASSERT(it == reader || std::find(asked.begin(), asked.end(), it) != asked.end());
  }
}

TEST(version_history, one_version_all_along_is_the_origin_of_any_stream) {
  manual_clock clock;
  upstream_list list;
  version_history history;
  put(list, "a", "v1", 1);
  observe(clock, history, list, window / 2);
  EXPECT_EQ(history.only_version(clock.now(), service_id{"s"}, window), std::nullopt)
      << "a restarted instance does not know what served before";
  observe(clock, history, list, window);
  EXPECT_EQ(history.only_version(clock.now(), service_id{"s"}, window), "v1");
  EXPECT_EQ(history.only_version(clock.now(), service_id{"other"}, window), std::nullopt);
}

TEST(version_history, a_version_that_served_a_moment_ago_counts) {
  manual_clock clock;
  upstream_list list;
  version_history history;
  put(list, "a", "v1", 1);
  observe(clock, history, list, 2 * window);
  put(list, "b", "v2", 2);
  observe(clock, history, list, milliseconds{250});
  EXPECT_EQ(history.only_version(clock.now(), service_id{"s"}, window), std::nullopt);
  list.remove(clock.now(), upstream_id{"a"}, revision{3});
  observe(clock, history, list, window / 2);
  EXPECT_EQ(history.only_version(clock.now(), service_id{"s"}, window), std::nullopt);
  observe(clock, history, list, window);
  EXPECT_EQ(history.only_version(clock.now(), service_id{"s"}, window), "v2");
}

TEST(version_history, what_was_not_followed_is_unknown) {
  manual_clock clock;
  upstream_list list;
  version_history history;
  put(list, "a", "v1", 1);
  observe(clock, history, list, 2 * window);
  observe(clock, history, list, milliseconds{250}, false);
  EXPECT_EQ(history.only_version(clock.now(), service_id{"s"}, window), std::nullopt);
  observe(clock, history, list, 2 * window);
  clock.advance(version_history::max_gap * 2);
  EXPECT_EQ(history.only_version(clock.now(), service_id{"s"}, window), std::nullopt) << "paused";
  observe(clock, history, list, milliseconds{250});
  EXPECT_EQ(history.only_version(clock.now(), service_id{"s"}, window), std::nullopt) << "paused";
}

// Regression: an instance that stood still while a version joined resumed streams of that version
// at the only one that its list held.
TEST(origin_votes, the_own_list_counts_only_if_all_keepers_answer_that_they_know_nothing) {
  constexpr std::size_t keepers = 3;
  for (int answers = 0; answers < 27; ++answers) { // Of each: none, unknown, or v2.
    origin_votes votes{keepers};
    bool any_none = false;
    bool any_v2 = false;
    for (int n = 0, rest = answers; n < 3; ++n, rest /= 3) {
      EXPECT_EQ(votes.decided(), any_v2);
      any_none = any_none || rest % 3 == 0;
      any_v2 = any_v2 || rest % 3 == 2;
      votes.add(rest % 3 == 0   ? std::optional<std::optional<stream_origin>>{}
                : rest % 3 == 1 ? std::optional{std::optional<stream_origin>{}}
                                : std::optional{std::optional{v2}});
    }
    EXPECT_TRUE(votes.decided());
    EXPECT_EQ(votes.origin(v1), any_v2     ? std::optional{v2}
                                : any_none ? std::nullopt
                                           : std::optional{v1});
  }
  origin_votes nothing_known{1};
  nothing_known.add(std::optional{std::optional<stream_origin>{}});
  EXPECT_EQ(nothing_known.origin(std::nullopt), std::nullopt);
}

TEST(origin_messages, survive_encoding_and_decoding) {
  EXPECT_EQ(unpack_origin_question(pack_origin_question("9c41")), "9c41");
  EXPECT_EQ(unpack_origin_answer(pack_origin_answer(v2)).value(), v2);
  EXPECT_EQ(unpack_origin_answer(pack_origin_answer(std::nullopt)).value(), std::nullopt);
  EXPECT_FALSE(unpack_origin_question(
      pack_origin_question(std::string(stream_origins::max_request_bytes + 1, 'x'))));
}

RC_GTEST_PROP(origin_messages, random_bytes_are_an_error, (const std::string& bytes)) {
  RC_ASSERT(!unpack_origin_question(bytes).has_value());
  RC_ASSERT(!unpack_origin_answer(bytes).has_value());
}

} // namespace
} // namespace nutmegspur
