// Polling of an engine's report and cache events.
#include "engine_poller.h"

#include "engine_codec.h"

#include <QtCore/QRandomGenerator>

#include <algorithm>

namespace nutmegspur::engine_http {

namespace {

constexpr int status_ok = 200;

} // namespace

engine_poller::engine_poller(set_polled_upstreams::target target, event_callback on_event)
    : target_(std::move(target)), on_event_(std::move(on_event)) {
  poll_timer_.setSingleShot(true);
  QObject::connect(&poll_timer_, &QTimer::timeout, &poll_timer_, [this] { poll_report(); });
  poll_timer_.start(0);
}

void
engine_poller::schedule() {
  const auto period_ms = static_cast<int>(poll_period.count());
  poll_timer_.start(period_ms / 2 + QRandomGenerator::global()->bounded(period_ms));
}

void
engine_poller::get(const QByteArray& path, handler on_body) {
  one_shot_request request;
  request.address = target_.address;
  request.port = target_.port;
  request.method = "GET";
  request.path = path;
  request.timeout = call_timeout;
  auto on_done = [this, on_body = std::move(on_body)](result<one_shot_response> response) {
    if (!response) {
      on_failed(response.error());
      return;
    }
    refusals_ = 0;
    on_body(response->status == status_ok ? response->body : QByteArray{});
  };
  call_ = std::make_unique<one_shot_call>(std::move(request), step::route, std::move(on_done));
  call_->start();
}

void
engine_poller::poll_report() {
  const moment asked_at = system_clock_source::now();
  get("/engine/report", [this, asked_at](const QByteArray& body) { on_report(body, asked_at); });
}

void
engine_poller::on_report(const QByteArray& body, const moment& asked_at) {
  const auto page = decode_report(target_.upstream, body, asked_at);
  if (page) {
    on_event_(page->report);
  }
  if (page && page->leaving != leaving_) {
    leaving_ = page->leaving;
    if (leaving_) {
      on_event_(upstream_closing{target_.upstream, false, page->notice});
    }
  }
  // The current call must return before the next one replaces it.
  QTimer::singleShot(0, &poll_timer_, [this] { poll_events(); });
}

void
engine_poller::poll_events() {
  const QByteArray path = "/engine/cache-events?after=" + QByteArray::number(last_event_);
  get(path, [this](const QByteArray& body) {
    for (auto& it : decode_cache_events(target_.upstream, body)) {
      last_event_ = std::max(last_event_, it.number);
      on_event_(std::move(it));
    }
    schedule();
  });
}

void
engine_poller::on_failed(const error& ec) {
  // A refused connection means that no process listens. Other failures may be network faults, which
  // say nothing about the engine.
  const bool refused = ec.ran == outcome::not_run && ec.code == error_code::unavailable;
  refusals_ = refused ? refusals_ + 1 : 0;
  if (refusals_ == max_refusals) {
    last_event_ = 0;
    on_event_(upstream_closing{target_.upstream, true, seconds{0}});
  }
  schedule();
}

} // namespace nutmegspur::engine_http
