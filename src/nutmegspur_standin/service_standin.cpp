/// \file service_standin.cpp
/// Stand-in of a plain service: responds to any request with a JSON description of it, and records
/// it.

#include "standin_http.h"
#include "standin_main.h"

#include <QtCore/QCoreApplication>

#include <cxxopts.hpp>

#include <cstdio>

namespace nutmegspur::standin {

namespace {

QJsonObject
echo_body(const QString& name, const standin_request& request) {
  return {{"service", name},
          {"method", QString::fromLatin1(request.method)},
          {"path", request.path},
          {"call_number", static_cast<qint64>(request.number)},
          {"echo", QString::fromUtf8(request.body)}};
}

int
serve(std::uint16_t port, const QString& name) {
  standin_server server([&name](const standin_request& request, response_channel response) {
    response.send(200, echo_body(name, request));
  });
  return server.start(port) ? QCoreApplication::exec() : 1;
}

} // namespace

int
run_service(std::span<const std::string> args) {
  cxxopts::Options options("nutmegspur_standin service", "Stand-in of a plain service");
  options.add_options()("port", "port; 0 picks a free one", cxxopts::value<std::uint16_t>())(
      "name", "name", cxxopts::value<std::string>()->default_value("service"))(
      "zone", "availability zone", cxxopts::value<std::string>()->default_value("z1"));
  std::vector<const char*> argv{"service"};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  try {
    const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    return serve(parsed["port"].as<std::uint16_t>(),
                 QString::fromStdString(parsed["name"].as<std::string>()));
  } catch (const cxxopts::exceptions::exception& ec) {
    std::fprintf(stderr, "%s\n", ec.what());
    return 2;
  }
}

} // namespace nutmegspur::standin
