// The worker "caller/openai_http": serves the OpenAI-compatible HTTP API to callers.
#include "caller_server.h"

#include <memory>

namespace nutmegspur::openai_http {
namespace {

class caller_worker : public duty_worker {
 public:
  explicit caller_worker(const worker_context& context) : context_(context) {}

  result<void> start(event_sink sink) override {
    server_ = std::make_unique<caller_server>(context_, std::move(sink));
    return server_->listen_for_callers();
  }

  void carry_out(const action& what) override {
    if (const auto* start = std::get_if<start_response>(&what)) {
      server_->on_start(*start);
    } else if (const auto* chunk = std::get_if<send_chunk>(&what)) {
      server_->on_chunk(*chunk);
    } else if (const auto* end = std::get_if<end_response>(&what)) {
      server_->on_end(*end);
    } else if (const auto* failure = std::get_if<fail_request>(&what)) {
      server_->on_failure(*failure);
    } else if (const auto* ready = std::get_if<set_ready>(&what)) {
      server_->on_ready(*ready);
    }
  }

  void stop() override {
    server_->close_all();
    server_.reset();
  }

 private:
  const worker_context& context_;
  std::unique_ptr<caller_server> server_;
};

const bool registered =
    worker_registry::instance().add("caller/openai_http", [](const worker_context& context) {
      return std::make_unique<caller_worker>(context);
    });

} // namespace
} // namespace nutmegspur::openai_http
