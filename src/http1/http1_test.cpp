// HTTP/1.1 client and server against raw bytes on loopback sockets.
// labels: P09 P10
#include "http_client.h"
#include "http_server.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <thread>

namespace nutmegspur::http1 {
namespace {

/// Stops an event loop whose awaited event never occurs, so that the test fails and does not hang.
constexpr milliseconds test_timeout{20'000};

/// A listening socket with blocking calls.
class raw_listener {
 public:
  raw_listener() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(listen(fd_, 8), 0);
    socklen_t n = sizeof address;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &n);
    at_ = {"127.0.0.1", ntohs(address.sin_port)};
  }

  raw_listener(const raw_listener&) = delete;
  raw_listener& operator=(const raw_listener&) = delete;

  ~raw_listener() { close(fd_); }

  [[nodiscard]] const endpoint& at() const { return at_; }

  [[nodiscard]] int accept_one() const { return accept(fd_, nullptr, nullptr); }

 private:
  int fd_;
  endpoint at_;
};

std::string
read_until(int fd, const std::string& end) {
  std::string text;
  std::array<char, 4096> buf{};
  while (text.find(end) == std::string::npos) {
    const ssize_t n = read(fd, buf.data(), buf.size());
    if (n <= 0) {
      break;
    }
    text.append(buf.data(), static_cast<std::size_t>(n));
  }
  return text;
}

void
send_text(int fd, const std::string& text) {
  EXPECT_EQ(write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
}

void
close_with_reset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(fd);
}

/// The outcome of a call.
struct call_record {
  int status = 0;
  std::string body;
  std::optional<call_end> end;
};

/// Runs one call against `serve`, which gets the accepted connection.
template <class Serve>
call_record
run_call(Serve serve, const call_options& options = {}) {
  raw_listener listener;
  std::thread server{[&] {
    const int fd = listener.accept_one();
    read_until(fd, "\r\n\r\n");
    serve(fd);
  }};
  event_loop loop;
  call_record record;
  {
    http_client client{loop, {}};
    http_fields fields;
    fields.add("Host", "a");
    auto call = client.start(listener.at(), format_request("GET", "/", fields, ""),
                             {{},
                              [&](const http_response_head& head) { record.status = head.status; },
                              [&](std::string_view bytes) { record.body.append(bytes); },
                              [&](call_end how) {
                                record.end = how;
                                loop.stop();
                              }},
                             options);
    loop.once(test_timeout, [&](const moment&) { loop.stop(); });
    loop.run();
    discard(loop, std::move(call));
  }
  server.join();
  return record;
}

TEST(http_client, response_with_content_length_completes) {
  const auto it = run_call([](int fd) {
    send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    close(fd);
  });
  EXPECT_EQ(it.end, call_end::completed);
  EXPECT_EQ(it.body, "hello");
}

TEST(http_client, response_without_length_completes_at_clean_close) {
  const auto it = run_call([](int fd) {
    send_text(fd, "HTTP/1.1 200 OK\r\n\r\nhello");
    close(fd);
  });
  EXPECT_EQ(it.end, call_end::completed);
  EXPECT_EQ(it.body, "hello");
}

// libuv reports a reset right after the last bytes as end of file, so a truncated response looked
// complete.
TEST(http_client, response_without_length_is_broken_by_a_reset) {
  const auto it = run_call([](int fd) {
    send_text(fd, "HTTP/1.1 200 OK\r\n\r\nhel");
    close_with_reset(fd);
  });
  EXPECT_EQ(it.end, call_end::broken);
}

TEST(http_client, response_shorter_than_its_content_length_is_broken) {
  const auto it = run_call([](int fd) {
    send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
    close(fd);
  });
  EXPECT_EQ(it.end, call_end::broken);
}

TEST(http_client, chunked_response_without_last_chunk_is_broken) {
  const auto it = run_call([](int fd) {
    send_text(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    close(fd);
  });
  EXPECT_EQ(it.end, call_end::broken);
}

TEST(http_client, bytes_that_are_not_http_are_malformed) {
  const auto it = run_call([](int fd) {
    send_text(fd, "what is this\r\n\r\n");
    close(fd);
  });
  EXPECT_EQ(it.end, call_end::malformed);
}

TEST(http_client, response_to_another_request_is_skipped) {
  call_options options;
  options.accepts_response = [](const http_response_head& head, bool /*reused*/) {
    return head.fields.get("Id") == "mine";
  };
  const auto it = run_call(
      [](int fd) {
        send_text(fd, "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 3\r\n\r\nold"
                      "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nnew");
        close(fd);
      },
      options);
  EXPECT_EQ(it.end, call_end::completed);
  EXPECT_EQ(it.body, "new");
}

/// Sends until the peer closes, or `bytes` are sent. Returns how many were.
std::size_t
send_many(int fd, std::size_t bytes) {
  const std::string piece(64UL * 1024, 'x');
  std::size_t sent = 0;
  while (sent < bytes) {
    const ssize_t n = send(fd, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(n);
  }
  return sent;
}

// Guards against a response to another request that has no end: it was read until the call's time
// was up, although it can bring no answer any more.
TEST(http_client, long_response_to_another_request_is_malformed_at_once) {
  call_options options;
  options.accepts_response = [](const http_response_head& head, bool /*reused*/) {
    return head.fields.get("Id") == "mine";
  };
  for (const char* framing : {"", "Content-Length: 99999999999\r\n"}) {
    constexpr std::size_t many = 16UL * 1024 * 1024;
    std::size_t sent = 0;
    const auto it = run_call(
        [&](int fd) {
          send_text(fd, "HTTP/1.1 200 OK\r\nId: late\r\n" + std::string{framing} + "\r\n");
          sent = send_many(fd, many);
          close(fd);
        },
        options);
    EXPECT_EQ(it.end, call_end::malformed) << framing;
    EXPECT_LT(sent, many) << framing;
  }
}

// Guards against a call that is counted as too long for what an earlier call's response brought.
TEST(http_client, a_skipped_response_does_not_count_against_the_limit_of_the_body) {
  call_options options;
  options.max_body_bytes = 4;
  options.accepts_response = [](const http_response_head& head, bool /*reused*/) {
    return head.fields.get("Id") == "mine";
  };
  const auto it = run_call(
      [](int fd) {
        send_text(fd, "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 3\r\n\r\nold"
                      "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nnew");
        close(fd);
      },
      options);
  EXPECT_EQ(it.end, call_end::completed);
  EXPECT_EQ(it.body, "new");
}

// Guards against a connection that stays unread after a call that had stopped reading, and against
// bytes that are read meanwhile.
TEST(http_client, a_call_stops_reading_and_reads_on) {
  raw_listener listener;
  constexpr std::size_t many = 32UL * 1024 * 1024;
  std::thread server{[&] {
    const int fd = listener.accept_one();
    read_until(fd, "\r\n\r\n");
    send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(many) + "\r\n\r\n");
    EXPECT_EQ(send_many(fd, many), many);
    read_until(fd, "\r\n\r\n");
    send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    close(fd);
  }};
  event_loop loop;
  http_client client{loop, {}};
  http_fields fields;
  fields.add("Host", "a");
  const std::string request = format_request("GET", "/", fields, "");
  std::size_t received = 0;
  std::size_t received_while_stopped = 0;
  std::string second_body;
  std::unique_ptr<client_call> first;
  std::unique_ptr<client_call> second;
  const auto start_second = [&](call_end how) {
    EXPECT_EQ(how, call_end::completed);
    second = client.start(listener.at(), request,
                          {{},
                           {},
                           [&](std::string_view bytes) { second_body.append(bytes); },
                           [&](call_end) { loop.stop(); }},
                          {});
  };
  bool stopped = false;
  const auto on_body = [&](std::string_view bytes) {
    received += bytes.size();
    if (!std::exchange(stopped, true)) {
      first->set_reading(false);
      const std::size_t before = received;
      loop.once(milliseconds{100}, [&, before](const moment&) {
        received_while_stopped = received - before;
        first->set_reading(true);
      });
    }
    if (received == many) {
      first->set_reading(false); // The end has been received: the connection is used again.
    }
  };
  first = client.start(listener.at(), request, {{}, {}, on_body, start_second}, {});
  loop.once(test_timeout, [&](const moment&) { loop.stop(); });
  loop.run();
  server.join();
  EXPECT_EQ(received, many);
  EXPECT_LE(received_while_stopped, 64UL * 1024);
  EXPECT_EQ(second_body, "ok");
  EXPECT_EQ(client.opened(), 1U);
}

// Regression: the holder of duties was paused after it had checked its lease, and its report was
// written when it resumed, while another holder was active.
TEST(http_client, request_is_not_written_after_its_latest_time) {
  raw_listener listener;
  std::string received = "nothing read";
  std::thread server{[&] {
    const int fd = listener.accept_one();
    received = read_until(fd, "\r\n\r\n");
    close(fd);
  }};
  event_loop loop;
  std::optional<call_end> end;
  {
    http_client client{loop, {}};
    http_fields fields;
    fields.add("Host", "a");
    call_options options;
    options.not_after = event_loop::now().boot + milliseconds{20};
    auto call = client.start(listener.at(), format_request("GET", "/", fields, ""),
                             {{},
                              {},
                              {},
                              [&](call_end how) {
                                end = how;
                                loop.stop();
                              }},
                             options);
    // The pause: nothing runs between the start of the call and its latest time.
    while (event_loop::now().boot < options.not_after) {
    }
    loop.once(test_timeout, [&](const moment&) { loop.stop(); });
    loop.run();
    discard(loop, std::move(call));
  }
  server.join();
  EXPECT_EQ(end, call_end::unreachable);
  EXPECT_EQ(received, "");
}

TEST(http_client, closed_port_is_unreachable) {
  endpoint nowhere;
  {
    const raw_listener unused_port;
    nowhere = unused_port.at();
  }
  event_loop loop;
  std::optional<call_end> end;
  http_client client{loop, {}};
  auto call = client.start(nowhere, "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                           {{},
                            {},
                            {},
                            [&](call_end how) {
                              end = how;
                              loop.stop();
                            }},
                           {});
  loop.once(test_timeout, [&](const moment&) { loop.stop(); });
  loop.run();
  EXPECT_EQ(end, call_end::unreachable);
  EXPECT_FALSE(call->sent());
}

int
connect_to(const endpoint& at) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  return fd;
}

