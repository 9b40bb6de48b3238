/// \file peer_notice.h
/// What instances that proxy tell each other by datagram: open work, new cached parts and how far
/// their configuration is; and usage counts, to the holder of the reporting duty. zone_relays.h
/// says who tells whom.
///
/// Everything is a whole state or repeats, so that a lost datagram does no harm.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/load_view.h>
#include <nutmegspur/prompt_cache_view.h>
#include <nutmegspur/usage_windows.h>
#include <nutmegspur/withheld_upstreams.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// Whose work a notice tells of.
enum class notice_scope {
  own,    ///< The sender's, to the relay that it reports to.
  branch, ///< The sender's and that of the instances that report to it, to other relays.
  others, ///< Everybody's but the receiver's, from the relay that it reports to.
};

template <> struct enum_names<notice_scope> {
  static constexpr std::array<enum_name<notice_scope>, 3> table{{
      {notice_scope::own, "own"},
      {notice_scope::branch, "branch"},
      {notice_scope::others, "others"},
  }};
};

/// One datagram.
struct peer_notice {
  instance_id sender;
  zone_id zone; ///< The sender's.
  notice_scope scope = notice_scope::own;
  std::int64_t started_ms = 0; ///< Of the sender's process; tells a restart.
  wall_time wall{};            ///< The sender's time of day; with `others`, the agreed one.
  std::uint64_t sequence = 0;  ///< Grows within a process; older notices are dropped.
  std::int64_t config_version = 0;
  revision store; ///< How far the sender has followed the store.
  bool store_reachable = false;
  std::uint64_t content_hash = 0; ///< Hash of what the sender holds of the store.
  std::uint32_t instances = 1;    ///< Live instances that the notice tells of.
  milliseconds lifetime{1'000};   ///< How long its loads count.
  std::int64_t sealed = 0;        ///< Last usage window that is known to be sealed.
  std::vector<upstream_load_notice> loads;
  std::vector<cached_part_notice> placed; ///< Since about three notices ago.
  std::vector<withheld_notice> withheld;  ///< All that the sender knows of.
  std::vector<usage_window> usage;
  bool usage_only = false; ///< Nothing but `usage` and `sealed` is told.
};

/// Longest datagram, in bytes; fits into one UDP datagram over IPv4 with room to spare.
inline constexpr std::size_t max_notice_bytes = 32'000;

std::string pack_notice(const peer_notice& it);
/// Leaves the placed parts out where they make the notice too long: a relay that says less is
/// better than one that seems silent. An error if the rest is too long by itself.
result<std::string> pack_notice_to_fit(peer_notice it);
/// An error for bytes that are no notice.
result<peer_notice> unpack_notice(std::string_view bytes);

} // namespace nutmegspur
