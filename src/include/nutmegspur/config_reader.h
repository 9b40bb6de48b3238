/// \file config_reader.h
/// Reads the whole configuration from the store, in pages that are all of one revision.
#pragma once

#include <nutmegspur/call_numbers.h>
#include <nutmegspur/decision.h>

#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// One reading at a time.
class config_reader {
 public:
  /// A whole reading.
  struct reading {
    std::vector<kv_change> pairs; ///< Ordered by key.
    revision at;
  };

  explicit config_reader(call_id_generator& numbers) : numbers_(numbers) {}

  /// Begins a new reading. One that is older than `least` is refused.
  void start(const moment& now, revision least, action_list& out);

  [[nodiscard]] bool active() const { return call_.has_value(); }

  /// Gives up the reading.
  void stop() { call_.reset(); }

  /// Whether `reply` answers this reading's call.
  [[nodiscard]] bool owns(const platform_reply& reply) const { return call_ == reply.call; }

  /// Takes a reply that it owns: a whole reading, nothing yet, or why it failed.
  result<std::optional<reading>> on_reply(const moment& now, const platform_reply& reply,
                                          action_list& out);

  /// Whether a page has been waited for too long.
  [[nodiscard]] bool overdue(const moment& now) const;

 private:
  void ask(const moment& now, std::string from, action_list& out);

  call_id_generator& numbers_;
  std::optional<call_id> call_;
  time_point asked_at_;
  revision least_;
  reading so_far_;
};

} // namespace nutmegspur
