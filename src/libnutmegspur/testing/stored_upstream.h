/// \file stored_upstream.h
/// Entries of upstreams as tests store them.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/upstream_list.h>

#include <string>

namespace nutmegspur::testing {

inline const std::string upstream_prefix = "u/";

/// The stored text of `it`, of which only its id, address, start and whether it leaves are kept.
inline std::string
stored_upstream(const listed_upstream& it) {
  return it.address + ' ' + std::to_string(it.started_ms) + (it.leaving ? " leaving" : " ready");
}

inline result<listed_upstream>
parse_stored_upstream(const std::string& key, const std::string& value) {
  const auto first = value.find(' ');
  const auto second = value.find(' ', first + 1);
  if (first == std::string::npos || second == std::string::npos) {
    return fail({error_code::invalid_argument, step::platform_call, key, "no entry"});
  }
  listed_upstream it;
  it.id = upstream_id{key.substr(upstream_prefix.size())};
  it.service = service_id{"s"};
  it.address = value.substr(0, first);
  it.port = 80;
  it.started_ms = std::stoll(value.substr(first + 1, second - first - 1));
  it.leaving = value.substr(second + 1) == "leaving";
  return it;
}

} // namespace nutmegspur::testing
