// Tests of the settings: every row of the table is assigned to a member, and every invalid value
// gives an error that names it.
#include <nutmegspur/settings.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

std::vector<given_setting>
required() {
  return {{"instance", "e1", "flag"},
          {"zone", "bern-1", "flag"},
          {"region", "bern", "flag"},
          {"peer-secret", "0123456789abcdef", "NUTMEGSPUR_PEER_SECRET"}};
}

result<settings>
parse_with(const given_setting& more) {
  auto given = required();
  given.push_back(more);
  return parse_settings(given);
}

TEST(settings, required_settings_are_sufficient) {
  const auto parsed = parse_settings(required());
  ASSERT_TRUE(parsed.has_value()) << parsed.error().message;
  EXPECT_EQ(parsed->zone.value, "bern-1");
}

TEST(settings, a_missing_required_setting_is_named_with_its_environment_variable) {
  for (std::size_t i = 0; i < required().size(); ++i) {
    auto given = required();
    const std::string flag = given[i].flag;
    given.erase(given.begin() + static_cast<std::ptrdiff_t>(i));
    const auto parsed = parse_settings(given);
    ASSERT_FALSE(parsed.has_value());
    EXPECT_NE(parsed.error().message.find("--" + flag), std::string::npos);
    EXPECT_NE(parsed.error().message.find(environment_name(flag)), std::string::npos);
  }
}

TEST(settings, an_invalid_value_is_named_with_the_accepted_values) {
  const std::vector<given_setting> bad{
      {"caller-port", "0", "flag"},      {"caller-port", "70000", "flag"},
      {"caller-port", "80x", "flag"},    {"bind-address", "localhost", "flag"},
      {"lease-ttl", "-1", "flag"},       {"log-level", "loud", "flag"},
      {"instance", "two words", "flag"}, {"bootstrap-operator-key-sha256", "AB", "flag"},
      {"max-body-bytes", "1e6", "flag"},
  };
  for (const auto& it : bad) {
    const auto parsed = parse_with(it);
    ASSERT_FALSE(parsed.has_value()) << it.flag << ' ' << it.value;
    EXPECT_NE(parsed.error().message.find("--" + it.flag), std::string::npos);
    EXPECT_NE(parsed.error().message.find(it.value), std::string::npos);
    EXPECT_NE(parsed.error().message.find("; expected "), std::string::npos);
  }
}

TEST(settings, an_invalid_secret_is_not_shown) {
  const auto parsed = parse_with({"peer-secret", "too-short", "flag"});
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(parsed.error().message.find("too-short"), std::string::npos);
}

TEST(settings, defaults_are_available_as_text_and_are_accepted) {
  EXPECT_EQ(default_value("caller-port"), "8080");
  EXPECT_EQ(default_value("lease-ttl"), "10");
  EXPECT_EQ(default_value("balancer-lag"), "2000");
  EXPECT_EQ(default_value("instance"), "");
  EXPECT_EQ(default_value("colour"), "");
  for (const auto& info : settings_table()) {
    const std::string value = default_value(info.flag);
    if (!value.empty()) {
      EXPECT_TRUE(parse_with({std::string{info.flag}, value, "flag"}).has_value()) << info.flag;
    }
  }
}

TEST(settings, unknown_settings_and_equal_ports_are_rejected) {
  EXPECT_FALSE(parse_with({"colour", "red", "flag"}).has_value());
  EXPECT_FALSE(parse_with({"operator-port", "8080", "flag"}).has_value());
}

TEST(settings, values_are_assigned_to_the_members_of_their_rows) {
  const auto parsed = parse_with({"peer-port", "9100", "flag"});
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->peer_port, 9100);
  EXPECT_EQ(parse_with({"balancer-lag", "1500", "flag"})->balancer_lag, milliseconds{1500});
  EXPECT_EQ(parse_with({"lease-ttl", "15", "flag"})->lease_ttl, seconds{15});
  EXPECT_EQ(parse_with({"log-directory", "logs", "flag"})->log_directory, "logs");
  EXPECT_EQ(parse_with({"max-in-flight", "77", "flag"})->max_in_flight, 77U);
}

TEST(settings, every_row_of_the_table_accepts_a_valid_value) {
  for (const auto& info : settings_table()) {
    std::string value = "x1";
    switch (info.type) {
    case setting_type::ip_address:
      value = "10.0.0.9";
      break;
    case setting_type::sha256:
      value = std::string(64, 'a');
      break;
    case setting_type::secret:
      value = "another-secret-value";
      break;
    case setting_type::text:
      value = info.flag == "log-level" ? "error" : "x1";
      break;
    default:
      value = std::to_string(std::max<std::int64_t>(info.min_value, 7));
    }
    const auto parsed = parse_with({std::string{info.flag}, value, "flag"});
    ASSERT_TRUE(parsed.has_value()) << info.flag << ": " << parsed.error().message;
  }
}

} // namespace
} // namespace nutmegspur
