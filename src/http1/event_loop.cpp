// Event loop: timers and signal handlers on libuv.
#include "event_loop.h"

#include <algorithm>

namespace nutmegspur::http1 {

struct event_loop::signal_handler {
  uv_signal_t handle{};
  std::function<void()> run;
};

event_loop::event_loop() {
  uv_loop_init(&loop_);
  uv_timer_init(&loop_, &timer_);
  timer_.data = this;
}

event_loop::~event_loop() {
  uv_close(reinterpret_cast<uv_handle_t*>(&timer_), nullptr);
  for (auto* it : signals_) {
    uv_close(reinterpret_cast<uv_handle_t*>(&it->handle),
             [](uv_handle_t* handle) { delete static_cast<signal_handler*>(handle->data); });
  }
  uv_run(&loop_, UV_RUN_DEFAULT);
  uv_loop_close(&loop_);
}

void
event_loop::run() {
  schedule_timer();
  uv_run(&loop_, UV_RUN_DEFAULT);
}

void
event_loop::stop() {
  uv_stop(&loop_);
}

timer_id
event_loop::once(duration after, timer_service::callback run) {
  const auto id = timers_.once(now().boot + after, std::move(run));
  schedule_timer();
  return id;
}

timer_id
event_loop::every(duration period, timer_service::callback run) {
  const auto id = timers_.every(now().boot + period, period, std::move(run));
  schedule_timer();
  return id;
}

void
event_loop::cancel(timer_id id) {
  timers_.cancel(id);
}

void
event_loop::schedule_timer() {
  const auto due = timers_.next_due();
  if (running_due_ || !due) {
    return;
  }
  const auto remaining = std::chrono::ceil<milliseconds>(*due - now().boot);
  uv_timer_start(
      &timer_, [](uv_timer_t* timer) { static_cast<event_loop*>(timer->data)->run_due(); },
      static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0)), 0);
}

void
event_loop::run_due() {
  running_due_ = true;
  timers_.run_due(now());
  running_due_ = false;
  schedule_timer();
}

void
event_loop::on_signal(int number, std::function<void()> run) {
  auto* handler = new signal_handler{{}, std::move(run)};
  signals_.push_back(handler);
  uv_signal_init(&loop_, &handler->handle);
  handler->handle.data = handler;
  uv_signal_start(
      &handler->handle,
      [](uv_signal_t* handle, int) { static_cast<signal_handler*>(handle->data)->run(); }, number);
  uv_unref(reinterpret_cast<uv_handle_t*>(&handler->handle));
}

} // namespace nutmegspur::http1
