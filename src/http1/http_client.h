/// \file http_client.h
/// HTTP/1.1 client with a pool of persistent connections for each endpoint.
///
/// Each call is sent at most once; the client never retries. Whether a call may be retried is for
/// its owner to decide from `call_end`.
#pragma once

#include "message_reader.h"
#include "tcp_stream.h"

#include <nutmegspur/names.h>

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur::http1 {

/// How a call ended.
enum class call_end {
  completed,   ///< The response was received completely.
  unreachable, ///< No byte of the request was sent.
  broken,      ///< The connection was closed or reset before the response was complete.
  malformed,   ///< The bytes received are not a valid HTTP response.
  timed_out,
};

} // namespace nutmegspur::http1

template <> struct nutmegspur::enum_names<nutmegspur::http1::call_end> {
  static constexpr std::array<enum_name<http1::call_end>, 5> table{{
      {http1::call_end::completed, "completed"},
      {http1::call_end::unreachable, "unreachable"},
      {http1::call_end::broken, "broken"},
      {http1::call_end::malformed, "malformed"},
      {http1::call_end::timed_out, "timed_out"},
  }};
};

namespace nutmegspur::http1 {

/// Callbacks of a call. `on_end` is the last one; a call may be cancelled within each of them.
struct call_events {
  /// Called right before the request is written.
  std::function<void()> on_sent;
  std::function<void(const http_response_head&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(call_end)> on_end;
};

struct call_options {
  milliseconds connect_timeout{1'000};
  milliseconds timeout{30'000}; ///< From the start of the call to the last byte of the response.
  /// Latest time at which the request is written. The clock is read right before the write, so that
  /// a process that was paused in between sends nothing late. Never later than the timeout.
  time_point not_after = time_point::max();
  bool new_connection = false; ///< Do not reuse an idle connection.
  bool examine_tail = false;   ///< Look at what follows the response, for `open_call::tail`.
  /// Maximum body bytes of the response; a longer one ends the call as malformed.
  std::size_t max_body_bytes = std::numeric_limits<std::size_t>::max();
  /// Whether a response belongs to this call; others are skipped. Empty accepts any response.
  /// `reused` tells that the connection has carried another call before, whose server may respond
  /// to it once more.
  std::function<bool(const http_response_head&, bool reused)> accepts_response;
};

class client_connection;

/// A call in progress, over whichever way. Destroying it cancels the call.
class open_call {
 public:
  open_call() = default;
  open_call(const open_call&) = delete;
  open_call& operator=(const open_call&) = delete;
  virtual ~open_call() = default;

  /// Whether the server may have received the request.
  [[nodiscard]] virtual bool sent() const = 0;
  /// What had arrived behind the response when it was complete; needs `examine_tail`.
  [[nodiscard]] virtual response_tail tail() const = 0;
  /// Ends the call without calling `on_end`.
  virtual void cancel() = 0;
  /// Stops reading the response, or reads on. What has been received is still passed on.
  virtual void set_reading(bool reads) = 0;
};

/// A call over a connection of this process. Destroying it closes the connection, too.
class client_call : public open_call {
 public:
  client_call(event_loop& loop, call_events events, call_options options, std::string bytes,
              bool no_body);
  client_call(const client_call&) = delete;
  client_call& operator=(const client_call&) = delete;
  ~client_call() override;

  [[nodiscard]] bool sent() const override { return sent_; }

  [[nodiscard]] response_tail tail() const override { return tail_; }

  /// Whether it is too late to write the request.
  [[nodiscard]] bool expired() const { return event_loop::now().boot >= options_.not_after; }

  /// Ends the call without calling `on_end`, and closes its connection.
  void cancel() override;
  void set_reading(bool reads) override;

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
  response_tail tail_ = response_tail::nothing;
  bool reads_ = true;
  timer_id timer_;
  client_connection* connection_ = nullptr;
};

/// Cancels `call` and destroys it on a later loop iteration, so that it is safe within the call's
/// own callbacks.
void discard(event_loop& loop, std::unique_ptr<open_call> call);

/// Limits of the connection pool.
struct client_limits {
  std::size_t connections_per_endpoint = 64;
  /// How long an idle connection may be reused if the server sent no `Keep-Alive` timeout.
  milliseconds default_idle_timeout{4'000};
  /// An idle connection is not reused within this time before its idle timeout, because the server
  /// may already be closing it.
  milliseconds idle_margin{1'000};
};

class http_client {
 public:
  http_client(event_loop& loop, client_limits limits);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();

  /// Starts a call; `bytes` is the complete request. `no_body` is set for HEAD, whose response has
  /// no body.
  std::unique_ptr<client_call> start(const endpoint& to, std::string bytes, call_events events,
                                     call_options options, bool no_body = false);
  /// Closes the idle connections to `to`, for example because another process now uses the
  /// address.
  void forget(const endpoint& to);

  void set_limits(const client_limits& limits) { limits_ = limits; }

  /// Number of connections opened since the start.
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
