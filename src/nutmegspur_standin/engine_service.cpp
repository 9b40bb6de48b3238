/// \file engine_service.cpp
/// Handlers of completions, reports, cache events, orders, and KV export and import.

#include "engine_service.h"

#include <nutmegspur/prefix.h>

#include <QtCore/QCoreApplication>
#include <QtCore/QJsonDocument>
#include <QtNetwork/QNetworkReply>

namespace nutmegspur::standin {

namespace {

constexpr std::uint32_t default_max_tokens = 16;
constexpr int hexadecimal = 16;
constexpr double bytes_per_cached_token = 131072; // 128 KiB of KV cache.

std::uint64_t
text_hash(std::string_view text) {
  return std::hash<std::string_view>{}(text);
}

QJsonArray
hex_list(const std::vector<std::uint64_t>& blocks) {
  QJsonArray list;
  for (const auto it : blocks) {
    list.append(QString::number(it, hexadecimal));
  }
  return list;
}

std::vector<std::uint64_t>
from_hex_list(const QJsonArray& list) {
  std::vector<std::uint64_t> blocks;
  for (const auto& it : list) {
    blocks.push_back(it.toString().toULongLong(nullptr, hexadecimal));
  }
  return blocks;
}

QByteArray
event_line(const QJsonObject& body) {
  return "data: " + QJsonDocument(body).toJson(QJsonDocument::Compact) + "\n\n";
}

QJsonObject
error_body(const char* code, const char* message) {
  return {{"code", code},
          {"error", QJsonObject{{"code", code}, {"message", message}, {"type", "engine_error"}}}};
}

QJsonObject
usage_json(const engine_stream& stream, const engine_output& it) {
  return {{"prompt_tokens", static_cast<qint64>(stream.prompt_tokens)},
          {"completion_tokens", static_cast<qint64>(it.index)},
          {"total_tokens", static_cast<qint64>(stream.prompt_tokens) + it.index},
          {"prompt_tokens_details",
           QJsonObject{{"cached_tokens", static_cast<qint64>(it.cached_tokens)}}}};
}

engine_state
parse_state(const QJsonObject& body) {
  engine_state it;
  it.role =
      from_name<engine_role>(body["role"].toString().toStdString()).value_or(engine_role::mixed);
  it.model = model_id{body["model"].toString().toStdString()};
  it.version = body["version"].toString().toStdString();
  for (const auto& name : body["adapters"].toArray()) {
    it.adapters.push_back(name.toString().toStdString());
  }
  return it;
}

} // namespace

QString
token_text(std::uint64_t prompt_hash, std::uint32_t index) {
  constexpr std::uint64_t odd_multiplier = 0x9E3779B97F4A7C15ULL;
  constexpr std::uint64_t words = 10'000;
  const auto mixed = (prompt_hash + index) * odd_multiplier;
  return QString("w%1 ").arg((mixed >> 32U) % words);
}

engine_service::engine_service(engine_options options, seconds notice)
    : model_(std::move(options)),
      server_([this](const standin_request& request, response_channel response) {
        serve(request, std::move(response));
      }),
      notice_(notice) {
  model_timer_.setSingleShot(true);
  model_timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&model_timer_, &QTimer::timeout, [this] { run_model(); });
}

void
engine_service::serve(const standin_request& request, response_channel response) {
  run_model();
  if (request.path == "/v1/chat/completions") {
    start_completion(request, std::move(response), api_format::chat_completions);
  } else if (request.path == "/v1/completions") {
    start_completion(request, std::move(response), api_format::completions);
  } else if (request.path == "/engine/report") {
    send_report(std::move(response));
  } else if (request.path == "/engine/cache-events") {
    send_cache_events(request, std::move(response));
  } else if (request.path == "/engine/orders") {
    handle_order(request, std::move(response));
  } else if (request.path == "/engine/kv/export") {
    export_kv(request, std::move(response));
  } else if (request.path == "/engine/kv/import") {
    import_kv(request, std::move(response));
  } else if (request.path == "/engine/kv/blocks") {
    const auto handle = request.query.queryItemValue("handle").toStdString();
    response.send(200, QJsonObject{{"blocks", hex_list(exported_[handle])}});
  } else if (request.path == "/engine/reclaim") {
    reclaim(request, std::move(response));
  } else {
    response.send(404, error_body("not_found", "no such path"));
  }
  run_model();
}

// ---------------------------------------------------------------------------------------------
// Completions

