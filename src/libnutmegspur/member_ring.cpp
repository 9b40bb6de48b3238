// Rendezvous order, and the parents and children of a rank in the zone's tree of pairs.
#include <nutmegspur/hashing.h>
#include <nutmegspur/member_ring.h>

#include <algorithm>
#include <string>
#include <utility>

namespace nutmegspur {

namespace {

using weighted = std::pair<std::uint64_t, const instance_id*>;

std::vector<weighted>
weigh(std::string_view key, const std::vector<instance_id>& candidates) {
  std::vector<weighted> all;
  all.reserve(candidates.size());
  for (const auto& it : candidates) {
    all.emplace_back(rendezvous_weight(key, it.value), &it);
  }
  return all;
}

// Equal weights are ordered by name, so that the order is the same in every process.
bool
heavier(const weighted& one, const weighted& other) {
  return one.first != other.first ? one.first > other.first : *one.second < *other.second;
}

} // namespace

std::uint64_t
rendezvous_weight(std::string_view key, std::string_view candidate) {
  constexpr std::uint64_t separator = 0xFF; // Separates ("a", "bc") from ("ab", "c").
  return mix_bits(fnv1a(fnv1a(fnv_basis, key) ^ separator, candidate));
}

std::vector<instance_id>
rendezvous_order(std::string_view key, const std::vector<instance_id>& candidates) {
  return rendezvous_top(key, candidates, candidates.size());
}

std::vector<instance_id>
rendezvous_top(std::string_view key, const std::vector<instance_id>& candidates,
               std::size_t count) {
  auto all = weigh(key, candidates);
  const std::size_t n = std::min(count, all.size());
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n), all.end(), heavier);
  std::vector<instance_id> top;
  top.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    top.push_back(*all[i].second);
  }
  return top;
}

std::vector<std::size_t>
parent_ranks(std::size_t rank) {
  if (rank == 0) {
    return {};
  }
  if (rank < relay_count) {
    return {0};
  }
  const std::size_t pair = (rank / 2 - 1) / tree_branching;
  const std::size_t preferred = pair * 2 + rank % 2;
  const std::size_t other = pair * 2 + (rank + 1) % 2;
  return {preferred, other};
}

std::vector<std::size_t>
child_ranks(std::size_t rank, std::size_t size) {
  std::vector<std::size_t> children;
  if (rank == 0 && size > 1) {
    children.push_back(1);
  }
  const std::size_t pair = rank / 2;
  const std::size_t first = (pair * tree_branching + 1) * 2;
  for (std::size_t n = first; n < std::min(first + tree_branching * 2, size); ++n) {
    children.push_back(n);
  }
  return children;
}

} // namespace nutmegspur
