// Guards the retry rules for all attempt ends and histories: no request that may have run is
// reported as not run, or sent again where it must not be.
// labels: P09 P10 P11
#include <nutmegspur/attempt_rules.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

attempt_history
arbitrary_history() {
  attempt_history it;
  it.kind = *rc::gen::element(route_kind::repeatable, route_kind::once, route_kind::stream);
  it.resumable = *rc::gen::arbitrary<bool>();
  it.max_attempts = *rc::gen::inRange<std::uint32_t>(1, 4);
  it.sent = *rc::gen::inRange<std::uint32_t>(0, 5);
  it.may_have_run = *rc::gen::arbitrary<bool>();
  it.response_started = *rc::gen::arbitrary<bool>();
  it.time_left = *rc::gen::arbitrary<bool>();
  it.budget_left = *rc::gen::arbitrary<bool>();
  it.upstream_left = *rc::gen::arbitrary<bool>();
  it.end_unproven = it.response_started && *rc::gen::arbitrary<bool>();
  it.broken_off = *rc::gen::arbitrary<bool>();
  return it;
}

attempt_end
arbitrary_end() {
  return *rc::gen::element(attempt_end::answered, attempt_end::unproven, attempt_end::server_error,
                           attempt_end::rejected, attempt_end::unreachable, attempt_end::broken,
                           attempt_end::malformed, attempt_end::timed_out);
}

ended_response
complete_stream() {
  ended_response it;
  it.status = 200;
  it.authentic = true;
  it.event_stream = true;
  it.has_events = true;
  return it;
}

// A stream that its upstream broke off inside an event was passed on as complete.
RC_GTEST_PROP(attempt_rules, a_stream_that_ends_inside_an_event_is_broken, ()) {
  ended_response it = complete_stream();
  it.inside_event = true;
  it.close_delimited = *rc::gen::arbitrary<bool>();
  it.response_started = *rc::gen::arbitrary<bool>();
  it.has_events = *rc::gen::arbitrary<bool>();
  RC_ASSERT(end_of_response(it) == attempt_end::broken);
}

// A connection that closed before the first event looked like an empty stream.
TEST(attempt_rules, a_close_delimited_stream_without_an_event_is_broken) {
  ended_response it = complete_stream();
  it.has_events = false;
  EXPECT_EQ(end_of_response(it), attempt_end::answered);
  it.close_delimited = true;
  EXPECT_EQ(end_of_response(it), attempt_end::broken);
}

// A resumed stream of which no event was left was broken off. Only framing shows that nothing was
// left: a connection that closes before the first event may as well have failed.
TEST(attempt_rules, a_stream_that_ends_between_events_is_complete_by_its_framing) {
  ended_response it = complete_stream();
  EXPECT_EQ(end_of_response(it), attempt_end::answered);
  it.close_delimited = true;
  EXPECT_EQ(end_of_response(it), attempt_end::unproven);
  it.has_events = false;
  it.response_started = true;
  EXPECT_EQ(end_of_response(it), attempt_end::broken);
  it.close_delimited = false;
  EXPECT_EQ(end_of_response(it), attempt_end::answered);
}

/// A response as an upstream sends it, and the request that it answers.
struct response_case {
  int status = 200;
  bool stamped = false;
  bool not_run = false;
  std::string_view media_type;
  bool close_delimited = false;
  bool has_events = false;
  bool inside_event = false;
  bool started = false; ///< The caller has got events of an earlier attempt.
};

attempt_end
end_of(const response_case& it) {
  ended_response response;
  response.status = it.status;
  response.not_run = it.not_run;
  response.authentic = it.stamped;
  response.close_delimited = it.close_delimited;
  response.event_stream = carries_events(it.status, it.not_run, it.stamped, it.media_type);
  response.response_started = it.started;
  response.has_events = it.has_events && response.event_stream;
  response.inside_event = it.inside_event && response.event_stream;
  return end_of_response(response);
}

