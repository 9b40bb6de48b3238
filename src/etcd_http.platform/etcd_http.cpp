// HTTP calls and watches of the platform.
#include "etcd_http.h"

#include <nutmegspur/event_log.h>

#include <QtCore/QTimer>

namespace nutmegspur::etcd_http {

namespace {

constexpr milliseconds flush_period{5};

error
unavailable_error(const std::string& message, outcome ran) {
  return {error_code::unavailable, step::platform_call, "platform", message, ran, seconds{1}};
}

/// The time after which a call must not be sent; none for calls that require no authority.
std::optional<time_point>
send_deadline(const platform_request& request) {
  if (const auto* order = std::get_if<upstream_order>(&request)) {
    return order->not_after;
  }
  if (const auto* report = std::get_if<usage_report>(&request)) {
    return report->not_after;
  }
  return std::nullopt;
}

std::shared_ptr<QNetworkAccessManager>
new_manager() {
  return {new QNetworkAccessManager, [](QNetworkAccessManager* it) { it->deleteLater(); }};
}

const bool registered = worker_registry::instance().add(
    "platform/etcd_http", [](const worker_context& context) -> std::unique_ptr<duty_worker> {
      return std::make_unique<platform_worker>(context);
    });

} // namespace

platform_worker::platform_worker(const worker_context& context) : context_(context) {}

platform_worker::~platform_worker() {
  stop();
}

result<void>
platform_worker::start(event_sink sink) {
  outbox_.set_sink(std::move(sink));
  scope_ = std::make_unique<QObject>();
  manager_ = new_manager();
  base_.setScheme("http");
  base_.setHost(QString::fromStdString(context_.config.platform_address));
  base_.setPort(context_.config.platform_port);
  return {};
}

void
platform_worker::stop() {
  outbox_.set_sink(nullptr);
  watches_.clear();
  deadline_calls_.clear();
  const auto calls = std::move(calls_);
  calls_.clear();
  for (const auto& [id, it] : calls) {
    // Only our slots are disconnected: the library ends the transfer through the reply's signals.
    it->reply->disconnect(scope_.get());
    it->reply->abort();
    it->reply->deleteLater();
    if (it->body) {
      it->body.release()->deleteLater();
    }
  }
  manager_.reset();
  scope_.reset();
}

void
platform_worker::carry_out(const action& what) {
  if (const auto* call = std::get_if<call_platform>(&what); call != nullptr && scope_) {
    start_call(*call);
  }
}

void
platform_worker::start_call(const call_platform& what) {
  if (const auto* watch = std::get_if<watch_start>(&what.request)) {
    return open_watch(what, *watch);
  }
  if (const auto* ending = std::get_if<watch_stop>(&what.request)) {
    end_watch(ending->watch);
    return post(platform_reply{what.call, accepted_reply{}, boot_clock::now()});
  }
  const http_call call = encode(what.request);
  if (calls_.size() + deadline_calls_.size() >= max_calls) {
    error ec = unavailable_error("too many platform calls in progress", outcome::not_run);
    ec.code = error_code::overloaded;
    return reply(what.call, call.kind, boot_clock::now(), fail(ec));
  }
  if (const auto not_after = send_deadline(what.request)) {
    return start_call_with_deadline(what, call, *not_after);
  }
  auto it = std::make_shared<pending_call>();
  it->what = what;
  it->kind = call.kind;
  it->asked_at = boot_clock::now();
  it->manager = manager_;
  calls_[what.call] = it;
  send(*it, call);
  pending_call* raw = it.get();
  QObject::connect(it->reply, &QNetworkReply::finished, scope_.get(), [this, it] { finish(it); });
  it->timeout_timer.setSingleShot(true);
  QObject::connect(&it->timeout_timer, &QTimer::timeout, scope_.get(), [raw] {
    raw->timed_out = true;
    raw->reply->abort();
  });
  it->timeout_timer.start(call_timeout);
}

void
platform_worker::start_call_with_deadline(const call_platform& what, const http_call& call,
                                          time_point not_after) {
  one_shot_request request;
  request.address = context_.config.platform_address;
  request.port = context_.config.platform_port;
  request.method = call.method;
  request.path = QByteArray(call.path);
  request.headers = "Content-Type: " + QByteArray(call.content_type) + "\r\n";
  if (!call.idempotency_key.isEmpty()) {
    request.headers += "Idempotency-Key: " + call.idempotency_key + "\r\n";
  }
  request.body = call.body;
  request.not_after = not_after;
  request.timeout = call_timeout;
  const time_point asked_at = boot_clock::now();
  const auto on_done = [this, what, kind = call.kind,
                        asked_at](const result<one_shot_response>& answer) {
    reply(what.call, kind, asked_at,
          answer ? decode(what.request, answer->status, answer->body) : fail(answer.error()));
    // The call is still on the stack: destroy it from the event loop.
    QTimer::singleShot(0, scope_.get(), [this, id = what.call] { deadline_calls_.erase(id); });
  };
  auto& it = deadline_calls_[what.call];
  it = std::make_unique<one_shot_call>(std::move(request), step::platform_call, on_done);
  it->start();
}

void
platform_worker::send(pending_call& it, const http_call& call) {
  QUrl url = base_;
  url.setPath(QString::fromLatin1(call.path));
  QNetworkRequest request(url);
  if (!call.idempotency_key.isEmpty()) {
    request.setRawHeader("Idempotency-Key", call.idempotency_key);
  }
  if (call.method == "GET") {
    it.reply = manager_->get(request);
    return;
  }
  request.setHeader(QNetworkRequest::ContentTypeHeader, call.content_type);
  if (!call.one_shot) {
    it.reply = manager_->post(request, call.body);
    return;
  }
  request.setHeader(QNetworkRequest::ContentLengthHeader, call.body.size());
  request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  it.body = std::make_unique<one_shot_body>(call.body);
  it.reply = manager_->post(request, it.body.get());
}

result<platform_answer>
platform_worker::result_of(const pending_call& it) const {
  const int status = it.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  const bool succeeded = it.reply->error() == QNetworkReply::NoError;
  if (status != 0 && !it.timed_out && (succeeded || status / 100 != 2)) {
    return decode(it.what.request, status, it.reply->readAll());
  }
  const bool refused = it.reply->error() == QNetworkReply::ConnectionRefusedError;
  const bool begun = it.body ? it.body->begun() : !refused;
  const std::string why =
      it.timed_out ? "no response within the time limit" : it.reply->errorString().toStdString();
  return fail(unavailable_error(why, begun ? outcome::unknown : outcome::not_run));
}

void
platform_worker::finish(const std::shared_ptr<pending_call>& it) {
  it->timeout_timer.stop();
  if (it->timed_out) {
    replace_manager();
  }
  calls_.erase(it->what.call);
  reply(it->what.call, it->kind, it->asked_at, result_of(*it));
  // The reply and its body are still in use by callers on the stack.
  it->reply->disconnect(scope_.get());
  it->reply->deleteLater();
  if (it->body) {
    it->body.release()->deleteLater();
  }
  QTimer::singleShot(0, scope_.get(), [keep = it] {});
}

void
platform_worker::replace_manager() {
  // If one connection is dead, idle ones to the same address may be dead too.
  manager_ = new_manager();
}

void
platform_worker::open_watch(const call_platform& what, const watch_start& request) {
  const call_id id = what.call;
  const time_point asked_at = boot_clock::now();
  QUrl url = base_;
  url.setPath("/v3/watch");
  auto started = std::make_shared<bool>(false);
  watch_stream::callbacks calls;
  calls.opened = [this] { count("watch_open", "begun"); };
  calls.started = [this, id, asked_at, started](revision store) {
    *started = true;
    reply(id, "watch_start", asked_at, watch_started{store});
  };
  calls.batch = [this, id](std::vector<kv_change> changes, revision store) {
    if (outbox_.size() >= max_held_events) {
      end_watch(id);
      return post(
          watch_ended{id, false,
                      unavailable_error("watch ended: too many events wait for the decision thread",
                                        outcome::not_run)});
    }
    post(watch_batch{id, std::move(changes), store});
  };
  calls.ended = [this, id, asked_at, started](bool compacted, const error& why) {
    if (*started || compacted) {
      if (!*started) {
        reply(id, "watch_start", asked_at, watch_started{});
      }
      post(watch_ended{id, compacted, why});
    } else {
      reply(id, "watch_start", asked_at, fail(why));
    }
    end_watch(id);
  };
  auto watch = std::make_unique<watch_stream>(url, request, std::move(calls));
  watch_stream* raw = watch.get();
  watches_[id] = std::move(watch);
  raw->open();
}

void
platform_worker::end_watch(const call_id& watch) {
  const auto it = watches_.find(watch);
  if (it == watches_.end()) {
    return;
  }
  // The caller may be a callback of the watch: destroy it from the event loop.
  std::shared_ptr<watch_stream> ending = std::move(it->second);
  watches_.erase(it);
  ending->close();
  QTimer::singleShot(0, scope_.get(), [ending] {});
}

void
platform_worker::reply(const call_id& call, std::string_view kind, time_point asked_at,
                       result<platform_answer> answer) {
  count(kind, answer ? "ok" : to_name(answer.error().code));
  update_reachability(answer);
  post(platform_reply{call, std::move(answer), asked_at});
}

void
platform_worker::count(std::string_view kind, std::string_view outcome_name) {
  context_.metrics
      .get_counter("nutmegspur_platform_calls_total",
                   {{"kind", std::string{kind}}, {"result", std::string{outcome_name}}})
      .add();
}

void
platform_worker::update_reachability(const result<platform_answer>& answer) {
  const bool now = answer || answer.error().code != error_code::unavailable;
  if (now == reachable_) {
    return;
  }
  reachable_ = now;
  if (now) {
    log(log_event::platform_reachable);
  } else {
    log(log_event::platform_unreachable, answer.error());
  }
}

void
platform_worker::post(event ev) {
  outbox_.post(std::move(ev));
  flush();
}

void
platform_worker::flush() {
  if (outbox_.flush() || flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  QTimer::singleShot(flush_period, scope_.get(), [this] {
    flush_scheduled_ = false;
    flush();
  });
}

} // namespace nutmegspur::etcd_http
