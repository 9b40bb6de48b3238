// Guards the order of a stream's events, and what is read from the bytes behind its end.
// labels: P09
#include <nutmegspur/stream_evidence.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace nutmegspur {
namespace {

std::vector<event_place>
places(std::string_view after, const std::vector<std::string>& ids) {
  event_sequence it{after};
  std::vector<event_place> all;
  all.reserve(ids.size());
  for (const auto& id : ids) {
    all.push_back(it.add(id, true));
  }
  return all;
}

using enum event_place;

// Events with their own ids were taken for repeated ones after an event with a wrong id.
TEST(stream_evidence, an_event_below_a_wrong_id_is_not_a_repeated_one) {
  EXPECT_EQ(places("", {"1", "2", "3", "97", "5", "6"}),
            (std::vector{next, next, next, ahead, misplaced, misplaced}));
}

// A resumed run that began again at the first event was forwarded twice.
TEST(stream_evidence, events_that_the_caller_has_are_repeated) {
  EXPECT_EQ(places("2", {"1", "2", "3", "4"}), (std::vector{repeated, repeated, next, next}));
  event_sequence it{"4"};
  EXPECT_FALSE(it.behind());
  it.add("1", true);
  it.add("2", true);
  EXPECT_TRUE(it.behind());
  EXPECT_FALSE(it.has_new_events());
  it.add("3", true);
  it.add("4", true);
  EXPECT_FALSE(it.behind());
}

// Events 2 and 3 were taken for repeated ones, although no attempt had sent them.
TEST(stream_evidence, an_event_below_a_wrong_first_id_is_not_a_repeated_one) {
  EXPECT_EQ(places("", {"97", "2", "3"}), (std::vector{next, misplaced, misplaced}));
  event_sequence it;
  it.add("97", true);
  EXPECT_TRUE(it.can_go_on());
  it.add("2", true);
  EXPECT_FALSE(it.can_go_on());
}

// The last event of a stream was dropped because it had the id of the one before.
TEST(stream_evidence, an_id_that_the_same_attempt_has_used_is_not_a_repeated_event) {
  constexpr std::size_t one = 1;
  constexpr std::size_t other = 2;
  for (const char* after : {"", "8"}) {
    event_sequence it{after};
    it.add("9", true, one);
    EXPECT_EQ(it.add("9", true, one), repeated) << after; // Its text is the same.
    EXPECT_EQ(it.add("9", true, other), misplaced) << after;
    EXPECT_TRUE(it.can_go_on());
    it.add("12", true);
    EXPECT_EQ(it.add("9", true), misplaced);
    EXPECT_FALSE(it.can_go_on());
  }
}

// A resumed run that did not begin right after the last event looked continuous.
TEST(stream_evidence, a_resumed_run_is_compared_with_the_last_event_before_it) {
  EXPECT_EQ(places("4", {"5", "6"}), (std::vector{next, next}));
  EXPECT_EQ(places("4", {"7"}), (std::vector{ahead}));
  EXPECT_EQ(places("", {"7"}), (std::vector{next}));
}

// Events without an id stopped the comparison of those that follow.
TEST(stream_evidence, ids_that_are_no_numbers_are_passed_over) {
  EXPECT_EQ(places("", {"1", "", "x2", "2", "9223372036854775808"}),
            (std::vector{next, unnumbered, unnumbered, next, unnumbered}));
  event_sequence it;
  EXPECT_EQ(it.add("", false), comment);
  EXPECT_EQ(it.counts().events, 0U);
}

// The distance of two ids overflowed.
TEST(stream_evidence, any_two_numbers_are_compared) {
  EXPECT_EQ(places("", {"-9223372036854775808", "9223372036854775807", "0"}),
            (std::vector{next, ahead, misplaced}));
}

// An event was dropped, or forwarded twice, by a wrong place in the sequence.
RC_GTEST_PROP(stream_evidence, an_event_is_repeated_only_if_its_caller_has_it, ()) {
  const auto ids = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
  event_sequence it;
  std::set<int> forwarded;
  for (const int id : ids) {
    const event_place place = it.add(std::to_string(id), true);
    RC_ASSERT(place != repeated); // There was no earlier attempt.
    if (place == misplaced) {
      RC_ASSERT(forwarded.contains(id) || !it.can_go_on());
    }
    if (place == next || place == ahead) {
      RC_ASSERT(forwarded.insert(id).second);
      RC_ASSERT(*forwarded.rbegin() == id);
    }
  }
}

// A following response made an end doubtful, or the rest of a body did not.
TEST(stream_evidence, bytes_behind_a_response_are_told_apart) {
  for (const char* it : {"HTTP/1.1 200 OK\r\n", "HTTP/", "HT"}) {
    EXPECT_EQ(classify_tail(it), response_tail::response) << it;
  }
  for (const char* it : {"1c\r\nid: 5\n", "0\r\n\r\n", "id: 5\ndata: x", "data: x", "event: y"}) {
    EXPECT_EQ(classify_tail(it), response_tail::body) << it;
  }
  for (const char* it : {"garbage", "\r\n", "1cx\r\n", "1c"}) {
    EXPECT_EQ(classify_tail(it), response_tail::other) << it;
  }
}

event_counts
stream(std::uint32_t events, std::uint32_t ahead) {
  event_counts it;
  it.events = events;
  it.ahead = ahead;
  return it;
}

void
observe(stream_habits& to, const event_counts& seen, body_framing framing = body_framing::chunks) {
  to.on_stream(seen, false, framing);
}

// Sound streams were cut at a service that numbers its events in steps.
TEST(stream_evidence, consecutive_numbering_is_learned_and_unlearned) {
  stream_habits it;
  EXPECT_FALSE(it.consecutive());
  constexpr int enough = 20;
  for (int n = 0; n < enough; ++n) {
    observe(it, stream(1, 0)); // Tells nothing.
  }
  EXPECT_FALSE(it.consecutive());
  for (int n = 0; n < enough; ++n) {
    observe(it, stream(3, 0));
  }
  EXPECT_TRUE(it.consecutive());
  for (int n = 0; n < enough; ++n) {
    observe(it, n % 4 == 0 ? stream(3, 1) : stream(3, 0)); // Some are spoiled.
  }
  EXPECT_TRUE(it.consecutive());
  for (int n = 0; n < enough / 2; ++n) {
    observe(it, stream(3, 1));
  }
  EXPECT_FALSE(it.consecutive());
}

// A stream without its first event was complete; a service that counts from another id was cut.
TEST(stream_evidence, the_first_id_is_learned) {
  constexpr int enough = 20;
  stream_habits it;
  event_counts seen = stream(3, 0);
  for (const char* first : {"1", "0"}) {
    seen.first_id = first;
    EXPECT_FALSE(stream_habits{}.begins_late(first));
    for (int n = 0; n < 3 * enough; ++n) {
      observe(it, seen);
    }
    EXPECT_FALSE(it.begins_late(first));
    EXPECT_TRUE(it.begins_late("2"));
  }
}

// Sound streams of a service that frames none were asked for twice, each of them.
TEST(stream_evidence, missing_framing_is_learned) {
  constexpr int enough = 20;
  stream_habits it;
  EXPECT_TRUE(it.frames());
  for (int n = 0; n < enough; ++n) {
    observe(it, stream(3, 0), body_framing::connection);
  }
  EXPECT_FALSE(it.frames());
  for (int n = 0; n < enough; ++n) {
    observe(it, stream(3, 0), body_framing::length);
  }
  EXPECT_TRUE(it.frames());
}

// An upstream stayed doubtful for good, or another process at its id did.
TEST(stream_evidence, an_upstream_is_doubtful_for_a_while) {
  spoiled_answers it;
  const upstream_id one{"one"};
  const auto at = [](milliseconds t) { return moment{time_point{t}, wall_time{}}; };
  EXPECT_FALSE(it.doubtful(at(milliseconds{1}), one));
  it.on_spoiled(at(milliseconds{1}), one);
  EXPECT_TRUE(it.doubtful(at(spoiled_answers::doubtful_period), one));
  EXPECT_FALSE(it.doubtful(at(milliseconds{1}), upstream_id{"two"}));
  EXPECT_FALSE(it.doubtful(at(spoiled_answers::doubtful_period + milliseconds{1}), one));
  it.on_spoiled(at(milliseconds{1}), one);
  it.forget(one);
  EXPECT_FALSE(it.doubtful(at(milliseconds{1}), one));
}

} // namespace
} // namespace nutmegspur
