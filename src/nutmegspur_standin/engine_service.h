/// \file engine_service.h
/// HTTP interface of the engine model: an OpenAI-compatible API and the engine protocol.
#pragma once

#include "engine_model.h"
#include "standin_http.h"

#include <QtCore/QTimer>
#include <QtNetwork/QNetworkAccessManager>

#include <map>
#include <memory>
#include <string>

namespace nutmegspur::standin {

/// One completion in progress.
struct engine_stream {
  response_channel response;
  api_format format = api_format::chat_completions;
  bool streamed = false;
  bool include_usage = false;
  bool started = false;
  std::uint64_t prompt_hash = 0;
  std::uint32_t prompt_tokens = 0;
  std::string request; ///< The `x-request-id` header.
  QString text;        ///< Accumulated for a response that is not streamed.
};

/// Serves one engine. Runs on the thread of the event loop.
class engine_service {
 public:
  engine_service(engine_options options, seconds notice);

  bool start(std::uint16_t port) { return server_.start(port); }

  /// Marks the engine as leaving in its reports and exits the process after the notice period.
  void leave();

 private:
  void serve(const standin_request& request, response_channel response);
  void start_completion(const standin_request& request, response_channel response,
                        api_format format);
  void send_report(response_channel response);
  void send_cache_events(const standin_request& request, response_channel response);
  void handle_order(const standin_request& request, response_channel response);
  void export_kv(const standin_request& request, response_channel response);
  void import_kv(const standin_request& request, response_channel response);
  void reclaim(const standin_request& request, response_channel response);

  void run_model();
  void deliver(const std::vector<engine_output>& outputs);
  void deliver_token(engine_stream& stream, const engine_output& it);
  void finish(engine_stream& stream, const engine_output& it);
  [[nodiscard]] QJsonObject make_chunk(const engine_stream& stream, const QString& text,
                                       const char* finish_reason) const;

  engine_model model_;
  standin_server server_;
  QTimer model_timer_;
  QNetworkAccessManager network_;
  seconds notice_;
  bool leaving_ = false;
  std::uint64_t last_job_ = 0;
  std::map<std::uint64_t, engine_stream> streams_;
  std::map<std::string, std::vector<std::uint64_t>> exported_; ///< By handle.
};

/// Text of output token `index` for a prompt with this hash.
QString token_text(std::uint64_t prompt_hash, std::uint32_t index);

} // namespace nutmegspur::standin
