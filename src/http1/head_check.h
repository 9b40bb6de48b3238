/// \file head_check.h
/// Checks of message heads that are stricter than those of http_parser (RFC 9112, 2 to 6).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegspur::http1 {

/// Returns why a request head is rejected, or nothing if it is valid. Rejects what http_parser
/// accepts although two implementations could interpret it differently: folded lines, bare line
/// feeds, spaces before a colon, a target that is not a path, and framing given twice.
std::optional<std::string> find_head_violation(std::string_view head);

/// The offset after the empty line that ends the head of a message, if it has been received.
std::optional<std::size_t> find_head_end(std::string_view bytes);

} // namespace nutmegspur::http1
