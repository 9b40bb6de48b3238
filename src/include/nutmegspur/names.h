/// \file names.h
/// Conversion between enumerators and their names, which logs, metrics, parsers and tests use.
///
/// An `enum class` opts in by specializing `enum_names` with a `table` of (value, name) pairs.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace nutmegspur {

/// A row of a name table.
template <class E> struct enum_name {
  E value;
  std::string_view name;
};

/// Specialize with `static constexpr std::array<enum_name<E>, N> table`.
template <class E> struct enum_names;

/// The name of `value`, or "unknown" if the table does not contain it.
template <class E>
constexpr std::string_view
to_name(E value) {
  for (const auto& row : enum_names<E>::table) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "unknown";
}

/// The enumerator with this name, if there is one.
template <class E>
constexpr std::optional<E>
from_name(std::string_view name) {
  for (const auto& row : enum_names<E>::table) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

} // namespace nutmegspur
