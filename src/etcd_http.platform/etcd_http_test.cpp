// The platform worker against the platform stand-in over loopback. Guards against writes that are
// sent twice or reported with the wrong outcome, and against watches that lose changes.
#include "etcd_http.h"
#include "platform_service.h"
#include "testing/event_loop.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <QtNetwork/QTcpServer>

#include <gtest/gtest.h>

namespace nutmegspur::etcd_http {
namespace {

using testing::application;
using testing::wait_for;

// A stand-in that counts requests and injects faults.
struct fake_platform {
  enum class reply_mode { normal, lose_answers, silent, failing };

  standin::platform_service service{"[]"};
  reply_mode mode = reply_mode::normal;
  QString match; ///< The fault applies to paths with this prefix.
  std::map<QString, int> calls;
  std::vector<standin::response_channel> unanswered;
  standin::standin_server server{
      [this](const standin::standin_request& it, standin::response_channel reply) {
        serve(it, std::move(reply));
      }};
  std::uint16_t port = 0;

  fake_platform() { port = server.listen(QHostAddress::LocalHost); }

  void serve(const standin::standin_request& request, standin::response_channel reply) {
    calls[request.path] += 1;
    if (mode == reply_mode::normal || !request.path.startsWith(match)) {
      service.serve(request, std::move(reply));
    } else if (mode == reply_mode::lose_answers) {
      service.serve(request, {});
      reply.reset();
    } else if (mode == reply_mode::failing) {
      reply.send(503, QJsonObject{{"message", "etcdserver: request timed out"}});
    } else {
      unanswered.push_back(std::move(reply));
    }
  }

  void control(const QString& path, const QByteArray& body = {}) {
    standin::standin_request request;
    request.path = path;
    request.body = body;
    service.serve(request, {});
  }
};

struct platform_worker_test : ::testing::Test {
  QCoreApplication& app = application();
  fake_platform platform;
  settings config;
  metric_registry metrics;
  std::unique_ptr<platform_worker> it;
  std::vector<event> events;
  bool ring_full = false;
  std::uint64_t last_call = 0;

  void SetUp() override { connect_to(platform.port); }

  void connect_to(std::uint16_t port) {
    config.platform_port = port;
    it = std::make_unique<platform_worker>(worker_context{config, metrics});
    ASSERT_TRUE(it->start([this](event&& ev) {
                    if (ring_full) {
                      return false;
                    }
                    events.push_back(std::move(ev));
                    return true;
                  }).has_value());
  }

  call_id begin(platform_request request) {
    const call_id id{duty::config, ++last_call};
    it->carry_out(call_platform{id, std::move(request)});
    return id;
  }

  const platform_reply* find(const call_id& id) const {
    for (const auto& ev : events) {
      const auto* reply = std::get_if<platform_reply>(&ev);
      if (reply != nullptr && reply->call == id) {
        return reply;
      }
    }
    return nullptr;
  }

  result<platform_answer> call(platform_request request) {
    const call_id id = begin(std::move(request));
    EXPECT_TRUE(wait_for([&] { return find(id) != nullptr; }));
    return find(id) != nullptr ? find(id)->answer
                               : fail({error_code::internal, step::platform_call, "", "none"});
  }

  bool put(const std::string& key, std::optional<std::string> value) {
    const auto answer = call(kv_txn{{}, {{key, std::move(value)}}});
    return answer && std::get<kv_txn_reply>(*answer).applied;
  }

  std::vector<std::string> watched() const {
    std::vector<std::string> changes;
    for (const auto& ev : events) {
      if (const auto* batch = std::get_if<watch_batch>(&ev)) {
        for (const auto& change : batch->changes) {
          changes.push_back(change.key + "=" + change.value.value_or("-"));
        }
      }
    }
    return changes;
  }

