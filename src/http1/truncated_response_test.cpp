// Responses that end at each of their bytes, in pieces of several sizes, on new and on kept
// connections. Guards against a response that its upstream did not finish and that counts as whole,
// also where the end comes inside the status line, a field or the blank line.
// labels: P09
#include "http_client.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace nutmegspur::http1 {
namespace {

struct response_case {
  std::string bytes;
  /// Bytes after which the end of the connection completes it. Without a length or chunks that is
  /// the head: what its upstream left out after it cannot be known.
  std::size_t whole;
};

std::vector<response_case>
responses() {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Type: text/event-stream\r\n";
  const std::string body = "id: 1\ndata: x\n\n";
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
  std::vector<response_case> all;
  for (const std::string& before : {std::string{}, interim}) {
    const auto add = [&](const std::string& framing, const std::string& rest) {
      std::string bytes = before;
      bytes.append(head).append(framing).append("\r\n").append(rest);
      all.push_back({bytes, bytes.size()});
    };
    add("Content-Length: 15\r\n", body);
    add("Content-Length: 0\r\n", "");
    add("Transfer-Encoding: chunked\r\n", "f\r\n" + body + "\r\n0\r\n\r\n");
    add("Transfer-Encoding: chunked\r\nTrailer: Checksum\r\n",
        "f;a=b\r\n" + body + "\r\n0\r\nChecksum: t\r\n\r\n");
    add("", body);
    all.back().whole -= body.size();
  }
  // The caller gets the prompt handle only if its body is whole.
  const std::string handle = R"({"handle":"3f","tokens":1})";
  all.push_back(
      {"HTTP/1.1 200\r\nContent-Length: " + std::to_string(handle.size()) + "\r\n\r\n" + handle,
       0});
  all.back().whole = all.back().bytes.size();
  all.push_back({"HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n", 0});
  all.back().whole = all.back().bytes.size();
  return all;
}

// Regression of another system: an upstream stopped inside its response's head, and callers got a
// 200 with an empty body that was framed as whole.
TEST(truncated_response, is_not_complete_wherever_it_ends) {
  for (const auto& it : responses()) {
    for (std::size_t cut = 0; cut <= it.bytes.size(); ++cut) {
      for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, it.bytes.size()}) {
        bool complete = false;
        bool final_head = false;
        message_reader* self = nullptr;
        message_reader reader{message_reader::kind::response,
                              {[&] { final_head = self->response().status >= 200; },
                               {},
                               [&] { complete = final_head; }}};
        self = &reader;
        for (std::size_t at = 0; at < cut;) {
          const auto bytes = std::string_view{it.bytes}.substr(at, std::min(piece, cut - at));
          const auto progress = reader.feed(bytes);
          ASSERT_EQ(progress.violation, "") << cut << " of " << it.bytes;
          ASSERT_GT(progress.consumed, 0U);
          at += progress.consumed;
        }
        reader.feed_end();
        ASSERT_EQ(complete, cut >= it.whole)
            << cut << " in pieces of " << piece << ": " << it.bytes;
      }
    }
  }
}

/// Serves connections in turn, each by its own function, until all are served.
class raw_server {
 public:
  explicit raw_server(std::vector<std::function<void(int)>> serve) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(listen(listener_, 8), 0);
    socklen_t n = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
    at_ = {"127.0.0.1", ntohs(address.sin_port)};
    thread_ = std::thread{[this, all = std::move(serve)] {
      for (const auto& it : all) {
        it(accept(listener_, nullptr, nullptr));
      }
    }};
  }

  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  ~raw_server() {
    thread_.join();
    close(listener_);
  }

  [[nodiscard]] const endpoint& at() const { return at_; }

 private:
  int listener_;
  endpoint at_;
  std::thread thread_;
};

void
read_request(int fd) {
  std::string text;
  char c = 0;
  while (text.find("\r\n\r\n") == std::string::npos && read(fd, &c, 1) == 1) {
    text.push_back(c);
  }
}

void
send_text(int fd, std::string_view text) {
  EXPECT_EQ(write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
}

/// How the second call on a kept connection ended, whose response was cut after `cut` bytes.
std::optional<call_end>
second_call(const std::string& response, std::size_t cut, bool reset) {
  raw_server server{{[&](int fd) {
    read_request(fd);
    send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    read_request(fd);
    send_text(fd, std::string_view{response}.substr(0, cut));
    if (reset) {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    close(fd);
  }}};
  event_loop loop;
  std::optional<call_end> end;
  {
    http_client client{loop, {}};
    http_fields fields;
    fields.add("Host", "a");
    const std::string request = format_request("POST", "/", fields, "");
    std::unique_ptr<http1::open_call> first;
    std::unique_ptr<http1::open_call> second;
    const auto start = [&](std::function<void(call_end)> on_end) {
      return client.start(server.at(), request, {{}, {}, {}, std::move(on_end)}, call_options{});
    };
    first = start([&](call_end how) {
      EXPECT_EQ(how, call_end::completed);
      loop.once(milliseconds{0}, [&](const moment&) {
        second = start([&](call_end it) {
          end = it;
          loop.stop();
        });
      });
    });
    loop.once(milliseconds{20'000}, [&](const moment&) { loop.stop(); });
    loop.run();
    discard(loop, std::move(first));
    discard(loop, std::move(second));
  }
  return end;
}

TEST(truncated_response, is_not_complete_on_a_kept_connection) {
  const auto all = responses();
  for (const auto& it : {all[0], all[2], all[4]}) {
    for (std::size_t cut = 0; cut <= it.bytes.size(); cut += 3) {
      for (const bool reset : {false, true}) {
        if (cut >= it.whole) {
          continue; // The reset may come after the response was read.
        }
        const auto end = second_call(it.bytes, cut, reset);
        ASSERT_TRUE(end.has_value()) << cut << ": " << it.bytes;
        EXPECT_NE(*end, call_end::completed) << cut << ": " << it.bytes;
      }
    }
  }
}

} // namespace
} // namespace nutmegspur::http1
