// HTTP server of the operators' API.
#include "resource_http.h"

#include <QtCore/QMetaEnum>
#include <QtHttpServer/QHttpServerRequest>
#include <QtNetwork/QHostAddress>

#include <algorithm>

namespace nutmegspur::operators {

namespace {

constexpr std::size_t max_open_calls = 256;
// A watch whose client falls this far behind is ended; the client can resume from the last revision
// that it received.
constexpr qint64 max_unsent_bytes = qint64{16} * 1024 * 1024;

constexpr int status_ok = 200;

std::string
method_of(const QHttpServerRequest& request) {
  const auto table = QMetaEnum::fromType<QHttpServerRequest::Method>();
  return QByteArray(table.valueToKey(static_cast<int>(request.method()))).toUpper().toStdString();
}

operator_call
to_operator_call(const QHttpServerRequest& request) {
  return {method_of(request),
          request.url().path(),
          request.query(),
          request.value("authorization"),
          request.value("if-match"),
          request.value("if-none-match"),
          request.body()};
}

const bool registered = worker_registry::instance().add(
    "operators/resource_http", [](const worker_context& context) -> std::unique_ptr<duty_worker> {
      return std::make_unique<resource_http>(context);
    });

} // namespace

/// Passes each request to the worker, with the socket for the response.
class resource_http::server : public QAbstractHttpServer {
 public:
  explicit server(resource_http& owner) : owner_(owner) {}

 protected:
  bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override {
    owner_.on_call(to_operator_call(request), socket);
    return true;
  }

  void missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* socket) override {
    socket->abort();
  }

 private:
  resource_http& owner_;
};

resource_http::resource_http(const worker_context& context) : context_(context) {}

resource_http::~resource_http() {
  resource_http::stop();
}

result<void>
resource_http::start(event_sink sink) {
  sink_ = std::move(sink);
  server_ = std::make_unique<server>(*this);
  const settings& config = context_.config;
  const QHostAddress address{QString::fromStdString(config.bind_address)};
  if (server_->listen(address, config.operator_port) == 0) {
    return fail({error_code::unavailable, step::settings_parse, "",
                 "cannot listen on operator port " + std::to_string(config.operator_port)});
  }
  return {};
}

void
resource_http::stop() {
  calls_.clear();
  server_.reset();
  sink_ = nullptr;
}

void
resource_http::carry_out(const action& what) {
  if (const auto* it = std::get_if<resource_response>(&what)) {
    on_response(*it);
  }
}

void
resource_http::on_call(const operator_call& it, QTcpSocket* socket) {
  const request_id id{++last_request_id_};
  context_.metrics.get_counter("nutmegspur_operator_calls_total").add();
  if (it.path == QLatin1String("/healthz")) {
    send(socket, status_ok, R"({"ok":true})");
    return;
  }
  if (static_cast<std::uint64_t>(it.body.size()) > context_.config.max_body_bytes) {
    send_error(socket,
               {error_code::too_large, step::caller_read, "",
                "the body exceeds the limit of " + std::to_string(context_.config.max_body_bytes) +
                    " bytes"},
               id);
    return;
  }
  auto parsed = parse_call(it);
  if (!parsed) {
    send_error(socket, parsed.error(), id);
    return;
  }
  parsed->request.request = id;
  const error overloaded_error{
      error_code::overloaded, step::caller_read, "", "too many operator calls in progress",
      outcome::not_run,       milliseconds{1000}};
  if (calls_.size() >= max_open_calls) {
    send_error(socket, overloaded_error, id);
    return;
  }
  calls_[id] = {socket, std::move(parsed->new_secret), parsed->request.verb, false};
  QObject::connect(socket, &QTcpSocket::disconnected, server_.get(), [this, id] { on_closed(id); });
  if (!sink_(std::move(parsed->request))) {
    calls_.erase(id);
    send_error(socket, overloaded_error, id);
  }
}

void
resource_http::on_closed(request_id id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  // A write is not cancelled; clients read its outcome from the resource. Only watches are ended.
  // If the event ring is full now, `on_response` posts the event again at the watch's next line.
  if (it->second.verb == resource_verb::watch) {
    sink_(caller_disconnected{id});
  }
  calls_.erase(it);
}

void
resource_http::on_response(const resource_response& it) {
  const auto found = calls_.find(it.request);
  if (found == calls_.end()) {
    if (!it.last) {
      sink_(caller_disconnected{it.request});
    }
    return;
  }
  open_call& call = found->second;
  if (call.verb == resource_verb::watch && (it.json || call.streaming)) {
    write_stream(call, it);
    return;
  }
  const open_call done = std::move(call);
  calls_.erase(found);
  if (!done.socket) {
    return;
  }
  if (!it.json) {
    send_error(done.socket, it.json.error(), it.request);
    return;
  }
  const std::string json = done.secret.empty() ? *it.json : with_secret(*it.json, done.secret);
  QByteArray extra_headers =
      "x-config-revision: " + QByteArray::number(qint64{it.at.value}) + "\r\n";
  if (const QByteArray tag = entity_tag(json); !tag.isEmpty()) {
    extra_headers += "etag: " + tag + "\r\n";
  }
  send(done.socket, status_ok, QByteArray::fromStdString(json), extra_headers);
}

void
resource_http::write_stream(open_call& call, const resource_response& it) {
  QTcpSocket* socket = call.socket;
  if (socket == nullptr) {
    return;
  }
  if (!call.streaming) {
    call.streaming = true;
    socket->write("HTTP/1.1 200 OK\r\ncontent-type: application/jsonl\r\n"
                  "connection: close\r\ntransfer-encoding: chunked\r\n\r\n");
  }
  const QByteArray line =
      (it.json ? QByteArray::fromStdString(*it.json) : error_body(it.json.error(), it.request)) +
      '\n';
  socket->write(QByteArray::number(line.size(), 16) + "\r\n" + line + "\r\n");
  if (socket->bytesToWrite() > max_unsent_bytes) {
    socket->abort();
    return;
  }
  if (it.last) {
    calls_.erase(it.request);
    socket->write("0\r\n\r\n");
    socket->disconnectFromHost();
  }
}

void
resource_http::send_error(QTcpSocket* socket, const error& ec, request_id id) {
  QByteArray extra_headers;
  if (ec.retry_after) {
    constexpr int ms_per_second = 1000;
    const auto retry_after_s = (ec.retry_after->count() + ms_per_second - 1) / ms_per_second;
    extra_headers =
        "retry-after: " + QByteArray::number(static_cast<qint64>(retry_after_s)) + "\r\n";
  }
  send(socket, http_status(ec.code), error_body(ec, id), extra_headers);
}

void
resource_http::send(QTcpSocket* socket, int status, const QByteArray& body,
                    const QByteArray& extra_headers) {
  socket->write("HTTP/1.1 " + QByteArray::number(status) +
                " -\r\ncontent-type: application/json\r\nconnection: close\r\n" + extra_headers +
                "content-length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
  socket->disconnectFromHost();
}

} // namespace nutmegspur::operators
