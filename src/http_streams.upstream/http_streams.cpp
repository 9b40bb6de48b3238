// The worker "upstream/http_streams": runs attempts at engines and services over HTTP.
#include "attempt_manager.h"

#include <memory>

namespace nutmegspur::http_streams {
namespace {

class upstream_worker : public duty_worker {
 public:
  explicit upstream_worker(const worker_context& context) : context_(context) {}

  result<void> start(event_sink sink) override {
    attempts_ = std::make_unique<attempt_manager>(context_, std::move(sink));
    return {};
  }

  void carry_out(const action& what) override {
    if (const auto* open = std::get_if<open_attempt>(&what)) {
      attempts_->open(*open);
    } else if (const auto* cancel = std::get_if<cancel_attempt>(&what)) {
      attempts_->cancel(*cancel);
    }
  }

  void stop() override { attempts_.reset(); }

 private:
  const worker_context& context_;
  std::unique_ptr<attempt_manager> attempts_;
};

const bool registered =
    worker_registry::instance().add("upstream/http_streams", [](const worker_context& context) {
      return std::make_unique<upstream_worker>(context);
    });

} // namespace
} // namespace nutmegspur::http_streams
