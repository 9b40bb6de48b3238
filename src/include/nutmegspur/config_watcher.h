/// \file config_watcher.h
/// Keeps a watch of the configuration open, and replaces one that has fallen silent: the new one
/// is opened before the old one is given up.
#pragma once

#include <nutmegspur/call_numbers.h>
#include <nutmegspur/decision.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegspur {

/// How a watcher retries.
struct watcher_options {
  /// Factor near 1 that differs between instances, so that they do not all retry at once.
  double spread = 1.0;
};

/// At most two watches at a time: one in use, one that shall take its place.
class config_watcher {
 public:
  config_watcher(call_id_generator& numbers, watcher_options options)
      : numbers_(numbers), options_(options) {}

  /// Opens, replaces and closes watches. `at` is held already. `hurry` bounds the time between
  /// tries while the store is out.
  void keep(const moment& now, bool wanted, revision at, duration longest_wait, action_list& out);

  /// Closes all watches.
  void stop(action_list& out);

  /// Whether a watch stands and gives signs of progress.
  [[nodiscard]] bool stands(const moment& now) const;

  [[nodiscard]] bool owns(call_id call) const;

  /// Takes the reply to a start. True: the watch stands.
  bool on_reply(const moment& now, const platform_reply& reply, action_list& out);

  /// Takes a batch and says up to which revision the changes seen by its watch are complete.
  revision on_batch(const moment& now, const watch_batch& batch);

  /// Takes the end of a watch.
  void on_ended(const moment& now, const watch_ended& ended);

 private:
  struct open_watch {
    call_id id;
    revision covered; ///< It has told of every change up to here.
    bool stands = false;
    time_point last_sign; ///< Of life, or when it was asked for.
  };

  [[nodiscard]] std::vector<open_watch>::iterator find(call_id call);
  void open(const moment& now, revision at, action_list& out);
  void failed(const moment& now);
  void drop_dead_starts(const moment& now, action_list& out);

  call_id_generator& numbers_;
  watcher_options options_;
  std::vector<open_watch> watches_; ///< Oldest first.
  std::uint32_t failures_ = 0;      ///< Since the last sign of life.
  time_point failed_at_;
};

} // namespace nutmegspur
