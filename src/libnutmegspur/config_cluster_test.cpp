// Configuration of several replicas and the resource API under random operator calls and faults.
//
// Guards against replicas that return to an older revision, apply part of a change, lose an
// accepted change or accept a withdrawn key again. This can happen with lost or stale answers of
// the store, silent watches, and messages that are lost, duplicated or reordered.
// labels: P14 P06
#include "testing/config_cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur::testing {
namespace {

constexpr const char* secret_digest =
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

resource
team(const std::string& name, std::uint32_t weight) {
  return {name, {}, team_spec{.weight = weight}};
}

resource
key(bool withdrawn) {
  return {"k", {}, key_spec{team_id{"thun"}, key_role::caller, secret_digest, withdrawn}};
}

void
start_cluster(config_cluster& in) {
  in.store.put(in.clock.now(), "cfg/team/thun", spec_json(team("thun", 1).spec));
  in.store.put(in.clock.now(), "cfg/key/k", spec_json(key(false).spec));
  for (const std::string zone : {"b", "z"}) {
    in.start(zone + "1", zone, true);
    in.start(zone + "2", zone, true);
    in.start(zone + "3", zone, false);
  }
  in.run(seconds{3});
}

/// A random operator call or fault.
struct random_action {
  std::uint8_t kind = 0;
  std::uint8_t who = 0;
  std::uint8_t amount = 0;
};

struct issued_write {
  std::string through;
  std::uint64_t id = 0;
  resource what;
};

const std::vector<std::string> members{"b1", "b2", "b3", "z1", "z2", "z3"};

void
apply_action(config_cluster& in, const random_action& it, std::vector<issued_write>& writes) {
  const std::string& who = members[it.who % members.size()];
  const auto put = [&](const resource& what) { writes.push_back({who, in.put(who, what), what}); };
  switch (it.kind % 12) {
  case 0:
  case 1:
    return put(team("thun", 1 + it.amount));
  case 2:
    return put(team("tumen", 1 + it.amount));
  case 3:
    return put(key(it.amount % 4 == 0));
  case 4:
    return in.store.fault_next(store_fault::lost_after_effect, {}, it.amount % 4);
  case 5:
    return in.store.fault_next(store_fault::stale_read, {}, it.amount % 6);
  case 6:
    return in.store.silence_watches(who);
  case 7:
    return in.store.end_watches(in.clock.now(), who);
  case 8:
    return in.store.set_fault(it.amount % 2 == 0 ? store_fault::down : store_fault::none);
  case 9:
    return in.store.fault_next(store_fault::slow, {}, it.amount % 4);
  case 10:
    in.network = [n = it.amount](const std::string&, const std::string& to) {
      return message_delivery{static_cast<int>(n % 3),
                              milliseconds{1 + 37 * (to.back() - '0') * (n % 9)}};
    };
    return;
  default:
    return in.run(milliseconds{20 * it.amount});
  }
}

void
clear_faults(config_cluster& in) {
  in.store.set_fault(store_fault::none);
  in.network = [](const std::string&, const std::string&) { return message_delivery{}; };
  in.run(seconds{20});
}

/// The value of the resource that `like` names in the store at revision `at`.
std::optional<resource_spec>
stored_at(config_cluster& in, revision at, const resource& like) {
  const std::string name = config_key(kind_of(like.spec), like.name);
  const auto reply = in.store.answer_now(in.clock.now(), "", {{}, kv_range{name, "", 1, at}});
  const auto& pairs = std::get<kv_range_reply>(*reply.answer).pairs;
  if (pairs.empty()) {
    return std::nullopt;
  }
  return *parse_spec(kind_of(like.spec), pairs.front().value);
}

RC_GTEST_PROP(config_cluster, replicas_never_revert_apply_partially_or_lose_changes,
              (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& raw)) {
  config_cluster in(1);
  start_cluster(in);
  std::vector<issued_write> writes;
  for (const auto& [kind, who, amount] : raw) {
    apply_action(in, {kind, who, amount}, writes);
  }
  clear_faults(in);
  RC_ASSERT(in.violation() == "");
  RC_ASSERT(in.behind(in.store.current()).empty());
  for (const auto& it : writes) {
    const resource_response* answer = in.answer(it.through, it.id);
    RC_ASSERT(answer != nullptr);
    if (answer->json) {
      RC_ASSERT(stored_at(in, answer->at, it.what) == it.what.spec);
    }
  }
  bool withdrawn = false;
  for (std::int64_t at = 2; at <= in.store.current().value; ++at) {
    const auto spec = stored_at(in, revision{at}, key(false));
    RC_ASSERT(!withdrawn || spec == key(true).spec);
    withdrawn = spec == key(true).spec;
  }
}

TEST(config_cluster, a_silent_watch_is_replaced_in_time) {
  config_cluster in(1);
  start_cluster(in);
  for (const auto& it : members) {
    in.store.silence_watches(it);
  }
  const revision at =
      in.store.put(in.clock.now(), "cfg/team/thun", spec_json(team("thun", 5).spec));
  EXPECT_TRUE(in.run_until([&] { return in.behind(at).empty(); }, seconds{4}));
  EXPECT_EQ(in.violation(), "");
}

TEST(config_cluster, an_instance_starts_from_a_peer_while_the_store_is_down) {
  config_cluster in(1);
  start_cluster(in);
  in.store.set_fault(store_fault::down);
  in.start("new", "b", false);
  EXPECT_FALSE(in.at("new").replica->ready());
  EXPECT_TRUE(in.run_until([&] { return in.at("new").replica->ready(); }, seconds{3}));
  EXPECT_NE(in.at("new").replica->view()->team(team_id{"thun"}), nullptr);
}

TEST(config_cluster, without_store_and_peers_an_instance_is_not_ready) {
  config_cluster in(1);
  in.store.set_fault(store_fault::down);
  in.start("b1", "b", true);
  in.run(seconds{30});
  EXPECT_FALSE(in.at("b1").replica->ready());
}

TEST(config_cluster, readiness_ends_after_the_lag_limit) {
  config_cluster in(1);
  start_cluster(in);
  config_replica& it = *in.at("b3").replica;
  ASSERT_TRUE(it.ready());
  // A relay reports a revision for which nobody delivers the changes.
  action_list ignored;
  const revision ahead{in.store.current().value + 50};
  const config_heartbeat announced{ahead, ahead, milliseconds{0}, {1}};
  it.step(in.clock.now(), peer_received{instance_id{"b1"}, announced}, ignored);
  EXPECT_TRUE(it.ready());
  in.run(milliseconds{3900});
  EXPECT_TRUE(it.ready());
  in.run(milliseconds{300});
  EXPECT_FALSE(it.ready());
  for (int n = 0; n < 50; ++n) {
    in.store.put(in.clock.now(), "cfg/team/thun", spec_json(team("thun", 3).spec));
  }
  EXPECT_TRUE(in.run_until([&] { return it.ready(); }, seconds{4}));
}

TEST(config_cluster, a_zone_whose_relays_lost_the_store_gets_changes_in_time) {
  config_cluster in(1);
  start_cluster(in);
  for (const std::string it : {"b1", "b2"}) {
    in.store.silence_watches(it);
    in.store.set_client_fault(it, store_fault::lost_before_effect);
    for (const std::string other : {"z1", "z2"}) {
      in.partition(it, other);
    }
  }
  for (std::uint32_t n = 0; n < 20; ++n) {
    const auto at =
        in.store.put(in.clock.now(), "cfg/team/thun", spec_json(team("thun", n + 5).spec));
    EXPECT_TRUE(in.run_until([&] { return in.behind(at).empty(); }, seconds{4})) << n;
    in.run(milliseconds{700});
  }
  EXPECT_EQ(in.violation(), "");
}

TEST(config_cluster, a_new_relay_does_not_confirm_a_deletion_that_it_has_not_seen) {
  config_cluster in(1);
  start_cluster(in);
  in.store.put(in.clock.now(), "cfg/team/tumen", spec_json(team("tumen", 2).spec));
  in.run(seconds{1});
  in.network = [](const std::string&, const std::string& to) {
    return message_delivery{to == "b3" ? 0 : 1};
  };
  const revision deleted = in.store.put(in.clock.now(), "cfg/team/tumen", std::nullopt);
  in.run(milliseconds{200});
  in.kill("b1");
  in.kill("b2");
  ASSERT_LT(in.at("b3").replica->at(), deleted);
  in.start("b4", "b", true);
  // The relays of the other zone cannot report the deletion to it either.
  in.partition("b4", "z1");
  in.partition("b4", "z2");
  in.network = [](const std::string&, const std::string&) { return message_delivery{}; };
  EXPECT_TRUE(in.run_until([&] { return in.behind(deleted).empty(); }, seconds{4}));
  EXPECT_EQ(in.at("b3").replica->view()->team(team_id{"tumen"}), nullptr);
  EXPECT_EQ(in.violation(), "");
}

TEST(config_cluster, compaction_leads_to_a_full_read) {
  config_cluster in(1);
  start_cluster(in);
  for (const auto& it : members) {
    in.store.end_watches(in.clock.now(), it);
  }
  in.store.set_fault(store_fault::down);
  in.run(seconds{2});
  in.store.put(in.clock.now(), "cfg/key/k", std::nullopt);
  in.store.put(in.clock.now(), "cfg/team/thun", spec_json(team("thun", 5).spec));
  in.store.compact(in.store.current());
  in.store.set_fault(store_fault::none);
  EXPECT_TRUE(in.run_until([&] { return in.behind(in.store.current()).empty(); }, seconds{8}));
  for (const auto& it : members) {
    EXPECT_EQ(in.at(it).replica->view()->key(secret_digest), nullptr) << it;
    EXPECT_TRUE(in.at(it).withdrawn.contains("k")) << it;
  }
}

TEST(config_cluster, an_invalid_value_keeps_the_old_one_and_blocks_no_other_change) {
  config_cluster in(1);
  start_cluster(in);
  in.store.put(in.clock.now(), "cfg/team/tumen", spec_json(team("tumen", 2).spec));
  in.run(seconds{1});
  const auto view_of = [&](const std::string& it) { return in.at(it).replica->view(); };
  // Compaction disables the check against the store's history, which fails for a skipped value.
  kv_txn txn{{},
             {{"cfg/team/tumen", "{\"weight\":0}", {}}, {"cfg/team/thun", "{\"weight\":9}", {}}}};
  in.store.answer_now(in.clock.now(), "", {{}, txn});
  in.store.compact(revision{in.store.current().value + 1});
  EXPECT_TRUE(in.run_until([&] { return in.behind(in.store.current()).empty(); }, seconds{4}));
  for (const auto& it : members) {
    EXPECT_EQ(view_of(it)->team(team_id{"tumen"})->weight, 2U);
    EXPECT_EQ(view_of(it)->team(team_id{"thun"})->weight, 9U);
    EXPECT_EQ(in.at(it).replica->counts().changes_refused, 1U);
  }
}

TEST(config_cluster, members_get_changes_from_relays_and_open_no_watch) {
  config_cluster in(1);
  start_cluster(in);
  in.run(seconds{5});
  const std::uint64_t before = in.store.calls(platform_request{watch_start{}}.index());
  in.run(seconds{60});
  EXPECT_EQ(in.store.calls(platform_request{watch_start{}}.index()), before);
  EXPECT_EQ(in.store.calls(platform_request{kv_range{}}.index()), members.size());
}

// -----------------------------------------------------------------------------------------------
// The operators' API

const resource_response*
await_answer(config_cluster& in, const std::string& through, std::uint64_t id) {
  in.run_until([&] { return in.answer(through, id) != nullptr; }, seconds{12});
  return in.answer(through, id);
}

const resource_response*
await_answer(config_cluster& in, resource_request what) {
  return await_answer(in, "b3", in.request("b3", std::move(what)));
}

TEST(resource_api, one_of_two_racing_conditional_writes_succeeds) {
  config_cluster in(1);
  start_cluster(in);
  const revision at = in.store.get("cfg/team/thun")->modified;
  const auto first = in.put("b3", team("thun", 5), at);
  const auto second = in.put("z3", team("thun", 6), at);
  ASSERT_TRUE(await_answer(in, "b3", first)->json.has_value());
  const auto* lost = await_answer(in, "z3", second);
  ASSERT_FALSE(lost->json.has_value());
  EXPECT_EQ(lost->json.error().code, error_code::conflict);
  EXPECT_NE(lost->json.error().message.find(
                "revision " + std::to_string(in.store.get("cfg/team/thun")->modified.value)),
            std::string::npos)
      << lost->json.error().message;
}

TEST(resource_api, a_write_is_refused_at_once_while_the_store_is_down) {
  config_cluster in(1);
  start_cluster(in);
  in.store.set_fault(store_fault::down);
  const auto id = in.put("b3", team("thun", 5));
  in.run(milliseconds{100});
  const auto* answer = in.answer("b3", id);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->json.error().code, error_code::unavailable);
  EXPECT_EQ(answer->json.error().ran, outcome::not_run);
  EXPECT_TRUE(answer->json.error().retry_after.has_value());
}

