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
      if (ring_full) {
        return false;
      }
      events.push_back(std::move(ev));
      return true;
    });
    ASSERT_TRUE(server->listen_for_callers().has_value());
    client.connectToHost(QHostAddress::LocalHost, server->port());
    QObject::connect(&client, &QTcpSocket::readyRead, &client,
                     [this] { received += client.readAll(); });
    run_until([this] { return client.state() == QAbstractSocket::ConnectedState; });
  }

  /// Runs the event loop until `done` returns true; the only time limit is that of the test run.
  static void run_until(const std::function<bool()>& done) {
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

  void run_until_received(const QByteArray& text) {
    run_until([&] { return received.contains(text); });
  }

  request_id arrived() {
    run_until([this] { return !events.empty(); });
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
  bool ring_full = false;
  std::unique_ptr<caller_server> server;
  QTcpSocket client;
  QByteArray received;
};

TEST_F(caller_server_over_tcp, sends_a_complete_response) {
  post("/v1/chat/completions", chat_body);
  const request_id request = arrived();
  server->on_start({request, 200, {}, team_id{"a"}});
  server->on_chunk({request, "one "});
  server->on_chunk({request, "two"});
  server->on_end({request, {3, 2, 0}, "stop"});
  run_until_received("total_tokens");
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
    server->on_chunk({request, "one "});
    run_until_received("one ");
    EXPECT_TRUE(received.contains("text/event-stream"));
    server->on_end({request, {3, 1, 0}, "stop"});
    run_until_received("0\r\n\r\n");
    EXPECT_TRUE(received.contains("data: [DONE]\n\n"));
    EXPECT_TRUE(received.contains(R"("completion_tokens":1)"));
  }
}

TEST_F(caller_server_over_tcp, an_error_in_a_stream_is_an_event_without_done) {
  post("/v1/chat/completions", stream_body);
  const request_id request = arrived();
  server->on_start({request, 200, {}, team_id{"a"}});
  server->on_chunk({request, "one "});
  server->on_failure(
      {request,
       {error_code::key_withdrawn, step::authenticate, "", "withdrawn", outcome::unknown}});
  run_until_received("0\r\n\r\n");
  EXPECT_TRUE(received.contains(R"("code":"key_withdrawn")"));
  EXPECT_FALSE(received.contains("[DONE]"));
}

TEST_F(caller_server_over_tcp, responds_429_when_the_ring_is_full) {
  ring_full = true;
  post("/v1/chat/completions", chat_body);
  run_until_received("retry_after_ms");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 429 "));
  EXPECT_TRUE(received.contains("retry-after: 1\r\n"));
  EXPECT_TRUE(received.contains(R"("ran":"not_run")"));
}

TEST_F(caller_server_over_tcp, reports_invalid_requests) {
  post("/v1/chat/completions", "{");
  run_until_received("request_id");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 400 "));
  post("/v1/nothing", "{}");
  run_until_received("request_id");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 404 "));
  EXPECT_TRUE(events.empty());
}

TEST_F(caller_server_over_tcp, rejects_an_oversized_request_while_receiving_it) {
  constexpr qsizetype body_bytes = 200'000;
  post("/v1/chat/completions", QByteArray(body_bytes, 'x'));
  run_until([this] { return client.state() == QAbstractSocket::UnconnectedState; });
  EXPECT_TRUE(received.startsWith("HTTP/1.1 413 ")) << received.toStdString();
  EXPECT_TRUE(events.empty());
}

TEST_F(caller_server_over_tcp, malformed_data_closes_only_its_connection) {
  client.write("\x16\x03\x01 nonsense\r\n\r\n");
  run_until([this] { return client.state() == QAbstractSocket::UnconnectedState; });
  client.connectToHost(QHostAddress::LocalHost, server->port());
  get("/healthz");
  run_until_received("ok\n");
}

TEST_F(caller_server_over_tcp, reports_a_disconnected_caller) {
  post("/v1/chat/completions", stream_body);
  const request_id request = arrived();
  client.abort();
  run_until([this] { return events.size() == 2; });
  EXPECT_EQ(std::get<caller_disconnected>(events.back()).request, request);
  server->on_chunk({request, "late"}); // Actions for a closed connection are ignored.
  server->on_end({request, {}, "stop"});
}

TEST_F(caller_server_over_tcp, a_truncated_service_response_has_no_last_chunk) {
  post("/services/read/x", "body");
  const request_id request = arrived();
  server->on_start({request, 201, {{"content-type", "text/plain"}}, team_id{"a"}});
  server->on_chunk({request, "part"});
  server->on_failure({request, {error_code::upstream_failed, step::attempt_stream, "u", "broke"}});
  run_until([this] { return client.state() == QAbstractSocket::UnconnectedState; });
  EXPECT_TRUE(received.contains("4\r\npart\r\n"));
  EXPECT_FALSE(received.contains("0\r\n\r\n"));
}

TEST_F(caller_server_over_tcp, serves_health_readiness_and_metrics) {
  get("/readyz");
  run_until_received("starting");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 503 "));
  server->on_ready({true, ""});
  get("/readyz");
  run_until_received("ready\n");
  EXPECT_TRUE(received.startsWith("HTTP/1.1 200 "));
  get("/metrics");
  run_until_received("0.0.4");
}

} // namespace
} // namespace nutmegspur::openai_http