  const watch_ended* ended() const {
    for (const auto& ev : events) {
      if (const auto* found = std::get_if<watch_ended>(&ev)) {
        return found;
      }
    }
    return nullptr;
  }
};

TEST_F(platform_worker_test, compares_and_swaps_and_reads_back) {
  const auto created = call(kv_txn{{{"a", {}}}, {{"a", std::string("\0\xff 1", 4)}}});
  ASSERT_TRUE(created && std::get<kv_txn_reply>(*created).applied);
  const auto conflicting = call(kv_txn{{{"a", {}}}, {{"a", "2"}}});
  ASSERT_TRUE(conflicting);
  EXPECT_FALSE(std::get<kv_txn_reply>(*conflicting).applied);
  const auto read = call(kv_range{"a", prefix_end("a")});
  ASSERT_TRUE(read);
  const auto& range = std::get<kv_range_reply>(*read);
  ASSERT_EQ(range.pairs.size(), 1U);
  EXPECT_EQ(range.pairs[0].value, std::string("\0\xff 1", 4));
  EXPECT_EQ(range.pairs[0].modified, range.store);
}

TEST_F(platform_worker_test, reads_in_pages_at_one_revision) {
  ASSERT_TRUE(put("a/1", "x") && put("a/2", "x"));
  const auto first = call(kv_range{"a/", prefix_end("a/"), 1});
  ASSERT_TRUE(first);
  const auto page = std::get<kv_range_reply>(*first);
  EXPECT_TRUE(page.more);
  ASSERT_TRUE(put("a/2", "later"));
  const auto second = call(kv_range{"a/2", prefix_end("a/"), 1, page.store});
  ASSERT_TRUE(second);
  EXPECT_EQ(std::get<kv_range_reply>(*second).pairs.at(0).value, "x");
}

TEST_F(platform_worker_test, a_write_without_response_is_unknown_and_sent_once) {
  ASSERT_TRUE(put("a", "0"));
  platform.mode = fake_platform::reply_mode::lose_answers;
  platform.calls.clear();
  const auto answer = call(kv_txn{{}, {{"a", "1"}}});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().ran, outcome::unknown);
  EXPECT_EQ(platform.calls["/v3/kv/txn"], 1);
  platform.mode = fake_platform::reply_mode::normal;
  const auto read = call(kv_range{"a", ""});
  ASSERT_TRUE(read);
  EXPECT_EQ(std::get<kv_range_reply>(*read).pairs.at(0).value, "1");
}

TEST_F(platform_worker_test, orders_and_usage_reports_are_sent_once) {
  platform.mode = fake_platform::reply_mode::lose_answers;
  const auto order = call(upstream_order{zone_id{"z"}, "on_demand", 3, {5}, 7});
  ASSERT_FALSE(order);
  EXPECT_EQ(order.error().ran, outcome::unknown);
  EXPECT_EQ(platform.calls["/v1/zones/z/upstream-orders"], 1);
  usage_record record;
  record.zone = zone_id{"z"};
  const auto report = call(usage_report{"z/0/0", record});
  ASSERT_FALSE(report);
  EXPECT_EQ(platform.calls["/v1/usage"], 1);
  platform.mode = fake_platform::reply_mode::normal;
  EXPECT_TRUE(call(upstream_order{zone_id{"z"}, "on_demand", 3, {5}, 7}).has_value());
  EXPECT_TRUE(call(usage_report{"z/0/0", record}).has_value());
}

TEST_F(platform_worker_test, a_refused_connection_is_not_run) {
  QTcpServer closed;
  ASSERT_TRUE(closed.listen(QHostAddress::LocalHost));
  const auto port = closed.serverPort();
  closed.close();
  connect_to(port);
  const auto answer = call(kv_txn{{}, {{"a", "1"}}});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().ran, outcome::not_run);
}

TEST_F(platform_worker_test, a_5xx_response_leaves_a_write_unknown) {
  platform.mode = fake_platform::reply_mode::failing;
  const auto answer = call(kv_txn{{}, {{"a", "1"}}});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().ran, outcome::unknown);
  EXPECT_EQ(answer.error().code, error_code::unavailable);
}

TEST_F(platform_worker_test, silence_ends_a_call_and_later_calls_use_new_connections) {
  platform.mode = fake_platform::reply_mode::silent;
  const auto answer = call(kv_txn{{}, {{"a", "1"}}});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().ran, outcome::unknown);
  platform.mode = fake_platform::reply_mode::normal;
  EXPECT_TRUE(put("a", "2"));
}

TEST_F(platform_worker_test, a_lease_is_renewed_until_it_is_revoked) {
  const auto granted = call(lease_grant{seconds{60}});
  ASSERT_TRUE(granted);
  const auto lease = std::get<lease_reply>(*granted).lease;
  const auto renewed = call(lease_keep_alive{lease});
  ASSERT_TRUE(renewed);
  EXPECT_EQ(std::get<lease_reply>(*renewed).ttl, seconds{60});
  ASSERT_TRUE(call(lease_revoke{lease}).has_value());
  const auto expired = call(lease_keep_alive{lease});
  ASSERT_TRUE(expired);
  EXPECT_EQ(std::get<lease_reply>(*expired).ttl, seconds{0});
}

