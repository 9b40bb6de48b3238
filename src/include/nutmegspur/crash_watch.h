/// \file crash_watch.h
/// Tells a process that ended from single streams that broke: when attempts break at an engine, its
/// process is asked once whether it still runs.
///
/// The suspects of all attempts that broke are kept until the answer is known, because any of them
/// may be what the process crashed on (crash_blame.h).
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/names.h>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace nutmegspur {

/// Ids of prompt parts, as the caller gave them, or of other suspects; sorted and without
/// duplicates.
using part_ids = std::vector<std::uint64_t>;

/// What a process may have crashed on.
enum class blame_kind {
  part,    ///< A part of prompts that requests share.
  session, ///< The last part of a prompt, which belongs to one request or session.
  request, ///< A request that comes again: its fingerprint (request_fingerprint.h).
};

template <> struct enum_names<blame_kind> {
  static constexpr std::array<enum_name<blame_kind>, 3> table{{
      {blame_kind::part, "part"},
      {blame_kind::session, "session"},
      {blame_kind::request, "request"},
  }};
};

inline constexpr std::array blame_kinds{blame_kind::part, blame_kind::session, blame_kind::request};

/// What of one or several requests may be to blame if their process crashes.
class crash_suspects {
 public:
  [[nodiscard]] part_ids& of(blame_kind kind) { return ids_[static_cast<std::size_t>(kind)]; }

  [[nodiscard]] const part_ids& of(blame_kind kind) const {
    return ids_[static_cast<std::size_t>(kind)];
  }

  [[nodiscard]] bool empty() const;
  /// Adds the suspects of other requests.
  void add(const crash_suspects& others);

  bool operator==(const crash_suspects&) const = default;

 private:
  std::array<part_ids, blame_kinds.size()> ids_;
};

/// One process behind an upstream.
struct upstream_process {
  upstream_id id;
  std::int64_t started_ms = 0; ///< Unix time of its start.

  auto operator<=>(const upstream_process&) const = default;
};

/// A hash of `process` that is the same in all instances.
std::uint64_t process_key(const upstream_process& process);

/// The processes at which attempts broke lately.
class crash_watch {
 public:
  /// How long the suspects of broken attempts are kept.
  static constexpr milliseconds retention{10'000};
  /// Minimum time between two checks of one process.
  static constexpr milliseconds check_period{1'000};

  enum class next_step {
    none,  ///< A check is under way, or was made a moment ago.
    check, ///< Ask the process whether it runs.
    count, ///< The process has ended: the suspects of this attempt count, too.
  };

  /// An attempt with these suspects broke at `process`.
  next_step on_broken(const moment& now, const upstream_process& process,
                      const crash_suspects& suspects);

  /// The process answered the check.
  void on_running(const upstream_process& process) { processes_.erase(process); }

  /// The process did not accept a connection, or another one is at its address. Returns the
  /// suspects of the attempts that broke there, each once.
  crash_suspects on_ended(const upstream_process& process);

 private:
  struct broken_attempts {
    crash_suspects suspects;
    time_point last{};
    time_point checked{};
    bool ended = false;
  };

  void expire(const moment& now);

  std::map<upstream_process, broken_attempts> processes_;
};

} // namespace nutmegspur
