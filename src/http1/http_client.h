/// \file http_client.h
/// A client of HTTP/1.1 with kept connections. One call is sent at most once: whether a call is
/// repeated is for its owner to decide.
#pragma once

#include "message_reader.h"
#include "tcp_stream.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur::http1 {

/// How a call ended.
enum class call_end {
  completed,   ///< The answer is complete.
  unreachable, ///< No byte of the call was sent.
  broken,      ///< The connection ended, or was reset, before the answer was complete.
  malformed,   ///< What came is no answer.
  timed_out,
};

/// What a call tells its owner. After `on_end` nothing comes; a call may be cancelled in any of
/// them.
struct call_events {
  /// The first byte of the call goes out now.
  std::function<void()> on_sent;
  std::function<void(const http_response_head&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(call_end)> on_end;
};

struct call_options {
  milliseconds connect_limit{1'000};
  milliseconds limit{30'000}; ///< From the start to the last byte of the answer.
  bool new_connection = false;
  /// Whether an answer belongs to this call; others are passed over. Empty takes any.
  std::function<bool(const http_response_head&)> accepts_response;
};

class client_connection;

/// A call under way. Destroying it cancels the call and closes its connection.
class client_call {
 public:
  client_call(event_loop& loop, call_events events, call_options options, std::string bytes,
              bool no_body);
  client_call(const client_call&) = delete;
  client_call& operator=(const client_call&) = delete;
  ~client_call();

  [[nodiscard]] bool sent() const { return sent_; }

  /// Ends the call without a word to its owner, and closes its connection.
  void cancel();

 private:
  friend class client_connection;
  friend class http_client;

  /// Ends the call; the owner may destroy it in `on_end`.
  void end(call_end how);

  event_loop& loop_;
  call_events events_;
  call_options options_;
  std::string bytes_;
  bool no_body_;
  bool sent_ = false;
  bool ended_ = false;
  timer_id timer_;
  client_connection* connection_ = nullptr;
};

/// Cancels `call` and destroys it on a later turn, so that its owner may do so within its events.
void discard(event_loop& loop, std::unique_ptr<client_call> call);

/// Connections kept for each endpoint.
struct client_limits {
  std::size_t connections_per_endpoint = 64;
  /// Kept connections without a `Keep-Alive` time are used again within this.
  milliseconds default_idle_timeout{4'000};
  /// An idle connection is not used in the last part of its time, when the other end may be
  /// closing it.
  milliseconds idle_margin{1'000};
};

class http_client {
 public:
  http_client(event_loop& loop, client_limits limits);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();

  /// Starts a call with the whole `bytes` of a request; `no_body` for HEAD.
  std::unique_ptr<client_call> start(const endpoint& to, std::string bytes, call_events events,
                                     call_options options, bool no_body = false);
  /// Closes the idle connections to `to`, for example because another process is there now.
  void forget(const endpoint& to);

  void set_limits(const client_limits& limits) { limits_ = limits; }

  /// New connections opened so far.
  [[nodiscard]] std::uint64_t opened() const { return opened_; }

 private:
  friend class client_connection;

  client_connection* take_idle(const endpoint& to);
  void remove(client_connection* connection);
  void sweep(const moment& now);

  event_loop& loop_;
  client_limits limits_;
  std::map<endpoint, std::vector<std::unique_ptr<client_connection>>> connections_;
  std::uint64_t opened_ = 0;
  timer_id sweep_timer_;
};

} // namespace nutmegspur::http1
