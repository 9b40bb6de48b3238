// Attempts against a peer that closes, refuses, stalls or responds. Guards against requests that
// are sent twice, and against a wrong report of whether the request was executed.
// labels: P10 P11
#include "attempt_manager.h"
#include "testing/event_loop.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QEventLoop>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <gtest/gtest.h>

namespace nutmegspur::http_streams {
namespace {

/// Server that reads complete requests and calls a handler for each.
class scripted_peer {
 public:
  using request_handler = std::function<void(QTcpSocket*)>;

  explicit scripted_peer(request_handler handler) : handler_(std::move(handler)) {
    server.listen(QHostAddress::LocalHost);
    QObject::connect(&server, &QTcpServer::newConnection, &server, [this] { accept(); });
  }

  QTcpServer server;
  int connections = 0;
  std::vector<QByteArray> requests;
  std::function<void()> on_closed;

 private:
  void accept() {
    while (QTcpSocket* socket = server.nextPendingConnection()) {
      ++connections;
      QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] {
        if (on_closed) {
          on_closed();
        }
      });
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { read(socket); });
    }
  }

  void read(QTcpSocket* socket) {
    QByteArray& text = buffers_[socket];
    text += socket->readAll();
    const qsizetype head = text.indexOf("\r\n\r\n");
    const qsizetype at = text.toLower().indexOf("content-length: ");
    constexpr qsizetype name_length = 16;
    constexpr qsizetype separator_length = 4;
    const qsizetype body =
        at < 0 ? 0 : text.mid(at + name_length, text.indexOf('\r', at) - at - name_length).toInt();
    if (head < 0 || text.size() < head + separator_length + body) {
      return;
    }
    requests.push_back(text);
    text.clear();
    handler_(socket);
  }

  request_handler handler_;
  std::map<QTcpSocket*, QByteArray> buffers_;
};

class http_streams : public ::testing::Test {
 protected:
  /// Runs one attempt to its end.
  attempt_ended run(open_attempt what) {
    what.attempt = {request_id{++last_}, 1};
    what.upstream = upstream_id{"u1"};
    what.address = "127.0.0.1";
    QEventLoop loop;
    std::optional<attempt_ended> ended;
    on_event_ = [&](const event& ev) {
      events.push_back(ev);
      if (const auto* end = std::get_if<attempt_ended>(&ev)) {
        ended = *end;
        loop.quit();
      }
    };
    manager_->open(what);
    if (!ended) {
      loop.exec();
    }
    return *ended;
  }

  static open_attempt one_shot(const scripted_peer& peer, const std::string& method,
                               const std::string& body) {
    open_attempt what;
    what.port = peer.server.serverPort();
    what.method = method;
    what.path = "/pay";
    what.body = std::make_shared<const std::string>(body);
    what.one_shot = true;
    return what;
  }

  /// Starts an attempt, cancels it at the first chunk and waits until the peer sees its connection
  /// closed.
  void cancel_during_response(scripted_peer& peer, open_attempt what) {
    what.attempt = {request_id{++last_}, 1};
    what.upstream = upstream_id{"u1"};
    what.address = "127.0.0.1";
    QEventLoop loop;
    on_event_ = [&](const event& ev) {
      events.push_back(ev);
      if (std::holds_alternative<attempt_chunk>(ev)) {
        manager_->cancel({what.attempt, what.upstream});
      }
    };
    peer.on_closed = [&loop] { loop.quit(); };
    manager_->open(what);
    loop.exec();
  }

  std::vector<event> events;

 private:
  QCoreApplication& app_ = testing::application();
  settings config_;
  metric_registry metrics_;
  worker_context context_{config_, metrics_};
  std::function<void(const event&)> on_event_;
  std::uint64_t last_ = 0;
  std::unique_ptr<attempt_manager> manager_ =
      std::make_unique<attempt_manager>(context_, [this](event&& ev) {
        on_event_(ev);
        return true;
      });
};

TEST_F(http_streams, a_cancelled_attempt_closes_its_connection) {
  // The response never ends by itself: the test ends only if the cancellation reaches the peer.
  scripted_peer peer{[](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
                  "data: {\"choices\":[{\"index\":0,\"text\":\"a\"}]}\n\n");
  }};
  open_attempt what = one_shot(peer, "POST", "{}");
  what.one_shot = false;
  what.streaming = true;
  what.progress_limit = milliseconds{600'000};
  cancel_during_response(peer, what);
  EXPECT_EQ(peer.requests.size(), 1U);
}

