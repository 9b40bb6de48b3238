// The engine worker against a small HTTP server. Guards against orders that are sent twice, late or
// with a lost outcome, and against reports that count as newer than they are.
#include "engine_codec.h"
#include "testing/event_loop.h"

#include <nutmegspur/kernel.h>

#include <QtCore/QCoreApplication>
#include <QtCore/QEventLoop>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <gtest/gtest.h>

#include <functional>

namespace nutmegspur {
namespace {

using testing::application;

constexpr const char* report_json =
    R"({"highest_fence":7,"last_sequence":3,"changing":false,"role":"decode","model":"m",)"
    R"("version":"v1","adapters":["a"],"running":2,"waiting":1,"waiting_tokens":40,)"
    R"("free_blocks":5,"total_blocks":9,"age_ms":250,"leaving":true,"notice_seconds":20})";

struct worker_under_test {
  QCoreApplication& app = application();
  QTcpServer server;
  QByteArray received;
  QByteArray order_status = "202 Accepted";
  std::vector<event> events;
  bool ring_full = false;
  settings config;
  metric_registry metrics;
  std::unique_ptr<duty_worker> worker;

  worker_under_test() {
    server.listen(QHostAddress::LocalHost);
    QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
      QTcpSocket* socket = server.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        const QByteArray request = socket->readAll();
        received += request;
        respond(*socket, request);
      });
    });
    const worker_context context{config, metrics};
    worker = std::move(*worker_registry::instance().make("engine_control/engine_http", context));
    static_cast<void>(worker->start([this](event&& ev) {
      if (!ring_full) {
        events.push_back(std::move(ev));
      }
      return !std::exchange(ring_full, false);
    }));
  }

  ~worker_under_test() { worker->stop(); }

  worker_under_test(const worker_under_test&) = delete;
  worker_under_test& operator=(const worker_under_test&) = delete;

  void respond(QTcpSocket& socket, const QByteArray& request) const {
    QByteArray status = "200 OK";
    QByteArray body = report_json;
    if (request.startsWith("POST /engine/orders")) {
      status = order_status;
      body = "{}";
    } else if (request.startsWith("GET /engine/cache-events")) {
      body = R"({"events":[{"number":4,"stored":["00ff"],"removed":["x"]}]})";
    }
    socket.write("HTTP/1.1 " + status + "\r\nContent-Length: " + QByteArray::number(body.size()) +
                 "\r\n\r\n" + body);
  }

  [[nodiscard]] send_order order(time_point not_after) const {
    send_order it;
    it.order = {
        upstream_id{"e1"}, fence{7}, 4, {engine_role::prefill, model_id{"m"}, "v1", {}}, {}};
    it.order.not_after = not_after;
    it.address = "127.0.0.1";
    it.port = server.serverPort();
    return it;
  }

  /// Runs the event loop until there is an event of type `E`, and returns the first.
  template <class E> E wait_for() {
    for (;;) {
      for (const auto& it : events) {
        if (const auto* found = std::get_if<E>(&it)) {
          return *found;
        }
      }
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
  }
};

TEST(engine_http, sends_an_order_once_and_reports_its_outcome) {
  worker_under_test it;
  it.ring_full = true; // The first post is refused; the outcome must be posted again.
  it.worker->carry_out(it.order(time_point::max()));
  const auto order_done = it.wait_for<order_reply>();
  EXPECT_TRUE(order_done.answer.has_value());
  EXPECT_EQ(order_done.sequence, 4U);
  EXPECT_EQ(it.received.count("POST /engine/orders"), 1);
  EXPECT_TRUE(it.received.contains(R"("fence":7)"));
  EXPECT_TRUE(it.received.contains(R"("role":"prefill")"));
}

TEST(engine_http, does_not_send_an_order_after_its_deadline) {
  worker_under_test it;
  it.worker->carry_out(it.order(boot_clock::now() - microseconds{1}));
  const auto order_done = it.wait_for<order_reply>();
  ASSERT_FALSE(order_done.answer.has_value());
  EXPECT_EQ(order_done.answer.error().ran, outcome::not_run);
  EXPECT_TRUE(it.received.isEmpty());
}

TEST(engine_http, distinguishes_rejected_from_failed_orders) {
  for (const auto& [status, ran] : {std::pair{"409 Conflict", outcome::not_run},
                                    std::pair{"500 Internal Server Error", outcome::unknown}}) {
    worker_under_test it;
    it.order_status = status;
    it.worker->carry_out(it.order(time_point::max()));
    EXPECT_EQ(it.wait_for<order_reply>().answer.error().ran, ran) << status;
  }
}

TEST(engine_http, polls_reports_and_cache_events) {
  worker_under_test it;
  it.worker->carry_out(
      set_polled_upstreams{{{upstream_id{"e1"}, "127.0.0.1", it.server.serverPort()}}});
  const auto report = it.wait_for<engine_report>();
  EXPECT_EQ(report.last_sequence, 3U);
  EXPECT_EQ(report.state.role, engine_role::decode);
  EXPECT_EQ(report.load.waiting_tokens, 40U);
  EXPECT_EQ(it.wait_for<upstream_closing>().notice, seconds{20});
  const auto cached = it.wait_for<cache_event>();
  EXPECT_EQ(cached.number, 4U);
  EXPECT_EQ(cached.stored, std::vector<std::uint64_t>{255});
  EXPECT_TRUE(cached.removed.empty());
}

TEST(engine_http, the_time_of_measurement_precedes_the_request) {
  manual_clock clock;
  const auto page = engine_http::decode_report(upstream_id{"e"}, report_json, clock.now());
  ASSERT_TRUE(page.has_value());
  EXPECT_EQ(page->report.measured.boot, clock.now().boot - milliseconds{250});
  for (const char* bad : {"", "[]", "{}", R"({"role":"x","last_sequence":1,"changing":false})"}) {
    EXPECT_FALSE(engine_http::decode_report(upstream_id{"e"}, bad, clock.now()).has_value()) << bad;
  }
}

} // namespace
} // namespace nutmegspur
