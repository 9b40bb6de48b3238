// A one-shot call against a server that responds, stays silent, closes the connection or does not
// listen.
#include "one_shot_call.h"
#include "testing/event_loop.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QEventLoop>
#include <QtNetwork/QTcpServer>

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <optional>

namespace nutmegspur {
namespace {

using testing::application;

/// A server that counts connections, keeps the bytes received, and reacts to them as configured.
struct peer_server {
  QTcpServer server;
  int connections = 0;
  QByteArray received;
  QByteArray response; ///< Empty: nothing is sent.
  bool hang_up = false;
  bool reset = false; ///< The connection is reset once the response was received.

  peer_server() {
    application();
    server.listen(QHostAddress::LocalHost);
    QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
      ++connections;
      QTcpSocket* socket = server.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        received += socket->readAll();
        if (!response.isEmpty()) {
          socket->write(response);
        }
        if (hang_up) {
          socket->close();
        }
        if (reset) {
          socket->flush();
          const linger drop{1, 0};
          ::setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &drop,
                       sizeof drop);
          socket->abort();
        }
      });
    });
  }

  [[nodiscard]] one_shot_request request() const {
    one_shot_request it;
    it.address = "127.0.0.1";
    it.port = server.serverPort();
    it.path = "/engine/orders";
    it.body = R"({"sequence":1})";
    return it;
  }
};

result<one_shot_response>
run_call(one_shot_request request) {
  std::optional<result<one_shot_response>> response;
  one_shot_call call{std::move(request), step::intent_send,
                     [&](result<one_shot_response> it) { response = std::move(it); }};
  call.start();
  while (!response) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return *response;
}

TEST(one_shot_call, returns_the_response_and_sends_one_request) {
  peer_server peer;
  peer.response = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}";
  const auto response = run_call(peer.request());
  ASSERT_TRUE(response.has_value()) << response.error().message;
  EXPECT_EQ(response->status, 202);
  EXPECT_EQ(response->body, "{}");
  EXPECT_EQ(peer.connections, 1);
  EXPECT_EQ(peer.received.count("POST /engine/orders"), 1);
}

TEST(one_shot_call, writes_nothing_after_its_deadline) {
  peer_server peer;
  peer.response = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  auto request = peer.request();
  request.not_after = boot_clock::now() - microseconds{1};
  const auto response = run_call(request);
  ASSERT_FALSE(response.has_value());
  EXPECT_EQ(response.error().code, error_code::lease_lost);
  EXPECT_EQ(response.error().ran, outcome::not_run);
  EXPECT_TRUE(peer.received.isEmpty());
}

TEST(one_shot_call, is_not_resent_when_the_peer_closes) {
  peer_server peer;
  peer.hang_up = true;
  const auto response = run_call(peer.request());
  ASSERT_FALSE(response.has_value());
  EXPECT_EQ(response.error().ran, outcome::unknown);
  EXPECT_EQ(peer.connections, 1);
  EXPECT_EQ(peer.received.count("POST"), 1);
}

TEST(one_shot_call, a_silent_peer_leaves_the_outcome_unknown) {
  peer_server peer;
  auto request = peer.request();
  request.timeout = milliseconds{100};
  const auto response = run_call(request);
  ASSERT_FALSE(response.has_value());
  EXPECT_EQ(response.error().code, error_code::deadline_exceeded);
  EXPECT_EQ(response.error().ran, outcome::unknown);
}

TEST(one_shot_call, a_call_whose_connection_is_refused_has_not_run) {
  peer_server peer;
  const auto request = peer.request();
  peer.server.close();
  const auto response = run_call(request);
  ASSERT_FALSE(response.has_value());
  EXPECT_EQ(response.error().ran, outcome::not_run);
}

// A reset was taken for the end of a body that ends with its connection.
TEST(one_shot_call, a_reset_ends_no_response) {
  peer_server peer;
  peer.response = "HTTP/1.1 200 OK\r\n\r\n{\"sequence\":1";
  peer.reset = true;
  const auto response = run_call(peer.request());
  ASSERT_FALSE(response.has_value()) << response->body.toStdString();
}

// A chunked body that broke off was taken for a complete one, its framing for the body.
TEST(one_shot_call, a_chunked_response_without_its_last_chunk_is_incomplete) {
  peer_server peer;
  peer.response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n";
  peer.hang_up = true;
  const auto response = run_call(peer.request());
  ASSERT_FALSE(response.has_value()) << response->body.toStdString();
}

// Responses that are complete must not be lost with those that are not.
TEST(one_shot_call, a_response_without_a_length_is_complete_at_a_clean_close) {
  peer_server peer;
  peer.response = "HTTP/1.1 200 OK\r\n\r\n{\"sequence\":1}";
  peer.hang_up = true;
  const auto response = run_call(peer.request());
  ASSERT_TRUE(response.has_value()) << response.error().message;
  EXPECT_EQ(response->body, "{\"sequence\":1}");
}

// The framing of the chunked coding was part of the body.
TEST(one_shot_call, a_chunked_response_is_decoded) {
  peer_server peer;
  peer.response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n";
  peer.hang_up = true;
  const auto response = run_call(peer.request());
  ASSERT_TRUE(response.has_value()) << response.error().message;
  EXPECT_EQ(response->body, "12");
}

// An interim response was taken for the end of one that broke off.
TEST(one_shot_call, an_interim_response_is_no_response) {
  peer_server peer;
  peer.response = "HTTP/1.1 103 Early Hints\r\n\r\n";
  peer.hang_up = true;
  const auto response = run_call(peer.request());
  ASSERT_FALSE(response.has_value()) << response->status;
}

TEST(one_shot_call, an_incomplete_response_is_an_error) {
  peer_server peer;
  peer.response = "HTTP/1.1 202 Accepted\r\nContent-Length: 10\r\n\r\n{}";
  peer.hang_up = true;
  const auto response = run_call(peer.request());
  ASSERT_FALSE(response.has_value());
  EXPECT_EQ(response.error().ran, outcome::unknown);
}

} // namespace
} // namespace nutmegspur