void
engine_service::start_completion(const standin_request& request, response_channel response,
                                 api_format format) {
  const auto body = request.json();
  const auto& state = model_.state();
  const auto requested_model = body["model"].toString().toStdString();
  const auto& adapters = state.adapters;
  if (requested_model != state.model.value &&
      std::find(adapters.begin(), adapters.end(), requested_model) == adapters.end()) {
    response.send(404, error_body("model_not_found", "the engine serves another model"));
    return;
  }
  const auto prompt = prompt_text(body, format);
  engine_job job;
  job.id = ++last_job_;
  job.prompt_tokens = estimate_tokens(prompt);
  job.output_tokens = static_cast<std::uint32_t>(std::max(
      1, body["max_completion_tokens"].toInt(body["max_tokens"].toInt(default_max_tokens))));
  job.resume_from = request.header("x-resume-from").toUInt();
  job.priority = request.header("x-priority").toInt();
  job.prefix_blocks = hash_prefix_blocks(prompt, request.header("x-cache-salt").toStdString(),
                                         model_.options().block_tokens);
  if (!model_.submit(job, boot_clock::now())) {
    response.send(503, error_body("changing", "a change of state is in progress"));
    return;
  }
  engine_stream stream;
  stream.response = response;
  stream.format = format;
  stream.streamed = body["stream"].toBool();
  stream.include_usage = body["stream_options"].toObject()["include_usage"].toBool();
  stream.prompt_hash = text_hash(prompt);
  stream.prompt_tokens = job.prompt_tokens;
  stream.request = request.header("x-request-id").toStdString();
  streams_.emplace(job.id, std::move(stream));
  response.on_closed([this, id = job.id] {
    if (streams_.erase(id) > 0) {
      model_.cancel(id, boot_clock::now());
      server_.record("cancelled", {{"job", static_cast<qint64>(id)}});
    }
  });
}

void
engine_service::run_model() {
  std::vector<engine_output> outputs;
  model_.advance(boot_clock::now(), outputs);
  deliver(outputs);
  if (const auto due = model_.next_due()) {
    const auto delay = std::chrono::ceil<milliseconds>(*due - boot_clock::now());
    model_timer_.start(std::max(milliseconds{0}, delay));
  }
}

void
engine_service::deliver(const std::vector<engine_output>& outputs) {
  for (const auto& it : outputs) {
    const auto found = streams_.find(it.job);
    if (found == streams_.end()) {
      continue;
    }
    if (it.what == engine_output::kind::token) {
      deliver_token(found->second, it);
      continue;
    }
    auto stream = std::move(found->second);
    streams_.erase(found);
    if (it.what == engine_output::kind::finished) {
      finish(stream, it);
    } else {
      server_.record("cut", {{"job", static_cast<qint64>(it.job)}});
      stream.response.reset();
    }
  }
}

