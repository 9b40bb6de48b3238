// The HTTP server for callers.
#include "caller_server.h"

#include <nutmegspur/event_log.h>

#include <QtCore/QDateTime>
#include <QtCore/QMetaEnum>
#include <QtHttpServer/QHttpServerRequest>
#include <QtNetwork/QHostAddress>

#include <utility>

namespace nutmegspur::openai_http {
namespace {

constexpr std::uint64_t max_header_bytes = 64UL * 1024;
constexpr qint64 max_unsent_bytes = 1024L * 1024;
constexpr milliseconds event_retry_period{100};
constexpr milliseconds ring_full_retry_after{500};
constexpr double micros_per_second = 1e6;

std::string
method_name(QHttpServerRequest::Method method) {
  const auto table = QMetaEnum::fromType<QHttpServerRequest::Method>();
  return QByteArray(table.valueToKey(static_cast<int>(method))).toUpper().toStdString();
}

raw_request
to_raw_request(const QHttpServerRequest& from) {
  raw_request raw;
  raw.method = method_name(from.method());
  raw.url = from.url();
  for (const auto& [name, value] : from.headers()) {
    raw.headers.push_back({name.toLower().toStdString(), value.toStdString()});
  }
  raw.body = from.body();
  return raw;
}

bool
wants_close(const raw_request& raw) {
  return QByteArray::fromStdString(raw.header("connection")).toLower() == "close";
}

double
to_seconds(duration elapsed) {
  return static_cast<double>(elapsed.count()) / micros_per_second;
}

} // namespace

caller_server::caller_server(const worker_context& context, event_sink sink)
    : context_(context), sink_(std::move(sink)),
      listener_(connection_limits{context.config.max_body_bytes + max_header_bytes}) {
  listener_.set_id_source([this] { return public_id(request_id{++last_request_id_}); });
  listener_.set_on_closed([this](QTcpSocket* socket) { on_closed(socket); });
  QObject::connect(&retry_timer_, &QTimer::timeout, this, [this] { post_held_events(); });
  retry_timer_.start(event_retry_period);
}

result<void>
caller_server::listen_for_callers() {
  const auto& config = context_.config;
  const QHostAddress address{QString::fromStdString(config.bind_address)};
  if (!listener_.listen(address, config.caller_port)) {
    return fail({error_code::unavailable, step::settings_parse,
                 config.bind_address + ":" + std::to_string(config.caller_port),
                 "cannot listen for callers: " + listener_.errorString().toStdString()});
  }
  bind(&listener_);
  return {};
}

void
caller_server::close_all() {
  listener_.close();
  retry_timer_.stop();
  while (!by_socket_.empty()) {
    QTcpSocket* socket = by_socket_.begin()->first;
    end(by_socket_.begin()->second);
    socket->disconnectFromHost();
  }
}

bool
caller_server::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) {
  if (by_socket_.count(socket) > 0) {
    // Responses on a connection must keep the order of requests. Pipelining is legal but not
    // supported: the connection is closed after the pending response.
    pending_.at(by_socket_.at(socket)).close_after = true;
    return true;
  }
  listener_.request_received(socket);
  const raw_request raw = to_raw_request(request);
  if (!handle_local(raw, socket)) {
    handle_call(raw, socket);
  }
  return true;
}

void
caller_server::missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* socket) {
  socket->disconnectFromHost();
}

bool
caller_server::handle_local(const raw_request& raw, QTcpSocket* socket) {
  const QString path = raw.url.path();
  const bool close_after = wants_close(raw);
  std::vector<header_field> plain{{"content-type", "text/plain; charset=utf-8"}};
  if (path == QLatin1String("/healthz")) {
    write_document(socket, 200, "ok\n", plain, close_after);
  } else if (path == QLatin1String("/readyz")) {
    const QByteArray text =
        ready_.ready ? "ready\n" : QByteArray::fromStdString(ready_.reason + "\n");
    write_document(socket, ready_.ready ? 200 : 503, text, plain, close_after);
  } else if (path == QLatin1String("/metrics")) {
    write_document(socket, 200, QByteArray::fromStdString(context_.metrics.render()),
                   {{"content-type", "text/plain; version=0.0.4; charset=utf-8"}}, close_after);
  } else {
    return false;
  }
  return true;
}

