/// \file main.cpp
/// Entry point of the test program `nutmegspur_standin platform|engine|service`.

#include "standin_main.h"

#include <QtCore/QCoreApplication>

#include <cstdio>
#include <string>
#include <vector>

int
main(int argc, char** argv) {
  const QCoreApplication app(argc, argv);
  const std::vector<std::string> args(argv + 1, argv + argc);
  const std::string name = args.empty() ? "" : args.front();
  const std::span<const std::string> rest{args.begin() + (args.empty() ? 0 : 1), args.end()};
  if (name == "platform") {
    return nutmegspur::standin::run_platform(rest);
  }
  if (name == "engine") {
    return nutmegspur::standin::run_engine(rest);
  }
  if (name == "service") {
    return nutmegspur::standin::run_service(rest);
  }
  std::fputs("usage: nutmegspur_standin platform|engine|service --port N [...]\n", stderr);
  return 2;
}
