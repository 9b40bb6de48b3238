// Request table: state and processor time over the number of open streams.
#include "slope.h"
#include "slopes.h"
#include "testing/request_harness.h"

namespace nutmegspur::bench {

namespace {

constexpr int chunks_per_stream = 20;

using nutmegspur::testing::request_harness;

struct stream_cost {
  double state_bytes = 0;
  double open_micros = 0;
  double chunk_micros = 0;
};

stream_cost
run_streams(int streams) {
  const double heap_before = heap_bytes();
  request_harness harness(1);
  const double cpu_before_open = cpu_seconds();
  for (int n = 0; n < streams; ++n) {
    harness.call_model(0, "key-a", chunks_per_stream);
  }
  stream_cost cost;
  cost.open_micros = 1e6 * (cpu_seconds() - cpu_before_open) / streams;
  cost.state_bytes = heap_bytes() - heap_before;
  const double cpu_before_chunks = cpu_seconds();
  const auto open = harness.open;
  for (std::uint64_t n = 0; n < chunks_per_stream; ++n) {
    for (const auto& it : open) {
      harness.feed(0, attempt_chunk{it.what.attempt, n, 1, request_harness::token(n)});
    }
  }
  cost.chunk_micros = 1e6 * (cpu_seconds() - cpu_before_chunks) /
                      (static_cast<double>(open.size()) * chunks_per_stream);
  return cost;
}

} // namespace

void
measure_streams() {
  std::vector<point> state;
  std::vector<point> open;
  std::vector<point> chunk;
  for (const int streams : {32, 64, 128, 256, 512}) {
    const stream_cost cost = run_streams(streams);
    const auto x = static_cast<double>(streams);
    state.push_back({x, cost.state_bytes});
    open.push_back({x, cost.open_micros});
    chunk.push_back({x, cost.chunk_micros});
  }
  print_slope("state of streams", "bytes, test harness included", "open streams", state);
  print_slope("request admitted and placed", "us", "open streams", open);
  print_slope("chunk forwarded", "us", "open streams", chunk);
}

} // namespace nutmegspur::bench
