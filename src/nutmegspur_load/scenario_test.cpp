/// \file scenario_test.cpp
/// Guards against scenario files that do not parse, errors that do not name the offending field,
/// and a workload that does not follow its seed, rate and shares.

#include "scenario.h"
#include "workload.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace nutmegspur::load {

namespace {

constexpr const char* small = R"({"name":"small","duration_s":30,
  "zones":[{"name":"z1","region":"r1","entries":1,"engines":2}],
  "teams":[{"name":"a"},{"name":"b","share":3}],
  "classes":[{"name":"q","priority":"interactive","deadline_ms":5000,"prompt":[100,200],
              "output":[10,20]}],
  "phases":[{"until_s":30,"requests_per_second":10,"mix":[{"class":"q"}]}]})";

std::string
read_file(const std::filesystem::path& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string
error_of(std::string json, const std::string& from, const std::string& to) {
  json.replace(json.find(from), from.size(), to);
  const auto parsed = parse_scenario(json);
  return parsed ? "" : parsed.error().message;
}

} // namespace

TEST(scenario, every_file_of_the_project_is_valid) {
  std::size_t n = 0;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_DIR)) {
    const auto parsed = parse_scenario(read_file(entry.path()));
    ASSERT_TRUE(parsed) << entry.path() << ": " << parsed.error().message;
    EXPECT_EQ(parsed->name, entry.path().stem().string());
    n += 1;
  }
  EXPECT_GE(n, 14U);
}

TEST(scenario, errors_name_the_field) {
  EXPECT_NE(error_of(small, "\"deadline_ms\":5000", "\"deadline_ms\":\"x\"")
                .find("classes[0].deadline_ms"),
            std::string::npos);
  EXPECT_NE(error_of(small, "\"share\":3", "\"shore\":3").find("teams[1].shore"),
            std::string::npos);
  EXPECT_NE(error_of(small, "{\"class\":\"q\"}", "{\"class\":\"x\"}").find("'x'"),
            std::string::npos);
  EXPECT_NE(error_of(small, "[10,20]", "[20,10]").find("classes[0].output"), std::string::npos);
  EXPECT_NE(error_of(small, "interactive", "urgent").find("classes[0].priority"),
            std::string::npos);
}

TEST(workload, follows_seed_rate_and_shares) {
  const auto in = parse_scenario(small);
  ASSERT_TRUE(in);
  const auto one = plan_workload(*in);
  const auto two = plan_workload(*in);
  ASSERT_EQ(one.size(), two.size());
  EXPECT_NEAR(static_cast<double>(one.size()), 300, 80);
  std::size_t from_team_b = 0;
  for (std::size_t i = 0; i < one.size(); ++i) {
    EXPECT_EQ(one[i].at, two[i].at);
    from_team_b += one[i].team;
  }
  EXPECT_GT(from_team_b, one.size() / 2);
}

} // namespace nutmegspur::load
