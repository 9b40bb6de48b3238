// Which requests a stopping instance still takes. Guards against requests that are taken and then
// cut when the process ends, and against refusing more than that needs.
// labels: P13
#include <nutmegspur/stop_window.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

constexpr milliseconds exit_margin{900};

/// Whether a request is taken whose first byte arrives `first` after the signal, and whose attempt
/// would start at `start`, with `deadline` from its start on.
bool
taken(milliseconds limit, milliseconds first, milliseconds start, milliseconds deadline) {
  const manual_clock clock;
  const moment signal = clock.now();
  const stop_window stop = begin_stop(signal, limit, exit_margin);
  return may_start(stop, signal.after(start),
                   {signal.boot + first, signal.boot + start + deadline});
}

struct row {
  milliseconds limit;
  milliseconds first;
  milliseconds start;
  milliseconds deadline;
  bool taken;
};

TEST(stop_window, takes_what_fits_or_came_before_the_balancer_could_know) {
  using ms = milliseconds;
  const std::vector<row> rows{
      {ms{8'000}, ms{0}, ms{0}, ms{8'000}, true},
      {ms{8'000}, ms{2'700}, ms{2'700}, ms{8'000}, true},
      {ms{8'000}, ms{2'700}, ms{2'950}, ms{8'000}, true}, // Its last byte was late.
      {ms{8'000}, ms{2'710}, ms{2'710}, ms{8'000}, false},
      {ms{8'000}, ms{3'000}, ms{3'000}, ms{8'000}, false},
      {ms{8'000}, ms{3'080}, ms{3'080}, ms{8'000}, false},
      {ms{8'000}, ms{3'080}, ms{3'080}, ms{3'920}, true}, // Done by 7.0 s of 7.1 s.
      {ms{8'000}, ms{3'080}, ms{3'080}, ms{3'921}, false},
      {ms{8'000}, ms{5'000}, ms{5'000}, ms{1'000}, true},
      {ms{8'000}, ms{1'000}, ms{5'000}, ms{4'000}, false}, // It waited for an upstream.
      {ms{8'000}, ms{1'000}, ms{5'000}, ms{2'000}, true},
      {ms{8'000}, ms{1'000}, ms{3'100}, ms{8'000}, true},
      {ms{8'000}, ms{1'000}, ms{3'101}, ms{8'000}, false},
      {ms{20'000}, ms{2'700}, ms{9'100}, ms{30'000}, true},
      {ms{20'000}, ms{2'701}, ms{2'701}, ms{30'000}, false},
      {ms{20'000}, ms{2'701}, ms{2'701}, ms{8'000}, true},
      {ms{4'000}, ms{1'100}, ms{1'100}, ms{8'000}, true},
      {ms{4'000}, ms{1'101}, ms{1'101}, ms{8'000}, false},
      {ms{4'000}, ms{2'000}, ms{2'000}, ms{1'000}, true},
      {ms{3'000}, ms{600}, ms{600}, ms{8'000}, true},
      {ms{3'000}, ms{700}, ms{700}, ms{8'000}, false},
      {ms{500}, ms{0}, ms{0}, ms{8'000}, false}, // The exit takes all of it.
  };
  for (const auto& it : rows) {
    EXPECT_EQ(taken(it.limit, it.first, it.start, it.deadline), it.taken)
        << it.limit.count() << " ms of grace, first byte " << it.first.count() << ", start "
        << it.start.count() << ", deadline after " << it.deadline.count();
  }
}

// After the balancer has noticed, whatever is taken ends before the process does.
TEST(stop_window, what_is_taken_after_the_notice_ends_in_time) {
  const manual_clock clock;
  const moment signal = clock.now();
  for (const std::int64_t limit : {1'000, 3'000, 4'000, 8'000, 20'000, 60'000}) {
    const stop_window stop = begin_stop(signal, milliseconds{limit}, exit_margin);
    for (milliseconds start{0}; start.count() <= limit; start += milliseconds{50}) {
      for (milliseconds left{0}; left.count() <= limit; left += milliseconds{50}) {
        const unstarted_request late{signal.boot + balancer_notice + milliseconds{101},
                                     signal.boot + start + left};
        if (may_start(stop, signal.after(start), late)) {
          EXPECT_LT(late.deadline, stop.end);
        }
      }
    }
  }
}

} // namespace
} // namespace nutmegspur
