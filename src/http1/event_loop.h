/// \file event_loop.h
/// The libuv event loop that serves all proxied traffic on one thread, with timers and signals.
///
/// One libuv timer is kept armed for the earliest timer of the timer service.
#pragma once

#include <nutmegspur/timer_service.h>

#include <uv.h>

#include <array>
#include <functional>
#include <vector>

namespace nutmegspur::http1 {

/// Neither copyable nor movable: libuv holds pointers into it.
class event_loop {
 public:
  event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  ~event_loop();

  /// Runs until `stop` is called or no handle is active.
  void run();
  void stop();

  /// The present time of both clocks.
  [[nodiscard]] static moment now() { return system_clock_source::now(); }

  timer_id once(duration after, timer_service::callback run);
  timer_id every(duration period, timer_service::callback run);
  void cancel(timer_id id);
  /// Calls `run` on the loop's thread whenever the process receives signal `number`. A signal
  /// handler alone does not keep the loop running.
  void on_signal(int number, std::function<void()> run);

  [[nodiscard]] uv_loop_t* handle() { return &loop_; }

  /// Read buffer shared by all sockets; its content is valid only until the next read.
  [[nodiscard]] uv_buf_t read_buffer() { return uv_buf_init(buffer_.data(), buffer_.size()); }

  /// The part of it that connections read at once.
  [[nodiscard]] uv_buf_t stream_read_buffer() {
    return uv_buf_init(buffer_.data(), small_reads_ ? small_read_bytes : buffer_.size());
  }

  /// From now on connections are read in small pieces, so that many of them together bring little
  /// before they can be told to stop.
  void set_small_reads(bool small) { small_reads_ = small; }

 private:
  struct signal_handler;

  void schedule_timer();
  void run_due();

  uv_loop_t loop_{};
  uv_timer_t timer_{};
  timer_service timers_;
  std::vector<signal_handler*> signals_;
  bool running_due_ = false;
  bool small_reads_ = false;
  static constexpr std::size_t buffer_bytes = 64UL * 1024;
  static constexpr std::size_t small_read_bytes = 4UL * 1024;
  std::array<char, buffer_bytes> buffer_{};
};

} // namespace nutmegspur::http1
