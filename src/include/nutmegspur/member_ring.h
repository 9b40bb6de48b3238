/// \file member_ring.h
/// The order of a zone's instances, and who connects to whom.
///
/// Instances are ordered by rendezvous hashing, so that one that comes or goes moves no other
/// past its neighbours. Pairs of consecutive ranks form a tree: the first pair are the zone's
/// relays, and both of a pair serve up to `tree_branching` pairs below. Every instance so has at
/// most 2 connections up, 1 beside and `2 * tree_branching` down, however large the zone is.
#pragma once

#include <nutmegspur/ids.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// Instances of a zone that read the platform for the others.
inline constexpr std::size_t relay_count = 2;
/// Pairs served by one pair.
inline constexpr std::size_t tree_branching = 4;

/// The weight of `candidate` for `key`; the same in every process.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// `candidates` with the greatest weight for `key` first.
std::vector<instance_id> rendezvous_order(std::string_view key,
                                          const std::vector<instance_id>& candidates);

/// The first `count` of that order, without sorting the rest.
std::vector<instance_id>
rendezvous_top(std::string_view key, const std::vector<instance_id>& candidates, std::size_t count);

/// The ranks that `rank` connects to, the preferred one first: its parents, or, in the first pair,
/// the other of the pair if it comes before.
std::vector<std::size_t> parent_ranks(std::size_t rank);

/// The ranks that connect to `rank` in a zone of `size` instances.
std::vector<std::size_t> child_ranks(std::size_t rank, std::size_t size);

} // namespace nutmegspur