/// Calls `visit` with each combination of status, marks, media type and framing.
template <class Visitor>
void
for_each_response(Visitor visit) {
  constexpr int flag_sets = 1 << 6;
  for (const int status : {200, 201, 204, 206, 301, 302, 304, 400, 404, 421, 429, 500, 503, 504}) {
    for (const std::string_view type : {"", "text/event-stream", "Text/Event-Stream; charset=utf-8",
                                        "application/json", "text/event-streams", "text/html"}) {
      for (int flags = 0; flags < flag_sets; ++flags) {
        const auto flag = [&](int n) { return (flags >> n & 1) != 0; };
        visit(response_case{status, flag(0), flag(1), type, flag(2), flag(3), flag(4), flag(5)});
      }
    }
  }
}

// Regression: a stream that had begun and broke off was completed by a later upstream's 404, 204 or
// 302, or by a connection that closed before its first event.
TEST(attempt_rules, only_the_rest_of_its_own_stream_completes_a_started_response) {
  for_each_response([](const response_case& it) {
    if (!it.started) {
      return;
    }
    const bool names_events = it.media_type.empty() || it.media_type == "text/event-stream" ||
                              it.media_type == "Text/Event-Stream; charset=utf-8";
    const bool whole = !it.inside_event && (it.has_events || !it.close_delimited);
    const bool wanted = it.status == 200 && it.stamped && !it.not_run && names_events && whole;
    const attempt_end end = end_of(it);
    const bool whole_stream =
        it.close_delimited ? end == attempt_end::unproven : end == attempt_end::answered;
    EXPECT_EQ(whole_stream, wanted) << it.status << ' ' << it.media_type << ' ' << to_name(end);
    const bool proved = wanted && !it.close_delimited;
    for (const bool resumable : {false, true}) {
      for (const std::uint32_t max_attempts : {2U, 3U}) {
        attempt_history history{route_kind::stream, resumable, max_attempts, 2};
        history.may_have_run = true;
        history.response_started = true;
        const bool again = resumable && max_attempts > 2;
        history.broken_off = true;
        EXPECT_EQ(after_attempt(end, history), proved  ? next_step::pass_on
                                               : again ? next_step::retry
                                                       : next_step::cut)
            << it.status << ' ' << it.media_type << ' ' << to_name(end);
      }
    }
  });
}

// An upstream's own response to a request of which nothing was delivered is passed on unchanged,
// also to a caller that resumes a stream; a success needs the upstream's mark.
TEST(attempt_rules, before_the_first_event_a_response_is_passed_on_by_its_status) {
  for_each_response([](const response_case& it) {
    if (it.started || it.not_run) {
      return;
    }
    const attempt_end end = end_of(it);
    if (it.status >= 500) {
      EXPECT_EQ(end, attempt_end::server_error);
    } else if (it.status >= 300) {
      EXPECT_EQ(end, attempt_end::answered);
    } else {
      EXPECT_EQ(end == attempt_end::malformed, !it.stamped);
    }
  });
}

// Regression: half of a plain body was passed on as complete, its other chunks behind the last one.
TEST(attempt_rules, a_response_whose_body_goes_on_behind_its_end_is_broken) {
  for (const int status : {200, 204, 302, 404}) {
    ended_response it;
    it.status = status;
    it.authentic = true;
    for (const auto tail : {response_tail::nothing, response_tail::closed, response_tail::reset,
                            response_tail::response, response_tail::other}) {
      it.tail = tail; // Belongs to no request.
      EXPECT_EQ(end_of_response(it), attempt_end::answered) << status << ' ' << to_name(tail);
    }
    it.tail = response_tail::body;
    EXPECT_EQ(end_of_response(it), attempt_end::broken) << status;
  }
}

// A success without the upstream's mark was passed on, or an upstream's own failure was not.
TEST(attempt_rules, a_complete_response_is_classified_by_its_status_and_marks) {
  ended_response it;
  it.status = 200;
  EXPECT_EQ(end_of_response(it), attempt_end::malformed);
  it.authentic = true;
  EXPECT_EQ(end_of_response(it), attempt_end::answered);
  it.inside_event = true; // Not a stream.
  EXPECT_EQ(end_of_response(it), attempt_end::answered);
  it.status = 500;
  EXPECT_EQ(end_of_response(it), attempt_end::server_error);
  it.not_run = true;
  EXPECT_EQ(end_of_response(it), attempt_end::rejected);
}

