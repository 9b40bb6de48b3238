/// \file standin_main.h
/// The three stand-ins; each function gets the arguments after the stand-in's name.
#pragma once

#include <span>
#include <string>

namespace nutmegspur::standin {

/// Serves the platform's interfaces; returns the exit status.
int run_platform(std::span<const std::string> args);
/// Serves an engine's interface; returns the exit status.
int run_engine(std::span<const std::string> args);
/// Serves a plain service; returns the exit status.
int run_service(std::span<const std::string> args);

} // namespace nutmegspur::standin
