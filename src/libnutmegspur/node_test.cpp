// Tests of the whole decision core of one instance: readiness, a request from end to end and
// shutdown.
// labels: P13 P14
#include "testing/fake_store.h"

#include <nutmegspur/node.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

constexpr const char* caller_digest =
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

settings
test_settings() {
  settings it;
  it.instance = instance_id{"i1"};
  it.zone = zone_id{"z1"};
  it.region = "r1";
  it.peer_secret = "0123456789abcdef";
  it.usage_window = seconds{2};
  it.balancer_lag = milliseconds{500};
  return it;
}

/// A node with a fake platform that lists one engine.
class node_harness {
 public:
  node_harness() : node_(std::move(*node::make(test_settings(), 1))) {
    store.progress_interval = seconds{1};
    put(resource_kind::team, "t", team_spec{});
    put(resource_kind::model, "m", model_spec{});
    put(resource_kind::offer, "o", offer_spec{model_id{"m"}, {team_id{"t"}}, false, {}});
    put(resource_kind::key, "k", key_spec{team_id{"t"}, key_role::caller, caller_digest, false});
    store.set_instances(
        {{"i1", instance_kind::entry, zone_id{"z1"}, "r1", "127.0.0.1", 1, "", false},
         {"e1", instance_kind::engine, zone_id{"z1"}, "r1", "127.0.0.1", 2, "", false}});
  }

  void put(resource_kind kind, const std::string& name, const resource_spec& spec) {
    store.put(clock.now(), config_key(kind, name), spec_json(spec));
  }

  void feed(const event& ev) {
    for (auto& what : node_->step(clock.now(), ev)) {
      if (const auto* call = std::get_if<call_platform>(&what)) {
        store.submit(clock.now(), "i1", *call);
      } else if (const auto* readiness = std::get_if<set_ready>(&what)) {
        ready = readiness->ready;
      } else {
        actions.push_back(std::move(what));
      }
    }
  }

  /// Replaces the node by that of a new process.
  void restart() {
    store.forget("i1");
    actions.clear();
    node_ = std::move(*node::make(test_settings(), 2));
  }

  void run_for(duration span) {
    const time_point ends = clock.now().boot + span;
    while (clock.now().boot < ends) {
      clock.advance(tick_period);
      for (const auto& it : store.take_due(clock.now())) {
        feed(it.what);
      }
      feed(tick{});
    }
  }

  void report_engine() {
    engine_report report;
    report.upstream = upstream_id{"e1"};
    report.state.model = model_id{"m"};
    report.load.total_blocks = report.load.free_blocks = 1000;
    report.measured = clock.now();
    feed(report);
  }

  request_id send_request() {
    request_arrived it;
    it.request = request_id{++last_request_};
    it.secret_sha256 = caller_digest;
    it.deadline = clock.now().boot + seconds{60};
    inference_call call;
    call.model = model_id{"m"};
    call.prompt_tokens = 10;
    call.max_tokens = 2;
    it.call = call;
    it.body = std::make_shared<const std::string>("{}");
    feed(it);
    return it.request;
  }

  /// The latest action of type `A`, or null.
  template <class A> const A* last_action() const {
    const A* found = nullptr;
    for (const auto& it : actions) {
      if (const auto* action = std::get_if<A>(&it)) {
        found = action;
      }
    }
    return found;
  }

  manual_clock clock;
  testing::fake_store store;
  std::vector<action> actions;
  std::optional<bool> ready;

 private:
  std::unique_ptr<node> node_;
  std::uint64_t last_request_ = 0;
};

TEST(node, the_error_for_an_unknown_policy_lists_the_registered_ones) {
  settings it = test_settings();
  it.routing_policy = "fastest";
  const auto made = node::make(it, 1);
  ASSERT_FALSE(made.has_value());
  EXPECT_NE(made.error().message.find("fastest"), std::string::npos);
  EXPECT_NE(made.error().message.find("predicted_latency"), std::string::npos);
}

TEST(node, is_ready_once_the_zones_engines_have_reported) {
  node_harness harness;
  harness.run_for(seconds{1});
  EXPECT_NE(harness.ready, true);
  harness.report_engine();
  EXPECT_EQ(harness.ready, true);
}

TEST(node, becomes_ready_even_if_an_engine_never_reports) {
  node_harness harness;
  harness.run_for(seconds{6});
  EXPECT_EQ(harness.ready, true);
}

TEST(node, is_not_ready_without_a_configuration) {
  node_harness harness;
  harness.store.set_fault(testing::store_fault::down);
  harness.report_engine();
  harness.run_for(seconds{10});
  EXPECT_NE(harness.ready, true);
}

TEST(node, serves_a_request_and_reports_its_usage) {
  node_harness harness;
  harness.run_for(seconds{1});
  harness.report_engine();
  const request_id request = harness.send_request();
  const auto* attempt = harness.last_action<open_attempt>();
  ASSERT_NE(attempt, nullptr);
  const attempt_id id = attempt->attempt;
  harness.feed(attempt_opened{id, 200, {}});
  harness.feed(attempt_chunk{id, 0, 2, "two words"});
  harness.feed(attempt_ended{id, std::nullopt, {10, 2, 0}, "stop"});
  ASSERT_NE(harness.last_action<end_response>(), nullptr);
  EXPECT_EQ(harness.last_action<end_response>()->request, request);
  harness.run_for(seconds{60});
  std::uint64_t tokens = 0;
  for (const auto& it : harness.store.usage_reports()) {
    for (const auto& line : it.report.record.lines) {
      tokens += line.output_tokens;
    }
  }
  EXPECT_EQ(tokens, 2U);
}

TEST(node, stops_after_its_live_request_and_the_next_process_reports_the_usage) {
  node_harness harness;
  harness.run_for(seconds{1});
  harness.report_engine();
  harness.send_request();
  const attempt_id id = harness.last_action<open_attempt>()->attempt;
  harness.feed(attempt_opened{id, 200, {}});
  harness.feed(stop_requested{});
  EXPECT_EQ(harness.ready, false);
  harness.run_for(seconds{10});
  EXPECT_EQ(harness.last_action<exit_process>(), nullptr);
  harness.feed(attempt_chunk{id, 0, 2, "two words"});
  harness.feed(attempt_ended{id, std::nullopt, {10, 2, 0}, "stop"});
  harness.run_for(seconds{60});
  ASSERT_NE(harness.last_action<exit_process>(), nullptr);
  harness.restart();
  harness.run_for(seconds{60});
  ASSERT_EQ(harness.store.usage_reports().size(), 1U);
  EXPECT_EQ(harness.store.usage_reports().front().report.record.lines.front().output_tokens, 2U);
}

} // namespace
} // namespace nutmegspur
