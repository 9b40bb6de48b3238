/// \file config_state.h
/// The configuration that a replica holds, and a log of recent changes for peers that lag behind.
///
/// The state depends on neither time, peers nor the store. It applies changes and full reads, and
/// never returns to an older revision.
#pragma once

#include <nutmegspur/config.h>
#include <nutmegspur/platform.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// A stored resource that could not be parsed.
struct refused_change {
  std::string key;
  std::string why;
};

/// Result of applying changes or a full read.
struct config_apply_result {
  bool advanced = false;               ///< The held revision has increased.
  std::size_t applied = 0;             ///< Number of changes that took effect.
  std::vector<key_id> withdrawn;       ///< Keys that have become unusable.
  std::vector<refused_change> refused; ///< Their resources keep their previous value.
};

/// Snapshot, revision and change log.
class config_state {
 public:
  /// The snapshot in force. Never null; empty until a whole configuration has been received.
  [[nodiscard]] const config_view& view() const { return view_; }

  /// Whether a whole configuration is held.
  [[nodiscard]] bool is_complete() const { return complete_; }

  /// Store revision up to which every change is in force here.
  [[nodiscard]] revision at() const { return at_; }

  /// Revision of the last change in force; at most `at()`.
  [[nodiscard]] revision last_change() const { return last_change_; }

  /// Start of the change log: the lowest revision that `changes_after` accepts.
  [[nodiscard]] revision known_since() const { return known_since_; }

  /// Applies all of `changes` in one step; afterwards the state is complete up to `upto`.
  /// Precondition: `changes` contains every change after some revision that is at most `at()`.
  config_apply_result apply(std::vector<kv_change> changes, revision upto);

  /// Replaces the state with a whole configuration that was read at revision `at`.
  config_apply_result replace(const std::vector<kv_change>& all, revision at);

  /// The changes after `since`, in order. Empty if the log does not reach back to `since`.
  [[nodiscard]] std::optional<std::vector<kv_change>> changes_after(revision since) const;

  /// The whole configuration as a list of changes, ordered by key.
  [[nodiscard]] std::vector<kv_change> all() const;

 private:
  bool apply_one(config_snapshot& next, const kv_change& it, config_apply_result& effect);
  void append_to_log(kv_change it);

  config_view view_ = std::make_shared<const config_snapshot>();
  bool complete_ = false;
  revision at_;
  revision last_change_;
  // Invariant: log_ contains every change in (known_since_, at_], in order.
  revision known_since_;
  std::deque<kv_change> log_;
  std::size_t log_bytes_ = 0;
};

} // namespace nutmegspur
