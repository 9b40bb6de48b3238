/// \file upstream_pauses.h
/// Upstreams that rejected a request and asked this instance to send nothing for a while. Unlike a
/// withheld upstream, the request concerns this instance alone and is not shared with others.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <map>

namespace nutmegspur {

/// The pauses in force, at most one per upstream.
class upstream_pauses {
 public:
  /// Longer requests are cut to this: a process that keeps rejecting states a new time then, and
  /// one that was restarted is not bound by the old one.
  static constexpr milliseconds max_pause{600'000};

  /// Pauses `id` for `period` from now. A pause in force is never shortened; a period that is not
  /// positive has no effect. Returns whether the pause was extended.
  bool add(const moment& now, const upstream_id& id, milliseconds period);

  /// Removes the pause of an upstream that is now another process.
  void forget(const upstream_id& id) { pauses_.erase(id); }

  [[nodiscard]] bool paused(const moment& now, const upstream_id& id) const;
  /// Time until the pause of `id` ends; zero if it is not paused.
  [[nodiscard]] milliseconds time_left(const moment& now, const upstream_id& id) const;
  /// Removes the pauses that have ended.
  void expire(const moment& now);

 private:
  std::map<upstream_id, time_point> pauses_; ///< The end of each.
};

} // namespace nutmegspur