/// Sends `bytes` to an http_server; returns all that it sends back and the number of requests that
/// reached the handler.
std::pair<std::string, int>
send_to_server(const std::string& bytes) {
  endpoint at;
  {
    const raw_listener free_port;
    at = free_port.at();
  }
  event_loop loop;
  int seen = 0;
  std::string response;
  {
    caller_limits limits;
    limits.max_header_bytes = 1024;
    limits.max_body_bytes = 64;
    http_server server{loop,
                       {[&](const exchange_ptr& it) {
                          ++seen;
                          it->reply(200, "", {}, it->head().target + "|" + it->body());
                        },
                        [limits] { return limits; }, [](int, const std::string&) {}}};
    EXPECT_TRUE(server.listen(at));
    std::thread caller{[&] {
      const int fd = connect_to(at);
      send_text(fd, bytes);
      // This text never occurs, so the read ends when the server closes the connection.
      response = read_until(fd, "\x01 until closed");
      close(fd);
      loop.stop();
    }};
    // loop.stop() on another thread does not wake the loop; this timer does.
    loop.every(milliseconds{10}, [](const moment&) {});
    loop.once(test_timeout, [&](const moment&) { loop.stop(); });
    loop.run();
    caller.join();
  }
  return {response, seen};
}

TEST(http_server, pipelined_requests_get_their_responses_in_order) {
  const auto [response, seen] =
      send_to_server("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
                     "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(seen, 2);
  EXPECT_NE(response.find("/a|hi"), std::string::npos);
  EXPECT_NE(response.find("/b|"), std::string::npos);
}

TEST(http_server, chunked_request_body_is_decoded) {
  const auto [response, seen] = send_to_server(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
      "2\r\nhi\r\n0\r\n\r\n");
  EXPECT_EQ(seen, 1);
  EXPECT_NE(response.find("/a|hi"), std::string::npos);
}

/// A server whose loop is held up: what a caller does before `run` has all arrived when the loop
/// reads the first of it.
class late_server {
 public:
  using handler = std::function<void(const exchange_ptr&)>;

  explicit late_server(handler on_request)
      : server_(loop_, {std::move(on_request), [] { return caller_limits{}; },
                        [](int, const std::string&) {}}) {
    const raw_listener free_port;
    at_ = free_port.at();
  }

  /// Returns a connection to the server.
  int connect_caller() {
    if (!listening_) {
      listening_ = true;
      EXPECT_TRUE(server_.listen(at_));
    }
    return connect_to(at_);
  }

  void run() {
    loop_.once(test_timeout, [this](const moment&) { loop_.stop(); });
    loop_.run();
  }

  event_loop& loop() { return loop_; }

 private:
  event_loop loop_;
  endpoint at_;
  bool listening_ = false;
  http_server server_;
};

const std::string plain_request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// What a handler sees of a request whose caller does `leave` right after it.
void
expect_ended_before_it_is_passed_on(void (*leave)(int fd)) {
  int seen = 0;
  int told = 0;
  std::vector<exchange_ptr> held;
  late_server server{[&](const exchange_ptr& it) {
    ++seen;
    held.push_back(it);
    it->set_on_disconnect([&] { ++told; });
    EXPECT_TRUE(it->end_if_closed());
    EXPECT_TRUE(it->disconnected());
    EXPECT_FALSE(it->end_if_closed());
    server.loop().stop();
  }};
  const int fd = server.connect_caller();
  send_text(fd, plain_request);
  leave(fd);
  server.run();
  EXPECT_EQ(seen, 1);
  EXPECT_EQ(told, 1);
}

// Regression: a loop that was held up for seconds passed on requests whose callers had left.
TEST(http_server, request_ends_before_it_is_passed_on_if_its_caller_has_closed) {
  expect_ended_before_it_is_passed_on([](int fd) { close(fd); });
}

TEST(http_server, request_ends_before_it_is_passed_on_if_its_caller_has_reset) {
  expect_ended_before_it_is_passed_on(close_with_reset);
}

// Bytes of the next request that the loop has not read are no end of the connection.
TEST(http_server, pipelined_request_that_is_not_read_yet_is_no_closed_connection) {
  constexpr std::size_t read_bytes = 64UL * 1024; // Of one read.
  const std::string line = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ";
  const std::size_t body_bytes = read_bytes - line.size() - std::string{"65000\r\n\r\n"}.size();
  const std::string first =
      line + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
  ASSERT_EQ(first.size(), read_bytes);
  std::vector<std::string> seen;
  late_server server{[&](const exchange_ptr& it) {
    seen.push_back(it->head().method);
    EXPECT_FALSE(it->end_if_closed());
    it->reply(200, "", {}, "");
    if (seen.size() == 2) {
      server.loop().stop();
    }
  }};
  const int fd = server.connect_caller();
  send_text(fd, first + plain_request);
  server.run();
  EXPECT_EQ(seen, (std::vector<std::string>{"POST", "GET"}));
  close(fd);
}

// A caller that closes its sending side after its request still gets what is answered at once.
TEST(http_server, caller_that_has_closed_its_sending_side_reads_an_immediate_response) {
  late_server server{[&](const exchange_ptr& it) {
    it->reply(200, "", {}, "hello");
    server.loop().once(duration{0}, [&](const moment&) { server.loop().stop(); });
  }};
  const int fd = server.connect_caller();
  send_text(fd, plain_request);
  shutdown(fd, SHUT_WR);
  server.run();
  EXPECT_NE(read_until(fd, "hello").find("200 OK"), std::string::npos);
  close(fd);
}

// The caller leaves while the connection to the upstream is being made.
TEST(http_server, call_that_is_cancelled_right_before_it_is_written_writes_nothing) {
  raw_listener upstream;
  std::string received = "nothing read";
  std::thread reader{[&] {
    const int fd = upstream.accept_one();
    received = read_until(fd, "\r\n\r\n");
    close(fd);
  }};
  {
    int caller = -1;
    std::unique_ptr<open_call> call;
    exchange_ptr held;
    std::unique_ptr<http_client> client;
    late_server server{[&](const exchange_ptr& it) {
      held = it;
      it->set_on_disconnect([&] {
        discard(server.loop(), std::move(call));
        server.loop().once(duration{0}, [&](const moment&) { server.loop().stop(); });
      });
      EXPECT_FALSE(it->end_if_closed());
      call_events events;
      events.on_sent = [&] {
        close(caller);
        EXPECT_TRUE(held->end_if_closed());
      };
      call = client->start(upstream.at(), plain_request, std::move(events), {});
    }};
    client = std::make_unique<http_client>(server.loop(), client_limits{});
    caller = server.connect_caller();
    send_text(caller, plain_request);
    server.run();
    client.reset();
  }
  reader.join();
  EXPECT_EQ(received, "");
}

/// A response to a caller, and how its connection ended.
struct received_response {
  std::string bytes;
  bool was_reset = false;
};

/// What a caller gets of a response whose length is not known when it begins, once `go_on` has been
/// called with it and the server has ended. `on_begun` gets the caller's descriptor.
received_response
receive_response(const std::string& version, const std::function<void(exchange&)>& go_on,
                 void (*on_begun)(int fd) = nullptr) {
  int fd = -1;
  {
    exchange_ptr held;
    late_server server{[&](const exchange_ptr& it) {
      held = it;
      it->begin(200, "", {});
      it->write("hello");
      if (on_begun == nullptr) {
        go_on(*it);
        server.loop().once(duration{0}, [&](const moment&) { server.loop().stop(); });
        return;
      }
      it->set_on_disconnect([&] { server.loop().stop(); });
      on_begun(fd);
    }};
    fd = server.connect_caller();
    send_text(fd, "GET /a HTTP/" + version + "\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
    server.run();
  }
  received_response response;
  std::array<char, 4096> buf{};
  ssize_t n = 0;
  while ((n = read(fd, buf.data(), buf.size())) > 0) {
    response.bytes.append(buf.data(), static_cast<std::size_t>(n));
  }
  response.was_reset = n < 0 && errno == ECONNRESET;
  close(fd);
  return response;
}

// A caller of HTTP/1.0, which knows no chunked coding, got the framing as part of the body.
TEST(http_server, response_to_an_old_caller_has_no_chunks) {
  const auto it = receive_response("1.0", [](exchange& response) {
    response.write(" again");
    response.finish();
  });
  EXPECT_EQ(it.bytes, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello again");
  EXPECT_FALSE(it.was_reset);
}

// A response that broke off ended its connection as a complete one does.
TEST(http_server, aborted_response_to_an_old_caller_ends_with_a_reset) {
  EXPECT_TRUE(receive_response("1.0", [](exchange& response) { response.abort(); }).was_reset);
}

// A response that its server left unfinished at its end looked complete.
TEST(http_server, response_to_an_old_caller_that_the_server_leaves_ends_with_a_reset) {
  EXPECT_TRUE(receive_response("1.0", [](exchange&) {}).was_reset);
}

// A response that ends since its caller has closed its sending side looked complete.
TEST(http_server, response_to_an_old_caller_that_sends_no_more_ends_with_a_reset) {
  const auto it = receive_response("1.0", {}, [](int fd) { shutdown(fd, SHUT_WR); });
  EXPECT_TRUE(it.was_reset);
}

// A caller that knows chunks sees by the missing last one that a response broke off: a reset could
// cost it what it has not read.
TEST(http_server, aborted_response_in_chunks_ends_without_its_last_chunk) {
  const auto it = receive_response("1.1", [](exchange& response) { response.abort(); });
  EXPECT_EQ(it.bytes, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  EXPECT_FALSE(it.was_reset);
}

/// Serves one request with a body of `bytes` on a server with a budget. `read` gets the connection
/// of its caller; returns the bytes that are counted, and the connections, once the server has none
/// left.
std::pair<std::size_t, std::size_t>
serve_long_body(std::size_t bytes, const std::string& request,
                const std::function<void(int fd)>& read) {
  endpoint at;
  {
    const raw_listener free_port;
    at = free_port.at();
  }
  event_loop loop;
  byte_budget budget{loop};
  std::size_t left = 1;
  {
    http_server server{
        loop,
        {[&](const exchange_ptr& it) { it->reply(200, "", {}, std::string(bytes, 'x')); },
         [] { return caller_limits{}; }, [](int, const std::string&) {}, &budget, "callers"}};
    EXPECT_TRUE(server.listen(at));
    std::atomic<bool> done{false};
    std::thread caller{[&] {
      const int fd = connect_to(at);
      send_text(fd, request);
      read(fd);
      close(fd);
      done = true;
    }};
    loop.every(milliseconds{10}, [&](const moment&) {
      left = server.connections();
      if (done && left == 0) {
        loop.stop();
      }
    });
    loop.once(test_timeout, [&](const moment&) { loop.stop(); });
    loop.run();
    caller.join();
  }
  return {budget.total(), left};
}

// Guards against a response that is cut because its connection ends with it while its caller is
// still reading, and against one whose bytes stay counted.
TEST(http_server, a_slow_caller_gets_the_whole_of_the_last_response) {
  constexpr std::size_t bytes = 32UL * 1024 * 1024;
  std::size_t received = 0;
  const auto [counted, left] = serve_long_body(
      bytes, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", [&](int fd) {
        received = read_until(fd, "\r\n\r\n").size();
        received += read_until(fd, "\x01 until closed").size();
      });
  EXPECT_GT(received, bytes);
  EXPECT_EQ(counted, 0U);
  EXPECT_EQ(left, 0U);
}

// Guards against a connection that is kept for ever because its caller has left without reading.
TEST(http_server, a_caller_that_leaves_without_reading_is_forgotten) {
  for (const char* more : {"", "Connection: close\r\n"}) {
    const auto [counted, left] = serve_long_body(
        32UL * 1024 * 1024, "GET /a HTTP/1.1\r\nHost: h\r\n" + std::string{more} + "\r\n",
        [](int fd) { read_until(fd, "\r\n\r\n"); });
    EXPECT_EQ(counted, 0U) << more;
    EXPECT_EQ(left, 0U) << more;
  }
}

struct rejected_case {
  const char* name;
  std::string bytes;
  const char* status;
};

class rejected_request : public testing::TestWithParam<rejected_case> {};

TEST_P(rejected_request, does_not_reach_the_handler) {
  const auto [response, seen] = send_to_server(GetParam().bytes);
  EXPECT_EQ(seen, 0);
  EXPECT_EQ(response.substr(0, 12), std::string{"HTTP/1.1 "} + GetParam().status);
}

const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";

INSTANTIATE_TEST_SUITE_P(
    http_server, rejected_request,
    testing::Values(
        rejected_case{"length_and_chunks",
                      start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                      "400"},
        rejected_case{"two_lengths", start + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
                      "400"},
        rejected_case{"signed_length", start + "Content-Length: +2\r\n\r\nhi", "400"},
        rejected_case{"folded_field", start + "A: b\r\n c\r\n\r\n", "400"},
        rejected_case{"space_before_colon", start + "Content-Length : 2\r\n\r\nhi", "400"},
        rejected_case{"bare_line_feed", "GET /a HTTP/1.1\r\nHost: h\nA: b\r\n\r\n", "400"},
        rejected_case{"two_hosts", start + "Host: i\r\n\r\n", "400"},
        rejected_case{"no_host", "GET /a HTTP/1.1\r\n\r\n", "400"},
        rejected_case{"no_path", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
        rejected_case{"other_coding", start + "Transfer-Encoding: gzip, chunked\r\n\r\n", "400"},
        rejected_case{"coding_of_an_old_version",
                      "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                      "400"},
        rejected_case{"bad_chunk_size",
                      start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n", "400"},
        rejected_case{"other_bytes_after_chunk",
                      start + "Transfer-Encoding: chunked\r\n\r\n2\r\nhiXX0\r\n\r\n", "400"},
        rejected_case{"other_byte_after_last_chunk",
                      start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\rXGET /b HTTP/1.1\r\n\r\n",
                      "400"},
        rejected_case{"line_feed_in_trailer",
                      start + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\n\n", "400"},
        rejected_case{"length_in_trailer",
                      start + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n",
                      "400"},
        rejected_case{"long_body", start + "Content-Length: 65\r\n\r\n" + std::string(65, 'x'),
                      "413"},
        rejected_case{"long_head", start + "A: " + std::string(2000, 'x') + "\r\n\r\n", "431"}),
    [](const auto& it) { return std::string{it.param.name}; });

} // namespace
} // namespace nutmegspur::http1
