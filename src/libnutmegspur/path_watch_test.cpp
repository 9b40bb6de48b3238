// Tests of the watch over this instance's paths to upstreams. They guard against taking a failing
// or silent upstream for a cut of the path, and against blaming upstreams for a cut.
// labels: P10
#include <nutmegspur/path_watch.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>

namespace nutmegspur {
namespace {

/// Upstreams of two services, and the probes that a watch sends to them.
class path_watch_test : public testing::Test {
 protected:
  path_watch_test() {
    for (const char* service : {"engines", "plain"}) {
      for (int n = 1; n <= 4; ++n) {
        listed_upstream it;
        it.id = upstream_id{std::string{service} + "-" + std::to_string(n)};
        it.service = service_id{service};
        upstreams.push_back(it);
      }
    }
    for (const auto& it : upstreams) {
      listed.push_back(&it);
    }
  }

  /// Steps; probes of upstreams that `reached` selects respond at once, others time out.
  template <class Predicate> void step(Predicate reached) {
    const auto probed = watch.step(clock.now(), listed);
    rounds += probed.empty() ? 0 : 1;
    for (const auto& id : probed) {
      if (reached(id)) {
        watch.on_probe_end(clock.now(), id, true, other_way);
      }
    }
    if (!probed.empty()) {
      clock.advance(path_watch::probe_limit);
    }
    for (const auto& id : probed) {
      watch.on_probe_end(clock.now(), id, false, other_way);
    }
  }

  /// Steps ten times a second for `time`.
  template <class Predicate> void run(milliseconds time, Predicate reached) {
    const time_point until = clock.now().boot + time;
    while (clock.now().boot < until) {
      step(reached);
      clock.advance(milliseconds{100});
    }
  }

  static bool all(const upstream_id&) { return true; }

  static bool none(const upstream_id&) { return false; }

