// A non-repeatable call runs at most once and callers get its true outcome, whatever faults
// the store, the upstream and the instances have. Guards against a call that runs twice, or is
// answered not_run although it ran, after a lost answer, a stale read or a killed instance.
// labels: P10 P11
#include "testing/request_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur::testing {
namespace {

constexpr std::array<store_fault, 7> all_faults{store_fault::none,
                                                store_fault::down,
                                                store_fault::slow,
                                                store_fault::late_answer,
                                                store_fault::lost_after_effect,
                                                store_fault::lost_before_effect,
                                                store_fault::stale_read};
constexpr std::array<call_ending, 4> all_endings{call_ending::answered, call_ending::lost_after_run,
                                                 call_ending::lost_before_run,
                                                 call_ending::refused};

/// Step after which the first call's instance is killed.
enum class kill_at { never, claim_written, sent, ended };

/// Store call to which the fault applies.
enum class faulty_call { claim_write, claim_read, claim_record };

bool
is_outcome_write(const platform_request& what) {
  const auto* txn = std::get_if<kv_txn>(&what);
  return txn != nullptr && parse_claim(*txn->writes[0].value)->phase != claim_phase::claimed;
}

fake_store::call_filter
filter_of(faulty_call what) {
  return [what](const std::string& client, const platform_request& request) {
    const bool is_read = std::holds_alternative<kv_range>(request);
    if (client != "i0" || is_read != (what == faulty_call::claim_read)) {
      return false;
    }
    return is_read || is_outcome_write(request) == (what == faulty_call::claim_record);
  };
}

/// Checks the guarantees, from the calls that reached the service and the answers that callers got.
/// Returns a description of the first violation, or an empty string.
std::string
violated_guarantee(const request_harness& harness) {
  for (const auto& [body, n] : harness.runs) {
    if (n > 1) {
      return "'" + body + "' ran " + std::to_string(n) + " times";
    }
  }
  for (const auto& [handle, view] : harness.views()) {
    const std::string who = "request " + std::to_string(handle.request.value);
    if (view.final_count > 1 || view.after_final) {
      return who + " was answered more than once";
    }
    if (view.refused && view.refused->ran == outcome::not_run &&
        harness.reached_upstream.count(handle) > 0) {
      return who + " was answered not_run after a byte was sent";
    }
    if (view.ended && view.text != "done b1" && view.text != "done b2") {
      return who + " got '" + view.text + "'";
    }
  }
  return "";
}

std::string
run_combination(faulty_call where, store_fault fault, call_ending call_end, kill_at kill) {
  request_harness harness{2};
  if (where == faulty_call::claim_read) {
    // The first call reads its claim back only after a lost answer.
    harness.store.fault_next(store_fault::lost_after_effect, filter_of(faulty_call::claim_write),
                             1);
  }
  harness.store.fault_next(fault, filter_of(where), 2);
  const request_handle first = harness.call_service(0, "pay", "k1", "b1");
  if (kill == kill_at::claim_written) {
    harness.kill(0);
  }
  bool sent = false;
  for (int i = 0; i < 60; ++i) {
    harness.pass(tick_period);
    if (harness.open.empty()) {
      continue;
    }
    const open_call call = harness.open.front();
    harness.open.pop_front();
    if (kill == kill_at::sent) {
      harness.kill(0);
    }
    harness.end_call(call, sent ? call_ending::answered : call_end);
    sent = true;
    if (kill == kill_at::ended && harness.alive(0)) {
      harness.kill(0);
    }
  }
  const request_handle second = harness.call_service(1, "pay", "k1", "b1");
  for (int i = 0; i < 60; ++i) {
    harness.pass(tick_period);
    harness.answer_all_calls();
  }
  const request_handle other = harness.call_service(1, "pay", "k1", "b2");
  harness.advance_in_ticks(seconds{3});
  harness.answer_all_calls();
  const bool all_answered = harness.view(second).final_count == 1 &&
                            harness.view(other).final_count == 1 &&
                            (kill != kill_at::never || harness.view(first).final_count == 1);
  if (!all_answered) {
    return "a request had no final answer";
  }
  if (harness.runs["b1"] + harness.runs["b2"] > 1) {
    return "two calls ran under one key";
  }
  if (harness.view(first).ended && fault == store_fault::none && kill == kill_at::never &&
      (!harness.view(second).ended || harness.view(second).text != harness.view(first).text)) {
    return "the repeat did not get the recorded answer";
  }
  return violated_guarantee(harness);
}

TEST(claims, hold_under_every_single_fault_at_every_step) {
  int combinations = 0;
  for (const faulty_call where :
       {faulty_call::claim_write, faulty_call::claim_read, faulty_call::claim_record}) {
    for (const store_fault fault : all_faults) {
      for (const call_ending call_end : all_endings) {
        for (const kill_at kill :
             {kill_at::never, kill_at::claim_written, kill_at::sent, kill_at::ended}) {
          EXPECT_EQ(run_combination(where, fault, call_end, kill), "")
              << "step " << static_cast<int>(where) << " fault " << static_cast<int>(fault)
              << " ending " << static_cast<int>(call_end) << " kill " << static_cast<int>(kill);
          ++combinations;
        }
      }
    }
  }
  EXPECT_EQ(combinations, 3 * 7 * 4 * 4);
}

TEST(claims, a_repeat_through_another_instance_gets_the_recorded_answer) {
  request_harness harness{2};
  const auto first = harness.call_service(0, "pay", "k1", "b1");
  harness.pass(tick_period);
  harness.answer_all_calls();
  harness.advance_in_ticks(seconds{1});
  const auto second = harness.call_service(1, "pay", "k1", "b1");
  harness.advance_in_ticks(seconds{1});
  EXPECT_TRUE(harness.view(first).ended);
  EXPECT_TRUE(harness.view(second).ended);
  EXPECT_EQ(harness.view(second).text, harness.view(first).text);
  EXPECT_EQ(harness.view(second).status, 200);
  EXPECT_EQ(harness.runs["b1"], 1);
  EXPECT_EQ(harness.claims(0).unfinished() + harness.claims(1).unfinished(), 0U);
}

TEST(claims, another_request_under_the_same_key_is_a_conflict) {
  request_harness harness{2};
  harness.call_service(0, "pay", "k1", "b1");
  harness.pass(tick_period);
  harness.answer_all_calls();
  const auto other = harness.call_service(1, "pay", "k1", "b2");
  const auto team_b = harness.call_service(1, "pay", "k1", "b2", "key-b");
  harness.advance_in_ticks(seconds{1});
  harness.answer_all_calls();
  ASSERT_TRUE(harness.view(other).refused.has_value());
  EXPECT_EQ(harness.view(other).refused->code, error_code::conflict);
  EXPECT_TRUE(harness.view(team_b).ended) << "another team's key is another claim";
}

TEST(claims, an_unreachable_store_refuses_at_once_as_not_run) {
  request_harness harness{1};
  harness.store.set_fault(store_fault::down);
  const auto call = harness.call_service(0, "pay", "k1", "b1");
  harness.pass(milliseconds{0});
  ASSERT_TRUE(harness.view(call).refused.has_value());
  EXPECT_EQ(harness.view(call).refused->code, error_code::unavailable);
  EXPECT_EQ(harness.view(call).refused->ran, outcome::not_run);
  EXPECT_TRUE(harness.view(call).refused->retry_after.has_value());
  EXPECT_TRUE(harness.open.empty());
}

TEST(claims, a_call_completes_and_is_recorded_after_its_caller_disconnects) {
  request_harness harness{2};
  const auto call = harness.call_service(0, "pay", "k1", "b1");
  harness.pass(tick_period);
  harness.feed(0, caller_disconnected{call.request});
  EXPECT_TRUE(harness.cancelled.empty());
  harness.answer_all_calls();
  harness.pass(tick_period);
  const auto again = harness.call_service(1, "pay", "k1", "b1");
  harness.pass(tick_period);
  harness.pass(tick_period);
  EXPECT_EQ(harness.view(again).text, "done b1");
  EXPECT_EQ(harness.runs["b1"], 1);
}

TEST(claims, without_a_key_a_call_is_not_sent_again_once_a_byte_may_have_been_sent) {
  for (const call_ending call_end : all_endings) {
    request_harness harness{1};
    const auto call = harness.call_service(0, "pay", "", "b1");
    ASSERT_EQ(harness.open.size(), 1U);
    EXPECT_TRUE(harness.open.front().what.one_shot);
    harness.end_call(harness.open.front(), call_end);
    harness.open.pop_front();
    harness.advance_in_ticks(seconds{1});
    EXPECT_EQ(harness.open.size(), call_end == call_ending::refused ? 1U : 0U);
    EXPECT_EQ(harness.view(call).refused.has_value(),
              call_end == call_ending::lost_after_run || call_end == call_ending::lost_before_run);
  }
}

// Calls with two keys through three instances, with random faults, kills and outcomes.
RC_GTEST_PROP(claims, hold_under_random_interleavings, ()) {
  request_harness harness{3};
  const int steps = *rc::gen::inRange(5, 60);
  for (int i = 0; i < steps; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, harness.size());
    switch (*rc::gen::weightedElement<int>({{4, 0}, {5, 1}, {3, 2}, {8, 3}, {1, 4}, {1, 5}})) {
    case 0: {
      const std::string n = *rc::gen::element<std::string>("1", "2");
      harness.call_service(at, "pay", "k" + n, "b" + n);
      break;
    }
    case 1:
      if (!harness.open.empty()) {
        const auto pick = *rc::gen::inRange<std::size_t>(0, harness.open.size());
        const open_call call = harness.open[pick];
        harness.open.erase(harness.open.begin() + static_cast<std::ptrdiff_t>(pick));
        harness.end_call(call, *rc::gen::elementOf(all_endings));
      }
      break;
    case 2:
      harness.store.fault_next(*rc::gen::elementOf(all_faults), {}, *rc::gen::inRange(1, 5));
      break;
    case 3:
      harness.advance_in_ticks(milliseconds{*rc::gen::element(100, 300, 1500)});
      break;
    case 4:
      harness.kill(at);
      harness.restart(at);
      break;
    default:
      if (!harness.views().empty()) {
        harness.feed(harness.views().rbegin()->first.instance,
                     caller_disconnected{harness.views().rbegin()->first.request});
      }
      break;
    }
    RC_ASSERT(violated_guarantee(harness) == "");
  }
  harness.answer_all_calls();
  harness.advance_in_ticks(seconds{6});
  harness.answer_all_calls();
  RC_ASSERT(violated_guarantee(harness) == "");
}

} // namespace
} // namespace nutmegspur::testing
