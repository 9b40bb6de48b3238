/// \file forward_frame.h
/// Messages by which one instance sends a request to an upstream in the place of another one that
/// does not reach it. The question is one message; the reply is a sequence of messages that
/// follows the upstream's response as it arrives.
///
/// The instance that asks decides everything: placement, attempts, budgets and permits. The one
/// that forwards sends the bytes once or not at all, and says which.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/crash_watch.h>
#include <nutmegspur/error.h>
#include <nutmegspur/http_message.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/stream_evidence.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegspur {

/// A request to be forwarded.
struct forward_request {
  upstream_id upstream;
  std::int64_t started_ms = 0; ///< Start of the upstream's process; no other one gets the request.
  wall_time not_after{};       ///< Agreed time after which it must not be sent any more.
  milliseconds limit{0};       ///< For the whole response, from the arrival of the question.
  std::string request_id;      ///< Responses to other requests are skipped.
  bool no_body = false;        ///< The response has no body, as for HEAD.
  bool counts_as_run = true;   ///< If the attempt breaks, the suspects may have crashed it.
  crash_suspects suspects;
  std::string bytes; ///< The HTTP request.
};

std::string pack_forward_request(const forward_request& it);
result<forward_request> unpack_forward_request(std::string_view bytes);

/// What a message of the reply tells.
enum class forward_step {
  sent, ///< The request is about to be written.
  head, ///< The head of the upstream's response.
  body, ///< Part of its body.
  end,  ///< How the call ended; the last message.
};

template <> struct enum_names<forward_step> {
  static constexpr std::array<enum_name<forward_step>, 4> table{{
      {forward_step::sent, "sent"},
      {forward_step::head, "head"},
      {forward_step::body, "body"},
      {forward_step::end, "end"},
  }};
};

/// One message of the reply.
struct forward_event {
  forward_step step = forward_step::end;
  http_response_head head; ///< With `head`.
  std::string bytes;       ///< With `body`: the bytes. With `end`: how it ended, by name.
  /// With `end`: the forwarding instance reaches upstreams, so that a failure is the upstream's.
  bool path_known = false;
  /// With `end`: what had arrived behind a complete response.
  response_tail tail = response_tail::nothing;
};

std::string pack_forward_event(const forward_event& it);

/// Splits the bytes of a reply into its messages.
class forward_reader {
 public:
  /// Longest message that is accepted, in bytes.
  static constexpr std::size_t max_message_bytes = 1024UL * 1024;

  forward_reader();
  forward_reader(const forward_reader&) = delete;
  forward_reader& operator=(const forward_reader&) = delete;
  ~forward_reader();

  void add(std::string_view bytes);
  /// The next complete message, or empty; an error if the bytes are malformed.
  result<std::optional<forward_event>> next();

 private:
  struct buffer;
  std::unique_ptr<buffer> buffer_;
};

} // namespace nutmegspur
