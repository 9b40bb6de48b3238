/// \file config_state.h
/// The configuration that a replica holds, and the recent changes that it can pass on.
///
/// It knows nothing of time, peers or the store: it applies changes and whole readings, and never
/// goes back to an older revision.
#pragma once

#include <nutmegspur/config.h>
#include <nutmegspur/platform.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// A stored resource that could not be read.
struct refused_change {
  std::string key;
  std::string why;
};

/// What applying changes did.
struct config_apply_result {
  bool advanced = false;               ///< The revision held is a later one than before.
  std::size_t applied = 0;             ///< Changes that took effect.
  std::vector<key_id> withdrawn;       ///< Keys that may no longer be used.
  std::vector<refused_change> refused; ///< Their resources keep their old value.
};

/// Snapshot, revision and log of changes.
class config_state {
 public:
  /// The snapshot in force; never null, empty before the first whole reading.
  [[nodiscard]] const config_view& view() const { return view_; }

  /// Whether a whole configuration is held.
  [[nodiscard]] bool whole() const { return whole_; }

  /// The store's revision up to which every change is in force here.
  [[nodiscard]] revision at() const { return at_; }

  /// Of the last change in force; at most `at()`.
  [[nodiscard]] revision last_change() const { return last_change_; }

  /// `changes_after` answers for this revision and later ones.
  [[nodiscard]] revision known_since() const { return known_since_; }

  /// Takes all of `changes` into force in one step, after which everything up to `upto` is held.
  /// The caller has made sure that they are all there are after a revision that is at most `at()`.
  config_apply_result apply(std::vector<kv_change> changes, revision upto);

  /// Takes a whole configuration, read at revision `at`, in place of the one held.
  config_apply_result replace(const std::vector<kv_change>& all, revision at);

  /// The changes after `since`, in order; empty where the log does not reach back so far.
  [[nodiscard]] std::optional<std::vector<kv_change>> changes_after(revision since) const;

  /// The whole configuration, ordered by key.
  [[nodiscard]] std::vector<kv_change> all() const;

 private:
  bool apply_one(config_snapshot& next, const kv_change& it, config_apply_result& effect);
  void append_to_log(kv_change it);

  config_view view_ = std::make_shared<const config_snapshot>();
  bool whole_ = false;
  revision at_;
  revision last_change_;
  // Invariant: log_ holds every change in (known_since_, at_], in order.
  revision known_since_;
  std::deque<kv_change> log_;
  std::size_t log_bytes_ = 0;
};

} // namespace nutmegspur
