// Guards against refused callers that are told to come back long before or long after an upstream
// may be used again.
// labels: P12
#include <nutmegspur/upstream_availability.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

constexpr milliseconds unknown{500};

upstream_wait
breaker_open() {
  upstream_wait it;
  it.breaker_open = true;
  return it;
}

upstream_wait
withheld(int millis) {
  upstream_wait it;
  it.withheld = milliseconds{millis};
  return it;
}

upstream_wait
overdue() {
  upstream_wait it;
  it.withheld.reset();
  return it;
}

upstream_wait
paused(upstream_wait it, int millis) {
  it.pause = milliseconds{millis};
  return it;
}

upstream_wait
limited(upstream_wait it, int millis) {
  it.permit = milliseconds{millis};
  return it;
}

struct availability_case {
  const char* name;
  std::vector<upstream_wait> upstreams;
  int expected_millis;
};

class availability : public testing::TestWithParam<availability_case> {};

TEST_P(availability, is_the_time_of_the_first_upstream_that_nothing_keeps_requests_from) {
  EXPECT_EQ(first_availability(GetParam().upstreams, unknown),
            milliseconds{GetParam().expected_millis});
}

INSTANTIATE_TEST_SUITE_P(
    upstream_availability, availability,
    testing::Values(
        availability_case{"no_upstreams", {}, 500}, availability_case{"nothing_known", {{}}, 500},
        availability_case{"a_changing_stage", {withheld(5'000)}, 5'000},
        availability_case{"a_shorter_time_than_unknown", {withheld(40)}, 40},
        availability_case{"the_first_of_several", {withheld(5'000), withheld(1'200)}, 1'200},
        availability_case{"the_last_of_its_own", {paused(withheld(1'000), 2'500)}, 2'500},
        availability_case{"a_permit_after_a_pause", {limited(paused({}, 300), 700)}, 700},
        availability_case{"an_open_breaker", {breaker_open(), withheld(5'000)}, 500},
        availability_case{"a_known_time_before_that", {breaker_open(), withheld(100)}, 100},
        availability_case{"a_pause_beside_a_breaker", {paused(breaker_open(), 2'000)}, 2'000},
        availability_case{"a_short_pause_beside_a_breaker", {paused(breaker_open(), 20)}, 500},
        availability_case{"a_change_that_takes_longer", {overdue()}, 500},
        availability_case{"a_pause_beside_such_a_change", {paused(overdue(), 900)}, 900},
        availability_case{
            "one_that_may_be_used_beside_a_long_pause", {{}, paused({}, 9'000)}, 500}),
    [](const auto& it) { return std::string{it.param.name}; });

} // namespace
} // namespace nutmegspur
