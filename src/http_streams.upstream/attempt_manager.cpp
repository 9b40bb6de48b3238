// Attempts at upstreams over HTTP/1.1.
#include "attempt_manager.h"

#include <nutmegspur/mechanisms.h>

#include <QtNetwork/QNetworkRequest>

#include <algorithm>
#include <vector>

namespace nutmegspur::http_streams {
namespace {

constexpr milliseconds timeout_check_period{100};
constexpr milliseconds event_retry_period{5};
constexpr qint64 read_buffer_bytes = 256L * 1024;
constexpr qsizetype max_error_text = 300;
constexpr int first_error_status = 400;

QNetworkRequest
make_request(const open_attempt& what, const connection_slot& slot) {
  QNetworkRequest request{QUrl::fromEncoded(
      QByteArray::fromStdString("http://" + slot.endpoint + what.path), QUrl::TolerantMode)};
  request.setPeerVerifyName(QString::fromStdString(slot.name));
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
  request.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
  request.setAttribute(QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
  request.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
  request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  // Override the defaults of the library.
  request.setRawHeader("user-agent", "nutmegspur");
  request.setRawHeader("accept-encoding", "identity");
  request.setRawHeader("accept-language", "*");
  for (const auto& field : what.headers) {
    request.setRawHeader(QByteArray::fromStdString(field.name),
                         QByteArray::fromStdString(field.value));
  }
  if (what.one_shot) {
    request.setRawHeader("connection", "close"); // The connection is not reused.
  }
  return request;
}

int
status_of(const QNetworkReply& reply) {
  return reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

/// Whether `status` is that of a final response (RFC 9110, 15).
bool
is_final_status(int status) {
  constexpr int first_final = 200;
  constexpr int last = 599;
  return status >= first_final && status <= last;
}

/// Whether the end of a response's body can be told from a connection that broke off. The library
/// reports a reset as it does a clean close, so one that ends with its connection proves nothing.
bool
is_framed(const QNetworkReply& reply, std::string_view method) {
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  const int status = status_of(reply);
  return method == "HEAD" || status == no_content || status == not_modified ||
         reply.hasRawHeader("Content-Length") || reply.hasRawHeader("Transfer-Encoding");
}

error_code
error_code_for_status(int status) {
  switch (status) {
  case 400:
  case 422:
    return error_code::invalid_argument;
  case 413:
    return error_code::too_large;
  case 429:
  case 503:
    return error_code::overloaded;
  default:
    return error_code::upstream_failed;
  }
}

} // namespace

attempt_manager::attempt_manager(const worker_context& context, event_sink sink)
    : context_(context), sink_(std::move(sink)) {
  QObject::connect(&timeout_timer_, &QTimer::timeout, &manager_, [this] { check_timeouts(); });
  QObject::connect(&retry_timer_, &QTimer::timeout, &manager_, [this] { post_held_events(); });
  timeout_timer_.start(timeout_check_period);
  retry_timer_.setInterval(event_retry_period);
}

attempt_manager::~attempt_manager() {
  // Emptied first: signals that the aborted replies still emit then find no attempt.
  const auto attempts = std::move(active_);
  active_.clear();
  for (const auto& [id, it] : attempts) {
    it->reply->abort();
    delete it->reply;
  }
}

void
attempt_manager::open(const open_attempt& what) {
  auto owned = std::make_unique<active_attempt>();
  active_attempt& it = *owned;
  it.what = what;
  const std::string endpoint = what.address + ":" + std::to_string(what.port);
  it.slot = what.one_shot ? slots_.acquire_unshared(endpoint) : slots_.acquire(endpoint);
  it.last_progress = boot_clock::now();
  if (what.streaming) {
    it.reader = std::make_unique<sse_reader>(what.attempt, what.resume_from);
  }
  active_.emplace(what.attempt, std::move(owned));
  send(it);
}

void
attempt_manager::send(active_attempt& it) {
  QNetworkRequest request = make_request(it.what, it.slot);
  const bool has_body = it.what.body && !it.what.body->empty();
  if (has_body || it.what.one_shot) {
    it.body = std::make_unique<one_shot_body>(it.what.body);
    request.setHeader(QNetworkRequest::ContentLengthHeader, it.body->size());
  }
  it.reply =
      manager_.sendCustomRequest(request, QByteArray::fromStdString(it.what.method), it.body.get());
  it.reply->setReadBufferSize(read_buffer_bytes);
  connect_reply(it.what.attempt, it.reply);
}

void
attempt_manager::connect_reply(const attempt_id& id, QNetworkReply* reply) {
  const auto on = [this, id](void (attempt_manager::*call)(active_attempt&)) {
    return [this, id, call] {
      if (active_attempt* it = find(id); it != nullptr) {
        it->last_progress = boot_clock::now();
        (this->*call)(*it);
      }
    };
  };
  QObject::connect(reply, &QNetworkReply::requestSent, reply, [this, id] {
    if (active_attempt* it = find(id); it != nullptr) {
      it->headers_written = true;
    }
  });
  QObject::connect(reply, &QNetworkReply::metaDataChanged, reply, on(&attempt_manager::on_headers));
  QObject::connect(reply, &QNetworkReply::readyRead, reply, on(&attempt_manager::on_data));
  QObject::connect(reply, &QNetworkReply::finished, reply, on(&attempt_manager::on_finished));
}

attempt_manager::active_attempt*
attempt_manager::find(const attempt_id& id) {
  const auto found = active_.find(id);
  return found == active_.end() ? nullptr : found->second.get();
}

void
attempt_manager::on_headers(active_attempt& it) {
  const int status = status_of(*it.reply);
  if (it.opened || !is_final_status(status)) {
    return;
  }
  it.opened = true;
  if (!it.reader && !is_framed(*it.reply, it.what.method)) {
    end(it.what.attempt,
        error{error_code::upstream_failed, step::attempt_open, it.what.upstream.value,
              "the response gives neither a length nor chunks, so that its end would prove nothing",
              outcome::unknown},
        false);
    return;
  }
  if (it.reader && status >= first_error_status) {
    return; // Reported by `on_finished`, with the text of the error response.
  }
  attempt_opened opened{it.what.attempt, status, {}};
  for (const auto& [name, value] : it.reply->rawHeaderPairs()) {
    opened.headers.push_back({name.toLower().toStdString(), value.toStdString()});
  }
  post_event(std::move(opened));
}

void
attempt_manager::on_data(active_attempt& it) {
  // A body without a valid status belongs to no response.
  if (!held_events_.empty() || !it.opened ||
      (it.reader && status_of(*it.reply) >= first_error_status)) {
    return;
  }
  const QByteArray bytes = it.reply->readAll();
  if (bytes.isEmpty()) {
    return;
  }
  if (!it.reader) {
    attempt_chunk chunk{it.what.attempt, it.received_bytes,
                        static_cast<std::uint32_t>(bytes.size()), bytes.toStdString()};
    it.received_bytes += chunk.tokens;
    post_event(std::move(chunk));
    return;
  }
  for (auto& chunk : it.reader->feed(bytes)) {
    post_event(std::move(chunk));
  }
  if (!it.reader->stream_error().empty()) {
    end(it.what.attempt,
        error{error_code::upstream_failed, step::attempt_stream, it.what.upstream.value,
              it.reader->stream_error(), outcome::unknown},
        false);
  }
}

void
attempt_manager::on_finished(active_attempt& it) {
  const attempt_id id = it.what.attempt;
  if (!held_events_.empty()) {
    return; // Resumed when the event ring has room again.
  }
  on_headers(it);
  if (find(id) == nullptr) {
    return;
  }
  if (it.reply->error() == QNetworkReply::NoError || it.reply->bytesAvailable() > 0) {
    on_data(it);
  }
  if (find(id) != nullptr) {
    end(id, failure_of(it), false);
  }
}

// Whether the upstream may have executed the request. A byte may have been sent as soon as the
// library has begun to write the headers or has read from the body; before that, a refused
// connection proves that none was sent.
outcome
attempt_manager::outcome_of(const active_attempt& it) {
  if (!enabled(mechanism::outcome_from_first_byte)) {
    return outcome::not_run;
  }
  const auto ec = it.reply->error();
  const bool never_connected =
      ec == QNetworkReply::ConnectionRefusedError || ec == QNetworkReply::HostNotFoundError;
  const bool may_have_sent = it.headers_written || it.opened || (it.body && it.body->begun());
  return never_connected && !may_have_sent ? outcome::not_run : outcome::unknown;
}

std::optional<error>
attempt_manager::failure_of(const active_attempt& it) const {
  const int status = status_of(*it.reply);
  error why{error_code::upstream_failed, step::attempt_open, it.what.upstream.value, "",
            outcome_of(it)};
  if (it.reader && status >= first_error_status) {
    why.code = error_code_for_status(status);
    why.message = "the engine responded with status " + std::to_string(status) + ": " +
                  it.reply->read(max_error_text).toStdString();
    return why;
  }
  // Without a reader, every status is a valid response; the library reports 400 and above as
  // errors.
  if (!it.opened && it.reply->error() == QNetworkReply::NoError) {
    why.message = "the response has no valid status";
    return why;
  }
  const bool has_response = !it.reader && it.opened &&
                            it.reply->error() >= QNetworkReply::ContentAccessDenied &&
                            it.reply->error() != QNetworkReply::ContentReSendError &&
                            it.reply->error() != QNetworkReply::ProtocolFailure;
  if (it.reply->error() != QNetworkReply::NoError && !has_response) {
    const bool not_run = why.ran == outcome::not_run;
    why.code = not_run ? error_code::unavailable : error_code::upstream_failed;
    why.at = it.opened ? step::attempt_stream : step::attempt_open;
    why.message = it.reply->errorString().toStdString();
    return why;
  }
  if (it.reader && !it.reader->done()) {
    why.at = step::attempt_done;
    why.message = "the stream ended before [DONE]";
    return why;
  }
  return std::nullopt;
}

std::unique_ptr<attempt_manager::active_attempt>
attempt_manager::remove(const attempt_id& id, bool retire) {
  auto node = active_.extract(id);
  std::unique_ptr<active_attempt> it = std::move(node.mapped());
  // The signals no longer find the attempt. They are not all disconnected, because the library ends
  // the connection through one of the reply's own signals.
  it->reply->abort();
  it->reply->deleteLater();
  // The reply may still use the body: both are deleted in the next round of the event loop.
  if (it->body) {
    it->body.release()->deleteLater();
  }
  slots_.release(it->slot, retire);
  return it;
}

void
attempt_manager::end(const attempt_id& id, std::optional<error> failure, bool retire) {
  const std::unique_ptr<active_attempt> it = remove(id, retire);
  attempt_ended ended;
  ended.attempt = id;
  ended.failure = std::move(failure);
  if (it->reader) {
    ended.usage = it->reader->usage();
    ended.finish_reason = it->reader->finish_reason();
    ended.end_offset = it->reader->end_offset();
  } else {
    ended.end_offset = it->received_bytes;
  }
  post_event(std::move(ended));
}

void
attempt_manager::cancel(const cancel_attempt& what) {
  if (active_.count(what.attempt) > 0) {
    remove(what.attempt, false);
  }
}

void
attempt_manager::check_timeouts() {
  const time_point now = boot_clock::now();
  std::vector<attempt_id> stalled;
  for (const auto& [id, it] : active_) {
    if (now - it->last_progress >= it->what.progress_limit && held_events_.empty()) {
      stalled.push_back(id);
    }
  }
  for (const attempt_id& id : stalled) {
    const active_attempt& it = *active_.at(id);
    end(id,
        error{error_code::upstream_failed, it.opened ? step::attempt_stream : step::attempt_open,
              it.what.upstream.value, "no data from the upstream within the progress limit",
              enabled(mechanism::outcome_from_first_byte) ? outcome::unknown : outcome::not_run},
        true);
  }
}

void
attempt_manager::post_event(event&& ev) {
  if (!held_events_.empty()) {
    held_events_.push_back(std::move(ev));
    return;
  }
  event copy = ev;
  if (!sink_(std::move(ev))) {
    held_events_.push_back(std::move(copy));
    retry_timer_.start();
  }
}

void
attempt_manager::post_held_events() {
  while (!held_events_.empty()) {
    event copy = held_events_.front();
    if (!sink_(std::move(copy))) {
      return;
    }
    held_events_.pop_front();
  }
  retry_timer_.stop();
  // Resume reading replies that received data in the meantime.
  std::vector<attempt_id> ids;
  for (const auto& [id, it] : active_) {
    ids.push_back(id);
  }
  for (const attempt_id& id : ids) {
    active_attempt* it = find(id);
    if (it != nullptr && it->reply->isFinished()) {
      on_finished(*it);
    } else if (it != nullptr) {
      on_data(*it);
    }
  }
}

} // namespace nutmegspur::http_streams
