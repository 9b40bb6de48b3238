/// \file peer_notice.h
/// Datagrams between proxying instances: work in progress, newly cached prompt parts, prompt parts
/// on which engines crash, rates that upstreams state, and configuration progress; usage counts for
/// the holder of the reporting duty, and origins of streams for their keepers. zone_relays.h
/// decides which instances exchange the rest.
///
/// Each datagram holds complete state or is repeated, so that losing one is harmless.
#pragma once

#include <nutmegspur/crash_blame.h>
#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/load_view.h>
#include <nutmegspur/prompt_cache_view.h>
#include <nutmegspur/stream_origins.h>
#include <nutmegspur/upstream_limits.h>
#include <nutmegspur/upstream_removals.h>
#include <nutmegspur/usage_windows.h>
#include <nutmegspur/withheld_upstreams.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// The instances whose work a notice reports.
enum class notice_scope {
  own,    ///< Only the sender's; sent to the relay that the sender reports to.
  branch, ///< The sender's and its reporting instances'; sent by a relay to other relays.
  others, ///< All instances except the receiver; sent by the receiver's relay.
};

template <> struct enum_names<notice_scope> {
  static constexpr std::array<enum_name<notice_scope>, 3> table{{
      {notice_scope::own, "own"},
      {notice_scope::branch, "branch"},
      {notice_scope::others, "others"},
  }};
};

/// The contents of one datagram.
struct peer_notice {
  instance_id sender;
  zone_id zone; ///< The sender's.
  notice_scope scope = notice_scope::own;
  std::int64_t started_ms = 0; ///< Start of the sender's process, by which a restart is detected.
  wall_time wall{};            ///< The sender's wall clock; with scope `others`, the agreed time.
  std::uint64_t sequence = 0;  ///< Increases within a process; older notices are dropped.
  std::int64_t config_version = 0;
  revision store; ///< Store revision that the sender has reached.
  bool store_reachable = false;
  std::uint64_t content_hash = 0; ///< Hash of the sender's copy of the store.
  std::uint32_t instances = 1;    ///< Number of live instances that the notice covers.
  milliseconds lifetime{1'000};   ///< How long the loads are valid.
  std::int64_t sealed = 0;        ///< Last usage window known to be sealed.
  std::vector<upstream_load_notice> loads;
  std::vector<cached_part_notice> placed;    ///< Added since about three notices ago.
  std::vector<withheld_notice> withheld;     ///< All withheld upstreams known to the sender.
  std::vector<removal_notice> removals;      ///< All that peers are told of.
  blame_notice blame;                        ///< Evidence of what upstreams crash on.
  std::vector<limit_notice> limits;          ///< All limits of upstreams known to the sender.
  std::vector<stream_origin_notice> origins; ///< Of streams whose keeper the receiver is.
  std::vector<usage_window> usage;
  bool partial = false; ///< Only `usage`, `sealed` and `origins` are valid.
};

/// Maximum datagram size in bytes; well below the limit of a UDP datagram over IPv4.
inline constexpr std::size_t max_notice_bytes = 32'000;

std::string pack_notice(const peer_notice& it);
/// Packs the notice. If it is too long, leaves out its placed parts, then most of the evidence
/// against sessions and requests: an incomplete notice from a relay is better than apparent
/// silence. An error if the rest is still too long.
result<std::string> pack_notice_to_fit(peer_notice it);
/// Decodes a datagram; an error if it is not a valid notice.
result<peer_notice> unpack_notice(std::string_view bytes);

} // namespace nutmegspur