QJsonObject
engine_service::make_chunk(const engine_stream& stream, const QString& text,
                           const char* finish_reason) const {
  const bool chat = stream.format == api_format::chat_completions;
  const QJsonValue reason = finish_reason != nullptr ? QJsonValue(finish_reason) : QJsonValue();
  QJsonObject choice{{"index", 0}, {"finish_reason", reason}};
  if (chat) {
    choice[stream.streamed ? "delta" : "message"] =
        QJsonObject{{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const char* object = chat ? "chat.completion" : "text_completion";
  return {{"id", QString::fromStdString("cmpl-" + stream.request)},
          {"object", chat && stream.streamed ? "chat.completion.chunk" : object},
          {"created", 0},
          {"model", QString::fromStdString(model_.state().model.value)},
          {"choices", QJsonArray{choice}}};
}

void
engine_service::deliver_token(engine_stream& stream, const engine_output& it) {
  const auto text = token_text(stream.prompt_hash, it.index);
  if (!stream.streamed) {
    stream.text += text;
    return;
  }
  if (!stream.started) {
    stream.response.begin_stream("text/event-stream");
    stream.started = true;
  }
  auto body = make_chunk(stream, text, nullptr);
  body["x_offset"] = static_cast<qint64>(it.index);
  body["x_tokens"] = 1;
  stream.response.write_chunk(event_line(body));
}

void
engine_service::finish(engine_stream& stream, const engine_output& it) {
  if (!stream.streamed) {
    auto body = make_chunk(stream, stream.text, "length");
    body["usage"] = usage_json(stream, it);
    stream.response.send(200, body);
    return;
  }
  if (!stream.started) {
    stream.response.begin_stream("text/event-stream");
  }
  auto last = make_chunk(stream, "", "length");
  last["x_offset"] = static_cast<qint64>(it.index);
  last["x_tokens"] = 0;
  stream.response.write_chunk(event_line(last));
  if (stream.include_usage) {
    auto usage = make_chunk(stream, "", nullptr);
    usage["choices"] = QJsonArray{};
    usage["usage"] = usage_json(stream, it);
    usage["x_offset"] = static_cast<qint64>(it.index);
    usage["x_tokens"] = 0;
    stream.response.write_chunk(event_line(usage));
  }
  stream.response.write_chunk("data: [DONE]\n\n");
  stream.response.end_stream();
}

// ---------------------------------------------------------------------------------------------
// Control

void
engine_service::send_report(response_channel response) {
  const auto now = boot_clock::now();
  const auto report = model_.report(now);
  const auto& state = model_.state();
  QJsonArray adapters;
  for (const auto& it : state.adapters) {
    adapters.append(QString::fromStdString(it));
  }
  const auto age = std::chrono::duration_cast<milliseconds>(now - report.measured);
  response.send(200,
                QJsonObject{{"highest_fence", static_cast<qint64>(model_.highest_fence().value)},
                            {"last_sequence", static_cast<qint64>(model_.last_sequence())},
                            {"changing", model_.changing()},
                            {"role", QString::fromUtf8(to_name(state.role).data())},
                            {"model", QString::fromStdString(state.model.value)},
                            {"version", QString::fromStdString(state.version)},
                            {"adapters", adapters},
                            {"running", static_cast<qint64>(report.load.running)},
                            {"waiting", static_cast<qint64>(report.load.waiting)},
                            {"waiting_tokens", static_cast<qint64>(report.load.waiting_tokens)},
                            {"free_blocks", static_cast<qint64>(report.load.free_blocks)},
                            {"total_blocks", static_cast<qint64>(report.load.total_blocks)},
                            {"age_ms", static_cast<qint64>(age.count())},
                            {"leaving", leaving_},
                            {"notice_seconds", static_cast<qint64>(notice_.count())}});
}

void
engine_service::send_cache_events(const standin_request& request, response_channel response) {
  QJsonArray list;
  const auto after = request.query.queryItemValue("after").toULongLong();
  for (const auto& it : model_.events_after(after, boot_clock::now())) {
    list.append(QJsonObject{{"number", static_cast<qint64>(it.number)},
                            {"stored", hex_list(it.stored)},
                            {"removed", hex_list(it.removed)}});
  }
  response.send(200, QJsonObject{{"events", list}});
}

void
engine_service::handle_order(const standin_request& request, response_channel response) {
  const auto body = request.json();
  std::vector<engine_output> outputs;
  const auto answer = model_.order({static_cast<std::int64_t>(body["fence"].toDouble())},
                                   static_cast<std::uint64_t>(body["sequence"].toDouble()),
                                   parse_state(body), boot_clock::now(), outputs);
  deliver(outputs);
  switch (answer) {
  case order_result::accepted:
    response.send(202, QJsonObject{{"code", "accepted"}});
    break;
  case order_result::stale_fence:
    response.send(409, error_body("stale_fence", "a greater fencing number was accepted before"));
    break;
  case order_result::stale_sequence:
    response.send(409, error_body("stale_sequence", "this or a later order was accepted before"));
    break;
  case order_result::changing:
    response.send(409, error_body("changing", "a change of state is in progress"));
    break;
  }
}

void
engine_service::export_kv(const standin_request& request, response_channel response) {
  const auto request_id = request.json()["request"].toString().toStdString();
  for (const auto& [job, stream] : streams_) {
    if (stream.request != request_id) {
      continue;
    }
    const auto handle = model_.options().name + "-" + std::to_string(job);
    exported_[handle] = model_.export_blocks(job);
    const auto blocks = static_cast<qint64>(exported_[handle].size());
    const qint64 tokens = blocks * model_.options().block_tokens;
    response.send(200,
                  QJsonObject{{"handle", QString::fromStdString(handle)},
                              {"tokens", tokens},
                              {"bytes", static_cast<double>(tokens) * bytes_per_cached_token}});
    return;
  }
  response.send(404, error_body("not_found", "no such request in progress"));
}

void
engine_service::import_kv(const standin_request& request, response_channel response) {
  const auto body = request.json();
  const QUrl from("http://" + body["from"].toString() +
                  "/engine/kv/blocks?handle=" + body["handle"].toString());
  auto* fetch = network_.get(QNetworkRequest(from));
  QObject::connect(fetch, &QNetworkReply::finished, [this, fetch, response]() mutable {
    fetch->deleteLater();
    if (fetch->error() != QNetworkReply::NoError) {
      response.send(502, error_body("unavailable", "the exporting engine did not respond"));
      return;
    }
    const auto blocks = QJsonDocument::fromJson(fetch->readAll()).object()["blocks"].toArray();
    model_.import_blocks(from_hex_list(blocks), boot_clock::now());
    response.send(200, QJsonObject{{"blocks", blocks.size()}});
  });
}

void
engine_service::reclaim(const standin_request& request, response_channel response) {
  notice_ = seconds{request.json()["notice_seconds"].toInt(static_cast<int>(notice_.count()))};
  response.send(200, QJsonObject{{"leaving", true}});
  leave();
}

void
engine_service::leave() {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  server_.record("leaving");
  QTimer::singleShot(std::chrono::duration_cast<milliseconds>(notice_),
                     [] { QCoreApplication::exit(0); });
}

} // namespace nutmegspur::standin
