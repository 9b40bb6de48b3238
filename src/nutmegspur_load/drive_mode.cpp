/// \file drive_mode.cpp
/// The open-loop HTTP driver.

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

/// Connections that the network library opens for one host name.
constexpr std::size_t streams_per_slot = 6;
constexpr std::size_t bytes_per_token = 4;
constexpr milliseconds after_deadline{2000};
constexpr double micros_per_second = 1e6;

/// A prompt of the planned size: the shared prefix, then text of its own.
std::string
prompt_of(const planned_request& it) {
  const auto fill = [](std::string& text, std::size_t size, const std::string& word) {
    while (text.size() < size) {
      text += word;
    }
    text.resize(size);
  };
  std::string text;
  fill(text, it.prefix_tokens * bytes_per_token,
       "shared " + std::to_string(it.kind) + "/" + std::to_string(it.prefix) + " ");
  fill(text, it.prompt_tokens * bytes_per_token, "own " + std::to_string(it.number) + " ");
  return text;
}

class drive_run {
 public:
  drive_run(const scenario& in, const drive_options& options)
      : in_(in), options_(options), requests_(plan_workload(in)), book_(in_, requests_) {}

  measures run() {
    started_ = boot_clock::now();
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, [this] { send_due(); });
    send_due();
    if (ended_ < requests_.size()) {
      loop_.exec();
    }
    return book_.sum_up();
  }

 private:
  /// A request under way.
  struct live_stream {
    std::uint64_t number = 0;
    std::size_t slot = 0;
    QByteArray rest; ///< Bytes after the last whole line.
    bool done = false;
  };

  [[nodiscard]] duration elapsed() const { return boot_clock::now() - started_; }

  [[nodiscard]] duration since_arrival(std::uint64_t number) const {
    return elapsed() - requests_[number - 1].at;
  }

  void send_due() {
    while (next_ < requests_.size() && requests_[next_].at <= elapsed()) {
      send(requests_[next_]);
      next_ += 1;
    }
    if (next_ < requests_.size()) {
      const auto wait = std::chrono::ceil<milliseconds>(requests_[next_].at - elapsed());
      timer_.start(std::max(milliseconds{0}, wait));
    }
  }

  std::size_t take_slot() {
    if (free_slots_.empty()) {
      return slots_++;
    }
    const auto slot = *free_slots_.begin();
    free_slots_.erase(free_slots_.begin());
    return slot;
  }

  [[nodiscard]] QNetworkRequest request_for(const planned_request& it, std::size_t slot) const {
    const auto& team = in_.teams[it.team].name;
    const auto own = options_.keys.find(team);
    const auto& key = own == options_.keys.end() ? options_.key : own->second;
    const auto& kind = in_.classes[it.kind];
    const auto& base = options_.urls[it.number % options_.urls.size()];
    QNetworkRequest request(QUrl(QString::fromStdString(base + "/v1/completions")));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    if (!key.empty()) {
      request.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + key));
    }
    const auto name = to_name(kind.priority);
    request.setRawHeader("x-request-class", QByteArray(name.data(), static_cast<int>(name.size())));
    request.setRawHeader("x-deadline-ms", QByteArray::number(qint64{kind.deadline.count()}));
    request.setPeerVerifyName(QString("slot-%1").arg(slot / streams_per_slot));
    request.setTransferTimeout(static_cast<int>((kind.deadline + after_deadline).count()));
    return request;
  }

  void send(const planned_request& it) {
    auto stream = std::make_shared<live_stream>();
    stream->number = it.number;
    stream->slot = take_slot();
    const QJsonObject body{{"model", QString::fromStdString(options_.model)},
                           {"prompt", QString::fromStdString(prompt_of(it))},
                           {"stream", true},
                           {"max_tokens", static_cast<qint64>(it.output_tokens)}};
    auto* reply = network_.post(request_for(it, stream->slot), QJsonDocument(body).toJson());
    QObject::connect(reply, &QNetworkReply::readyRead,
                     [this, reply, stream] { read_lines(*stream, reply->readAll()); });
    QObject::connect(reply, &QNetworkReply::finished, [this, reply, stream] {
      finish(*stream, *reply);
      reply->deleteLater();
    });
    const auto limit = in_.classes[it.kind].deadline + after_deadline;
    QTimer::singleShot(limit, reply, [reply] { reply->abort(); });
  }

  void read_lines(live_stream& to, const QByteArray& bytes) {
    to.rest += bytes;
    for (auto end = to.rest.indexOf('\n'); end >= 0; end = to.rest.indexOf('\n')) {
      const auto line = to.rest.left(end).trimmed();
      to.rest.remove(0, end + 1);
      if (!line.startsWith("data: ")) {
        continue;
      }
      if (line == "data: [DONE]") {
        to.done = true;
        continue;
      }
      const auto chunk = QJsonDocument::fromJson(line.mid(6)).object();
      const auto text = chunk["choices"].toArray()[0].toObject()["text"].toString();
      // The engine stand-in's tokens end with a blank each.
      const auto tokens = static_cast<std::uint32_t>(text.count(' '));
      if (tokens > 0) {
        book_.add_tokens(to.number, tokens, since_arrival(to.number));
      }
    }
  }

  void finish(live_stream& it, QNetworkReply& reply) {
    read_lines(it, reply.readAll());
    const auto status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const auto span = since_arrival(it.number);
    constexpr int too_many_requests = 429;
    constexpr int unavailable = 503;
    constexpr int gateway_timeout = 504;
    if (it.done) {
      book_.set_end(it.number, request_end::whole, span);
    } else if (status == too_many_requests || status == unavailable || status == gateway_timeout) {
      book_.set_end(it.number, request_end::refused, span);
    } else if (span >= in_.classes[requests_[it.number - 1].kind].deadline) {
      book_.set_end(it.number, request_end::late, span);
    } else {
      book_.set_end(it.number, request_end::failed, span);
    }
    if (it.done) {
      free_slots_.insert(it.slot); // The connection of a broken stream may be dead.
    }
    ended_ += 1;
    if (ended_ == requests_.size()) {
      loop_.quit();
    }
  }

  const scenario& in_;
  const drive_options& options_;
  std::vector<planned_request> requests_;
  measure_book book_;
  QNetworkAccessManager network_;
  QEventLoop loop_;
  QTimer timer_;
  time_point started_;
  std::size_t next_ = 0;
  std::size_t ended_ = 0;
  std::size_t slots_ = 0;
  std::set<std::size_t> free_slots_;
};

} // namespace

measures
run_drive(scenario in, const drive_options& options) {
  if (options.seconds > 0) {
    in.duration_s = std::min(in.duration_s, options.seconds);
  }
  auto sum = drive_run(in, options).run();
  sum.policy = "drive";
  return sum;
}

} // namespace nutmegspur::load
