/// \file config_watcher.h
/// Keeps a watch of the configuration open at the store. A watch that has fallen silent is
/// replaced: the new watch is established before the old one is closed.
#pragma once

#include <nutmegspur/call_id_generator.h>
#include <nutmegspur/decision.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegspur {

/// Retry behaviour of a watcher.
struct watcher_options {
  /// Factor near 1 on the wait between retries. Differs between instances, so that they do not all
  /// retry at the same time.
  double retry_jitter = 1.0;
};

/// Has at most two watches at a time: the one in use and the one that is to replace it.
class config_watcher {
 public:
  config_watcher(call_id_generator& numbers, watcher_options options)
      : numbers_(numbers), options_(options) {}

  /// Opens, replaces or closes watches as needed; called periodically. New watches start after
  /// revision `at`, up to which the caller holds all changes. `max_wait` limits the wait between
  /// attempts while the store is unavailable.
  void maintain(const moment& now, bool wanted, revision at, duration max_wait, action_list& out);

  /// Closes all watches.
  void stop(action_list& out);

  /// Whether a watch is established and has recently shown progress.
  [[nodiscard]] bool has_live_watch(const moment& now) const;

  [[nodiscard]] bool owns(call_id call) const;

  /// Handles the reply to the start of a watch. Returns whether the watch is established.
  bool on_reply(const moment& now, const platform_reply& reply, action_list& out);

  /// Handles a batch. Returns the revision up to which its watch has delivered every change.
  revision on_batch(const moment& now, const watch_batch& batch);

  /// Handles the end of a watch.
  void on_ended(const moment& now, const watch_ended& ended);

 private:
  struct open_watch {
    call_id id;
    revision complete_upto; ///< It has delivered every change up to here.
    bool established = false;
    time_point last_progress; ///< Last reply or batch, or when it was requested.
  };

  [[nodiscard]] std::vector<open_watch>::iterator find(call_id call);
  void open(const moment& now, revision at, action_list& out);
  void record_failure(const moment& now);
  void drop_timed_out_starts(const moment& now, action_list& out);

  call_id_generator& numbers_;
  watcher_options options_;
  std::vector<open_watch> watches_; ///< Oldest first.
  std::uint32_t failures_ = 0;      ///< Consecutive failures since the last reply or batch.
  time_point last_failure_;
};

} // namespace nutmegspur