TEST_F(platform_worker_test, a_watch_delivers_all_changes_in_order) {
  ASSERT_TRUE(put("w/1", "a"));
  const auto started = call(watch_start{"w/", prefix_end("w/"), {1}});
  ASSERT_TRUE(started && std::holds_alternative<watch_started>(*started));
  ASSERT_TRUE(put("w/2", "b") && put("x", "not seen") && put("w/1", std::nullopt));
  const std::vector<std::string> all{"w/1=a", "w/2=b", "w/1=-"};
  EXPECT_TRUE(wait_for([&] { return watched() == all; }));
  EXPECT_EQ(ended(), nullptr);
}

TEST_F(platform_worker_test, a_silent_watch_continues_over_a_new_stream) {
  const auto started = call(watch_start{"w", "", {1}});
  ASSERT_TRUE(started);
  ASSERT_TRUE(put("w", "1"));
  ASSERT_TRUE(wait_for([&] { return watched().size() == 1; }));
  platform.control("/platform/silence-watches");
  ASSERT_TRUE(put("w", "2"));
  ASSERT_TRUE(wait_for([&] { return watched().size() == 2; }));
  EXPECT_EQ(platform.calls["/v3/watch"], 2);
  EXPECT_EQ(ended(), nullptr);
  ASSERT_TRUE(put("w", "3"));
  EXPECT_TRUE(wait_for([&] { return watched().size() == 3; }));
}

TEST_F(platform_worker_test, a_watch_that_stays_silent_ends) {
  ASSERT_TRUE(call(watch_start{"w", "", {1}}).has_value());
  platform.mode = fake_platform::reply_mode::silent;
  platform.control("/platform/silence-watches");
  ASSERT_TRUE(wait_for([&] { return ended() != nullptr; }));
  EXPECT_FALSE(ended()->compacted);
}

TEST_F(platform_worker_test, a_watch_from_a_compacted_revision_reports_it) {
  ASSERT_TRUE(put("w", "1") && put("w", "2"));
  platform.control("/v3/kv/compaction", R"({"revision":"3"})");
  begin(watch_start{"w", "", {2}});
  ASSERT_TRUE(wait_for([&] { return ended() != nullptr; }));
  EXPECT_TRUE(ended()->compacted);
}

TEST_F(platform_worker_test, reads_the_instance_list) {
  platform.control("/standin/instances",
                   R"([{"name":"e1","kind":"engine","zone":"z1","region":"r","address":"10.0.0.1",
                        "port":9001,"service":"","leaving":true},
                       {"name":"s1","kind":"service","zone":"z2","region":"r","address":"10.0.0.2",
                        "port":9002,"service":"signing","leaving":false}])");
  const auto answer = call(list_instances{});
  ASSERT_TRUE(answer);
  const auto& list = std::get<instances_reply>(*answer).instances;
  ASSERT_EQ(list.size(), 2U);
  EXPECT_EQ(list[0], (listed_instance{"e1", instance_kind::engine, zone_id{"z1"}, "r", "10.0.0.1",
                                      9001, "", true}));
  EXPECT_EQ(list[1].service, "signing");
}

TEST_F(platform_worker_test, replies_are_held_while_the_ring_is_full) {
  ring_full = true;
  const call_id id = begin(list_instances{});
  ASSERT_TRUE(wait_for([&] {
    return metrics
               .get_counter("nutmegspur_platform_calls_total",
                            {{"kind", "list_instances"}, {"result", "ok"}})
               .value() == 1;
  }));
  EXPECT_EQ(find(id), nullptr);
  ring_full = false;
  EXPECT_TRUE(wait_for([&] { return find(id) != nullptr; }));
}

TEST(etcd_codec, malformed_responses_are_errors) {
  for (const char* body : {"", "[]", "{", "null", "{\"items\":3}"}) {
    EXPECT_FALSE(decode(list_instances{}, 200, body).has_value()) << body;
    EXPECT_FALSE(decode_watch(body).has_value()) << body;
  }
}

} // namespace
} // namespace nutmegspur::etcd_http
