// Guards against a log that blocks the process or grows without bound when its reader stops, and
// against a flood of one event that displaces the lines of others.
#include "log_writer.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>

namespace nutmegspur::proxy {
namespace {

/// A pipe that is read only by read_some().
class log_writer_pipe : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(pipe(ends.data()), 0); }

  void TearDown() override {
    close(ends[0]);
    close(ends[1]);
  }

  std::string read_some() {
    std::string text(1UL << 20U, '\0');
    const auto n = ::read(ends[0], text.data(), text.size());
    text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return text;
  }

  std::array<int, 2> ends{};
};

wall_time
at(std::int64_t second, std::int64_t millis = 0) {
  return wall_time{seconds{second} + milliseconds{millis}};
}

TEST_F(log_writer_pipe, a_line_is_written_with_its_time) {
  log_writer writer{ends[1]};
  writer.add(at(7, 5), "E504 request_placed request=a");
  writer.flush();
  EXPECT_EQ(read_some(), "time_ms=7005 E504 request_placed request=a\n");
  EXPECT_TRUE(writer.take_dropped().empty());
}

TEST_F(log_writer_pipe, a_stopped_reader_neither_blocks_nor_exceeds_the_buffer) {
  log_writer writer{ends[1]};
  const std::string line = "E505 " + std::string(1'000, 'x');
  for (int second = 0; second < 10; ++second) {
    for (int n = 0; n < 200; ++n) {
      writer.add(at(second), line);
      writer.flush(); // Must not block although the pipe is full after 64 KB.
    }
  }
  const auto dropped = writer.take_dropped();
  ASSERT_TRUE(dropped.contains("E505"));
  // Of 2,000 lines of 1 KB, the buffer and the pipe hold 320.
  EXPECT_GT(dropped.at("E505"), 1'600U);
  EXPECT_TRUE(writer.take_dropped().empty());
}

TEST_F(log_writer_pipe, a_flood_of_one_event_does_not_drop_others) {
  log_writer writer{ends[1]};
  for (std::uint32_t n = 0; n < 3 * log_writer::max_lines_per_second; ++n) {
    writer.add(at(1), "E603 x");
  }
  writer.add(at(1), "E300 lease_taken");
  const auto dropped = writer.take_dropped();
  EXPECT_EQ(dropped.at("E603"), 2 * log_writer::max_lines_per_second);
  EXPECT_FALSE(dropped.contains("E300"));
  writer.add(at(2), "E603 x");
  EXPECT_TRUE(writer.take_dropped().empty());
}

} // namespace
} // namespace nutmegspur::proxy
