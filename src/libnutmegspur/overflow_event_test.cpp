// Guards against lost replies when a worker's ring buffer is full: without a substitute reply, a
// part would wait forever, or a caller would get no final response or more than one.
// labels: P09 P10
#include <nutmegspur/daemon.h>
#include <nutmegspur/unsent_responses.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

const moment now = manual_clock{}.now();

TEST(overflow_event, calls_attempts_and_orders_end_as_not_run) {
  const auto reply = overflow_event(call_platform{{duty::usage, 7}, list_instances{}}, now);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(std::get<platform_reply>(*reply).call, (call_id{duty::usage, 7}));
  EXPECT_EQ(std::get<platform_reply>(*reply).answer.error().ran, outcome::not_run);

  open_attempt attempt;
  attempt.attempt = {request_id{3}, 2};
  const auto ended = overflow_event(attempt, now);
  ASSERT_TRUE(ended.has_value());
  EXPECT_EQ(std::get<attempt_ended>(*ended).attempt, attempt.attempt);
  EXPECT_EQ(std::get<attempt_ended>(*ended).failure->ran, outcome::not_run);

  send_order order;
  order.order.upstream = upstream_id{"e1"};
  order.order.sequence = 4;
  const auto reply_to_order = overflow_event(order, now);
  ASSERT_TRUE(reply_to_order.has_value());
  EXPECT_EQ(std::get<order_reply>(*reply_to_order).sequence, 4U);
  EXPECT_EQ(std::get<order_reply>(*reply_to_order).answer.error().ran, outcome::not_run);
}

TEST(overflow_event, an_undeliverable_response_fails_its_request_with_unknown_outcome) {
  for (const action& what : {action{start_response{request_id{5}, 200, {}}},
                             action{send_chunk{request_id{5}, "text"}}}) {
    const auto disconnected = overflow_event(what, now);
    ASSERT_TRUE(disconnected.has_value());
    EXPECT_EQ(std::get<caller_disconnected>(*disconnected).request, request_id{5});
    const auto final_response = overflow_response(what);
    ASSERT_TRUE(final_response.has_value());
    EXPECT_EQ(std::get<fail_request>(*final_response).request, request_id{5});
    EXPECT_EQ(std::get<fail_request>(*final_response).why.ran, outcome::unknown);
    EXPECT_TRUE(std::get<fail_request>(*final_response).why.retry_after.has_value());
  }
}

TEST(overflow_event, final_responses_are_kept_unchanged) {
  const auto ended = overflow_response(end_response{request_id{6}, {}, "stop"});
  ASSERT_TRUE(ended.has_value());
  EXPECT_EQ(std::get<end_response>(*ended).finish_reason, "stop");
  EXPECT_TRUE(overflow_response(fail_request{request_id{6}, {}}).has_value());
  EXPECT_FALSE(overflow_event(fail_request{request_id{6}, {}}, now).has_value());
}

TEST(overflow_event, actions_without_a_reply_produce_none) {
  EXPECT_FALSE(overflow_event(send_to_peer{}, now).has_value());
  EXPECT_FALSE(overflow_response(send_to_peer{}).has_value());
  EXPECT_FALSE(overflow_response(call_platform{}).has_value());
}

TEST(unsent_responses, after_a_lost_part_only_the_error_is_sent) {
  unsent_responses unsent;
  unsent.keep(*overflow_response(send_chunk{request_id{5}, "lost"}));
  // Later actions of the same step: an end that makes the response look complete must not follow.
  EXPECT_TRUE(unsent.suppresses(send_chunk{request_id{5}, "next"}));
  EXPECT_TRUE(unsent.suppresses(end_response{request_id{5}, {}, "stop"}));
  EXPECT_FALSE(unsent.suppresses(end_response{request_id{6}, {}, "stop"}));
  EXPECT_FALSE(unsent.suppresses(call_platform{}));
  std::vector<action> sent;
  unsent.flush([&](const action&) { return false; });
  EXPECT_EQ(unsent.size(), 1U);
  unsent.flush([&](const action& it) {
    sent.push_back(it);
    return true;
  });
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<fail_request>(sent.front()));
  EXPECT_EQ(unsent.size(), 0U);
}

TEST(unsent_responses, keeps_one_final_response_per_request) {
  unsent_responses unsent;
  unsent.keep(*overflow_response(start_response{request_id{5}, 200, {}}));
  unsent.keep(end_response{request_id{5}, {}, "stop"});
  EXPECT_EQ(unsent.size(), 1U);
  unsent.flush([](const action& it) { return std::holds_alternative<fail_request>(it); });
  EXPECT_EQ(unsent.size(), 0U);
}

TEST(worker_for, every_action_belongs_to_one_worker_or_the_kernel) {
  EXPECT_EQ(worker_for(send_order{}), worker_kind::engine_control);
  EXPECT_EQ(worker_for(open_attempt{}), worker_kind::upstream);
  EXPECT_EQ(worker_for(end_response{}), worker_kind::caller);
  EXPECT_FALSE(worker_for(exit_process{}).has_value());
}

} // namespace
} // namespace nutmegspur
