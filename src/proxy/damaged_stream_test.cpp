// Random responses, sound and damaged, through the reader of HTTP and the splitter of events.
// Guards against a stream whose framing was damaged and that counts as complete before its end.
// labels: P09
#include "event_splitter.h"
#include "message_reader.h"
#include "testing/response_generator.h"

#include <gtest/gtest.h>

#include <iostream>
#include <map>

namespace nutmegspur::proxy {
namespace {

using http1::response_case;
using http1::sent_response;

/// What an attempt sees of a response whose connection is closed cleanly after its last byte.
struct seen_response {
  bool complete = false;
  bool close_delimited = false;
  bool close_announced = false;
  std::string violation;
  std::size_t rest = 0; ///< Bytes after the end.
  std::string body;
  std::vector<std::string> events;
  bool inside_event = false; ///< The body ends inside an event.
};

seen_response
read_response(const response_case& sent, std::string_view bytes) {
  seen_response seen;
  event_splitter splitter;
  http1::message_reader* self = nullptr;
  http1::message_reader reader{http1::message_reader::kind::response,
                               {{},
                                [&](std::string_view piece) {
                                  seen.body.append(piece);
                                  splitter.add(piece);
                                },
                                [&] {
                                  // Interim ones come before the response.
                                  seen.complete = self->response().status >= 200;
                                }}};
  self = &reader;
  for (std::size_t n = 0; !bytes.empty() && !seen.complete; ++n) {
    auto piece = sent.reads.empty() ? bytes : bytes.substr(0, sent.reads[n % sent.reads.size()]);
    const auto progress = reader.feed(piece);
    if (!progress.violation.empty()) {
      seen.violation = progress.violation;
      return seen;
    }
    bytes.remove_prefix(progress.consumed);
  }
  if (!seen.complete) {
    reader.feed_end();
  }
  seen.close_delimited = reader.response().close_delimited;
  seen.close_announced = reader.response().fields.get("Connection") == "close";
  seen.rest = bytes.size();
  for (auto event = splitter.next_event(); !event.empty(); event = splitter.next_event()) {
    seen.events.push_back(event);
  }
  seen.inside_event = sent.shape.event_stream && splitter.inside_event();
  return seen;
}

enum class outcome {
  incomplete, ///< Broken or malformed.
  refuted,    ///< Complete, but the end is inside an event, or bytes follow it.
  doubtful,   ///< Complete by the end of the connection, which its head did not announce.
  whole,      ///< Complete, as meant.
  altered,    ///< Complete, with bytes that were not meant; none is missing.
  lost,       ///< Complete, with bytes missing.
};

} // namespace
} // namespace nutmegspur::proxy

template <> struct nutmegspur::enum_names<nutmegspur::proxy::outcome> {
  static constexpr std::array<enum_name<proxy::outcome>, 6> table{{
      {proxy::outcome::incomplete, "incomplete"},
      {proxy::outcome::refuted, "refuted"},
      {proxy::outcome::doubtful, "doubtful"},
      {proxy::outcome::whole, "whole"},
      {proxy::outcome::altered, "altered"},
      {proxy::outcome::lost, "lost"},
  }};
};