TEST_F(http_streams, a_one_shot_call_is_not_sent_again_after_a_close) {
  for (const auto* method : {"POST", "PUT", "DELETE", "GET", "PATCH"}) {
    for (const auto* body : {"", "amount=3"}) {
      scripted_peer peer{[](QTcpSocket* socket) { socket->abort(); }};
      const auto ended = run(one_shot(peer, method, body));
      EXPECT_EQ(peer.requests.size(), 1U) << method << " '" << body << "'";
      ASSERT_TRUE(ended.failure.has_value());
      EXPECT_EQ(ended.failure->ran, outcome::unknown) << method << " '" << body << "'";
    }
  }
}

TEST_F(http_streams, a_refused_reconnect_does_not_hide_that_bytes_were_sent) {
  scripted_peer* at = nullptr;
  scripted_peer peer{[&at](QTcpSocket* socket) {
    at->server.close();
    socket->abort();
  }};
  at = &peer;
  const auto ended = run(one_shot(peer, "POST", "amount=3"));
  EXPECT_EQ(peer.requests.size(), 1U);
  ASSERT_TRUE(ended.failure.has_value());
  EXPECT_EQ(ended.failure->ran, outcome::unknown);
}

TEST_F(http_streams, a_refused_connection_is_not_run) {
  scripted_peer peer{[](QTcpSocket* socket) { socket->abort(); }};
  const open_attempt what = one_shot(peer, "POST", "amount=3");
  peer.server.close();
  const auto ended = run(what);
  ASSERT_TRUE(ended.failure.has_value());
  EXPECT_EQ(ended.failure->ran, outcome::not_run);
}

TEST_F(http_streams, a_stalled_attempt_ends_and_its_connection_is_not_reused) {
  scripted_peer peer{[](QTcpSocket*) {}};
  open_attempt what = one_shot(peer, "POST", "amount=3");
  what.one_shot = false;
  what.progress_limit = milliseconds{150};
  const auto ended = run(what);
  ASSERT_TRUE(ended.failure.has_value());
  EXPECT_EQ(ended.failure->ran, outcome::unknown);
  run(what);
  EXPECT_EQ(peer.connections, 2);
}

TEST_F(http_streams, an_error_status_of_a_service_is_a_response) {
  scripted_peer peer{[](QTcpSocket* socket) {
    socket->write("HTTP/1.1 500 No\r\ncontent-length: 4\r\nx-a: b\r\n\r\nsome");
  }};
  const auto ended = run(one_shot(peer, "POST", "amount=3"));
  EXPECT_FALSE(ended.failure.has_value()) << ended.failure->message;
  EXPECT_EQ(ended.end_offset, 4U);
  EXPECT_EQ(std::get<attempt_opened>(events.at(0)).status, 500);
  EXPECT_EQ(std::get<attempt_chunk>(events.at(1)).text, "some");
}

TEST_F(http_streams, a_stream_without_done_is_a_failure) {
  scripted_peer peer{[](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"
                  "data: {\"choices\":[{\"text\":\"a\"}]}\n\n");
    socket->disconnectFromHost();
  }};
  open_attempt what = one_shot(peer, "POST", "{}");
  what.one_shot = false;
  what.streaming = true;
  const auto ended = run(what);
  ASSERT_TRUE(ended.failure.has_value());
  EXPECT_EQ(ended.failure->ran, outcome::unknown);
  EXPECT_EQ(ended.end_offset, 1U);
}

TEST_F(http_streams, sends_no_credentials_or_cookies_of_its_own) {
  scripted_peer peer{
      [](QTcpSocket* socket) { socket->write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"); }};
  open_attempt what = one_shot(peer, "POST", "amount=3");
  what.headers = {{"x-attempt", "1"}};
  EXPECT_FALSE(run(what).failure.has_value());
  const QByteArray sent_request = peer.requests.at(0).toLower();
  EXPECT_TRUE(sent_request.contains("x-attempt: 1"));
  EXPECT_FALSE(sent_request.contains("authorization"));
  EXPECT_FALSE(sent_request.contains("cookie"));
}

} // namespace
} // namespace nutmegspur::http_streams
