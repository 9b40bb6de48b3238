/// \file platform_standin.cpp
/// Command line of the platform stand-in.

#include "platform_service.h"
#include "standin_main.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QFile>

#include <cxxopts.hpp>

#include <cstdio>

namespace nutmegspur::standin {

namespace {

QByteArray
read_file(const std::string& name) {
  QFile file(QString::fromStdString(name));
  return !name.empty() && file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray("[]");
}

int
serve_platform(std::uint16_t port, const std::string& instances) {
  platform_service platform(read_file(instances));
  standin_server server([&platform](const standin_request& request, response_channel response) {
    platform.serve(request, std::move(response));
  });
  return server.start(port) ? QCoreApplication::exec() : 1;
}

} // namespace

int
run_platform(std::span<const std::string> args) {
  cxxopts::Options options("nutmegspur_standin platform", "Stand-in of the platform");
  options.add_options()("port", "port; 0 picks a free one", cxxopts::value<std::uint16_t>())(
      "instances", "file with the initial instance list",
      cxxopts::value<std::string>()->default_value(""));
  std::vector<const char*> argv{"platform"};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  try {
    const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    return serve_platform(parsed["port"].as<std::uint16_t>(),
                          parsed["instances"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& ec) {
    std::fprintf(stderr, "%s\n", ec.what());
    return 2;
  }
}

} // namespace nutmegspur::standin
