/// \file hashing.h
/// Hash functions with the same result in every process, unlike std::hash. Instances that hash the
/// same input reach the same decision without exchanging messages.
#pragma once

#include <cstdint>
#include <string_view>

namespace nutmegspur {

inline constexpr std::uint64_t fnv_basis = 0xCBF29CE484222325ULL;

/// FNV-1a, 64 bits (Fowler, Noll and Vo, 1991), continued from `hash`; start with `fnv_basis`.
constexpr std::uint64_t
fnv1a(std::uint64_t hash, std::string_view bytes) {
  constexpr std::uint64_t prime = 0x100000001B3ULL;
  for (const char it : bytes) {
    hash = (hash ^ static_cast<unsigned char>(it)) * prime;
  }
  return hash;
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014). FNV leaves most of the variation in
/// the low bits; this distributes it over all of them.
constexpr std::uint64_t
mix_bits(std::uint64_t n) {
  constexpr unsigned first = 30;
  constexpr unsigned second = 27;
  constexpr unsigned third = 31;
  n = (n ^ (n >> first)) * 0xBF58476D1CE4E5B9ULL;
  n = (n ^ (n >> second)) * 0x94D049BB133111EBULL;
  return n ^ (n >> third);
}

} // namespace nutmegspur