RC_GTEST_PROP(attempt_rules, not_run_is_reported_only_if_no_attempt_may_have_run, ()) {
  const auto history = arbitrary_history();
  const auto end = arbitrary_end();
  if (after_attempt(end, history) == next_step::refuse) {
    RC_ASSERT(!history.may_have_run);
    RC_ASSERT(!may_have_run(end));
    RC_ASSERT(!history.response_started);
  }
}

RC_GTEST_PROP(attempt_rules, a_non_repeatable_request_that_may_have_run_is_not_retried, ()) {
  auto history = arbitrary_history();
  const auto end = arbitrary_end();
  RC_PRE(history.kind == route_kind::once ||
         (history.kind == route_kind::stream && !history.resumable));
  if (after_attempt(end, history) == next_step::retry) {
    RC_ASSERT(!history.may_have_run && !may_have_run(end));
  }
}

RC_GTEST_PROP(attempt_rules, a_retry_requires_attempts_time_budget_and_an_upstream, ()) {
  const auto history = arbitrary_history();
  if (after_attempt(arbitrary_end(), history) == next_step::retry) {
    RC_ASSERT(history.sent < history.max_attempts);
    RC_ASSERT(history.time_left && history.upstream_left);
    RC_ASSERT(history.sent == 0 || history.budget_left);
  }
}

RC_GTEST_PROP(attempt_rules, a_started_response_is_never_followed_by_another_status, ()) {
  auto history = arbitrary_history();
  history.response_started = true;
  const auto end = arbitrary_end();
  RC_PRE(end != attempt_end::answered && end != attempt_end::unproven);
  const auto step = after_attempt(end, history);
  RC_ASSERT(
      step == next_step::retry ||
      step == (history.end_unproven && !history.broken_off ? next_step::complete : next_step::cut));
}

/// What an attempt may have seen at the end of a stream.
struct stream_end_case {
  ended_response response;
  attempt_history history;
};

/// Calls `visit` with each combination of framing, events, tail, upstream and history.
template <class Visitor>
void
for_each_stream_end(Visitor visit) {
  constexpr int flag_sets = 1 << 10;
  for (const auto tail : {response_tail::nothing, response_tail::closed, response_tail::reset,
                          response_tail::response, response_tail::body, response_tail::other}) {
    for (int flags = 0; flags < flag_sets; ++flags) {
      const auto flag = [&](int n) { return (flags >> n & 1) != 0; };
      stream_end_case it{complete_stream(), {route_kind::stream, flag(0), 3, flag(1) ? 3U : 1U}};
      it.response.close_delimited = flag(2);
      it.response.has_events = flag(3);
      it.response.inside_event = flag(4);
      it.response.doubtful_upstream = flag(5);
      it.response.response_started = flag(6);
      it.response.tail = tail;
      it.history.response_started = flag(6);
      it.history.end_unproven = flag(6) && flag(7);
      it.history.budget_left = flag(8);
      it.history.broken_off = flag(9);
      visit(it);
    }
  }
}

// Regression: streams ended as complete before their last event, by the end of a connection, or
// with more of their body behind the end.
TEST(attempt_rules, a_stream_is_complete_only_on_evidence) {
  for_each_stream_end([](const stream_end_case& it) {
    const ended_response& seen = it.response;
    const attempt_end end = end_of_response(seen);
    const bool against = seen.inside_event || seen.tail == response_tail::body ||
                         (seen.close_delimited && !seen.has_events);
    EXPECT_EQ(end == attempt_end::broken, against);
    if (end == attempt_end::answered) {
      EXPECT_FALSE(seen.close_delimited || seen.doubtful_upstream);
      EXPECT_TRUE(seen.tail == response_tail::nothing || seen.tail == response_tail::closed);
    }
    const next_step step = after_attempt(end, it.history);
    const bool may_ask =
        it.history.resumable && it.history.sent < it.history.max_attempts && it.history.budget_left;
    if (end != attempt_end::answered && may_ask) {
      EXPECT_EQ(step, next_step::retry) << to_name(end);
    }
    const bool excluded = against && !it.history.end_unproven;
    if (excluded || (end != attempt_end::answered && it.history.broken_off)) {
      EXPECT_TRUE(step == next_step::retry || step == next_step::cut || step == next_step::fail);
    }
  });
}

