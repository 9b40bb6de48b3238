// The HTTP server for callers over loopback: responses, rejected requests, callers that disconnect
// or send malformed data.
#include "caller_server.h"
#include "testing/event_loop.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QEventLoop>
#include <QtNetwork/QTcpSocket>

#include <gtest/gtest.h>

namespace nutmegspur::openai_http {
namespace {

const QByteArray chat_body = R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";
const QByteArray stream_body =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}],)"
    R"("stream_options":{"include_usage":true}})";

class caller_server_over_tcp : public ::testing::Test {
 protected:
  void SetUp() override {
    config.instance = instance_id{"i1"};
    config.caller_port = 0;
    config.max_body_bytes = 4096;
    server = std::make_unique<caller_server>(context, [this](event&& ev) {
      if (refuse_events) {
        return false;
      }
      events.push_back(std::move(ev));
      return true;
    });
    ASSERT_TRUE(server->listen_for_callers().has_value());
    client.connectToHost(QHostAddress::LocalHost, server->port());
    QObject::connect(&client, &QTcpSocket::readyRead, &client,
                     [this] { received += client.readAll(); });
    turn_until([this] { return client.state() == QAbstractSocket::ConnectedState; });
  }

  /// Runs the event loop until `done`; there is no timeout here but the one of the test run.
  static void turn_until(const std::function<bool()>& done) {
    QEventLoop loop;
    while (!done()) {
      loop.processEvents(QEventLoop::WaitForMoreEvents);
    }
  }

  void post(const QByteArray& path, const QByteArray& body) {
    received.clear();
    client.write("POST " + path + " HTTP/1.1\r\nhost: x\r\nauthorization: Bearer sk-12345678\r\n" +
                 "content-length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
  }

  void get(const QByteArray& path) {
    received.clear();
    client.write("GET " + path + " HTTP/1.1\r\nhost: x\r\n\r\n");
  }

  void turn_until_received(const QByteArray& text) {
    turn_until([&] { return received.contains(text); });
  }

  request_id arrived() {
    turn_until([this] { return !events.empty(); });
    const request_id request = std::get<request_arrived>(events.back()).request;
    return request;
  }

 private:
  QCoreApplication& app_ = testing::application();

 protected:
  settings config;
  metric_registry metrics;
  worker_context context{config, metrics};
  std::vector<event> events;
  bool refuse_events = false;
  std::unique_ptr<caller_server> server;
  QTcpSocket client;
  QByteArray received;
};

TEST_F(caller_server_over_tcp, answers_whole) {
  post("/v1/chat/completions", chat_body);
  const request_id request = arrived();
  server->on_start({request, 200, {}, team_id{"a"}});
  server->on_text({request, "one "});
  server->on_text({request, "two"});
  server->on_end({request, {3, 2, 0}, "stop"});
  turn_until_received("total_tokens");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 200 OK\r\n"));
  EXPECT_TRUE(received.contains(R"("content":"one two")")) << received.toStdString();
  EXPECT_TRUE(received.contains(R"("total_tokens":5)"));
}

TEST_F(caller_server_over_tcp, streams_events_and_serves_the_next_request) {
  for (int i = 0; i < 2; ++i) {
    events.clear();
    post("/v1/chat/completions", stream_body);
    const request_id request = arrived();
    server->on_start({request, 200, {}, team_id{"a"}});
    server->on_text({request, "one "});
    turn_until_received("one ");
    EXPECT_TRUE(received.contains("text/event-stream"));
    server->on_end({request, {3, 1, 0}, "stop"});
    turn_until_received("0\r\n\r\n");
    EXPECT_TRUE(received.contains("data: [DONE]\n\n"));
    EXPECT_TRUE(received.contains(R"("completion_tokens":1)"));
  }
}

TEST_F(caller_server_over_tcp, an_error_in_a_stream_is_an_event_and_no_end) {
  post("/v1/chat/completions", stream_body);
  const request_id request = arrived();
  server->on_start({request, 200, {}, team_id{"a"}});
  server->on_text({request, "one "});
  server->on_refuse(
      {request,
       {error_code::key_withdrawn, step::authenticate, "", "withdrawn", outcome::unknown}});
  turn_until_received("0\r\n\r\n");
  EXPECT_TRUE(received.contains(R"("code":"key_withdrawn")"));
  EXPECT_FALSE(received.contains("[DONE]"));
}

TEST_F(caller_server_over_tcp, refuses_at_once_when_the_ring_is_full) {
  refuse_events = true;
  post("/v1/chat/completions", chat_body);
  turn_until_received("retry_after_ms");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 429 "));
  EXPECT_TRUE(received.contains("retry-after: 1\r\n"));
  EXPECT_TRUE(received.contains(R"("ran":"not_run")"));
}

TEST_F(caller_server_over_tcp, says_what_is_wrong) {
  post("/v1/chat/completions", "{");
  turn_until_received("request_id");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 400 "));
  post("/v1/nothing", "{}");
  turn_until_received("request_id");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 404 "));
  EXPECT_TRUE(events.empty());
}

TEST_F(caller_server_over_tcp, stops_an_oversized_request_while_it_comes_in) {
  constexpr qsizetype too_much = 200'000;
  post("/v1/chat/completions", QByteArray(too_much, 'x'));
  turn_until([this] { return client.state() == QAbstractSocket::UnconnectedState; });
  EXPECT_TRUE(received.startsWith("HTTP/1.1 413 ")) << received.toStdString();
  EXPECT_TRUE(events.empty());
}

TEST_F(caller_server_over_tcp, nonsense_closes_the_connection_only) {
  client.write("\x16\x03\x01 nonsense\r\n\r\n");
  turn_until([this] { return client.state() == QAbstractSocket::UnconnectedState; });
  client.connectToHost(QHostAddress::LocalHost, server->port());
  get("/healthz");
  turn_until_received("ok\n");
}

TEST_F(caller_server_over_tcp, tells_that_a_caller_left) {
  post("/v1/chat/completions", stream_body);
  const request_id request = arrived();
  client.abort();
  turn_until([this] { return events.size() == 2; });
  EXPECT_EQ(std::get<caller_disconnected>(events.back()).request, request);
  server->on_text({request, "late"}); // Actions for a closed connection are ignored.
  server->on_end({request, {}, "stop"});
}

TEST_F(caller_server_over_tcp, a_service_answer_that_breaks_off_has_no_end) {
  post("/services/read/x", "body");
  const request_id request = arrived();
  server->on_start({request, 201, {{"content-type", "text/plain"}}, team_id{"a"}});
  server->on_text({request, "part"});
  server->on_refuse({request, {error_code::upstream_failed, step::attempt_stream, "u", "broke"}});
  turn_until([this] { return client.state() == QAbstractSocket::UnconnectedState; });
  EXPECT_TRUE(received.contains("4\r\npart\r\n"));
  EXPECT_FALSE(received.contains("0\r\n\r\n"));
}

TEST_F(caller_server_over_tcp, health_readiness_and_metrics) {
  get("/readyz");
  turn_until_received("starting");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 503 "));
  server->on_ready({true, ""});
  get("/readyz");
  turn_until_received("ready\n");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 200 "));
  get("/metrics");
  turn_until_received("0.0.4");
}

} // namespace
} // namespace nutmegspur::openai_http
