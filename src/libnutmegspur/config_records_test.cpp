// The JSON form of configuration resources round-trips, and errors name the field. Snapshots answer
// look-ups of keys, offers, routes, drains and upstreams.
// labels: P14
#include <nutmegspur/config.h>
#include <nutmegspur/records.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace nutmegspur {
namespace {

rc::Gen<std::string>
any_name() {
  return rc::gen::resize(20, rc::gen::nonEmpty(rc::gen::container<std::string>(
                                 rc::gen::elementOf(std::string("abcxyz0189._-")))));
}

rc::Gen<std::uint32_t>
any_u32(std::uint32_t least) {
  return rc::gen::map(rc::gen::arbitrary<std::uint32_t>(),
                      [least](std::uint32_t n) { return std::max(n, least); });
}

template <class Id>
std::vector<Id>
some_ids() {
  std::vector<Id> out;
  for (const auto& it : *rc::gen::unique<std::vector<std::string>>(any_name())) {
    out.emplace_back(it);
  }
  return out;
}

std::string
some_digest() {
  return *rc::gen::container<std::string>(64, rc::gen::elementOf(std::string("0123456789abcdef")));
}

key_spec
some_key() {
  key_spec out;
  out.role = *rc::gen::element(key_role::caller, key_role::operators);
  out.team = team_id{out.role == key_role::caller ? *any_name() : std::string{}};
  out.secret_sha256 = some_digest();
  out.withdrawn = *rc::gen::arbitrary<bool>();
  return out;
}

team_spec
some_team() {
  team_spec out{*any_u32(1), *any_u32(0), {}};
  if (*rc::gen::arbitrary<bool>()) {
    out.stale_key_limit = seconds{*rc::gen::inRange(0, 100'000)};
  }
  return out;
}

resource_spec
some_spec(resource_kind kind) {
  const auto flag = rc::gen::arbitrary<bool>();
  switch (kind) {
  case resource_kind::team:
    return some_team();
  case resource_kind::key:
    return some_key();
  case resource_kind::model:
    return model_spec{*any_name(), *any_u32(1), *any_u32(0), *any_u32(0)};
  case resource_kind::adapter:
    return adapter_spec{model_id{*any_name()}, *any_name()};
  case resource_kind::version:
    return version_spec{model_id{*any_name()}, *any_name(), *any_u32(0) * std::uint64_t{4096}};
  case resource_kind::offer:
    return offer_spec{model_id{*any_name()}, some_ids<team_id>(), *flag, some_ids<zone_id>()};
  case resource_kind::route:
    return route_spec{service_id{*any_name()},
                      "/" + *any_name(),
                      *flag,
                      *flag,
                      some_ids<team_id>(),
                      milliseconds{*rc::gen::inRange(1, 3'600'000)}};
  case resource_kind::drain:
    return drain_spec{upstream_id{*any_name()}, *any_name()};
  case resource_kind::upstream:
    break;
  }
  return upstream_spec{*flag, *flag, *any_u32(0)};
}

resource_kind
some_kind() {
  return enum_names<resource_kind>::table[*rc::gen::inRange<std::size_t>(0, 9)].value;
}

RC_GTEST_PROP(config_records, resources_round_trip, ()) {
  const resource it{*any_name(),
                    {*rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 53)},
                    some_spec(some_kind())};
  const auto back = parse_resource(resource_json(it));
  RC_ASSERT(back.has_value());
  RC_ASSERT(*back == it);
}

RC_GTEST_PROP(config_records, specs_round_trip, ()) {
  const resource_kind kind = some_kind();
  const resource_spec spec = some_spec(kind);
  RC_ASSERT(kind_of(spec) == kind);
  const auto back = parse_spec(kind, spec_json(spec));
  RC_ASSERT(back.has_value());
  RC_ASSERT(*back == spec);
}

RC_GTEST_PROP(config_records, store_keys_round_trip, ()) {
  const resource_kind kind = some_kind();
  const std::string name = *any_name();
  const auto parts = parse_config_key(config_key(kind, name));
  RC_ASSERT(parts.has_value());
  RC_ASSERT(parts->kind == kind);
  RC_ASSERT(parts->name == name);
}

RC_GTEST_PROP(config_records, an_unknown_field_is_named_in_the_error, ()) {
  const resource_kind kind = some_kind();
  std::string json = spec_json(some_spec(kind));
  json.insert(1, R"("zz_extra":1,)");
  const auto parsed = parse_spec(kind, json);
  RC_ASSERT(!parsed.has_value());
  RC_ASSERT(parsed.error().message.find("'zz_extra'") != std::string::npos);
}

RC_GTEST_PROP(config_records, any_text_is_parsed_or_rejected, (const std::string& text)) {
  const auto parsed = parse_resource(text);
  RC_ASSERT(parsed.has_value() || parsed.error().code == error_code::invalid_argument);
}

struct bad_spec {
  resource_kind kind;
  std::string json;
  std::string named; ///< What the message must contain.
};

TEST(config_records, the_error_for_a_bad_value_names_the_field) {
  const std::vector<bad_spec> cases{
      {resource_kind::team, R"({"weight":0})", "'weight'"},
      {resource_kind::team, R"({"weight":1.5})", "'weight'"},
      {resource_kind::team, R"({"weight":"1"})", "'weight'"},
      {resource_kind::team, R"({"stale_key_limit_s":-1})", "'stale_key_limit_s'"},
      {resource_kind::key, R"({"team":"a"})", "'secret_sha256'"},
      {resource_kind::key, R"({"team":"a","secret_sha256":"AB"})", "'secret_sha256'"},
      {resource_kind::key, R"({"team":"a","secret":"x"})", "'secret_sha256'"},
      {resource_kind::key, R"({"team":"a","role":"root"})", "'role'"},
      {resource_kind::model, R"({"context_tokens":0})", "'context_tokens'"},
      {resource_kind::adapter, R"({"weights":"w"})", "'model'"},
      {resource_kind::version, R"({"model":"m","weights":"w","bytes":1e300})", "'bytes'"},
      {resource_kind::offer, R"({"model":"m","teams":["a","a"]})", "'teams'"},
      {resource_kind::offer, R"({"model":"m","zones":"z"})", "'zones'"},
      {resource_kind::route, R"({"service":"s","path_prefix":"pay"})", "'path_prefix'"},
      {resource_kind::route, R"({"service":"s","timeout_ms":0})", "'timeout_ms'"},
      {resource_kind::drain, R"({"upstream":"A B"})", "'upstream'"},
      {resource_kind::upstream, R"({"checks_fence":1})", "'checks_fence'"},
      {resource_kind::upstream, R"([])", "object"},
      {resource_kind::upstream, R"({)", "not JSON"},
  };
  for (const auto& it : cases) {
    const auto parsed = parse_spec(it.kind, it.json);
    ASSERT_FALSE(parsed.has_value()) << it.json;
    EXPECT_NE(parsed.error().message.find(it.named), std::string::npos)
        << it.json << " gave " << parsed.error().message;
  }
}

TEST(config_records, invalid_names_and_keys_are_rejected) {
  for (const std::string it : {"", "A", "a/b", "a b", "ü"}) {
    EXPECT_FALSE(check_resource_name(it).has_value()) << it;
  }
  EXPECT_FALSE(check_resource_name(std::string(129, 'a')).has_value());
  EXPECT_TRUE(check_resource_name(std::string(128, 'a')).has_value());
  EXPECT_FALSE(parse_config_key("cfg/team/").has_value());
  EXPECT_FALSE(parse_config_key("cfg/nothing/a").has_value());
  EXPECT_FALSE(parse_config_key("lease/zone/a").has_value());
}

// -----------------------------------------------------------------------------------------------
// Snapshots

resource
key_resource(const std::string& name, bool withdrawn) {
  return {name, {1}, key_spec{team_id{"t"}, key_role::caller, std::string(64, 'a'), withdrawn}};
}

TEST(config_snapshot, a_copy_of_a_withdrawn_key_stays_withdrawn) {
  config_snapshot in;
  in.put(key_resource("b", true));
  in.put(key_resource("a", false));
  ASSERT_NE(in.key(std::string(64, 'a')), nullptr);
  EXPECT_TRUE(in.key(std::string(64, 'a'))->spec.withdrawn);
  in.remove(resource_kind::key, "b");
  EXPECT_EQ(in.key(std::string(64, 'a'))->id.value, "a");
  in.remove(resource_kind::key, "a");
  EXPECT_EQ(in.key(std::string(64, 'a')), nullptr);
}

TEST(config_snapshot, an_offer_must_match_team_model_and_zone) {
  config_snapshot in;
  in.put({"o", {1}, offer_spec{model_id{"m"}, {team_id{"a"}}, false, {zone_id{"z"}}}});
  in.put({"p", {1}, offer_spec{model_id{"open"}, {}, true, {}}});
  EXPECT_TRUE(in.offered(team_id{"a"}, model_id{"m"}, zone_id{"z"}));
  EXPECT_FALSE(in.offered(team_id{"b"}, model_id{"m"}, zone_id{"z"}));
  EXPECT_FALSE(in.offered(team_id{"a"}, model_id{"n"}, zone_id{"z"}));
  EXPECT_FALSE(in.offered(team_id{"a"}, model_id{"m"}, zone_id{"y"}));
  EXPECT_FALSE(in.offered(team_id{}, model_id{"m"}, zone_id{"z"}));
  EXPECT_TRUE(in.offered(team_id{}, model_id{"open"}, zone_id{"y"}));
}

TEST(config_snapshot, the_longest_prefix_of_whole_segments_wins) {
  config_snapshot in;
  in.put(
      {"all", {1}, route_spec{.service = service_id{"s"}, .path_prefix = "/", .repeatable = true}});
  in.put({"pay", {1}, route_spec{.service = service_id{"s"}, .path_prefix = "/pay"}});
  EXPECT_FALSE(in.route(service_id{"s"}, "/pay/1")->repeatable);
  EXPECT_FALSE(in.route(service_id{"s"}, "/pay")->repeatable);
  EXPECT_TRUE(in.route(service_id{"s"}, "/payroll")->repeatable);
  EXPECT_EQ(in.route(service_id{"t"}, "/pay"), nullptr);
  for (const std::string it : {"/x/../pay", "/x/%2e%2E/pay", "/x/.", "/x/.%2e"}) {
    EXPECT_EQ(in.route(service_id{"s"}, it), nullptr) << it;
  }
  EXPECT_NE(in.route(service_id{"s"}, "/x/..y/.z"), nullptr);
}

TEST(config_snapshot, drains_and_upstream_settings_are_found) {
  config_snapshot in;
  in.put({"d", {1}, drain_spec{upstream_id{"e1"}, ""}});
  in.put({"e1", {1}, upstream_spec{true, false, 5}});
  EXPECT_TRUE(in.drained(upstream_id{"e1"}));
  EXPECT_FALSE(in.drained(upstream_id{"e2"}));
  EXPECT_TRUE(in.upstream(upstream_id{"e1"}).checks_fence);
  EXPECT_EQ(in.upstream(upstream_id{"e2"}), upstream_spec{});
}

} // namespace
} // namespace nutmegspur