// A caller that had every event was cut, since each upstream had spoiled an answer to somebody.
TEST(attempt_rules, two_framed_ends_without_an_event_between_them_prove_the_end) {
  ended_response it = complete_stream();
  it.has_events = false;
  it.doubtful_upstream = true;
  EXPECT_EQ(end_of_response(it), attempt_end::unproven);
  it.asked_for_proof = true;
  EXPECT_EQ(end_of_response(it), attempt_end::answered);
  it.tail = response_tail::other;
  EXPECT_EQ(end_of_response(it), attempt_end::unproven);
  it.tail = response_tail::nothing;
  it.close_delimited = true; // No proof, and no fault.
  EXPECT_EQ(end_of_response(it), attempt_end::unproven);
  it.asked_for_proof = false;
  EXPECT_EQ(end_of_response(it), attempt_end::broken);
}

// A stream whose upstream had ended it was cut because the one that was asked for a proof failed.
TEST(attempt_rules, a_stream_is_not_cut_for_want_of_a_proof) {
  attempt_history history{route_kind::stream, true, 2, 2};
  history.may_have_run = true;
  history.response_started = true;
  history.end_unproven = true;
  for (const auto end : {attempt_end::server_error, attempt_end::rejected, attempt_end::unreachable,
                         attempt_end::broken, attempt_end::malformed, attempt_end::timed_out}) {
    EXPECT_EQ(after_attempt(end, history), next_step::complete) << to_name(end);
  }
  EXPECT_EQ(after_last_attempt(history), next_step::complete);
  history.broken_off = true;
  EXPECT_EQ(after_attempt(attempt_end::broken, history), next_step::cut);
  EXPECT_EQ(after_last_attempt(history), next_step::cut);
  history.broken_off = false;
  history.end_unproven = false; // An event came since.
  EXPECT_EQ(after_attempt(attempt_end::broken, history), next_step::cut);
  EXPECT_EQ(after_last_attempt(history), next_step::cut);
}

// Regression: the first attempt of a stream failed midway, then the separate prefill of the second
// attempt failed, and "not run" was reported to the caller.
RC_GTEST_PROP(attempt_rules, a_failed_prefill_keeps_an_earlier_possible_run, ()) {
  const auto history = arbitrary_history();
  for (const auto step : {after_failed_prefill(history), after_last_attempt(history)}) {
    if (step == next_step::refuse) {
      RC_ASSERT(!history.may_have_run);
      RC_ASSERT(!history.response_started);
    }
  }
}

// Regression: a prefill engine that accepted a call and never responded held the request until the
// caller's deadline, and the call used up the route's only attempt.
TEST(attempt_rules, a_prefill_without_a_response_leaves_time_and_an_attempt_for_another_engine) {
  constexpr milliseconds remaining{6'000};
  const milliseconds limit = prefill_time_limit(300, remaining);
  EXPECT_GT(limit, milliseconds{300});
  EXPECT_LE(limit, remaining / 2);
  EXPECT_EQ(prefill_time_limit(5'000, remaining), remaining / 2);
  EXPECT_GT(prefill_time_limit(0, milliseconds{0}), milliseconds{0});
  attempt_history history{route_kind::stream, false, 1};
  for (const auto end : {attempt_end::timed_out, attempt_end::broken}) {
    EXPECT_FALSE(prefill_is_attempt(end));
  }
  EXPECT_EQ(after_failed_prefill(history), next_step::retry);
  history.budget_left = false;
  EXPECT_EQ(after_failed_prefill(history), next_step::refuse);
}

TEST(attempt_rules, a_prefill_that_was_rejected_is_one_of_the_attempts) {
  EXPECT_TRUE(prefill_is_attempt(attempt_end::rejected));
  EXPECT_EQ(after_failed_prefill({route_kind::stream, false, 1, 1}), next_step::refuse);
}

TEST(attempt_rules, a_server_error_of_the_upstream_is_passed_on) {
  EXPECT_EQ(after_attempt(attempt_end::server_error, {route_kind::once, false, 1, 1}),
            next_step::pass_on);
}

TEST(attempt_rules, a_broken_non_repeatable_request_fails_without_a_not_run_report) {
  EXPECT_EQ(after_attempt(attempt_end::broken, {route_kind::once, false, 3, 1}), next_step::fail);
}

} // namespace
} // namespace nutmegspur
