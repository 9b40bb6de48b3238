/// \file request_fingerprint.h
/// Recognizes a request that comes again: a caller's retry has another id and less time left, but
/// the same caller, path and body.
#pragma once

#include <cstdint>
#include <string_view>

namespace nutmegspur {

/// A hash of what a request is, which is the same in all instances. Two requests that differ in any
/// argument have different hashes, except for collisions. `chain` identifies the prompt
/// (`chained_part::chain` of its last part), or is 0.
std::uint64_t request_fingerprint(std::string_view host, std::string_view method,
                                  std::string_view target, std::string_view key,
                                  std::string_view body, std::uint64_t chain);

} // namespace nutmegspur