namespace nutmegspur::proxy {
namespace {

/// Whether `text` can be made from `from` by leaving out bytes.
bool
is_contained(std::string_view text, std::string_view from) {
  for (const char c : from) {
    if (!text.empty() && text.front() == c) {
      text.remove_prefix(1);
    }
  }
  return text.empty();
}

outcome
outcome_of(const sent_response& sent, const seen_response& seen) {
  if (!seen.complete) {
    return outcome::incomplete;
  }
  if (seen.rest > 0 || seen.inside_event) {
    return outcome::refuted;
  }
  if (seen.close_delimited && !seen.close_announced &&
      (sent.touched.head || sent.touched.framing)) {
    return outcome::doubtful;
  }
  if (seen.body == sent.body && seen.events == sent.events) {
    return outcome::whole;
  }
  return is_contained(sent.body, seen.body) ? outcome::altered : outcome::lost;
}

/// Whether only the framing was damaged, and the response still has one. If the field is lost that
/// frames the body, the response ends with its connection, and nothing tells what is missing.
bool
only_framing_damaged(const sent_response& sent, const seen_response& seen) {
  return sent.touched.framing && !sent.touched.data && !sent.touched.head && !seen.close_delimited;
}

std::string
touched_text(const sent_response& sent) {
  std::string text = sent.touched.head ? "head " : "";
  text += sent.touched.framing ? "framing " : "";
  return text + (sent.touched.data ? "data " : "");
}

/// The simplest case that `fails` among `it` and what it shrinks to.
template <class Fails>
response_case
shrunk(rc::Shrinkable<response_case> it, Fails fails) {
  for (auto smaller = it.shrinks(); auto next = smaller.next();) {
    if (fails(next->value())) {
      it = *next;
      smaller = it.shrinks();
    }
  }
  return it.value();
}

/// Calls `visit` with random cases until it returns false; returns the simplest case for which it
/// does.
template <class Visit>
std::optional<response_case>
find_case(std::size_t cases, std::uint64_t seed, std::size_t damages, Visit visit) {
  const auto generator = http1::response_cases(damages == 0 ? 0 : 1, damages);
  rc::Random random{seed};
  for (std::size_t n = 0; n < cases; ++n) {
    const auto it = generator(random.split(), rc::kNominalSize);
    if (!visit(it.value())) {
      return shrunk(it, [&](const auto& smaller) { return !visit(smaller); });
    }
  }
  return std::nullopt;
}

TEST(damaged_stream, sound_responses_are_whole_in_reads_of_any_size) {
  constexpr std::size_t cases = 3'000;
  const auto failed = find_case(cases, 53, 0, [](const response_case& it) {
    const auto sent = send(it);
    const auto seen = read_response(it, sent.bytes);
    return outcome_of(sent, seen) == outcome::whole;
  });
  EXPECT_FALSE(failed.has_value()) << to_text(*failed);
}

/// Whether the response ends before its last byte, and neither its framing nor its events show that
/// bytes of it are missing. Those after the end may arrive after the stream was answered.
bool
ends_early(const sent_response& sent, const seen_response& seen) {
  return seen.complete && seen.rest > 0 && !seen.inside_event &&
         !is_contained(sent.body, seen.body);
}

// Any single byte of the chunked coding: replaced by each other byte, missing, or there twice.
TEST(damaged_stream, one_damaged_byte_of_chunks_never_ends_a_stream_early) {
  const std::vector<std::vector<std::size_t>> chunk_sizes{{}, {1}, {7}, {13, 2}, {8, 60}, {1000}};
  for (const auto& chunks : chunk_sizes) {
    for (const bool crlf : {false, true}) {
      response_case it;
      it.shape.crlf = crlf;
      it.shape.events = 3;
      it.shape.chunks = chunks;
      const sent_response sound = make_response(it.shape);
      for (std::size_t n = sound.bytes.find("\r\n\r\n"); n < sound.bytes.size(); ++n) {
        if (sound.parts[n] != http1::byte_part::framing) {
          continue;
        }
        std::string bytes = sound.bytes;
        for (int value = 0; value < 256; ++value) {
          bytes[n] = static_cast<char>(value);
          EXPECT_FALSE(ends_early(sound, read_response(it, bytes))) << n << " of " << bytes;
        }
        const std::string missing = sound.bytes.substr(0, n) + sound.bytes.substr(n + 1);
        EXPECT_FALSE(ends_early(sound, read_response(it, missing))) << missing;
        const std::string twice = sound.bytes.substr(0, n + 1) + sound.bytes.substr(n);
        EXPECT_FALSE(ends_early(sound, read_response(it, twice))) << twice;
      }
    }
  }
}

TEST(damaged_stream, damaged_framing_never_ends_a_response_early) {
  constexpr std::size_t cases = 20'000;
  std::map<std::string, std::map<outcome, int>> counts;
  bool counting = true;
  const auto failed = find_case(cases, 54, 3, [&](const response_case& it) {
    const auto sent = send(it);
    const auto seen = read_response(it, sent.bytes);
    const outcome how = outcome_of(sent, seen);
    const bool allowed = how != outcome::lost || !only_framing_damaged(sent, seen);
    if (counting) {
      const std::string end{seen.complete && seen.close_delimited ? " by its connection" : ""};
      counts[touched_text(sent) + "of " + std::string{to_name(it.shape.framing)} + end][how]++;
      counting = allowed;
    }
    return allowed;
  });
  for (const auto& [what, row] : counts) {
    std::cout << "damaged " << what << ":";
    for (const auto& [how, count] : row) {
      std::cout << " " << to_name(how) << " " << count;
    }
    std::cout << "\n";
  }
  EXPECT_FALSE(failed.has_value()) << to_text(*failed);
}

} // namespace
} // namespace nutmegspur::proxy
