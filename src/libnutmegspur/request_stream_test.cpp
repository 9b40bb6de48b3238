// Guards against streams that reach the caller incomplete or out of order when chunks are lost,
// duplicated, reordered or late, and against a false report of whether the work ran.
// labels: P09 P10
#include "testing/request_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur::testing {
namespace {

/// An engine's side of one attempt.
struct engine_stream {
  open_attempt what;
  std::uint64_t next = 0; ///< Token to be sent next.
  bool reached_upstream = false;
};

/// One instance and engines that produce `total` tokens for a request.
class stream_harness {
 public:
  static constexpr std::uint64_t total = 12;

  request_harness harness{1};
  std::vector<engine_stream> streams;      ///< Open attempts.
  std::vector<attempt_id> closed_attempts; ///< Attempts that the instance has closed.

  /// Collects the attempts that the instance opened and cancelled since the last call.
  void collect() {
    for (const auto& id : harness.cancelled) {
      std::erase_if(streams, [&](const engine_stream& it) { return it.what.attempt == id; });
      closed_attempts.push_back(id);
    }
    harness.cancelled.clear();
    for (const auto& it : harness.open) {
      streams.push_back({it.what, it.what.resume_from});
    }
    harness.open.clear();
  }

  void send(const attempt_id& id, std::uint64_t offset) {
    harness.reached_upstream.insert({0, id.request});
    harness.feed(0, attempt_chunk{id, offset, 1, request_harness::token(offset)});
    collect();
  }

  /// Ends the stream: completed by its engine, or failed if `failure` is given.
  void end(std::size_t i, std::optional<error> failure) {
    const engine_stream it = streams[i];
    streams.erase(streams.begin() + static_cast<std::ptrdiff_t>(i));
    closed_attempts.push_back(it.what.attempt);
    if (!failure || failure->ran != outcome::not_run) {
      harness.reached_upstream.insert({0, it.what.attempt.request});
    }
    harness.feed(0, attempt_ended{it.what.attempt, std::move(failure), {4, 0, 0}, "stop", it.next});
    collect();
  }

  void fail_stream(std::size_t i, outcome ran) {
    end(i, error{error_code::upstream_failed, step::attempt_stream, "e", "broke", ran});
  }

  /// Runs without further faults until no request is live.
  void run_to_completion() {
    for (int round = 0; round < 200 && harness.table(0).live() > 0; ++round) {
      harness.pass(tick_period);
      collect();
      if (streams.empty()) {
        continue;
      }
      const std::size_t last = streams.size() - 1;
      if (streams[last].next < total) {
        send(streams[last].what.attempt, streams[last].next++);
      } else {
        end(last, {});
      }
    }
  }

