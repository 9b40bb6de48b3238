/// \file resource_rules.h
/// Rules for changes of the configuration: referenced resources exist, a key never changes except
/// by withdrawal, and a withdrawn key stays withdrawn.
#pragma once

#include <nutmegspur/config.h>

#include <functional>
#include <string>
#include <vector>

namespace nutmegspur {

/// Identifies a resource to which another one refers.
struct resource_reference {
  resource_kind kind;
  std::string name;

  auto operator<=>(const resource_reference&) const = default;
};

/// The resources to which `spec` refers and which must exist.
std::vector<resource_reference> references_of(const resource_spec& spec);

/// Finds a resource; null if there is none.
using resource_lookup = std::function<const resource*(const resource_reference&)>;

/// Checks that `it` may replace `current` (null: it does not exist yet). `find` must return the
/// resources to which `it` refers in their state after the change.
result<void> check_put(const resource& it, const resource* current, const resource_lookup& find);

/// If `it` is a key: checks that no other key has the same digest.
result<void> check_digest_is_new(const resource& it, const config_snapshot& in);

/// Checks that the resource may be deleted: it is not a key, and no resource in `in` refers to it.
result<void> check_remove(const resource_reference& it, const config_snapshot& in);

} // namespace nutmegspur
