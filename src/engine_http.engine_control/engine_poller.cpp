// Reads one engine's report and cache events.
#include "engine_poller.h"

#include "engine_codec.h"

#include <QtCore/QRandomGenerator>

#include <algorithm>

namespace nutmegspur::engine_http {

namespace {

constexpr int status_ok = 200;

} // namespace

engine_poller::engine_poller(set_polled_upstreams::target target, emit_event emit_it)
    : target_(std::move(target)), emit_(std::move(emit_it)) {
  next_.setSingleShot(true);
  QObject::connect(&next_, &QTimer::timeout, &next_, [this] { poll_report(); });
  next_.start(0);
}

void
engine_poller::schedule() {
  const auto span = static_cast<int>(period.count());
  next_.start(span / 2 + QRandomGenerator::global()->bounded(span));
}

void
engine_poller::get(const QByteArray& path, handler on_body) {
  one_shot_request request;
  request.address = target_.address;
  request.port = target_.port;
  request.method = "GET";
  request.path = path;
  request.timeout = call_limit;
  auto on_done = [this, on_body = std::move(on_body)](result<one_shot_response> answer) {
    if (!answer) {
      on_failed(answer.error());
      return;
    }
    refusals_ = 0;
    on_body(answer->status == status_ok ? answer->body : QByteArray{});
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
    emit_(page->report);
  }
  if (page && page->leaving != leaving_) {
    leaving_ = page->leaving;
    if (leaving_) {
      emit_(upstream_closing{target_.upstream, false, page->notice});
    }
  }
  // The call that is being handled must end before the next takes its place.
  QTimer::singleShot(0, &next_, [this] { poll_events(); });
}

void
engine_poller::poll_events() {
  const QByteArray path = "/engine/cache-events?after=" + QByteArray::number(last_event_);
  get(path, [this](const QByteArray& body) {
    for (auto& it : decode_cache_events(target_.upstream, body)) {
      last_event_ = std::max(last_event_, it.number);
      emit_(std::move(it));
    }
    schedule();
  });
}

void
engine_poller::on_failed(const error& ec) {
  // Refused: nothing listens there. Anything else may be a cut, which says nothing of the engine.
  const bool refused = ec.ran == outcome::not_run && ec.code == error_code::unavailable;
  refusals_ = refused ? refusals_ + 1 : 0;
  if (refusals_ == refusals_when_gone) {
    last_event_ = 0;
    emit_(upstream_closing{target_.upstream, true, seconds{0}});
  }
  schedule();
}

} // namespace nutmegspur::engine_http
