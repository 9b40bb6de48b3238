/// \file ctl_explain.h
/// `ctl explain`: traces one request through the log lines of files or standard input. Needs no
/// server.
#pragma once

#include "ctl.h"

#include <span>
#include <string>

namespace nutmegspur {

/// `words` holds the request's id, then log files; without files, standard input is read. Returns
/// `refused` if no log line belongs to the request.
ctl_status explain_request(std::span<const std::string> words);

} // namespace nutmegspur
