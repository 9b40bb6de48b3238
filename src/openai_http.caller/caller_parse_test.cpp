// Parsing of valid and invalid requests, and rejection of keys outside the Authorization header.
#include "caller_parse.h"

#include <gtest/gtest.h>

namespace nutmegspur::openai_http {
namespace {

const time_point arrival{seconds{1000}};
const std::string secret = "sk-0123456789abcdef";

raw_request
chat(const char* body) {
  raw_request raw;
  raw.method = "POST";
  raw.url = QUrl{QStringLiteral("/v1/chat/completions")};
  raw.headers = {{"authorization", "Bearer " + secret}};
  raw.body = body;
  return raw;
}

raw_request
service(const QString& url) {
  raw_request raw = chat("{}");
  raw.url = QUrl{url};
  return raw;
}

result<parsed_request>
parse(const raw_request& raw) {
  return parse_request(raw, request_id{1}, settings{}, arrival);
}

const char* const valid_body =
    R"({"model":"m","messages":[{"role":"user","content":"hello"}],"stream":true,)"
    R"("priority":9,"x_resume_from":5,"max_tokens":7})";

TEST(caller_parse, parses_a_chat_request) {
  const auto it = parse(chat(valid_body));
  ASSERT_TRUE(it.has_value());
  const auto& call = std::get<inference_call>(it->arrived.call);
  EXPECT_EQ(call.model.value, "m");
  EXPECT_EQ(call.max_tokens, 7U);
  EXPECT_TRUE(it->stream);
  EXPECT_EQ(it->arrived.secret_sha256.size(), 64U);
  EXPECT_EQ(it->arrived.body->find("priority"), std::string::npos);
  EXPECT_EQ(it->arrived.body->find("x_resume_from"), std::string::npos);
  EXPECT_NE(it->arrived.body->find("\"include_usage\":true"), std::string::npos);
}

TEST(caller_parse, reports_invalid_bodies) {
  for (const char* body :
       {"", "[", "[]", "{}", R"({"model":"m"})", R"({"model":7,"messages":[]})",
        R"({"model":"m","messages":[{"role":"user"}]})",
        R"({"model":"m","messages":[{"role":"user","content":"x"}],"n":2})",
        R"({"model":"m","messages":[{"role":"user","content":"x"}],"tools":[1]})",
        R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":0})",
        R"({"model":"m","messages":[{"role":"user","content":"x"}],"stream":"yes"})"}) {
    const auto it = parse(chat(body));
    ASSERT_FALSE(it.has_value()) << body;
    EXPECT_EQ(it.error().code, error_code::invalid_argument) << body;
    EXPECT_EQ(it.error().ran, outcome::not_run);
    EXPECT_FALSE(it.error().message.empty());
  }
}

TEST(caller_parse, validates_headers) {
  raw_request raw = chat(valid_body);
  raw.headers.push_back({"x-deadline-ms", "0"});
  EXPECT_FALSE(parse(raw).has_value());
  raw.headers.back() = {"x-request-class", "urgent"};
  EXPECT_FALSE(parse(raw).has_value());
  raw.headers.back() = {"x-deadline-ms", "1500"};
  EXPECT_EQ(parse(raw)->arrived.deadline, arrival + milliseconds{1500});
  raw.headers.front().value = "Basic abc";
  EXPECT_EQ(parse(raw).error().code, error_code::unauthenticated);
}

TEST(caller_parse, does_not_forward_the_key) {
  const auto clean = parse(service("/services/pay/charge?amount=3"));
  ASSERT_TRUE(clean.has_value());
  for (const auto& field : std::get<service_call>(clean->arrived.call).headers) {
    EXPECT_EQ(field.value.find(secret), std::string::npos);
  }
  EXPECT_FALSE(parse(service("/services/pay/charge?key=" + QString::fromStdString(secret))));
  raw_request in_body = service("/services/pay/charge");
  in_body.body = QByteArray::fromStdString("{\"k\":\"" + secret + "\"}");
  EXPECT_FALSE(parse(in_body).has_value());
  raw_request in_header = service("/services/pay/charge");
  in_header.headers.push_back({"accept", secret});
  EXPECT_FALSE(parse(in_header).has_value());
}

TEST(caller_parse, rejects_paths_that_escape_their_prefix) {
  for (const char* url : {"/services/pay/../admin", "/services/pay/%2e%2e/admin",
                          "/services/pay/a%2Fb", "/services/"}) {
    EXPECT_FALSE(parse(service(QString::fromLatin1(url))).has_value()) << url;
  }
}

} // namespace
} // namespace nutmegspur::openai_http