  manual_clock clock;
  path_watch watch;
  std::vector<listed_upstream> upstreams;
  std::vector<const listed_upstream*> listed;
  bool other_way = true;
  int rounds = 0;
  int counted = 0;
  path_watch::evidence count = [this] { counted++; };
};

TEST_F(path_watch_test, a_failure_counts_once_another_upstream_responds) {
  watch.hold(count);
  EXPECT_EQ(counted, 0) << "not known yet";
  step([](const auto& id) { return id.value != "engines-1"; });
  EXPECT_EQ(counted, 1);
  EXPECT_EQ(watch.state(), path_state::clear);
  run(milliseconds{2'000}, none);
  EXPECT_EQ(rounds, 1) << "without a failure nothing is probed";
}

TEST_F(path_watch_test, failures_of_a_cut_count_against_nobody) {
  for (int n = 0; n < 20; ++n) {
    watch.hold(count);
  }
  step(none);
  EXPECT_EQ(watch.state(), path_state::cut);
  watch.hold(count);
  run(milliseconds{5'000}, none);
  EXPECT_EQ(watch.state(), path_state::cut);
  const auto healed = clock.now().boot;
  while (watch.state() == path_state::cut) {
    step(all);
    clock.advance(milliseconds{100});
  }
  EXPECT_LE(clock.now().boot - healed, milliseconds{1'000}) << "callers wait for that";
  EXPECT_EQ(counted, 0);
  watch.hold(count);
  run(milliseconds{500}, all);
  EXPECT_EQ(counted, 1);
}

TEST_F(path_watch_test, without_another_way_failures_count) {
  other_way = false;
  watch.hold(count);
  step(none);
  EXPECT_EQ(watch.state(), path_state::clear);
  EXPECT_EQ(counted, 1);
}

TEST_F(path_watch_test, one_silent_upstream_is_no_cut) {
  const auto silent = watch.on_started(clock.now(), upstream_id{"engines-1"});
  watch.on_started(clock.now(), upstream_id{"engines-1"});
  run(milliseconds{3'000}, none);
  EXPECT_EQ(rounds, 0);
  watch.on_bytes(clock.now(), silent);
  EXPECT_EQ(watch.state(), path_state::clear);
}

TEST_F(path_watch_test, one_silent_second_of_all_upstreams_is_no_cut) {
  watch.on_started(clock.now(), upstream_id{"engines-1"});
  watch.on_started(clock.now(), upstream_id{"engines-2"});
  const auto back = clock.now().boot + milliseconds{1'000};
  while (clock.now().boot < back + milliseconds{1'000}) {
    const auto probed = watch.step(clock.now(), listed);
    rounds += probed.empty() ? 0 : 1;
    // The responses arrive as soon as the upstreams go on.
    while (!probed.empty() && clock.now().boot < back) {
      clock.advance(milliseconds{10});
    }
    for (const auto& id : probed) {
      watch.on_probe_end(clock.now(), id, true, true);
    }
    EXPECT_EQ(watch.state(), path_state::clear);
    clock.advance(milliseconds{100});
  }
  EXPECT_GT(rounds, 0);
}

TEST_F(path_watch_test, silence_of_several_upstreams_is_noticed_in_time) {
  watch.on_started(clock.now(), upstream_id{"engines-1"});
  watch.on_started(clock.now(), upstream_id{"plain-1"});
  const auto began = clock.now().boot;
  while (watch.state() == path_state::clear && clock.now().boot - began < seconds{10}) {
    step(none);
    clock.advance(milliseconds{100});
  }
  EXPECT_LE(clock.now().boot - began, milliseconds{2'000});
}

TEST_F(path_watch_test, responses_of_others_are_no_silence) {
  watch.on_started(clock.now(), upstream_id{"engines-1"});
  watch.on_started(clock.now(), upstream_id{"engines-2"});
  const auto stream = watch.on_started(clock.now(), upstream_id{"engines-3"});
  for (int n = 0; n < 30; ++n) {
    watch.on_bytes(clock.now(), stream);
    step(none);
    clock.advance(milliseconds{100});
  }
  EXPECT_EQ(rounds, 0);
}

TEST_F(path_watch_test, a_service_that_is_down_is_no_cut) {
  for (const auto& it : upstreams) {
    if (it.service == service_id{"engines"}) {
      watch.on_bytes(clock.now(), watch.on_started(clock.now(), it.id));
    }
  }
  watch.hold(count);
  step([](const auto& id) { return id.value.starts_with("plain"); });
  EXPECT_EQ(watch.state(), path_state::clear);
  EXPECT_EQ(counted, 1);
}

TEST_F(path_watch_test, while_cut_off_all_upstreams_are_probed_in_turn) {
  watch.hold(count);
  step(none);
  std::set<upstream_id> probed;
  for (int n = 0; n < 40; ++n) {
    for (const auto& id : watch.step(clock.now(), listed)) {
      probed.insert(id);
      watch.on_probe_end(clock.now(), id, false, true);
    }
    clock.advance(milliseconds{100});
  }
  EXPECT_EQ(probed.size(), upstreams.size());
}

// Evidence is applied or dropped exactly once, and dropped only if a whole round has failed.
RC_GTEST_PROP(path_watch, random_rounds_decide_all_evidence, ()) {
  manual_clock clock;
  path_watch watch;
  std::vector<listed_upstream> upstreams(*rc::gen::inRange(1, 6));
  std::vector<const listed_upstream*> listed;
  for (std::size_t n = 0; n < upstreams.size(); ++n) {
    upstreams[n].id = upstream_id{std::to_string(n)};
    listed.push_back(&upstreams[n]);
  }
  int held = 0;
  int applied = 0;
  bool reached_in_round = false;
  for (int n = 0; n < 60; ++n) {
    if (*rc::gen::inRange(0, 3) == 0) {
      const bool taken = watch.state() == path_state::clear;
      watch.hold([&] { applied++; });
      held += taken ? 1 : 0;
    }
    const auto probed = watch.step(clock.now(), listed);
    RC_ASSERT(probed.size() <= path_watch::probes_per_round);
    reached_in_round = false;
    for (const auto& id : probed) {
      const bool reached = *rc::gen::inRange(0, 3) == 0;
      reached_in_round = reached_in_round || reached;
      watch.on_probe_end(clock.now(), id, reached, true);
    }
    if (!probed.empty()) {
      RC_ASSERT(watch.state() == (reached_in_round ? path_state::clear : path_state::cut));
      RC_ASSERT(!reached_in_round || applied == held);
      held = reached_in_round ? held : applied;
    }
    RC_ASSERT(applied <= held);
    clock.advance(milliseconds{100});
  }
}

} // namespace
} // namespace nutmegspur
