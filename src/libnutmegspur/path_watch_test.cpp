// Tests of the watch over this instance's paths to upstreams. They guard against taking a failing
// or silent upstream for a cut of the path, against blaming upstreams for a cut, and against
// finding out about each path of a larger cut by itself.
// labels: P10
#include <nutmegspur/path_question.h>
#include <nutmegspur/path_watch.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <set>
#include <string>

namespace nutmegspur {
namespace {

using predicate = std::function<bool(const upstream_id&)>;

bool
all(const upstream_id&) {
  return true;
}

bool
none(const upstream_id&) {
  return false;
}

bool
plain(const upstream_id& id) {
  return id.value.starts_with("plain");
}

/// Upstreams of two services, the probes that a watch sends to them, and the peers that it asks.
class path_watch_test : public testing::Test {
 protected:
  path_watch_test() { add_upstreams(4); }

  void add_upstreams(int of_each_service) {
    upstreams.clear();
    listed.clear();
    for (const char* service : {"engines", "plain"}) {
      for (int n = 1; n <= of_each_service; ++n) {
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

  /// Steps. Upstreams that `reached` selects respond to a probe at once, others do not in time.
  void step(const predicate& reached) {
    const auto probed = watch.step(clock.now(), listed);
    probes += probed.size();
    std::set<upstream_id> failed;
    for (const auto& id : probed) {
      if (reached(id)) {
        apply(watch.on_probe_end(clock.now(), id, true), id);
      } else {
        failed.insert(id);
      }
    }
    if (!failed.empty()) {
      clock.advance(path_watch::probe_limit);
    }
    for (const auto& id : failed) {
      apply(watch.on_probe_end(clock.now(), id, false), id);
    }
  }

  void apply(path_watch::next_step it, const upstream_id& id) {
    if (it == path_watch::next_step::ask_peers) {
      questions++;
      apply(watch.on_peers_end(clock.now(), id, peers_reach(id)), id);
    } else if (it == path_watch::next_step::cut) {
      cuts++;
    } else if (it == path_watch::next_step::regained) {
      regained++;
    }
  }

  /// Steps ten times a second for `time`.
  void run(milliseconds time, const predicate& reached) {
    const time_point until = clock.now().boot + time;
    while (clock.now().boot < until) {
      step(reached);
      clock.advance(milliseconds{100});
    }
  }

  std::size_t count(path_state it) { return watch.counts()[it]; }

  manual_clock clock;
  path_watch watch;
  std::vector<listed_upstream> upstreams;
  std::vector<const listed_upstream*> listed;
  predicate peers_reach = all;
  std::size_t probes = 0;
  int questions = 0;
  int cuts = 0;
  int regained = 0;
  int counted = 0;
  path_watch::evidence evidence = [this] { counted++; };
  const upstream_id first{"engines-1"};
};

TEST_F(path_watch_test, a_failure_counts_once_its_upstream_responds) {
  watch.hold(first, evidence);
  EXPECT_EQ(counted, 0) << "not known yet";
  step(all);
  EXPECT_EQ(counted, 1);
  EXPECT_EQ(watch.state(first), path_state::clear);
  run(milliseconds{2'000}, none);
  EXPECT_EQ(probes, 1U) << "without a failure nothing is probed";
  EXPECT_EQ(questions, 0);
}

TEST_F(path_watch_test, an_upstream_that_fails_for_peers_too_is_no_cut) {
  peers_reach = none;
  watch.hold(first, evidence);
  step(none);
  EXPECT_EQ(questions, 1);
  EXPECT_EQ(counted, 1);
  EXPECT_EQ(watch.state(first), path_state::clear);
  EXPECT_EQ(cuts, 0);
}

TEST_F(path_watch_test, a_single_cut_path_stays_the_only_one) {
  const auto reached = [&](const upstream_id& id) { return id != first; };
  watch.hold(first, evidence);
  run(milliseconds{5'000}, reached);
  EXPECT_EQ(watch.state(first), path_state::cut);
  EXPECT_EQ(count(path_state::cut), 1U);
  EXPECT_EQ(count(path_state::clear), upstreams.size() - 1);
  EXPECT_EQ(counted, 0);
}

TEST_F(path_watch_test, all_paths_to_a_service_are_found_cut_though_another_service_is_reached) {
  add_upstreams(60);
  watch.hold(first, evidence);
  const auto began = clock.now().boot;
  while (count(path_state::clear) + count(path_state::doubtful) > 60 &&
         clock.now().boot - began < seconds{10}) {
    step(plain);
    clock.advance(milliseconds{100});
  }
  EXPECT_LE(clock.now().boot - began, milliseconds{2'000}) << "callers wait for that";
  run(milliseconds{10'000}, plain);
  EXPECT_EQ(count(path_state::cut), 60U);
  EXPECT_EQ(count(path_state::clear), 60U);
  EXPECT_EQ(questions, 1) << "peers are asked about the first only";
}

TEST_F(path_watch_test, failures_of_a_cut_count_against_nobody) {
  for (int n = 0; n < 20; ++n) {
    watch.hold(upstreams[n % upstreams.size()].id, evidence);
  }
  run(milliseconds{5'000}, none);
  watch.hold(first, evidence);
  run(milliseconds{1'000}, none);
  EXPECT_EQ(count(path_state::cut), upstreams.size());
  EXPECT_EQ(counted, 0);
}

TEST_F(path_watch_test, all_paths_are_clear_soon_after_a_cut) {
  add_upstreams(60);
  watch.hold(first, evidence);
  run(milliseconds{12'000}, none);
  ASSERT_EQ(count(path_state::cut), upstreams.size());
  const auto healed = clock.now().boot;
  while (count(path_state::clear) < upstreams.size() && clock.now().boot - healed < seconds{20}) {
    step(all);
    clock.advance(milliseconds{100});
  }
  EXPECT_LE(clock.now().boot - healed, milliseconds{2'000}) << "callers wait for that";
  EXPECT_EQ(regained, cuts);
  watch.hold(first, evidence);
  run(milliseconds{500}, all);
  EXPECT_EQ(counted, 1);
}

TEST_F(path_watch_test, cut_paths_are_probed_at_a_bounded_rate) {
  add_upstreams(60);
  watch.hold(first, evidence);
  run(milliseconds{12'000}, none);
  const std::size_t before = probes;
  constexpr std::size_t rounds = 20;
  run(path_watch::recheck_period * rounds, none);
  EXPECT_LE(probes - before, path_watch::rechecks_per_round * (rounds + 1));
}

TEST_F(path_watch_test, one_silent_upstream_is_no_cut) {
  peers_reach = none;
  const auto silent = watch.on_started(clock.now(), first);
  watch.on_started(clock.now(), first);
  run(milliseconds{3'000}, [&](const auto& id) { return id != first; });
  EXPECT_EQ(cuts, 0);
  EXPECT_LE(probes, 3U) << "one a second";
  watch.on_bytes(clock.now(), silent);
  EXPECT_EQ(watch.state(first), path_state::clear);
}

TEST_F(path_watch_test, one_silent_second_of_all_upstreams_is_no_cut) {
  watch.on_started(clock.now(), first);
  watch.on_started(clock.now(), upstream_id{"engines-2"});
  const auto back = clock.now().boot + milliseconds{1'000};
  while (clock.now().boot < back + milliseconds{1'000}) {
    const auto probed = watch.step(clock.now(), listed);
    probes += probed.size();
    // The responses arrive as soon as the upstreams go on.
    while (!probed.empty() && clock.now().boot < back) {
      clock.advance(milliseconds{10});
    }
    for (const auto& id : probed) {
      apply(watch.on_probe_end(clock.now(), id, true), id);
    }
    clock.advance(milliseconds{100});
  }
  EXPECT_EQ(cuts, 0);
  EXPECT_GT(probes, 0U);
}

TEST_F(path_watch_test, silence_of_several_upstreams_of_a_service_is_noticed_in_time) {
  watch.on_started(clock.now(), first);
  watch.on_started(clock.now(), upstream_id{"engines-2"});
  const auto stream = watch.on_started(clock.now(), upstream_id{"plain-1"});
  const auto began = clock.now().boot;
  while (cuts == 0 && clock.now().boot - began < seconds{10}) {
    watch.on_bytes(clock.now(), stream);
    step(plain);
    clock.advance(milliseconds{100});
  }
  EXPECT_LE(clock.now().boot - began, milliseconds{2'000});
}

TEST_F(path_watch_test, responses_of_others_of_its_service_are_no_silence) {
  watch.on_started(clock.now(), first);
  watch.on_started(clock.now(), upstream_id{"engines-2"});
  const auto stream = watch.on_started(clock.now(), upstream_id{"engines-3"});
  for (int n = 0; n < 11; ++n) {
    watch.on_bytes(clock.now(), stream);
    step(none);
    clock.advance(milliseconds{100});
  }
  EXPECT_EQ(probes, 0U);
}

TEST_F(path_watch_test, bytes_over_an_open_connection_do_not_end_a_cut) {
  const auto open = watch.on_started(clock.now(), first);
  watch.hold(first, evidence);
  run(milliseconds{3'000}, none);
  watch.on_bytes(clock.now(), open);
  EXPECT_EQ(watch.state(first), path_state::cut) << "new connections are refused all the same";
}

TEST_F(path_watch_test, an_upstream_that_is_gone_takes_its_evidence_with_it_once) {
  watch.hold(first, evidence);
  listed.erase(listed.begin());
  step(all);
  step(all);
  EXPECT_EQ(counted, 1);
  EXPECT_EQ(watch.state(first), path_state::clear);
}

TEST(path_question, survives_the_way) {
  const path_question asked{upstream_id{"engine-1"}, 1'700'000'000'123};
  const auto read = unpack_path_question(pack_path_question(asked));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, asked);
  EXPECT_FALSE(unpack_path_question("nonsense"));
  EXPECT_EQ(read_path_answer("reached"), path_answer::reached);
  EXPECT_EQ(read_path_answer("<html>"), path_answer::unknown);
}

// Evidence is applied or dropped exactly once, and dropped only for a path that was found cut.
RC_GTEST_PROP(path_watch, random_results_decide_all_evidence, ()) {
  manual_clock clock;
  path_watch watch;
  std::vector<listed_upstream> upstreams(*rc::gen::inRange(1, 8));
  std::vector<const listed_upstream*> listed;
  for (std::size_t n = 0; n < upstreams.size(); ++n) {
    upstreams[n].id = upstream_id{std::to_string(n)};
    listed.push_back(&upstreams[n]);
  }
  std::vector<int> held(upstreams.size());
  std::vector<int> applied(upstreams.size());
  std::vector<bool> was_cut(upstreams.size());
  const auto any = [&] {
    return static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(upstreams.size())));
  };
  std::set<upstream_id> probing;
  std::set<upstream_id> asking;
  for (int n = 0; n < 80; ++n) {
    if (const auto at = any(); *rc::gen::inRange(0, 2) == 0) {
      watch.hold(upstreams[at].id, [&applied, at] { applied[at]++; });
      held[at]++;
    }
    const auto probed = watch.step(clock.now(), listed);
    RC_ASSERT(probed.size() <= path_watch::probes_per_step);
    for (const auto& id : probed) {
      RC_ASSERT(probing.insert(id).second);
    }
    const auto follow = [&](path_watch::next_step it, const upstream_id& id) {
      if (it == path_watch::next_step::ask_peers) {
        asking.insert(id);
      } else if (it == path_watch::next_step::cut) {
        was_cut[std::stoul(id.value)] = true;
      }
    };
    for (const auto& id : std::set{probing}) {
      if (*rc::gen::inRange(0, 2) == 0) {
        probing.erase(id);
        follow(watch.on_probe_end(clock.now(), id, *rc::gen::inRange(0, 3) == 0), id);
      }
    }
    for (const auto& id : std::set{asking}) {
      if (*rc::gen::inRange(0, 2) == 0) {
        asking.erase(id);
        follow(watch.on_peers_end(clock.now(), id, *rc::gen::inRange(0, 2) == 0), id);
      }
    }
    clock.advance(milliseconds{100});
  }
  for (int n = 0; n < 200; ++n) {
    for (const auto& id : watch.step(clock.now(), listed)) {
      probing.insert(id);
    }
    for (const auto& id : std::exchange(probing, {})) {
      (void)watch.on_probe_end(clock.now(), id, true);
    }
    for (const auto& id : std::exchange(asking, {})) {
      (void)watch.on_peers_end(clock.now(), id, false);
    }
    clock.advance(milliseconds{100});
  }
  for (std::size_t n = 0; n < upstreams.size(); ++n) {
    RC_ASSERT(applied[n] <= held[n]);
    RC_ASSERT(was_cut[n] || applied[n] == held[n]);
    RC_ASSERT(watch.state(upstreams[n].id) == path_state::clear);
  }
}

} // namespace
} // namespace nutmegspur