TEST(resource_api, a_lost_answer_is_resolved_by_a_read) {
  config_cluster in(1);
  start_cluster(in);
  in.store.fault_next(store_fault::lost_after_effect);
  EXPECT_TRUE(await_answer(in, "b3", in.put("b3", team("thun", 5)))->json.has_value());
  in.store.fault_next(store_fault::lost_before_effect);
  EXPECT_TRUE(await_answer(in, "b3", in.put("b3", team("thun", 6)))->json.has_value());
  EXPECT_EQ(in.store.get("cfg/team/thun")->value, spec_json(team("thun", 6).spec));
}

TEST(resource_api, a_referenced_resource_cannot_be_deleted) {
  config_cluster in(1);
  start_cluster(in);
  resource_request what;
  what.verb = resource_verb::remove;
  what.kind = resource_kind::team;
  what.name = "thun";
  const auto* answer = await_answer(in, what);
  ASSERT_FALSE(answer->json.has_value());
  EXPECT_NE(answer->json.error().message.find("key 'k'"), std::string::npos);
  ASSERT_TRUE(await_answer(in, "b3", in.put("b3", key(true)))->json.has_value());
  EXPECT_TRUE(await_answer(in, what)->json.has_value());
}

TEST(resource_api, a_team_is_not_deleted_while_a_key_of_it_is_issued) {
  config_cluster in(1);
  start_cluster(in);
  in.store.put(in.clock.now(), "cfg/team/tumen", spec_json(team("tumen", 1).spec));
  in.run(seconds{3});
  resource_request remove;
  remove.verb = resource_verb::remove;
  remove.kind = resource_kind::team;
  remove.name = "tumen";
  const resource fresh{
      "n", {}, key_spec{team_id{"tumen"}, key_role::caller, std::string(64, 'b'), false}};
  const auto issued = in.put("z3", fresh);
  const auto removed = in.request("b3", remove);
  const bool has_key = await_answer(in, "z3", issued)->json.has_value();
  const bool gone = await_answer(in, "b3", removed)->json.has_value();
  EXPECT_NE(has_key, gone);
  EXPECT_EQ(in.store.get("cfg/team/tumen").has_value(), has_key);
}

