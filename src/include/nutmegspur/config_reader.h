/// \file config_reader.h
/// Reads the whole configuration from the store page by page. All pages are read at the store
/// revision of the first one, so that the result is consistent.
#pragma once

#include <nutmegspur/call_id_generator.h>
#include <nutmegspur/decision.h>

#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// Runs one full read at a time.
class config_reader {
 public:
  /// The result of a full read: the whole configuration at one revision.
  struct full_read {
    std::vector<kv_change> pairs; ///< Ordered by key.
    revision at;
  };

  explicit config_reader(call_id_generator& numbers) : numbers_(numbers) {}

  /// Starts a full read. It fails if the store answers with a revision below `min_revision`.
  void start(const moment& now, revision min_revision, action_list& out);

  [[nodiscard]] bool active() const { return call_.has_value(); }

  /// Abandons the current read.
  void stop() { call_.reset(); }

  /// Whether `reply` answers the open call of this reader.
  [[nodiscard]] bool owns(const platform_reply& reply) const { return call_ == reply.call; }

  /// Handles a reply for which `owns` is true. Returns the result after the last page, empty while
  /// more pages are to come, or the error.
  result<std::optional<full_read>> on_reply(const moment& now, const platform_reply& reply,
                                            action_list& out);

  /// Whether the open request for a page has passed its deadline.
  [[nodiscard]] bool overdue(const moment& now) const;

 private:
  void request_page(const moment& now, std::string from, action_list& out);

  call_id_generator& numbers_;
  std::optional<call_id> call_;
  time_point requested_at_;
  revision min_revision_;
  full_read partial_;
};

} // namespace nutmegspur
