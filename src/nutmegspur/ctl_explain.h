/// \file ctl_explain.h
/// `ctl explain`: one request's way, read from log files or standard input; needs no server.
#pragma once

#include "ctl.h"

#include <span>
#include <string>

namespace nutmegspur {

/// `words`: the request's id, then files; without files, standard input is read.
ctl_status explain_request(std::span<const std::string> words);

} // namespace nutmegspur