TEST(resource_api, a_key_stays_withdrawn_and_otherwise_unchanged) {
  config_cluster in(1);
  start_cluster(in);
  ASSERT_TRUE(await_answer(in, "b3", in.put("b3", key(true)))->json.has_value());
  EXPECT_FALSE(await_answer(in, "z3", in.put("z3", key(false)))->json.has_value());
  resource other = key(true);
  std::get<key_spec>(other.spec).secret_sha256 = std::string(64, 'c');
  EXPECT_FALSE(await_answer(in, "b3", in.put("b3", other))->json.has_value());
  resource copy = key(false);
  copy.name = "copy";
  EXPECT_FALSE(await_answer(in, "b3", in.put("b3", copy))->json.has_value());
  resource_request remove;
  remove.verb = resource_verb::remove;
  remove.kind = resource_kind::key;
  remove.name = "k";
  EXPECT_FALSE(await_answer(in, remove)->json.has_value());
}

TEST(resource_api, a_list_is_changed_atomically) {
  config_cluster in(1);
  start_cluster(in);
  resource_request what;
  what.verb = resource_verb::put;
  what.resources = {team("a", 1), {"o", {}, offer_spec{.model = model_id{"none"}}}};
  const auto* answer = await_answer(in, what);
  ASSERT_FALSE(answer->json.has_value());
  EXPECT_NE(answer->json.error().message.find("model 'none'"), std::string::npos);
  EXPECT_FALSE(in.store.get("cfg/team/a").has_value());
}

