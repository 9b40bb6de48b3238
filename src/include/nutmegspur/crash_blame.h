/// \file crash_blame.h
/// Finds out what upstreams crash on, and keeps it from further upstreams. Blamed may be a prompt
/// part that many requests share, the last part of a prompt, which belongs to one session, or one
/// request that comes again with the same caller, path and body.
///
/// Evidence is kept for each of these kinds by itself (prompt_quarantine.h), because what is
/// suspicious differs: a request is at one upstream after the other, while a part is at many at
/// the same time. A request is refused if any of its suspects is in quarantine.
#pragma once

#include <nutmegspur/crash_watch.h>
#include <nutmegspur/prompt_quarantine.h>

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace nutmegspur {

/// What instances tell each other, by kind.
using blame_notice = std::array<quarantine_notice, blame_kinds.size()>;

/// A change of the quarantine of one kind.
struct blame_change {
  blame_kind kind = blame_kind::part;
  quarantine_change change;
};

using blame_changes = std::vector<blame_change>;

class crash_blame {
 public:
  /// `process` ended while it worked on requests with these suspects.
  void on_crash(wall_time now, std::uint64_t process, const crash_suspects& suspects);
  /// A response to a request with these suspects completed.
  blame_changes on_completed(wall_time now, const crash_suspects& suspects);
  /// Adds a peer's evidence and quarantines.
  blame_changes merge(wall_time now, const blame_notice& notice);
  /// To be called several times a second: quarantines what the evidence is sufficient for.
  blame_changes step(wall_time now);

  /// Time until a request with these suspects may be sent to an upstream; empty if it may be now.
  [[nodiscard]] std::optional<milliseconds> time_left(wall_time now,
                                                      const crash_suspects& suspects) const;
  /// What peers may not know yet.
  [[nodiscard]] blame_notice current(wall_time now) const;

  /// Number of groups of a kind that are in quarantine.
  [[nodiscard]] std::size_t size(wall_time now, blame_kind kind) const {
    return of(kind).size(now);
  }

 private:
  [[nodiscard]] prompt_quarantine& of(blame_kind kind) {
    return kinds_[static_cast<std::size_t>(kind)];
  }

  [[nodiscard]] const prompt_quarantine& of(blame_kind kind) const {
    return kinds_[static_cast<std::size_t>(kind)];
  }

  std::array<prompt_quarantine, blame_kinds.size()> kinds_{
      prompt_quarantine{quarantine_rules::for_parts()},
      prompt_quarantine{quarantine_rules::for_sessions()},
      prompt_quarantine{quarantine_rules::for_requests()}};
};

} // namespace nutmegspur
