// Guards against requests that run without authorization, credentials forwarded to upstreams, and
// requests that continue after their key was withdrawn.
// labels: P04 P05 P06
#include "request_rules.h"
#include "testing/request_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur::testing {
namespace {

const std::set<std::string> allowed_headers{"content-type",    "accept",       "accept-language",
                                            "idempotency-key", "x-request-id", "x-attempt",
                                            "x-priority",      "x-cache-salt", "x-resume-from"};

error_code
refusal_of(const request_harness& harness, const request_handle& of) {
  const auto& refused = harness.view(of).refused;
  return refused ? refused->code : error_code::internal;
}

TEST(request_access, a_request_runs_only_for_a_team_that_is_offered_the_model) {
  request_harness harness{1};
  const auto other_team = harness.call_model(0, "key-b");
  const auto without_key = harness.call_model(0, "");
  const auto unknown_key = harness.call_model(0, "key-x");
  EXPECT_TRUE(harness.open.empty());
  EXPECT_EQ(refusal_of(harness, other_team), error_code::permission_denied);
  EXPECT_EQ(refusal_of(harness, without_key), error_code::unauthenticated);
  EXPECT_EQ(refusal_of(harness, unknown_key), error_code::unauthenticated);
  harness.call_model(0, "key-a");
  EXPECT_EQ(harness.open.size(), 1U);
}

// Random offers and routes: a request reaches an upstream exactly if the key's team may use it.
RC_GTEST_PROP(request_access, enforces_random_offers_and_routes, ()) {
  request_harness harness{1};
  offer_spec offer;
  offer.model = model_id{"m"};
  route_spec route;
  route.service = service_id{"read"};
  route.repeatable = true;
  offer.open_to_all = *rc::gen::arbitrary<bool>();
  route.open_to_all = *rc::gen::arbitrary<bool>();
  for (const auto* name : {"a", "b"}) {
    if (*rc::gen::arbitrary<bool>()) {
      offer.teams.emplace_back(name);
    }
    if (*rc::gen::arbitrary<bool>()) {
      route.teams.emplace_back(name);
    }
  }
  harness.configure([&](config_snapshot& it) {
    it.put({"m-offer", it.at, offer});
    it.put({"read", it.at, route});
  });
  const std::string team = *rc::gen::element<std::string>("a", "b");
  const bool model = *rc::gen::arbitrary<bool>();
  const auto& teams = model ? offer.teams : route.teams;
  const bool open = model ? offer.open_to_all : route.open_to_all;
  if (model) {
    harness.call_model(0, "key-" + team);
  } else {
    harness.call_service(0, "read", "", "x", "key-" + team);
  }
  const bool is_allowed =
      open || std::find(teams.begin(), teams.end(), team_id{team}) != teams.end();
  RC_ASSERT(harness.open.size() == (is_allowed ? 1U : 0U));
}

TEST(request_access, teams_have_different_cache_salts) {
  const std::string secret = "s";
  EXPECT_NE(cache_salt(team_id{"a"}, secret), cache_salt(team_id{"b"}, secret));
  EXPECT_EQ(cache_salt(team_id{"a"}, secret), cache_salt(team_id{"a"}, secret));
}

// Whatever headers a caller sends, only listed ones reach an upstream, and its key never does.
RC_GTEST_PROP(request_access, only_listed_headers_reach_an_upstream, ()) {
  const std::string key = "key-a";
  request_harness harness{1};
  request_arrived what;
  what.secret_sha256 = request_harness::digest(key);
  service_call call;
  call.service = service_id{"read"};
  call.method = "POST";
  call.path = "/";
  const int n = *rc::gen::inRange(1, 8);
  for (int i = 0; i < n; ++i) {
    const auto name = *rc::gen::element<std::string>("authorization", "x-api-key", "cookie",
                                                     "proxy-authorization", "x-forwarded-key",
                                                     "content-type", "accept");
    const bool plain = name == "content-type" || name == "accept";
    call.headers.push_back({name, plain ? "text/plain" : "Bearer " + key});
  }
  what.call = call;
  what.body = std::make_shared<const std::string>("x");
  harness.arrive(0, what);
  RC_ASSERT(harness.open.size() == 1U);
  for (const auto& field : harness.open.front().what.headers) {
    RC_ASSERT(allowed_headers.count(field.name) == 1U);
    RC_ASSERT(field.value.find(key) == std::string::npos);
  }
}

TEST(request_access, inference_headers_are_listed_and_contain_no_key_digest) {
  request_harness harness{1};
  harness.call_model(0);
  for (const auto& field : harness.open.front().what.headers) {
    EXPECT_EQ(allowed_headers.count(field.name), 1U) << field.name;
    EXPECT_EQ(field.value.find(request_harness::digest("key-a")), std::string::npos);
  }
}

void
withdraw(request_harness& harness, const std::string& name) {
  harness.configure([&name](config_snapshot& it) {
    key_spec spec = std::get<key_spec>(it.keys.at(name).spec);
    spec.withdrawn = true;
    it.put({name, it.at, spec});
  });
}

TEST(request_access, a_withdrawn_key_ends_its_requests_at_every_stage) {
  enum class stage { queued, claiming, running, streaming, resuming };
  for (const stage at :
       {stage::queued, stage::claiming, stage::running, stage::streaming, stage::resuming}) {
    request_harness harness{1};
    for (auto& [id, state] : harness.upstreams(0)) {
      state.own_in_flight = at == stage::queued ? 10'000 : 0;
    }
    const auto call =
        at == stage::claiming ? harness.call_service(0, "pay", "k", "b1") : harness.call_model(0);
    if (at == stage::streaming || at == stage::resuming) {
      harness.feed(0, attempt_chunk{harness.open[0].what.attempt, 0, 1, request_harness::token(0)});
    }
    if (at == stage::resuming) {
      for (auto& [id, state] : harness.upstreams(0)) {
        state.own_in_flight = 10'000;
      }
      harness.end_call(harness.open[0], call_ending::lost_before_run);
    }
    withdraw(harness, "key-a");
    harness.pass(tick_period);
    EXPECT_EQ(refusal_of(harness, call), error_code::key_withdrawn) << static_cast<int>(at);
    EXPECT_EQ(harness.view(call).final_count, 1) << static_cast<int>(at);
    const bool may_have_run = at >= stage::running;
    EXPECT_EQ(harness.view(call).refused->ran, may_have_run ? outcome::unknown : outcome::not_run);
    EXPECT_EQ(harness.cancelled.size(), at == stage::running || at == stage::streaming ? 1U : 0U);
    EXPECT_EQ(harness.table(0).live(), 0U);
    const auto next = harness.call_model(0);
    EXPECT_EQ(refusal_of(harness, next), error_code::key_withdrawn);
  }
}

TEST(request_access, withdrawing_a_key_leaves_other_keys_working) {
  request_harness harness{1};
  harness.call_service(0, "read", "", "x", "key-a");
  harness.call_service(0, "read", "", "y", "key-b");
  withdraw(harness, "key-a");
  harness.pass(tick_period);
  EXPECT_EQ(harness.cancelled.size(), 1U);
  EXPECT_EQ(harness.table(0).live(), 1U);
}

TEST(request_access, stale_key_limit_rejects_keys_on_a_stale_configuration) {
  request_harness harness{1};
  harness.configure([](config_snapshot& it) {
    team_spec spec;
    spec.stale_key_limit = seconds{60};
    it.put({"a", it.at, spec});
  });
  harness.config_age = milliseconds{61'000};
  const auto stale_call = harness.call_model(0);
  EXPECT_EQ(refusal_of(harness, stale_call), error_code::unavailable);
  harness.config_age = milliseconds{59'000};
  harness.call_model(0);
  EXPECT_EQ(harness.open.size(), 1U);
}

} // namespace
} // namespace nutmegspur::testing
