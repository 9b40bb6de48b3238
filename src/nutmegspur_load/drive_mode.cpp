/// \file drive_mode.cpp
/// Open-loop HTTP client that measures the responses as their callers see them.

#include "drive_mode.h"

#include <nutmegspur/clock.h>

#include <QtCore/QEventLoop>
#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>
#include <QtCore/QTimer>
#include <QtNetwork/QNetworkAccessManager>
#include <QtNetwork/QNetworkReply>

#include <set>

namespace nutmegspur::load {

namespace {

/// QNetworkAccessManager opens at most six connections for a host name and peer verify name, so
/// every group of six slots has its own peer verify name.
constexpr std::size_t connections_per_host = 6;
constexpr std::size_t bytes_per_token = 4;
constexpr milliseconds deadline_margin{2000}; ///< From the deadline until the abort.
constexpr double micros_per_second = 1e6;

/// Returns a prompt of the planned size: the shared prefix, then text unique to the request.
std::string
make_prompt(const planned_request& it) {
  const auto fill = [](std::string& text, std::size_t size, const std::string& word) {
    while (text.size() < size) {
      text += word;
    }
    text.resize(size);
  };
  std::string text;
  fill(text, it.prefix_tokens * bytes_per_token,
       "shared " + std::to_string(it.class_index) + "/" + std::to_string(it.prefix) + " ");
  fill(text, it.prompt_tokens * bytes_per_token, "own " + std::to_string(it.number) + " ");
  return text;
}

class drive_run {
 public:
  drive_run(const scenario& in, const drive_options& options)
      : in_(in), options_(options), requests_(plan_workload(in)), recorder_(in_, requests_) {}

  run_metrics run() {
    started_ = boot_clock::now();
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, [this] { send_due_requests(); });
    send_due_requests();
    if (finished_ < requests_.size()) {
      loop_.exec();
    }
    return recorder_.summarize();
  }

 private:
  /// An open request.
  struct live_stream {
    std::uint64_t number = 0;
    std::size_t slot = 0;
    QByteArray unparsed; ///< Bytes after the last complete line.
    bool done = false;
  };

  [[nodiscard]] duration elapsed() const { return boot_clock::now() - started_; }

  [[nodiscard]] duration since_arrival(std::uint64_t number) const {
    return elapsed() - requests_[number - 1].at;
  }

  void send_due_requests() {
    while (next_ < requests_.size() && requests_[next_].at <= elapsed()) {
      send(requests_[next_]);
      next_ += 1;
    }
    if (next_ < requests_.size()) {
      const auto wait = std::chrono::ceil<milliseconds>(requests_[next_].at - elapsed());
      timer_.start(std::max(milliseconds{0}, wait));
    }
  }

  std::size_t acquire_slot() {
    if (free_slots_.empty()) {
      return slots_++;
    }
    const auto slot = *free_slots_.begin();
    free_slots_.erase(free_slots_.begin());
    return slot;
  }

  [[nodiscard]] QNetworkRequest make_http_request(const planned_request& it,
                                                  std::size_t slot) const {
    const auto& team = in_.teams[it.team].name;
    const auto team_key = options_.keys.find(team);
    const auto& key = team_key == options_.keys.end() ? options_.key : team_key->second;
    const auto& class_entry = in_.classes[it.class_index];
    const auto& base = options_.urls[it.number % options_.urls.size()];
    QNetworkRequest request(QUrl(QString::fromStdString(base + "/v1/completions")));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    if (!key.empty()) {
      request.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + key));
    }
    const auto name = to_name(class_entry.priority);
    request.setRawHeader("x-request-class", QByteArray(name.data(), static_cast<int>(name.size())));
    request.setRawHeader("x-deadline-ms", QByteArray::number(qint64{class_entry.deadline.count()}));
    request.setPeerVerifyName(QString("slot-%1").arg(slot / connections_per_host));
    request.setTransferTimeout(static_cast<int>((class_entry.deadline + deadline_margin).count()));
    return request;
  }

  void send(const planned_request& it) {
    auto stream = std::make_shared<live_stream>();
    stream->number = it.number;
    stream->slot = acquire_slot();
    const QJsonObject body{{"model", QString::fromStdString(options_.model)},
                           {"prompt", QString::fromStdString(make_prompt(it))},
                           {"stream", true},
                           {"max_tokens", static_cast<qint64>(it.output_tokens)}};
    auto* reply = network_.post(make_http_request(it, stream->slot), QJsonDocument(body).toJson());
    QObject::connect(reply, &QNetworkReply::readyRead,
                     [this, reply, stream] { read_events(*stream, reply->readAll()); });
    QObject::connect(reply, &QNetworkReply::finished, [this, reply, stream] {
      finish(*stream, *reply);
      reply->deleteLater();
    });
    const auto timeout = in_.classes[it.class_index].deadline + deadline_margin;
    QTimer::singleShot(timeout, reply, [reply] { reply->abort(); });
  }

  void read_events(live_stream& stream, const QByteArray& bytes) {
    stream.unparsed += bytes;
    for (auto end = stream.unparsed.indexOf('\n'); end >= 0; end = stream.unparsed.indexOf('\n')) {
      const auto line = stream.unparsed.left(end).trimmed();
      stream.unparsed.remove(0, end + 1);
      if (!line.startsWith("data: ")) {
        continue;
      }
      if (line == "data: [DONE]") {
        stream.done = true;
        continue;
      }
      const auto chunk = QJsonDocument::fromJson(line.mid(6)).object();
      const auto text = chunk["choices"].toArray()[0].toObject()["text"].toString();
      // Each token of the engine stand-in ends with a space.
      const auto tokens = static_cast<std::uint32_t>(text.count(' '));
      if (tokens > 0) {
        recorder_.add_tokens(stream.number, tokens, since_arrival(stream.number));
      }
    }
  }

  void finish(live_stream& it, QNetworkReply& reply) {
    read_events(it, reply.readAll());
    const auto status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const auto total_time = since_arrival(it.number);
    constexpr int too_many_requests = 429;
    constexpr int unavailable = 503;
    constexpr int gateway_timeout = 504;
    if (it.done) {
      recorder_.record_result(it.number, request_result::completed, total_time);
    } else if (status == too_many_requests || status == unavailable || status == gateway_timeout) {
      recorder_.record_result(it.number, request_result::refused, total_time);
    } else if (total_time >= in_.classes[requests_[it.number - 1].class_index].deadline) {
      recorder_.record_result(it.number, request_result::late, total_time);
    } else {
      recorder_.record_result(it.number, request_result::failed, total_time);
    }
    if (it.done) {
      free_slots_.insert(it.slot); // Not after a failure: the connection may be closed.
    }
    finished_ += 1;
    if (finished_ == requests_.size()) {
      loop_.quit();
    }
  }

  const scenario& in_;
  const drive_options& options_;
  std::vector<planned_request> requests_;
  metrics_recorder recorder_;
  QNetworkAccessManager network_;
  QEventLoop loop_;
  QTimer timer_;
  time_point started_;
  std::size_t next_ = 0;
  std::size_t finished_ = 0;
  std::size_t slots_ = 0;
  std::set<std::size_t> free_slots_;
};

} // namespace

run_metrics
run_drive(scenario in, const drive_options& options) {
  if (options.seconds > 0) {
    in.duration_s = std::min(in.duration_s, options.seconds);
  }
  auto metrics = drive_run(in, options).run();
  metrics.policy = "drive";
  return metrics;
}

} // namespace nutmegspur::load
