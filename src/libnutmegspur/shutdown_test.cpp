// Tests that a graceful shutdown aborts no live request. This would happen if the process stopped
// serving or released its duties before its live work has ended.
// labels: P13
#include "testing/request_harness.h"

#include <nutmegspur/shutdown.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur::testing {
namespace {

/// An instance with requests and a graceful shutdown.
class shutdown_harness {
 public:
  explicit shutdown_harness(shutdown_options options = {}) : options_(options) {}

  request_harness requests{1};
  bool released = false;
  std::size_t unreleased_duties = 1;
  bool ready = true;
  bool stopped = false;
  action_list sent; ///< By the shutdown.

  void step(const event& ev) {
    action_list out;
    stop_.step(requests.clock.now(), ev, out);
    for (const auto& it : out) {
      if (const auto* readiness = std::get_if<set_ready>(&it)) {
        ready = readiness->ready;
      }
      stopped = stopped || std::holds_alternative<exit_process>(it);
    }
    sent.insert(sent.end(), out.begin(), out.end());
  }

  void pass(duration span) {
    requests.advance_in_ticks(span);
    step(tick{});
  }

  [[nodiscard]] shutdown_phase phase() const { return stop_.phase(); }

 private:
  shutdown_options options_;
  shutdown stop_{
      options_,
      {[this] { return requests.table(0).live() + requests.claims(0).unfinished(); },
       [this] { requests.table(0).close(); },
       [this](const moment& now, action_list& out) { requests.table(0).fail_unfinished(now, out); },
       [this](const moment&, action_list&) { released = true; },
       [this] { return unreleased_duties; }}};
};

TEST(shutdown, goes_through_its_phases_in_order) {
  shutdown_harness it;
  it.requests.call_model(0);
  it.step(stop_requested{});
  EXPECT_FALSE(it.ready);
  const auto late = it.requests.call_model(0);
  EXPECT_FALSE(it.requests.view(late).refused.has_value())
      << "requests are served during the balancer's lag";
  it.pass(seconds{2});
  EXPECT_EQ(it.phase(), shutdown_phase::draining);
  const auto refused = it.requests.call_model(0);
  EXPECT_EQ(it.requests.view(refused).refused->ran, outcome::not_run);
  EXPECT_FALSE(it.released) << "duties are kept while requests are live";
  for (const auto& call :
       std::vector<open_call>{it.requests.open.begin(), it.requests.open.end()}) {
    it.requests.feed(0, attempt_chunk{call.what.attempt, 0, 1, request_harness::token(0)});
    it.requests.feed(0, attempt_ended{call.what.attempt, {}, {}, "stop", 1});
  }
  it.step(tick{});
  EXPECT_TRUE(it.released);
  EXPECT_FALSE(it.stopped) << "the shutdown waits for the release";
  it.unreleased_duties = 0;
  it.step(tick{});
  EXPECT_TRUE(it.stopped);
}

TEST(shutdown, waits_for_a_claim_to_be_recorded) {
  shutdown_harness it;
  it.unreleased_duties = 0;
  it.requests.call_service(0, "pay", "k", "b1");
  it.requests.pass(tick_period);
  it.step(stop_requested{});
  it.requests.store.fault_next(store_fault::down, {}, 3);
  it.requests.answer_all_calls();
  it.pass(seconds{2});
  for (int i = 0; i < 100 && !it.stopped; ++i) {
    it.pass(tick_period);
  }
  EXPECT_TRUE(it.stopped);
  EXPECT_EQ(it.requests.claims(0).unfinished(), 0U);
}

TEST(shutdown, ends_even_if_a_request_never_does) {
  shutdown_harness it;
  it.requests.call_service(0, "pay", "", "b1");
  it.step(stop_requested{});
  for (int i = 0; i < 60 && !it.stopped; ++i) {
    it.pass(seconds{1});
  }
  EXPECT_TRUE(it.stopped);
}

/// The failures that a shutdown sends when its wait for live work ends.
std::vector<error>
failures_at_the_limit(shutdown_harness& it) {
  it.step(stop_requested{});
  for (int i = 0; i < 60 && !it.stopped; ++i) {
    it.pass(seconds{1});
  }
  std::vector<error> failures;
  for (const auto& what : it.sent) {
    if (const auto* failure = std::get_if<fail_request>(&what)) {
      failures.push_back(failure->why);
    }
  }
  return failures;
}

// Guards against callers whose connections close without a response when the wait for them ends.
TEST(shutdown, answers_a_call_that_never_ends) {
  shutdown_harness it{{.drain_limit = seconds{2}}};
  it.requests.call_service(0, "pay", "", "b1");
  const auto failures = failures_at_the_limit(it);
  ASSERT_EQ(failures.size(), 1U);
  EXPECT_EQ(failures.front().code, error_code::unavailable);
  EXPECT_EQ(failures.front().ran, outcome::unknown);
}

// Whenever the shutdown is requested, every live request that can end within the limit ends
// normally.
RC_GTEST_PROP(shutdown, aborts_no_live_request, ()) {
  shutdown_harness it;
  it.unreleased_duties = 0;
  const int stop_at = *rc::gen::inRange(0, 20);
  for (int i = 0; i < 200 && !it.stopped; ++i) {
    if (i == stop_at) {
      it.step(stop_requested{});
    }
    if (it.ready || i < stop_at + 10) {
      const int n = *rc::gen::inRange(0, 3);
      for (int k = 0; k < n; ++k) {
        it.requests.call_model(0);
      }
    }
    if (!it.requests.open.empty() && *rc::gen::inRange(0, 3) > 0) {
      const open_call call = it.requests.open.front();
      it.requests.open.pop_front();
      it.requests.feed(0, attempt_chunk{call.what.attempt, 0, 1, request_harness::token(0)});
      it.requests.feed(0, attempt_ended{call.what.attempt, {}, {}, "stop", 1});
    }
    it.pass(tick_period);
  }
  for (const auto& [handle, view] : it.requests.views()) {
    RC_ASSERT(view.final_count == 1);
    RC_ASSERT(view.ended || view.refused->ran == outcome::not_run);
  }
}

} // namespace
} // namespace nutmegspur::testing
