// The worker "engine_control/engine_http": sends orders to engines, and reads the reports and cache
// events of those that this instance polls.
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

/// The longest time from an order's write to its arrival. The order keeper's `delivery_bound` must
/// not be shorter.
constexpr seconds order_bound{5};
/// Orders under way at once.
constexpr std::size_t max_orders = 64;
/// An outcome that the full ring refused is offered again after this.
constexpr milliseconds held_retry{5};
constexpr int status_conflict = 409;
constexpr int status_accepted = 2; ///< Hundreds.

result<void>
meaning_of(const result<one_shot_response>& answer, const std::string& peer) {
  if (!answer) {
    error ec = answer.error();
    ec.peer = peer;
    return fail(ec);
  }
  if (answer->status / 100 == status_accepted) {
    return {};
  }
  // An engine that refuses an order says why before it does anything.
  const bool refused = answer->status == status_conflict;
  return fail({refused ? error_code::conflict : error_code::upstream_failed, step::intent_send,
               peer, "status " + std::to_string(answer->status),
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
    held_.clear();
    scope_.reset();
  }

 private:
  using call_list = std::list<std::unique_ptr<one_shot_call>>;

  void send(const send_order& what);
  void poll(const std::vector<set_polled_upstreams::target>& targets);
  void answered(const engine_order& order, result<void> answer);
  void offer_held();

  metric_registry& metrics_;
  event_sink sink_;
  std::unique_ptr<QObject> scope_; ///< Null while stopped.
  call_list orders_;
  std::map<upstream_id, std::unique_ptr<engine_poller>> pollers_;
  std::deque<order_reply> held_; ///< Outcomes that wait for room in the ring.
};

void
engine_worker::send(const send_order& what) {
  if (orders_.size() >= max_orders) {
    answered(what.order, fail({error_code::overloaded, step::intent_send, what.order.upstream.value,
                               "too many orders are under way", outcome::not_run}));
    return;
  }
  one_shot_request request;
  request.address = what.address;
  request.port = what.port;
  request.path = "/engine/orders";
  request.headers = "Content-Type: application/json\r\n";
  request.body = encode_order(what.order);
  request.not_after = what.order.not_after;
  request.timeout = order_bound;
  const auto place = orders_.emplace(orders_.end());
  *place = std::make_unique<one_shot_call>(
      std::move(request), step::intent_send,
      [this, place, order = what.order](const result<one_shot_response>& answer) {
        answered(order, meaning_of(answer, order.upstream.value));
        // The call is still on the stack.
        QTimer::singleShot(0, scope_.get(), [this, place] { orders_.erase(place); });
      });
  (*place)->start();
}

void
engine_worker::answered(const engine_order& order, result<void> answer) {
  const std::string_view name = answer ? "accepted" : to_name(answer.error().code);
  metrics_.get_counter("nutmegspur_engine_orders_total", {{"result", std::string{name}}}).add();
  held_.push_back({order.upstream, order.sequence, std::move(answer)});
  if (held_.size() == 1) {
    offer_held();
  }
}

void
engine_worker::offer_held() {
  while (!held_.empty()) {
    if (!sink_(event{held_.front()})) {
      QTimer::singleShot(held_retry, scope_.get(), [this] { offer_held(); });
      return;
    }
    held_.pop_front();
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
      // A report that finds the ring full is dropped: the next is newer.
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
