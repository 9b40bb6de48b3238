/// \file bounded_unpack.h
/// Decoding of msgpack from other processes.
#pragma once

#include <msgpack.hpp>

#include <cstddef>
#include <string_view>

namespace nutmegspur {

/// Decodes `bytes`. Throws the library's exceptions if they are malformed.
///
/// The library reserves the space of an array as soon as it has read its length, so five bytes
/// would take 128 GB of addresses. A length that is larger than the number of bytes is malformed.
inline msgpack::object_handle
unpack_bounded(std::string_view bytes) {
  constexpr std::size_t max_depth = 64;
  const std::size_t n = bytes.size();
  const msgpack::unpack_limit limit(n, n, n, n, n, max_depth);
  return msgpack::unpack(bytes.data(), n, nullptr, nullptr, limit);
}

} // namespace nutmegspur
