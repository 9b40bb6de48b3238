/// \file msgpack_array.h
/// Decoding of small messages between instances: msgpack arrays with a fixed number of elements.
#pragma once

#include <nutmegspur/bounded_unpack.h>
#include <nutmegspur/error.h>

#include <msgpack.hpp>

#include <cstddef>
#include <exception>
#include <string_view>
#include <vector>

namespace nutmegspur::pvt {

/// Decodes an array of `count` elements with `read`; an error if it is malformed.
template <class T, class Reader>
result<T>
unpack_array(std::string_view bytes, std::size_t count, Reader read) {
  // msgpack reports malformed bytes by exceptions; convert them to an error.
  try {
    const msgpack::object_handle handle = unpack_bounded(bytes);
    const auto row = handle.get().as<std::vector<msgpack::object>>();
    if (row.size() != count) {
      return fail({error_code::invalid_argument, step::peer_call, "", "wrong element count"});
    }
    return read(row);
  } catch (const std::exception& ec) {
    return fail({error_code::invalid_argument, step::peer_call, "", ec.what()});
  }
}

} // namespace nutmegspur::pvt
