/// \file prompt_cache_view.h
/// What the engines are believed to hold of prompts: a prompt is a chain of parts, and a part is
/// found in an engine's cache only behind all parts before it.
///
/// The belief is kept from placements, own and peers', at once; an engine's own cache evicts the
/// least recently used parts, and so does the belief.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

/// One part of a prompt, as the caller names it.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// A part with the hash of the chain that ends with it.
struct chained_part {
  std::uint64_t chain = 0;
  std::uint32_t tokens = 0;

  bool operator==(const chained_part&) const = default;
};

/// Size and parts of one request's prompt.
struct prompt_shape {
  std::vector<chained_part> parts; ///< The last one belongs to this request or its session alone.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0; ///< At most.

  /// The chain of all shared parts; zero if nothing is shared.
  [[nodiscard]] std::uint64_t shared_chain() const {
    return parts.size() < 2 ? 0 : parts[parts.size() - 2].chain;
  }

  /// Tokens of all parts but the last.
  [[nodiscard]] std::uint32_t shared_tokens() const;
};

/// The chain of `parts` for `model`; equal prefixes give equal hashes.
std::vector<chained_part> chain_parts(const std::string& model,
                                      const std::vector<prompt_part>& parts);

/// Weight of `upstream` as the home of `chain`: the highest of all upstreams is its first home
/// (rendezvous hashing; Thaler and Ravishankar, 1998), so that instances agree without a message.
std::uint64_t home_weight(std::uint64_t chain, const upstream_id& upstream);

/// How little `instance` prefers `upstream`, from 0 to 1: uniform, and the same each time.
double preference_rank(const instance_id& instance, const upstream_id& upstream);

/// A part that was placed at an engine, as instances tell each other.
struct cached_part_notice {
  upstream_id upstream;
  chained_part part;
};

/// The belief for all engines.
class prompt_cache_view {
 public:
  /// Tokens of the leading parts that `upstream` is believed to hold.
  [[nodiscard]] std::uint32_t cached_tokens(const upstream_id& upstream,
                                            const prompt_shape& prompt) const;
  /// `upstream` reads `parts`; it holds at most `capacity` tokens. Returns the parts that are new
  /// to the belief.
  std::vector<chained_part> on_placed(const upstream_id& upstream,
                                      const std::vector<chained_part>& parts,
                                      std::uint64_t capacity);
  /// The attempt came to nothing, so `parts` that it alone would have brought are not held.
  void on_prefill_failed(const upstream_id& upstream, const std::vector<chained_part>& parts);

  /// The upstream is gone or has restarted.
  void forget(const upstream_id& upstream) { engines_.erase(upstream); }

 private:
  struct cache_entry {
    std::uint32_t tokens = 0;
    std::list<std::uint64_t>::iterator lru_position;
  };

  struct engine_cache {
    // Invariant: `used` lists the keys of `parts`, the least recently used first; `tokens` is
    // their sum.
    std::unordered_map<std::uint64_t, cache_entry> parts;
    std::list<std::uint64_t> lru_order;
    std::uint64_t tokens = 0;
  };

  static void drop(engine_cache& cache, std::uint64_t chain);

  std::unordered_map<upstream_id, engine_cache> engines_;
};

} // namespace nutmegspur
