/// \file prompt_cache_view.h
/// Estimates which prompt parts each engine has in its prefix cache. A prompt is a chain of parts,
/// and an engine can reuse a part only if it also has all parts before it.
///
/// The estimate is updated as soon as this instance or a peer places a request, without waiting for
/// the engine. Like the engine's cache, it evicts the least recently used parts.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

/// One part of a prompt, as identified by the caller.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// A part with the hash of the chain of parts that ends with it.
struct chained_part {
  std::uint64_t chain = 0;
  std::uint32_t tokens = 0;

  bool operator==(const chained_part&) const = default;
};

/// Parts and size of one request's prompt, and the limit on its output.
struct prompt_shape {
  std::vector<chained_part>
      parts; ///< The last part is not shared beyond this request or its session.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0; ///< Upper limit.

  /// The hash of the chain of all shared parts; 0 if nothing is shared.
  [[nodiscard]] std::uint64_t shared_chain() const {
    return parts.size() < 2 ? 0 : parts[parts.size() - 2].chain;
  }

  /// Tokens in all parts except the last.
  [[nodiscard]] std::uint32_t shared_tokens() const;
};

/// Chains `parts` for `model`; equal prefixes for the same model have equal hashes.
std::vector<chained_part> chain_parts(const std::string& model,
                                      const std::vector<prompt_part>& parts);

/// Rendezvous hashing weight (Thaler and Ravishankar, 1998) of `upstream` for `chain`. The upstream
/// with the highest weight is the home of `chain`; all instances compute the same home without
/// exchanging messages.
std::uint64_t home_weight(std::uint64_t chain, const upstream_id& upstream);

/// Preference of `instance` for `upstream`, from 0 (most preferred) to 1: a deterministic hash,
/// uniformly distributed.
double preference_rank(const instance_id& instance, const upstream_id& upstream);

/// A part that was placed at an engine, as reported between instances.
struct cached_part_notice {
  upstream_id upstream;
  chained_part part;
};

/// Estimated cache contents of all engines.
class prompt_cache_view {
 public:
  /// Tokens in the leading parts of `prompt` that `upstream` is estimated to have cached.
  [[nodiscard]] std::uint32_t cached_tokens(const upstream_id& upstream,
                                            const prompt_shape& prompt) const;
  /// Records that `upstream`, whose cache holds `capacity` tokens (0: no limit), prefills `parts`.
  /// Returns the parts that were not yet recorded.
  std::vector<chained_part> on_placed(const upstream_id& upstream,
                                      const std::vector<chained_part>& parts,
                                      std::uint64_t capacity);
  /// The attempt failed before prefill; removes `parts`, which only this attempt would have cached.
  void on_prefill_failed(const upstream_id& upstream, const std::vector<chained_part>& parts);

  /// Clears the estimate of an upstream that is gone or has restarted.
  void forget(const upstream_id& upstream) { engines_.erase(upstream); }

 private:
  struct cache_entry {
    std::uint32_t tokens = 0;
    std::list<std::uint64_t>::iterator lru_position;
  };

  struct engine_cache {
    // Invariant: `lru_order` lists the keys of `parts`, least recently used first; `tokens` is the
    // sum of their tokens.
    std::unordered_map<std::uint64_t, cache_entry> parts;
    std::list<std::uint64_t> lru_order;
    std::uint64_t tokens = 0;
  };

  static void drop(engine_cache& cache, std::uint64_t chain);

  std::unordered_map<upstream_id, engine_cache> engines_;
};

} // namespace nutmegspur
