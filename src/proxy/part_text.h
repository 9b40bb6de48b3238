/// \file part_text.h
/// Ids of prompt parts as text for log lines.
#pragma once

#include <nutmegspur/crash_watch.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>

namespace nutmegspur::proxy {

/// Maximum number of parts in a log line.
inline constexpr std::size_t max_logged_parts = 16;

/// The id in hexadecimal, as callers send it.
inline std::string
part_text(std::uint64_t id) {
  constexpr int hexadecimal = 16;
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), id, hexadecimal).ptr;
  return {digits.data(), end};
}

/// The first `max_logged_parts` ids, separated by commas.
inline std::string
part_list_text(const part_ids& parts) {
  std::string text;
  for (std::size_t n = 0; n < std::min(parts.size(), max_logged_parts); ++n) {
    text.append(n == 0 ? "" : ",").append(part_text(parts[n]));
  }
  return text;
}

} // namespace nutmegspur::proxy
