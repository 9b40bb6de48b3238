// Hash of what a request is.
#include <nutmegspur/hashing.h>
#include <nutmegspur/request_fingerprint.h>

namespace nutmegspur {

std::uint64_t
request_fingerprint(std::string_view host, std::string_view method, std::string_view target,
                    std::string_view key, std::string_view body, std::uint64_t chain) {
  std::uint64_t hash = mix_bits(chain);
  for (const auto part : {host, method, target, key, body}) {
    // The length keeps bytes from moving between two arguments unnoticed.
    hash = mix_bits(fnv1a(hash ^ mix_bits(part.size()), part));
  }
  return hash;
}

} // namespace nutmegspur
