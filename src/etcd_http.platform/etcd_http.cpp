// The platform adapter's worker.
#include "etcd_http.h"

#include <nutmegspur/event_log.h>

#include <QtCore/QTimer>

namespace nutmegspur::etcd_http {

namespace {

constexpr milliseconds flush_period{5};

error
lost(const std::string& message, outcome ran) {
  return {error_code::unavailable, step::platform_call, "platform", message, ran, seconds{1}};
}

/// Until when a call may be written, for those that need authority.
std::optional<time_point>
last_moment(const platform_request& request) {
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
      return std::make_unique<adapter>(context);
    });

} // namespace

adapter::adapter(const worker_context& context) : context_(context) {}

adapter::~adapter() {
  stop();
}

result<void>
adapter::start(event_sink sink) {
  outbox_.set_sink(std::move(sink));
  scope_ = std::make_unique<QObject>();
  manager_ = new_manager();
  base_.setScheme("http");
  base_.setHost(QString::fromStdString(context_.config.platform_address));
  base_.setPort(context_.config.platform_port);
  return {};
}

void
adapter::stop() {
  outbox_.set_sink(nullptr);
  watches_.clear();
  bounded_calls_.clear();
  const auto calls = std::move(calls_);
  calls_.clear();
  for (const auto& [id, it] : calls) {
    // Only our own connections: the library ends the transfer through one of the reply's own.
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
adapter::carry_out(const action& what) {
  if (const auto* call = std::get_if<call_platform>(&what); call != nullptr && scope_) {
    begin(*call);
  }
}

void
adapter::begin(const call_platform& what) {
  if (const auto* watch = std::get_if<watch_start>(&what.request)) {
    return begin_watch(what, *watch);
  }
  if (const auto* ending = std::get_if<watch_stop>(&what.request)) {
    end_watch(ending->watch);
    return post(platform_reply{what.call, accepted_reply{}, boot_clock::now()});
  }
  const http_call call = encode(what.request);
  if (calls_.size() + bounded_calls_.size() >= max_calls) {
    error ec = lost("too many calls are under way", outcome::not_run);
    ec.code = error_code::overloaded;
    return reply(what.call, call.kind, boot_clock::now(), fail(ec));
  }
  if (const auto not_after = last_moment(what.request)) {
    return begin_bounded(what, call, *not_after);
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
  it->limit.setSingleShot(true);
  QObject::connect(&it->limit, &QTimer::timeout, scope_.get(), [raw] {
    raw->timed_out = true;
    raw->reply->abort();
  });
  it->limit.start(call_limit);
}

void
adapter::begin_bounded(const call_platform& what, const http_call& call, time_point not_after) {
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
  request.timeout = call_limit;
  const time_point asked_at = boot_clock::now();
  const auto on_done = [this, what, kind = call.kind,
                        asked_at](const result<one_shot_response>& answer) {
    reply(what.call, kind, asked_at,
          answer ? decode(what.request, answer->status, answer->body) : fail(answer.error()));
    // The call is still on the stack.
    QTimer::singleShot(0, scope_.get(), [this, id = what.call] { bounded_calls_.erase(id); });
  };
  auto& it = bounded_calls_[what.call];
  it = std::make_unique<one_shot_call>(std::move(request), step::platform_call, on_done);
  it->start();
}

void
adapter::send(pending_call& it, const http_call& call) {
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
adapter::answer_of(const pending_call& it) const {
  const int status = it.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  const bool whole = it.reply->error() == QNetworkReply::NoError;
  if (status != 0 && !it.timed_out && (whole || status / 100 != 2)) {
    return decode(it.what.request, status, it.reply->readAll());
  }
  const bool refused = it.reply->error() == QNetworkReply::ConnectionRefusedError;
  const bool begun = it.body ? it.body->begun() : !refused;
  const std::string why =
      it.timed_out ? "no answer in time" : it.reply->errorString().toStdString();
  return fail(lost(why, begun ? outcome::unknown : outcome::not_run));
}

void
adapter::finish(const std::shared_ptr<pending_call>& it) {
  it->limit.stop();
  if (it->timed_out) {
    renew_manager();
  }
  calls_.erase(it->what.call);
  reply(it->what.call, it->kind, it->asked_at, answer_of(*it));
  // The reply and its body are in use further up the stack.
  it->reply->disconnect(scope_.get());
  it->reply->deleteLater();
  if (it->body) {
    it->body.release()->deleteLater();
  }
  QTimer::singleShot(0, scope_.get(), [keep = it] {});
}

void
adapter::renew_manager() {
  // Idle connections beside a silent one may be just as dead.
  manager_ = new_manager();
}

void
adapter::begin_watch(const call_platform& what, const watch_start& request) {
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
          watch_ended{id, false, lost("the decision thread does not keep up", outcome::not_run)});
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
adapter::end_watch(const call_id& watch) {
  const auto it = watches_.find(watch);
  if (it == watches_.end()) {
    return;
  }
  // It may be calling us: destroy it from the event loop.
  std::shared_ptr<watch_stream> ending = std::move(it->second);
  watches_.erase(it);
  ending->close();
  QTimer::singleShot(0, scope_.get(), [ending] {});
}

void
adapter::reply(const call_id& call, std::string_view kind, time_point asked_at,
               result<platform_answer> answer) {
  count(kind, answer ? "ok" : to_name(answer.error().code));
  note_reachable(answer);
  post(platform_reply{call, std::move(answer), asked_at});
}

void
adapter::count(std::string_view kind, std::string_view outcome_name) {
  context_.metrics
      .get_counter("nutmegspur_platform_calls_total",
                   {{"kind", std::string{kind}}, {"result", std::string{outcome_name}}})
      .add();
}

void
adapter::note_reachable(const result<platform_answer>& answer) {
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
adapter::post(event ev) {
  outbox_.post(std::move(ev));
  flush();
}

void
adapter::flush() {
  if (outbox_.flush() || flushing_) {
    return;
  }
  flushing_ = true;
  QTimer::singleShot(flush_period, scope_.get(), [this] {
    flushing_ = false;
    flush();
  });
}

} // namespace nutmegspur::etcd_http
