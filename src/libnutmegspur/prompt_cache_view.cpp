// Estimates which prompt parts engines have cached.
#include <nutmegspur/hashing.h>
#include <nutmegspur/prompt_cache_view.h>

#include <functional>

namespace nutmegspur {

namespace {

/// One step of SplitMix64.
std::uint64_t
mix(std::uint64_t n) {
  constexpr std::uint64_t golden_gamma = 0x9E3779B97F4A7C15ULL;
  return mix_bits(n + golden_gamma);
}

std::uint64_t
hash_string(std::string_view text) {
  return fnv1a(fnv_basis, text);
}

} // namespace

std::uint32_t
prompt_shape::shared_tokens() const {
  std::uint32_t sum = 0;
  for (std::size_t n = 0; n + 1 < parts.size(); ++n) {
    sum += parts[n].tokens;
  }
  return sum;
}

std::vector<chained_part>
chain_parts(const std::string& model, const std::vector<prompt_part>& parts) {
  std::vector<chained_part> chained;
  chained.reserve(parts.size());
  std::uint64_t chain = hash_string(model);
  for (const auto& it : parts) {
    chain = mix(chain ^ mix(it.id));
    chained.push_back({chain, it.tokens});
  }
  return chained;
}

std::uint64_t
home_weight(std::uint64_t chain, const upstream_id& upstream) {
  return mix(chain ^ hash_string(upstream.value));
}

double
preference_rank(const instance_id& instance, const upstream_id& upstream) {
  constexpr unsigned dropped_bits = 11;        // A double represents 53 bits exactly.
  constexpr double range = 9007199254740992.0; // 2^53.
  const std::uint64_t draw = home_weight(hash_string(instance.value), upstream) >> dropped_bits;
  return static_cast<double>(draw) / range;
}

std::uint32_t
prompt_cache_view::cached_tokens(const upstream_id& upstream, const prompt_shape& prompt) const {
  const auto engine = engines_.find(upstream);
  if (engine == engines_.end()) {
    return 0;
  }
  std::uint32_t sum = 0;
  for (const auto& it : prompt.parts) {
    if (!engine->second.parts.contains(it.chain)) {
      break;
    }
    sum += it.tokens;
  }
  return sum;
}

std::vector<chained_part>
prompt_cache_view::on_placed(const upstream_id& upstream, const std::vector<chained_part>& parts,
                             std::uint64_t capacity) {
  std::vector<chained_part> added;
  engine_cache& cache = engines_[upstream];
  for (const auto& it : parts) {
    const auto cached_part = cache.parts.find(it.chain);
    if (cached_part != cache.parts.end()) {
      cache.lru_order.splice(cache.lru_order.end(), cache.lru_order,
                             cached_part->second.lru_position);
      continue;
    }
    cache.lru_order.push_back(it.chain);
    cache.parts.emplace(it.chain, cache_entry{it.tokens, std::prev(cache.lru_order.end())});
    cache.tokens += it.tokens;
    added.push_back(it);
  }
  while (capacity > 0 && cache.tokens > capacity && cache.lru_order.size() > parts.size()) {
    drop(cache, cache.lru_order.front());
  }
  return added;
}

void
prompt_cache_view::on_prefill_failed(const upstream_id& upstream,
                                     const std::vector<chained_part>& parts) {
  const auto engine = engines_.find(upstream);
  if (engine == engines_.end()) {
    return;
  }
  for (const auto& it : parts) {
    drop(engine->second, it.chain);
  }
}

void
prompt_cache_view::drop(engine_cache& cache, std::uint64_t chain) {
  const auto it = cache.parts.find(chain);
  if (it == cache.parts.end()) {
    return;
  }
  cache.tokens -= it->second.tokens;
  cache.lru_order.erase(it->second.lru_position);
  cache.parts.erase(it);
}

} // namespace nutmegspur
