// Peer connections over loopback: handshake, rejected peers, and replacement of silent connections.
#include "tcp_msgpack.h"
#include "testing/event_loop.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>

#include <gtest/gtest.h>

namespace nutmegspur::tcp_msgpack {
namespace {

using testing::application;
using testing::wait_for;

// A worker with its settings and the events that it posted.
struct node {
  settings config;
  metric_registry metrics;
  std::unique_ptr<peer_worker> worker;
  std::vector<event> events;
  bool ring_full = false;

  explicit node(const std::string& name, const std::string& secret = "the peers' shared secret") {
    application();
    config.instance = instance_id{name};
    config.zone = zone_id{"z-" + name};
    config.peer_port = 0;
    config.peer_secret = secret;
    worker = std::make_unique<peer_worker>(worker_context{config, metrics});
    const auto started = worker->start([this](event&& ev) {
      if (ring_full) {
        return false;
      }
      events.push_back(std::move(ev));
      return true;
    });
    EXPECT_TRUE(started.has_value());
  }

  void connect_to(const node& other, std::uint16_t port = 0) {
    worker->carry_out(
        set_peers{{{other.config.instance, "127.0.0.1", port != 0 ? port : other.worker->port()}}});
  }

  void send(const node& other, std::int64_t number) {
    worker->carry_out(send_to_peer{other.config.instance, config_pull{{number}}});
  }

  template <class E> [[nodiscard]] std::size_t count_events() const {
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(),
                      [](const event& it) { return std::holds_alternative<E>(it); }));
  }

  // Whether a `config_pull` with this number was received.
  [[nodiscard]] bool received(std::int64_t number) const {
    return std::any_of(events.begin(), events.end(), [number](const event& it) {
      const auto* got = std::get_if<peer_received>(&it);
      const auto* pull = got != nullptr ? std::get_if<config_pull>(&got->message) : nullptr;
      return pull != nullptr && pull->since.value == number;
    });
  }
};

// Forwards connections to a port. The first `silenced` connections stay open but forward nothing.
struct forwarder {
  QTcpServer server;
  std::uint16_t to;
  int silenced = 0; ///< Number of connections, counted from the first, that forward nothing.
  int opened = 0;

  explicit forwarder(std::uint16_t port) : to(port) {
    server.listen(QHostAddress::LocalHost);
    QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
      QTcpSocket* one = server.nextPendingConnection();
      auto* other = new QTcpSocket(one);
      const int number = ++opened;
      other->connectToHost(QHostAddress::LocalHost, to);
      const auto pass = [this, number](QTcpSocket* from, QTcpSocket* into) {
        QObject::connect(from, &QTcpSocket::readyRead, into, [this, number, from, into] {
          if (const QByteArray bytes = from->readAll(); number > silenced) {
            into->write(bytes);
          }
        });
      };
      pass(one, other);
      pass(other, one);
    });
  }
};

TEST(tcp_msgpack, peers_connect_and_exchange_messages) {
  node a("a");
  node b("b");
  a.connect_to(b);
  ASSERT_TRUE(wait_for([&] {
    return a.count_events<peer_connected>() == 1 && b.count_events<peer_connected>() == 1;
  }));
  const auto& hello = std::get<peer_connected>(b.events.front());
  EXPECT_EQ(hello.peer, a.config.instance);
  EXPECT_EQ(hello.zone, a.config.zone);
  a.send(b, 1);
  b.send(a, 2);
  EXPECT_TRUE(wait_for([&] { return b.received(1) && a.received(2); }));
  a.worker->carry_out(set_peers{});
  EXPECT_TRUE(wait_for([&] {
    return a.count_events<peer_disconnected>() == 1 && b.count_events<peer_disconnected>() == 1;
  }));
}

TEST(tcp_msgpack, a_peer_with_another_secret_is_rejected) {
  node a("a");
  node b("b", "some other secret of peers");
  node c("c");
  b.connect_to(a);
  c.connect_to(a);
  ASSERT_TRUE(wait_for([&] { return c.count_events<peer_connected>() == 1; }));
  EXPECT_TRUE(wait_for([&] { return a.count_events<peer_connected>() >= 1; }));
  EXPECT_EQ(b.count_events<peer_connected>(), 0U);
}

TEST(tcp_msgpack, a_peer_that_is_not_the_dialled_one_is_rejected) {
  node a("a");
  node b("b");
  node c("c");
  a.worker->carry_out(set_peers{{{instance_id{"x"}, "127.0.0.1", b.worker->port()}}});
  c.connect_to(b);
  ASSERT_TRUE(wait_for([&] { return b.count_events<peer_disconnected>() >= 1; }));
  EXPECT_EQ(a.count_events<peer_connected>(), 0U);
}

TEST(tcp_msgpack, a_silent_connection_is_replaced_by_a_new_one) {
  node a("a");
  node b("b");
  forwarder between(b.worker->port());
  a.connect_to(b, between.server.serverPort());
  ASSERT_TRUE(wait_for([&] { return a.count_events<peer_connected>() == 1; }));
  between.silenced = between.opened;
  ASSERT_TRUE(wait_for([&] { return between.opened == 2; }));
  // Messages sent before the new connection is ready go to the silent one and are lost.
  ASSERT_TRUE(wait_for([&] {
    a.send(b, 1);
    return b.received(1);
  }));
  // The new connection was ready before the old one was closed.
  EXPECT_EQ(a.count_events<peer_disconnected>(), 0U);
}

TEST(tcp_msgpack, events_are_held_while_the_ring_is_full) {
  node a("a");
  node b("b");
  b.ring_full = true;
  a.connect_to(b);
  ASSERT_TRUE(wait_for([&] { return a.count_events<peer_connected>() == 1; }));
  a.send(b, 1);
  a.send(b, 2);
  b.send(a, 3);
  ASSERT_TRUE(wait_for([&] { return a.received(3); }));
  b.ring_full = false;
  ASSERT_TRUE(wait_for([&] { return b.received(2); }));
  ASSERT_EQ(b.events.size(), 3U);
  EXPECT_TRUE(std::holds_alternative<peer_connected>(b.events[0]));
}

} // namespace
} // namespace nutmegspur::tcp_msgpack
