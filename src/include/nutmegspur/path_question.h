/// \file path_question.h
/// Messages by which one instance asks another whether it reaches an upstream (path_watch.h).
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/names.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegspur {

/// Asks about one process: another one under the same id is not meant.
struct path_question {
  upstream_id upstream;
  std::int64_t started_ms = 0;

  bool operator==(const path_question&) const = default;
};

enum class path_answer {
  reached,     ///< The upstream has responded since the question.
  not_reached, ///< It does not respond to the instance that answers either.
  unknown,     ///< The instance that answers does not know the process, or doubts its own path.
};

template <> struct enum_names<path_answer> {
  static constexpr std::array<enum_name<path_answer>, 3> table{{
      {path_answer::reached, "reached"},
      {path_answer::not_reached, "not_reached"},
      {path_answer::unknown, "unknown"},
  }};
};

std::string pack_path_question(const path_question& it);
/// An error for malformed bytes.
result<path_question> unpack_path_question(std::string_view bytes);

/// The answer in `bytes`, which are its name; `unknown` for any other bytes.
path_answer read_path_answer(std::string_view bytes);

} // namespace nutmegspur
