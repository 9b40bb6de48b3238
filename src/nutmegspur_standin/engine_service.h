/// \file engine_service.h
/// The engine model behind the engine protocol.
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
  reply_channel reply;
  api_format format = api_format::chat_completions;
  bool stream = false;
  bool include_usage = false;
  bool begun = false;
  std::uint64_t prompt_hash = 0;
  std::uint32_t prompt_tokens = 0;
  std::string request; ///< The `x-request-id` it came with.
  QString text;        ///< Gathered for an answer that is not streamed.
};

/// Serves one engine. Runs on the thread of the event loop.
class engine_service {
 public:
  engine_service(engine_options options, seconds notice);

  bool start(std::uint16_t port) { return server_.start(port); }

  /// Says in the reports that it will go, then ends the process after the notice.
  void leave();

 private:
  void serve(const standin_request& request, reply_channel reply);
  void complete(const standin_request& request, reply_channel reply, api_format format);
  void answer_report(reply_channel reply);
  void answer_events(const standin_request& request, reply_channel reply);
  void take_order(const standin_request& request, reply_channel reply);
  void export_kv(const standin_request& request, reply_channel reply);
  void import_kv(const standin_request& request, reply_channel reply);
  void reclaim(const standin_request& request, reply_channel reply);

  void run_model();
  void deliver(const std::vector<engine_output>& outputs);
  void deliver_token(engine_stream& to, const engine_output& it);
  void finish(engine_stream& to, const engine_output& it);
  [[nodiscard]] QJsonObject chunk(const engine_stream& of, const QString& text,
                                  const char* finish_reason) const;

  engine_model model_;
  standin_server server_;
  QTimer due_;
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