  [[nodiscard]] std::string violated_guarantee() const {
    for (const auto& [handle, view] : harness.views()) {
      const std::string complete_text = request_harness::tokens(total);
      if (view.final_count > 1 || view.after_final) {
        return "more than one final response";
      }
      if (complete_text.compare(0, view.text.size(), view.text) != 0) {
        return "text is not a prefix of the complete response: " + view.text;
      }
      if (view.ended && view.text != complete_text) {
        return "incomplete response reported as complete: " + view.text;
      }
      if (view.refused && view.refused->ran == outcome::not_run &&
          harness.reached_upstream.count(handle) > 0) {
        return "not_run reported although a byte reached an upstream";
      }
    }
    return "";
  }
};

const request_handle&
only_request(const stream_harness& it) {
  return it.harness.views().begin()->first;
}

TEST(request_stream, resumes_at_another_upstream_after_the_delivered_tokens) {
  stream_harness it;
  it.harness.call_model(0);
  it.collect();
  const upstream_id first = it.streams[0].what.upstream;
  for (std::uint64_t i = 0; i < 5; ++i) {
    it.send(it.streams[0].what.attempt, i);
  }
  it.fail_stream(0, outcome::unknown);
  ASSERT_EQ(it.streams.size(), 1U);
  EXPECT_NE(it.streams[0].what.upstream, first);
  EXPECT_EQ(it.streams[0].what.resume_from, 5U);
  const auto& headers = it.streams[0].what.headers;
  EXPECT_NE(std::find(headers.begin(), headers.end(), header_field{"x-resume-from", "5"}),
            headers.end());
  it.streams[0].next = 5;
  it.run_to_completion();
  EXPECT_TRUE(it.harness.view(only_request(it)).ended);
  EXPECT_EQ(it.harness.view(only_request(it)).text, request_harness::tokens(stream_harness::total));
  ASSERT_EQ(it.harness.usage.size(), 1U);
  EXPECT_EQ(it.harness.usage[0].output_tokens, stream_harness::total);
}

TEST(request_stream, a_gap_is_never_delivered) {
  stream_harness it;
  it.harness.call_model(0);
  it.collect();
  const attempt_id id = it.streams[0].what.attempt;
  it.send(id, 0);
  it.send(id, 2);
  EXPECT_EQ(it.harness.view(only_request(it)).text, request_harness::tokens(1));
  it.streams[0].next = 3;
  it.end(0, {});
  EXPECT_FALSE(it.harness.view(only_request(it)).ended);
  ASSERT_EQ(it.streams.size(), 1U);
  EXPECT_EQ(it.streams[0].what.resume_from, 1U);
}

TEST(request_stream, buffers_a_bounded_number_of_out_of_order_chunks) {
  stream_harness it;
  it.harness.call_model(0);
  it.collect();
  const attempt_id id = it.streams[0].what.attempt;
  constexpr std::uint64_t more_than_buffered = 70;
  for (std::uint64_t i = 1; i < more_than_buffered; ++i) {
    it.send(id, i);
  }
  ASSERT_EQ(it.streams.size(), 1U);
  EXPECT_NE(it.streams[0].what.attempt, id)
      << "the attempt was not replaced when the buffer was full";
  EXPECT_EQ(it.harness.view(only_request(it)).text, "");
}

TEST(request_stream, fails_at_the_deadline_with_a_retry_after_time) {
  for (const bool started : {false, true}) {
    stream_harness it;
    it.harness.call_model(0);
    it.collect();
    if (started) {
      it.send(it.streams[0].what.attempt, 0);
    }
    it.harness.pass(seconds{31});
    it.collect();
    const observed_response& view = it.harness.view(only_request(it));
    ASSERT_TRUE(view.refused.has_value());
    EXPECT_EQ(view.refused->code, error_code::deadline_exceeded);
    EXPECT_EQ(view.refused->ran, outcome::unknown);
    EXPECT_TRUE(view.refused->retry_after.has_value());
    EXPECT_TRUE(it.streams.empty()) << "the engine's stream was not cancelled";
  }
}

TEST(request_stream, a_disconnected_caller_cancels_its_stream) {
  stream_harness it;
  const auto call = it.harness.call_model(0);
  it.collect();
  it.send(it.streams[0].what.attempt, 0);
  it.harness.feed(0, caller_disconnected{call.request});
  it.collect();
  EXPECT_TRUE(it.streams.empty());
  EXPECT_EQ(it.harness.table(0).live(), 0U);
  ASSERT_EQ(it.harness.usage.size(), 1U);
  EXPECT_EQ(it.harness.usage[0].output_tokens, 1U);
  for (const auto& [id, state] : it.harness.upstreams(0)) {
    EXPECT_EQ(state.own_in_flight, 0U);
    EXPECT_EQ(state.own_prompt_tokens, 0U);
  }
}

TEST(request_stream, retries_of_work_that_may_have_run_stay_within_the_budget) {
  stream_harness it;
  constexpr int calls = 200;
  int attempts = 0;
  for (int i = 0; i < calls; ++i) {
    it.harness.call_model(0);
    it.collect();
    while (!it.streams.empty()) {
      ++attempts;
      it.fail_stream(0, outcome::unknown);
      for (auto& [id, state] : it.harness.upstreams(0)) {
        state.suspect = false;
      }
      it.harness.feed(0, tick{});
      it.collect();
    }
  }
  // A tenth of the new requests, plus the initial budget.
  EXPECT_LE(attempts - calls, calls / 10 + 10);
  EXPECT_GE(attempts - calls, calls / 10);
}

// Injects one fault at each step of an attempt; the response must still be complete.
TEST(request_stream, completes_after_any_single_fault_at_any_step) {
  enum class fault { failed_at_start, failed, ended_early, lost, duplicated, reordered, stale };
  for (const fault what : {fault::failed_at_start, fault::failed, fault::ended_early, fault::lost,
                           fault::duplicated, fault::reordered, fault::stale}) {
    for (std::uint64_t at = 0; at <= stream_harness::total; ++at) {
      stream_harness it;
      it.harness.call_model(0);
      it.collect();
      for (std::uint64_t i = 0; i < at; ++i) {
        it.send(it.streams[0].what.attempt, it.streams[0].next++);
      }
      engine_stream& stream = it.streams[0];
      const attempt_id id = stream.what.attempt;
      switch (what) {
      case fault::failed_at_start:
        it.fail_stream(0, at == 0 ? outcome::not_run : outcome::unknown);
        break;
      case fault::failed:
        it.fail_stream(0, outcome::unknown);
        break;
      case fault::ended_early:
        stream.next = stream_harness::total;
        it.end(0, {});
        break;
      case fault::lost:
        ++stream.next;
        break;
      case fault::duplicated:
        it.send(id, at == 0 ? 0 : at - 1);
        break;
      case fault::reordered:
        it.send(id, std::min(at + 1, stream_harness::total - 1));
        break;
      case fault::stale:
        it.fail_stream(0, outcome::unknown);
        it.send(id, at);
        break;
      }
      it.run_to_completion();
      EXPECT_EQ(it.violated_guarantee(), "") << static_cast<int>(what) << " at " << at;
      EXPECT_TRUE(it.harness.view(only_request(it)).ended)
          << static_cast<int>(what) << " at " << at;
    }
  }
}

// Random interleavings of chunks, losses, duplicates, reordering, stale chunks, failures, ticks and
// disconnecting callers.
RC_GTEST_PROP(request_stream, delivers_complete_responses_under_random_interleavings, ()) {
  stream_harness it;
  const int calls = *rc::gen::inRange(1, 4);
  for (int i = 0; i < calls; ++i) {
    it.harness.call_model(0);
  }
  it.collect();
  const int steps = *rc::gen::inRange(1, 80);
  for (int i = 0; i < steps && !it.streams.empty(); ++i) {
    const auto stream_index = *rc::gen::inRange<std::size_t>(0, it.streams.size());
    engine_stream& stream = it.streams[stream_index];
    const attempt_id id = stream.what.attempt;
    const bool has_tokens_left = stream.next < stream_harness::total;
    const bool no_byte_sent = !stream.reached_upstream;
    const int what = *rc::gen::weightedElement<int>(
        {{12, 0}, {3, 1}, {2, 2}, {2, 3}, {2, 4}, {1, 5}, {1, 6}, {2, 7}, {1, 8}});
    stream.reached_upstream = stream.reached_upstream || what < 5;
    if (what == 0 && has_tokens_left) {
      it.send(id, stream.next++);
    } else if (what == 1) {
      it.send(id,
              *rc::gen::inRange<std::uint64_t>(0, stream_harness::total)); // Duplicated or early.
    } else if (what == 2 && has_tokens_left) {
      ++stream.next; // Lost.
    } else if (what == 3 && !it.closed_attempts.empty()) {
      it.send(*rc::gen::elementOf(it.closed_attempts),
              *rc::gen::inRange<std::uint64_t>(0, stream_harness::total));
    } else if (what == 4 && !has_tokens_left) {
      it.end(stream_index, {});
    } else if (what == 5) {
      it.fail_stream(stream_index, outcome::unknown);
    } else if (what == 6 && no_byte_sent) {
      it.fail_stream(stream_index, outcome::not_run);
    } else if (what == 7) {
      it.harness.pass(milliseconds{*rc::gen::element(100, 1000)});
      it.collect();
    } else if (what == 8) {
      it.harness.feed(0, caller_disconnected{id.request});
      it.collect();
    }
    RC_ASSERT(it.violated_guarantee() == "");
  }
  it.run_to_completion();
  RC_ASSERT(it.violated_guarantee() == "");
  RC_ASSERT(it.harness.table(0).live() == 0U);
}

} // namespace
} // namespace nutmegspur::testing
