/// \file peer.h
/// Messages between entry instances, and their msgpack form.
///
/// A frame on the wire is a 4-byte big-endian length, a 32-byte HMAC-SHA-256 under the shared peer
/// secret over sender, counter and payload, then the payload. Decoding checks sizes and types; a
/// bad frame ends the connection.
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

/// Largest frame accepted, in bytes.
inline constexpr std::size_t max_peer_frame = 1024UL * 1024;

/// First message on a connection.
struct peer_hello {
  instance_id sender;
  zone_id zone;
  revision config; ///< The configuration revision that the sender has in force.
};

/// Asks for configuration after `since`; zero asks for a whole snapshot.
struct config_pull {
  revision since;
};

/// Changes that take a replica from `from` to `to`. With `from` zero it is a page of a snapshot.
struct config_delta {
  revision from;
  revision to;
  std::vector<kv_change> changes;
  bool last_page = true;
  /// Counts the pages from 0, so that a delta is whole only once none is missing.
  std::uint32_t page = 0;
};

/// The sender has configuration `at` in force and has heard of `highest`.
struct config_heartbeat {
  revision at;
  revision highest; ///< Of the last change that the sender knows of; at most `at` if it has it.
  /// How long ago the sender, or its source, last heard from the store.
  milliseconds age{0};
  /// The sender knows every change after this revision; who is at or past both this and `highest`
  /// holds the same configuration as the sender.
  revision known_since{};
};

/// Load of one upstream, as one instance read it.
struct load_digest_entry {
  upstream_id upstream;
  engine_load load;
  engine_role role = engine_role::mixed;
  milliseconds age{0};
};

/// What an engine is, as one instance read it; sent when it changes.
struct engine_state_entry {
  upstream_id upstream;
  engine_state state;
  bool changing = false;
  milliseconds age{0};
};

/// What an instance read of its share of the zone's upstreams, or heard of others'.
struct load_digest {
  std::vector<load_digest_entry> entries;
  std::vector<engine_state_entry> states;
};

/// Service given to a team since the last digest, in weighted tokens (thousandths).
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

/// An upstream is leaving or back.
struct upstream_notice {
  upstream_id upstream;
  bool leaving = true;
  bool acknowledges = false; ///< Answers the receiver's own notice; it says nothing new.
  std::uint64_t number = 0;  ///< Of the sender's notice; an acknowledgement repeats it.
};

/// A part of usage for the zone's usage duty; resent until acknowledged.
struct usage_part {
  instance_id source;
  std::uint64_t sequence = 0; ///< Consecutive for each source.
  std::int64_t window_start = 0;
  std::vector<usage_line> lines;
};

/// The part is in a sealed window or safe with the duty holder's peers.
struct usage_part_ack {
  instance_id source;
  std::uint64_t sequence = 0;
  bool sealed = false;
};

/// Which instances the sender knows to be alive or leaving.
struct member_entry {
  instance_id instance;
  zone_id zone;
  std::uint64_t heartbeat = 0; ///< Grows while the instance lives.
  bool leaving = false;
  std::string address;        ///< Where it takes peer connections.
  std::uint16_t port = 0;     ///< Where it takes peer connections.
  bool presumed_dead = false; ///< Not heard of for some seconds.
};

/// A heartbeat of the sender, with the members whose state changed.
struct member_digest {
  std::vector<member_entry> entries;
  std::uint64_t list_hash = 0; ///< Hash of the instance list that the sender holds.
  bool subscribes = false;     ///< The receiver shall pass on lists and loads to the sender.
};

/// Changes of the instance list as the sender holds it. A `whole` one replaces what is held.
struct instance_list_update {
  bool full = false;
  std::vector<listed_instance> changed;
  std::vector<std::string> removed; ///< Names.
};

/// Asks for a whole `instance_list_update`.
struct instance_list_pull {};

using peer_message =
    std::variant<peer_hello, config_pull, config_delta, config_heartbeat, load_digest,
                 fairness_digest, upstream_notice, usage_part, usage_part_ack, member_digest,
                 instance_list_update, instance_list_pull>;

/// The message's msgpack form: an array of its type's number and its fields.
std::string encode(const peer_message& message);
/// Reads `bytes`; wrong types, sizes and trailing bytes are errors.
result<peer_message> decode_peer_message(std::string_view bytes);

} // namespace nutmegspur
