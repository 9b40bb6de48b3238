/// \file resource_rules.h
/// What a change of configuration must keep: references lead somewhere, keys stay what they are,
/// and a withdrawn key stays withdrawn.
#pragma once

#include <nutmegspur/config.h>

#include <functional>
#include <string>
#include <vector>

namespace nutmegspur {

/// A resource that another one names.
struct resource_reference {
  resource_kind kind;
  std::string name;

  auto operator<=>(const resource_reference&) const = default;
};

/// The resources that `spec` names and that must exist.
std::vector<resource_reference> references_of(const resource_spec& spec);

/// Finds a resource, or gives null.
using resource_lookup = std::function<const resource*(const resource_reference&)>;

/// Checks that `it` may take the place of `current` (null: there is none). `find` must find what
/// `it` names as it will be after the change.
result<void> check_put(const resource& it, const resource* current, const resource_lookup& find);

/// Checks that no other key has the digest of key `it`.
result<void> check_digest_is_new(const resource& it, const config_snapshot& in);

/// Checks that the resource may be deleted: nothing in `in` refers to it.
result<void> check_remove(const resource_reference& it, const config_snapshot& in);

} // namespace nutmegspur
