/// \file peer.h
/// Messages between entry instances, and their msgpack encoding.
///
/// Each encoded message is the payload of one authenticated frame (peer_frame.h). Decoding checks
/// sizes and types; a malformed message closes the connection.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/platform.h>
#include <nutmegspur/request.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegspur {

/// Maximum size of a message, and of the payload of a frame, in bytes.
inline constexpr std::size_t max_peer_frame = 1024UL * 1024;

/// The first message on a connection.
struct peer_hello {
  instance_id sender;
  zone_id zone;
  revision config; ///< The configuration revision that the sender has applied.
};

/// Requests the configuration changes after `since`; zero requests a full snapshot.
struct config_pull {
  revision since;
};

/// Changes that bring a replica from revision `from` to `to`. If `from` is zero, the changes are
/// one page of a full snapshot.
struct config_delta {
  revision from;
  revision to;
  std::vector<kv_change> changes;
  bool last_page = true;
  /// Page number from 0, by which the receiver detects missing pages.
  std::uint32_t page = 0;
};

/// The sender has applied configuration `at` and knows of `highest`.
struct config_heartbeat {
  revision at;
  revision highest; ///< Revision of the last change that the sender knows of; at most
                    ///< `at` if it has applied that change.
  /// Time since the sender, or the peer that it receives updates from, last heard from the store.
  milliseconds age{0};
  /// The sender knows every change after this revision. A receiver that has reached both this and
  /// `highest` holds the same configuration as the sender.
  revision known_since{};
};

/// Load of one upstream, as polled by one instance.
struct load_digest_entry {
  upstream_id upstream;
  engine_load load;
  engine_role role = engine_role::mixed;
  milliseconds age{0};
};

/// State of an engine, as polled by one instance; sent when it changes.
struct engine_state_entry {
  upstream_id upstream;
  engine_state state;
  bool changing = false;
  milliseconds age{0};
};

/// Loads and states that an instance polled itself or received from other peers.
struct load_digest {
  std::vector<load_digest_entry> entries;
  std::vector<engine_state_entry> states;
};

/// Service that a team received since the last digest, in thousandths of weighted tokens.
struct team_service_entry {
  team_id team;
  std::uint64_t weighted_tokens_milli = 0;
  std::uint32_t waiting = 0;
};

struct fairness_digest {
  std::uint64_t sequence = 0;
  std::vector<team_service_entry> entries;
  bool upward = false; ///< From a child to its parent in the zone's tree.
};

/// Reports that an upstream is leaving or available again.
struct upstream_notice {
  upstream_id upstream;
  bool leaving = true;
  bool acknowledges = false; ///< Acknowledges the receiver's own notice; contains no new state.
  std::uint64_t number = 0;  ///< Number of the sender's notice; an acknowledgement repeats it.
};

/// Usage records for the holder of the zone's usage duty; resent until acknowledged.
struct usage_part {
  instance_id source;
  std::uint64_t sequence = 0; ///< Consecutive for each source.
  std::int64_t window_start = 0;
  std::vector<usage_line> lines;
};

/// Acknowledges a part that is in a sealed window or stored with the duty holder's peers.
struct usage_part_ack {
  instance_id source;
  std::uint64_t sequence = 0;
  bool sealed = false;
};

/// The sender's knowledge of one entry instance.
struct member_entry {
  instance_id instance;
  zone_id zone;
  std::uint64_t heartbeat = 0; ///< Increases while the instance runs.
  bool leaving = false;
  std::string address;        ///< IP address on which it accepts peer connections.
  std::uint16_t port = 0;     ///< Port on which it accepts peer connections.
  bool presumed_dead = false; ///< Without contact for longer than the silence timeout.
};

/// Heartbeat of the sender, with the members whose state changed.
struct member_digest {
  std::vector<member_entry> entries;
  std::uint64_t list_hash = 0; ///< Hash of the sender's copy of the instance list.
  bool subscribes = false;     ///< The sender requests lists and loads from the receiver.
};

/// Changes of the sender's copy of the instance list. A `full` update replaces the receiver's copy.
struct instance_list_update {
  bool full = false;
  std::vector<listed_instance> changed;
  std::vector<std::string> removed; ///< Names.
};

/// Requests a full `instance_list_update`.
struct instance_list_pull {};

using peer_message =
    std::variant<peer_hello, config_pull, config_delta, config_heartbeat, load_digest,
                 fairness_digest, upstream_notice, usage_part, usage_part_ack, member_digest,
                 instance_list_update, instance_list_pull>;

/// Encodes a message as a msgpack array of its type number and an array of its fields.
std::string encode(const peer_message& message);
/// Decodes `bytes`; wrong types or sizes and trailing bytes are errors.
result<peer_message> decode_peer_message(std::string_view bytes);

} // namespace nutmegspur
