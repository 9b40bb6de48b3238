/// \file member_ring.h
/// The order of a zone's instances, and the connections between them.
///
/// Instances are ordered by rendezvous hashing, so that a join or departure leaves the relative
/// order of all others unchanged. An instance's position in the order is its rank. Pairs of
/// consecutive ranks form a tree: the first pair are the zone's relays, and both instances of a
/// pair are parents of up to `tree_branching` pairs. An instance therefore has at most 2
/// connections to parents, 1 within its pair and `2 * tree_branching` to children, whatever the
/// zone's size.
#pragma once

#include <nutmegspur/ids.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// Instances of a zone that read from the platform on behalf of the others.
inline constexpr std::size_t relay_count = 2;
/// Child pairs of one pair.
inline constexpr std::size_t tree_branching = 4;

/// The rendezvous hashing weight of `candidate` for `key`; the same in every process.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// `candidates` by descending weight for `key`.
std::vector<instance_id> rendezvous_order(std::string_view key,
                                          const std::vector<instance_id>& candidates);

/// The first `count` of `rendezvous_order`, without sorting the rest.
std::vector<instance_id>
rendezvous_top(std::string_view key, const std::vector<instance_id>& candidates, std::size_t count);

/// The ranks that `rank` opens connections to, the preferred one first: its two parents; for rank
/// 1, rank 0; for rank 0, none.
std::vector<std::size_t> parent_ranks(std::size_t rank);

/// The ranks that open connections to `rank` in a zone of `size` instances.
std::vector<std::size_t> child_ranks(std::size_t rank, std::size_t size);

} // namespace nutmegspur
