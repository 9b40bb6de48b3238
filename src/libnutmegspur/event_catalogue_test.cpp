// Checks that docs/events.md lists exactly the events of the catalogue in the code, and tests the
// format of log lines.
#include <nutmegspur/event_log.h>

#include <gtest/gtest.h>

#include <fstream>
#include <set>

namespace nutmegspur {
namespace {

std::vector<std::string>
rows_of_page() {
  std::ifstream page{std::string{NUTMEGSPUR_SOURCE_DIR} + "/docs/events.md"};
  std::vector<std::string> rows;
  std::string line;
  while (std::getline(page, line)) {
    if (line.rfind("| E", 0) == 0) {
      rows.push_back(line);
    }
  }
  return rows;
}

TEST(event_catalogue, page_equals_code) {
  std::vector<std::string> expected;
  for (const auto& it : log_catalogue()) {
    expected.push_back("| E" + std::to_string(static_cast<int>(it.number)) + " | `" +
                       std::string{it.name} + "` | " + std::string{to_name(it.level)} + " | " +
                       std::string{it.meaning} + " |");
  }
  EXPECT_EQ(rows_of_page(), expected);
}

TEST(event_catalogue, numbers_and_names_are_unique) {
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const auto& it : log_catalogue()) {
    EXPECT_TRUE(numbers.insert(static_cast<int>(it.number)).second) << it.name;
    EXPECT_TRUE(names.insert(it.name).second) << it.name;
  }
}

TEST(event_log, values_are_quoted_and_line_breaks_are_replaced) {
  const std::array<log_field, 2> fields{{{"message", "two words\nand \"more\""}, {"n", "7"}}};
  EXPECT_EQ(format_log_line(log_event::request_failed, fields),
            "E501 request_failed message=\"two words and \\\"more\\\"\" n=7");
}

} // namespace
} // namespace nutmegspur
