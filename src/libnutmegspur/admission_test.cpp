/// \file admission_test.cpp
/// Guards the fair_deadline policy against wrong refusals by estimated wait, wrong retry-after
/// times, unfair sharing between teams and starvation.

#include <nutmegspur/policy.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace nutmegspur {

namespace {

constexpr std::uint64_t second_of_work = 1'000'000;
constexpr capacity_estimate one_request_per_second{1, second_of_work, 0};

std::unique_ptr<admission_policy>
make_policy() {
  return std::move(*admission_registry::instance().make("fair_deadline", admission_options{}));
}

waiting_request
make_request(std::uint64_t id, const std::string& team, const moment& now, milliseconds allowed) {
  waiting_request it;
  it.request = request_id{id};
  it.team = team_id{team};
  it.arrived = now.boot;
  it.deadline = now.boot + allowed;
  it.cost_milli = second_of_work;
  it.expected_service_time = milliseconds{1000};
  return it;
}

/// Serves the next request and returns its team; empty if there is none.
std::string
serve_one(admission_policy& policy, const moment& now) {
  const auto next = policy.peek(now);
  if (!next) {
    return "";
  }
  policy.remove(next->request, true);
  return next->team.value;
}

} // namespace

RC_GTEST_PROP(fair_deadline, refuses_exactly_the_requests_that_the_backlog_makes_late, ()) {
  const auto policy = make_policy();
  const manual_clock clock;
  const auto backlog = *rc::gen::inRange(0, 30);
  for (int i = 0; i < backlog; ++i) {
    RC_ASSERT(policy->enqueue(make_request(i + 1, "a", clock.now(), milliseconds{60'000}),
                              one_request_per_second, clock.now()));
  }
  const auto allowed = milliseconds{*rc::gen::inRange(1000, 59'000)};
  auto it = make_request(99, "a", clock.now(), milliseconds{60'000});
  it.deadline = clock.now().boot + allowed;
  it.priority = request_class::batch; // Behind the whole backlog.
  const auto needed_time = milliseconds{1000} * (backlog + 1);
  const auto admitted = policy->enqueue(it, one_request_per_second, clock.now());
  RC_ASSERT(admitted.has_value() == (needed_time <= allowed));
  if (!admitted) {
    RC_ASSERT(admitted.error().code == error_code::overloaded);
    RC_ASSERT(admitted.error().ran == outcome::not_run);
    // After that time the backlog has shrunk enough for the same deadline.
    RC_ASSERT(*admitted.error().retry_after >= needed_time - allowed);
    RC_ASSERT(*admitted.error().retry_after <= needed_time - allowed + milliseconds{100});
  }
}

TEST(fair_deadline, refuses_without_retry_after_if_the_deadline_can_never_be_met) {
  const auto policy = make_policy();
  const manual_clock clock;
  const auto it = make_request(1, "a", clock.now(), milliseconds{500});
  const auto admitted = policy->enqueue(it, one_request_per_second, clock.now());
  ASSERT_FALSE(admitted);
  EXPECT_EQ(admitted.error().code, error_code::deadline_exceeded);
  EXPECT_FALSE(admitted.error().retry_after);
}

RC_GTEST_PROP(fair_deadline, shares_by_weight_under_a_flood, ()) {
  const auto policy = make_policy();
  const manual_clock clock;
  const std::vector<std::uint32_t> weights{1, static_cast<std::uint32_t>(*rc::gen::inRange(1, 5)),
                                           static_cast<std::uint32_t>(*rc::gen::inRange(1, 5))};
  const std::vector<std::string> teams{"flood", "b", "c"};
  std::uint64_t id = 0;
  constexpr int requests_per_team = 400;
  for (std::size_t t = 0; t < teams.size(); ++t) {
    for (int i = 0; i < (t == 0 ? 3 * requests_per_team : requests_per_team); ++i) {
      auto it = make_request(++id, teams[t], clock.now(), seconds{100'000});
      it.team_weight = weights[t];
      RC_ASSERT(policy->enqueue(it, one_request_per_second, clock.now()).has_value());
    }
  }
  std::map<std::string, int> served;
  const auto sum = std::accumulate(weights.begin(), weights.end(), 0U);
  const int rounds = 50 * static_cast<int>(sum);
  for (int i = 0; i < rounds; ++i) {
    served[serve_one(*policy, clock.now())] += 1;
  }
  for (std::size_t t = 0; t < teams.size(); ++t) {
    // Tolerance: two requests per unit of weight (`tie_tolerance_milli`), and one for rounding.
    const int expected_share = 50 * static_cast<int>(weights[t]);
    RC_ASSERT(std::abs(served[teams[t]] - expected_share) <= 3 * static_cast<int>(weights[t]) + 3);
  }
}

RC_GTEST_PROP(fair_deadline, is_work_conserving_and_starves_no_request, ()) {
  const auto policy = make_policy();
  const manual_clock clock;
  const auto n = *rc::gen::inRange(1, 200);
  for (int i = 0; i < n; ++i) {
    auto it = make_request(i + 1, "t" + std::to_string(*rc::gen::inRange(0, 6)), clock.now(),
                           seconds{100'000});
    it.team_weight = *rc::gen::inRange(1, 4);
    it.priority = *rc::gen::element(request_class::interactive, request_class::standard,
                                    request_class::batch);
    it.cost_milli = *rc::gen::inRange<std::uint64_t>(1, 5 * second_of_work);
    RC_ASSERT(policy->enqueue(it, {1, 100 * second_of_work, 0}, clock.now()).has_value());
  }
  for (int i = 0; i < n; ++i) {
    RC_ASSERT(!serve_one(*policy, clock.now()).empty());
  }
  RC_ASSERT(policy->waiting() == 0U);
}

TEST(fair_deadline, counts_service_given_by_other_instances) {
  const auto policy = make_policy();
  const manual_clock clock;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    ASSERT_TRUE(policy->enqueue(make_request(i, i % 2 == 0 ? "a" : "b", clock.now(), seconds{1000}),
                                one_request_per_second, clock.now()));
  }
  policy->add_remote_service(team_id{"a"}, 6 * second_of_work);
  std::map<std::string, int> served;
  for (int i = 0; i < 10; ++i) {
    served[serve_one(*policy, clock.now())] += 1;
  }
  EXPECT_GE(served["b"], 7);
}

TEST(fair_deadline, an_idle_team_accrues_no_credit) {
  const auto policy = make_policy();
  const manual_clock clock;
  std::uint64_t id = 0;
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(policy->enqueue(make_request(++id, "a", clock.now(), seconds{1000}),
                                one_request_per_second, clock.now()));
    serve_one(*policy, clock.now());
  }
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(
        policy->enqueue(make_request(++id, i % 2 == 0 ? "a" : "b", clock.now(), seconds{1000}),
                        one_request_per_second, clock.now()));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 10; ++i) {
    served[serve_one(*policy, clock.now())] += 1;
  }
  EXPECT_GE(served["a"], 3);
}

TEST(fair_deadline, expires_requests_that_can_no_longer_meet_their_deadline) {
  const auto policy = make_policy();
  manual_clock clock;
  ASSERT_TRUE(policy->enqueue(make_request(1, "a", clock.now(), seconds{3}), one_request_per_second,
                              clock.now()));
  clock.advance(seconds{1});
  EXPECT_TRUE(policy->expire(one_request_per_second, clock.now()).empty());
  clock.advance(milliseconds{1500});
  EXPECT_EQ(policy->expire(one_request_per_second, clock.now()).size(), 1U);
  EXPECT_EQ(policy->waiting(), 0U);
}

TEST(fair_deadline, a_team_over_its_share_gets_an_earlier_place_by) {
  const auto policy = make_policy();
  manual_clock clock;
  std::uint64_t id = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string team = i % 10 == 0 ? "light" : "flood";
    ASSERT_TRUE(policy->enqueue(make_request(++id, team, clock.now(), seconds{100}),
                                one_request_per_second, clock.now()));
    serve_one(*policy, clock.now());
  }
  clock.advance(seconds{1});
  for (const std::string team : {"light", "flood"}) {
    const auto it = make_request(++id, team, clock.now(), seconds{100});
    ASSERT_TRUE(policy->enqueue(it, {1, 100 * second_of_work, 0}, clock.now()));
    const auto next = policy->peek(clock.now());
    ASSERT_TRUE(next);
    EXPECT_EQ(next->team.value, team);
    EXPECT_EQ(next->place_by < next->deadline, team == "flood");
    policy->remove(next->request, true);
  }
}

TEST(fair_deadline, reports_local_service_once) {
  const auto policy = make_policy();
  const manual_clock clock;
  ASSERT_TRUE(policy->enqueue(make_request(1, "a", clock.now(), seconds{3}), one_request_per_second,
                              clock.now()));
  serve_one(*policy, clock.now());
  policy->settle(team_id{"a"}, second_of_work, second_of_work / 2);
  const auto entries = policy->take_local_service();
  ASSERT_EQ(entries.size(), 1U);
  EXPECT_EQ(entries.front().weighted_tokens_milli, second_of_work / 2);
  EXPECT_TRUE(policy->take_local_service().empty());
}

} // namespace nutmegspur