TEST(resource_api, only_operator_keys_are_authorized) {
  config_cluster in(1);
  start_cluster(in);
  resource_request what;
  what.verb = resource_verb::list;
  what.request = request_id{77};
  action_list out;
  const auto code_for = [&](const std::string& digest) {
    what.secret_sha256 = digest;
    out.clear();
    in.at("b3").api->step(in.clock.now(), what, out);
    const auto& json = std::get<resource_response>(out.front()).json;
    return json ? std::optional<error_code>{} : std::optional{json.error().code};
  };
  EXPECT_EQ(code_for(""), error_code::unauthenticated);
  EXPECT_EQ(code_for("x"), error_code::unauthenticated);
  EXPECT_EQ(code_for(secret_digest), error_code::permission_denied);
  EXPECT_EQ(code_for(operator_digest()), std::nullopt);
  const resource root{"root", {}, key_spec{{}, key_role::operators, std::string(64, 'd'), false}};
  ASSERT_TRUE(await_answer(in, "b3", in.put("b3", root))->json.has_value());
  EXPECT_EQ(code_for(operator_digest()), error_code::unauthenticated);
  EXPECT_EQ(code_for(std::string(64, 'd')), std::nullopt);
}

TEST(resource_api, a_watch_sends_the_current_state_and_changes) {
  config_cluster in(1);
  start_cluster(in);
  resource_request what;
  what.verb = resource_verb::watch;
  what.kind = resource_kind::team;
  const auto id = in.request("b3", what);
  ASSERT_NE(in.answer("b3", id), nullptr);
  EXPECT_NE(in.answer("b3", id)->json->find("\"thun\""), std::string::npos);
  EXPECT_FALSE(in.answer("b3", id)->last);
  in.put("z3", team("tumen", 4));
  in.run(seconds{1});
  EXPECT_NE(in.answer("b3", id)->json->find("\"tumen\""), std::string::npos);
  in.run(seconds{6});
  EXPECT_NE(in.answer("b3", id)->json->find("progress"), std::string::npos);
}

} // namespace
} // namespace nutmegspur::testing
