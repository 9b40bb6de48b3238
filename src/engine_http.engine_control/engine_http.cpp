// The worker "engine_control/engine_http": sends orders to engines, and polls the reports and cache
// events of the engines that are assigned to this instance.
#include "engine_codec.h"
#include "engine_poller.h"
#include "one_shot_call.h"

#include <nutmegspur/kernel.h>

#include <QtCore/QTimer>

#include <algorithm>
#include <deque>
#include <list>
#include <map>

namespace nutmegspur::engine_http {

namespace {

/// Longest time from the write of an order to its arrival. `delivery_bound` of the order manager
/// must not be shorter.
constexpr seconds order_timeout{5};
/// Limit of orders in progress.
constexpr std::size_t max_orders = 64;
/// Delay before an outcome that found the event ring full is posted again.
constexpr milliseconds held_retry_delay{5};
constexpr int status_conflict = 409;
constexpr int success_class = 2; ///< Hundreds digit of the status.

result<void>
order_result(const result<one_shot_response>& response, const std::string& peer) {
  if (!response) {
    error ec = response.error();
    ec.peer = peer;
    return fail(ec);
  }
  if (response->status / 100 == success_class) {
    return {};
  }
  // An engine rejects an order with 409 before it executes any part of it.
  const bool refused = response->status == status_conflict;
  return fail({refused ? error_code::conflict : error_code::upstream_failed, step::intent_send,
               peer, "status " + std::to_string(response->status),
               refused ? outcome::not_run : outcome::unknown});
}

/// The worker. Lives on one thread with a Qt event loop.
class engine_worker final : public duty_worker {
 public:
  explicit engine_worker(const worker_context& context) : metrics_(context.metrics) {}

  result<void> start(event_sink sink) override {
    sink_ = std::move(sink);
    scope_ = std::make_unique<QObject>();
    return {};
  }

  void carry_out(const action& what) override {
    if (!scope_) {
      return;
    }
    if (const auto* order = std::get_if<send_order>(&what)) {
      send(*order);
    } else if (const auto* polled = std::get_if<set_polled_upstreams>(&what)) {
      poll(polled->targets);
    }
  }

  void stop() override {
    pollers_.clear();
    orders_.clear();
    held_replies_.clear();
    scope_.reset();
  }

 private:
  using call_list = std::list<std::unique_ptr<one_shot_call>>;

  void send(const send_order& what);
  void poll(const std::vector<set_polled_upstreams::target>& targets);
  void on_order_done(const engine_order& order, result<void> response);
  void post_held_replies();

  metric_registry& metrics_;
  event_sink sink_;
  std::unique_ptr<QObject> scope_; ///< Null while stopped.
  call_list orders_;
  std::map<upstream_id, std::unique_ptr<engine_poller>> pollers_;
  std::deque<order_reply> held_replies_; ///< Outcomes that wait for room in the event ring.
};

void
engine_worker::send(const send_order& what) {
  if (orders_.size() >= max_orders) {
    on_order_done(what.order,
                  fail({error_code::overloaded, step::intent_send, what.order.upstream.value,
                        "too many orders in progress", outcome::not_run}));
    return;
  }
  one_shot_request request;
  request.address = what.address;
  request.port = what.port;
  request.path = "/engine/orders";
  request.headers = "Content-Type: application/json\r\n";
  request.body = encode_order(what.order);
  request.not_after = what.order.not_after;
  request.timeout = order_timeout;
  const auto position = orders_.emplace(orders_.end());
  *position = std::make_unique<one_shot_call>(
      std::move(request), step::intent_send,
      [this, position, order = what.order](const result<one_shot_response>& response) {
        on_order_done(order, order_result(response, order.upstream.value));
        // The call is still on the stack: destroy it from the event loop.
        QTimer::singleShot(0, scope_.get(), [this, position] { orders_.erase(position); });
      });
  (*position)->start();
}

void
engine_worker::on_order_done(const engine_order& order, result<void> response) {
  const std::string_view name = response ? "accepted" : to_name(response.error().code);
  metrics_.get_counter("nutmegspur_engine_orders_total", {{"result", std::string{name}}}).add();
  held_replies_.push_back({order.upstream, order.sequence, std::move(response)});
  if (held_replies_.size() == 1) {
    post_held_replies();
  }
}

void
engine_worker::post_held_replies() {
  while (!held_replies_.empty()) {
    if (!sink_(event{held_replies_.front()})) {
      QTimer::singleShot(held_retry_delay, scope_.get(), [this] { post_held_replies(); });
      return;
    }
    held_replies_.pop_front();
  }
}

void
engine_worker::poll(const std::vector<set_polled_upstreams::target>& targets) {
  std::erase_if(pollers_, [&](const auto& it) {
    return std::find(targets.begin(), targets.end(), it.second->target()) == targets.end();
  });
  for (const auto& it : targets) {
    auto& poller = pollers_[it.upstream];
    if (!poller) {
      // A report that finds the event ring full is dropped: the next one replaces it.
      poller = std::make_unique<engine_poller>(it, [this](event&& ev) { sink_(std::move(ev)); });
    }
  }
}

const bool registered = worker_registry::instance().add(
    "engine_control/engine_http",
    [](const worker_context& context) -> std::unique_ptr<duty_worker> {
      return std::make_unique<engine_worker>(context);
    });

} // namespace

} // namespace nutmegspur::engine_http
