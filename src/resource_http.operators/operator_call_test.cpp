// Parsing and validation of calls of the operators' API.
#include "operator_call.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace nutmegspur::operators {
namespace {

operator_call
call(const std::string& method, const QString& path, const QByteArray& body = {}) {
  operator_call out;
  out.method = method;
  out.path = path;
  out.authorization = "Bearer abc";
  out.body = body;
  return out;
}

TEST(operator_call, parses_each_endpoint) {
  EXPECT_EQ(parse_call(call("GET", "/api/v1/status"))->request.verb, resource_verb::status);
  EXPECT_EQ(parse_call(call("GET", "/api/v1/watch"))->request.verb, resource_verb::watch);
  EXPECT_EQ(parse_call(call("GET", "/api/v1/team"))->request.verb, resource_verb::list);
  const auto got = parse_call(call("GET", "/api/v1/teams/thun"));
  EXPECT_EQ(got->request.verb, resource_verb::get);
  EXPECT_EQ(got->request.kind, resource_kind::team);
  EXPECT_EQ(got->request.name, "thun");
  EXPECT_EQ(got->request.secret_sha256, sha256_hex("abc"));
  EXPECT_EQ(parse_call(call("DELETE", "/api/v1/team/thun"))->request.verb, resource_verb::remove);
}

TEST(operator_call, put_requires_the_resource_that_the_path_names) {
  const QByteArray body = R"({"kind":"team","name":"thun","spec":{"weight":2}})";
  auto it = call("PUT", "/api/v1/team/thun", body);
  it.if_match = "\"17\"";
  const auto read = parse_call(it);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->request.if_revision, revision{17});
  EXPECT_FALSE(parse_call(call("PUT", "/api/v1/team/other", body)).has_value());
  EXPECT_FALSE(parse_call(call("PUT", "/api/v1/model/thun", body)).has_value());
  it.if_match = "x";
  EXPECT_FALSE(parse_call(it).has_value());
  it.if_match = {};
  it.if_none_match = "*";
  EXPECT_EQ(parse_call(it)->request.if_revision, revision{});
}

TEST(operator_call, apply_accepts_a_list_or_one_resource_and_names_the_invalid_item) {
  const QByteArray one = R"({"kind":"team","name":"a","spec":{}})";
  EXPECT_EQ(parse_call(call("POST", "/api/v1/apply", one))->request.resources.size(), 1U);
  EXPECT_EQ(parse_call(call("POST", "/api/v1/apply", "[" + one + "]"))->request.resources.size(),
            1U);
  const auto bad = parse_call(
      call("POST", "/api/v1/apply", "[" + one + R"(,{"kind":"team","name":"b","spec":{"w":1}}])"));
  ASSERT_FALSE(bad.has_value());
  EXPECT_NE(bad.error().message.find("item 2"), std::string::npos);
  EXPECT_NE(bad.error().message.find("'w'"), std::string::npos);
}

TEST(operator_call, invalid_bodies_are_rejected) {
  for (const QByteArray it : {"", "[", "[]", "3", "[3]", "{}", "\"x\"", "null"}) {
    const auto read = parse_call(call("POST", "/api/v1/apply", it));
    ASSERT_FALSE(read.has_value()) << it.toStdString();
    EXPECT_EQ(read.error().code, error_code::invalid_argument) << it.toStdString();
  }
}

TEST(operator_call, unknown_endpoints_and_methods_are_not_found) {
  for (const auto& it : {call("GET", "/"), call("GET", "/api/v1/nothing"),
                         call("POST", "/api/v1/team"), call("PATCH", "/api/v1/team/a")}) {
    const auto read = parse_call(it);
    ASSERT_FALSE(read.has_value()) << it.path.toStdString();
    EXPECT_EQ(read.error().code, error_code::not_found) << it.path.toStdString();
  }
  EXPECT_FALSE(parse_call(call("GET", "/api/v1/team/a b")).has_value());
}

TEST(operator_call, an_issued_key_keeps_only_the_digest) {
  const auto read = parse_call(call("POST", "/api/v1/keys:issue", R"({"name":"k","team":"thun"})"));
  ASSERT_TRUE(read.has_value());
  const auto& key = std::get<key_spec>(read->request.resources.front().spec);
  EXPECT_EQ(key.secret_sha256, sha256_hex(read->new_secret));
  EXPECT_EQ(spec_json(key).find(read->new_secret), std::string::npos);
  const std::string shown =
      with_secret(resource_json(read->request.resources.front()), read->new_secret);
  EXPECT_NE(shown.find(read->new_secret), std::string::npos);
  EXPECT_FALSE(parse_call(call("POST", "/api/v1/keys:issue", R"({"name":"k"})")).has_value());
  EXPECT_FALSE(
      parse_call(call("POST", "/api/v1/keys:issue", R"({"name":"k","team":"t","secret":"mine"})"))
          .has_value());
}

TEST(operator_call, secrets_have_256_bits_and_differ) {
  std::set<std::string> secrets;
  for (int n = 0; n < 100; ++n) {
    secrets.insert(generate_secret());
  }
  EXPECT_EQ(secrets.size(), 100U);
  EXPECT_EQ(secrets.begin()->size(), 4U + 64U);
}

RC_GTEST_PROP(operator_call, any_body_is_parsed_or_rejected, (const std::string& text)) {
  const auto read = parse_call(call("POST", "/api/v1/apply", QByteArray::fromStdString(text)));
  RC_ASSERT(read.has_value() || read.error().code == error_code::invalid_argument);
}

} // namespace
} // namespace nutmegspur::operators