void
caller_server::handle_call(const raw_request& raw, QTcpSocket* socket) {
  const request_id request{++last_request_id_};
  const bool close_after = wants_close(raw);
  const time_point now = boot_clock::now();
  auto parsed = parse_request(raw, request, context_.config, now);
  if (!parsed) {
    write_error(socket, parsed.error(), public_id(request), close_after);
    return;
  }
  pending_response it;
  it.socket = socket;
  it.stream = parsed->stream;
  it.include_usage = parsed->include_usage;
  it.has_body = raw.method != "HEAD";
  it.close_after = close_after;
  it.priority = parsed->arrived.priority;
  it.arrived = now;
  if (const auto* call = std::get_if<inference_call>(&parsed->arrived.call)) {
    const bool chat = call->format == api_format::chat_completions;
    it.inference = true;
    it.identity = {call->format, (chat ? "chatcmpl-" : "cmpl-") + public_id(request),
                   call->model.value, QDateTime::currentSecsSinceEpoch()};
  }
  const bool full = pending_.size() >= context_.config.max_in_flight;
  if (full || !sink_(nutmegspur::event{std::move(parsed->arrived)})) {
    const error why{error_code::overloaded,        step::admit,      "",
                    "this instance is overloaded", outcome::not_run, ring_full_retry_after};
    count(it, to_name(why.code));
    write_error(socket, why, public_id(request), close_after);
    return;
  }
  pending_.emplace(request, std::move(it));
  by_socket_.emplace(socket, request);
}

void
caller_server::on_start(const start_response& what) {
  const auto found = pending_.find(what.request);
  if (found == pending_.end()) {
    return;
  }
  pending_response& it = found->second;
  it.started = true;
  context_.metrics
      .get_histogram("nutmegspur_first_byte_seconds",
                     {{"team", what.team.value}, {"class", std::string{to_name(it.priority)}}})
      .observe(to_seconds(boot_clock::now() - it.arrived));
  if (it.inference && !it.stream) {
    return; // Written as one document by `on_end`.
  }
  auto headers = what.headers;
  if (it.inference) {
    headers = {{"content-type", "text/event-stream"}, {"cache-control", "no-cache"}};
  }
  headers.push_back({"x-request-id", public_id(what.request)});
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  if (what.status == no_content || what.status == not_modified) {
    it.has_body = false;
  } else {
    headers.push_back({"transfer-encoding", "chunked"});
  }
  write(it, response_head(what.status, headers));
}

void
caller_server::on_chunk(const send_chunk& what) {
  const auto found = pending_.find(what.request);
  if (found == pending_.end()) {
    return;
  }
  pending_response& it = found->second;
  if (!it.inference) {
    if (it.has_body && !what.text.empty()) {
      write(it, transfer_chunk(QByteArray::fromStdString(what.text)));
    }
    return;
  }
  if (!it.stream) {
    it.text += what.text;
    return;
  }
  const bool first = std::exchange(it.first_text, false);
  write(it, transfer_chunk(sse_event(stream_chunk(it.identity, what.text, first, ""))));
}

