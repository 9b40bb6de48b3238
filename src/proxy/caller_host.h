/// \file caller_host.h
/// The host that a request is addressed to, for matching it to a route.
#pragma once

#include <nutmegspur/http_message.h>

#include <string>

namespace nutmegspur::proxy {

/// Returns the `Host` field without its port, in lower case.
std::string host_of(const http_request_head& head);

} // namespace nutmegspur::proxy