void
caller_server::on_end(const end_response& what) {
  const auto found = pending_.find(what.request);
  if (found == pending_.end()) {
    return;
  }
  pending_response& it = found->second;
  count(it, "ok");
  if (it.inference && !it.stream) {
    write_document(
        it.socket, 200, completion_document(it.identity, it.text, what.usage, what.finish_reason),
        {{"content-type", "application/json"}, {"x-request-id", public_id(what.request)}}, false);
  } else if (it.inference) {
    QByteArray tail =
        transfer_chunk(sse_event(stream_chunk(it.identity, "", it.first_text, what.finish_reason)));
    if (it.include_usage) {
      tail += transfer_chunk(sse_event(usage_chunk(it.identity, what.usage)));
    }
    write(it, tail + transfer_chunk(sse_event("[DONE]")) + last_transfer_chunk());
  } else if (it.has_body) {
    write(it, last_transfer_chunk());
  }
  end(what.request);
}

void
caller_server::on_failure(const fail_request& what) {
  const auto found = pending_.find(what.request);
  if (found == pending_.end()) {
    return;
  }
  pending_response& it = found->second;
  count(it, to_name(what.why.code));
  const bool headers_sent = it.started && (!it.inference || it.stream);
  if (!headers_sent) {
    write_error(it.socket, what.why, public_id(what.request), false);
  } else if (it.inference) {
    write(it, transfer_chunk(sse_event(error_document(what.why, public_id(what.request)))) +
                  last_transfer_chunk());
  } else {
    // Omitting the last chunk tells the caller that the service's response is truncated.
    it.close_after = true;
  }
  end(what.request);
}

void
caller_server::write(pending_response& it, const QByteArray& bytes) {
  it.socket->write(bytes);
  if (it.socket->bytesToWrite() > max_unsent_bytes) {
    it.socket->abort(); // The caller does not keep up; `on_closed` ends its request.
  }
}

void
caller_server::write_document(QTcpSocket* socket, int status, const QByteArray& body,
                              std::vector<header_field> headers, bool close_after) {
  headers.push_back({"content-length", std::to_string(body.size())});
  if (close_after) {
    headers.push_back({"connection", "close"});
  }
  socket->write(response_head(status, headers) + body);
  if (by_socket_.count(socket) == 0) {
    listener_.response_written(socket);
    if (close_after) {
      socket->disconnectFromHost();
    }
  }
}

void
caller_server::write_error(QTcpSocket* socket, const error& why, const std::string& id,
                           bool close_after) {
  auto headers = retry_headers(why);
  headers.push_back({"content-type", "application/json"});
  headers.push_back({"x-request-id", id});
  write_document(socket, http_status(why.code), error_document(why, id), std::move(headers),
                 close_after);
}

void
caller_server::end(request_id request) {
  const auto found = pending_.find(request);
  if (found == pending_.end()) {
    return; // The connection closed during the write.
  }
  QTcpSocket* socket = found->second.socket;
  const bool close_after = found->second.close_after;
  by_socket_.erase(socket);
  pending_.erase(found);
  listener_.response_written(socket);
  if (close_after) {
    socket->disconnectFromHost();
  }
}

void
caller_server::on_closed(QTcpSocket* socket) {
  const auto found = by_socket_.find(socket);
  if (found == by_socket_.end()) {
    return;
  }
  const request_id request = found->second;
  count(pending_.at(request), "caller_gone");
  by_socket_.erase(found);
  pending_.erase(request);
  post_event(caller_disconnected{request});
}

void
caller_server::post_event(nutmegspur::event&& ev) {
  nutmegspur::event copy = ev;
  if (!sink_(std::move(ev))) {
    held_events_.push_back(std::move(copy));
  }
}

void
caller_server::post_held_events() {
  std::vector<nutmegspur::event> again;
  again.swap(held_events_);
  for (auto& ev : again) {
    post_event(std::move(ev));
  }
}

std::string
caller_server::public_id(request_id request) const {
  return context_.config.instance.value + "-" + std::to_string(request.value);
}

void
caller_server::count(const pending_response& it, std::string_view code) {
  context_.metrics
      .get_counter("nutmegspur_answers_total",
                   {{"class", std::string{to_name(it.priority)}}, {"code", std::string{code}}})
      .add();
}

} // namespace nutmegspur::openai_http
