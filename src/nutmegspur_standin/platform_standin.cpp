/// \file platform_standin.cpp
/// The platform stand-in: key-value service, instance list, upstream and usage interfaces.

#include "etcd_gateway.h"
#include "instance_list.h"
#include "standin_http.h"
#include "standin_main.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QFile>
#include <QtCore/QJsonDocument>

#include <cxxopts.hpp>

#include <cstdio>
#include <map>

namespace nutmegspur::standin {

namespace {

class platform_standin {
 public:
  explicit platform_standin(const QByteArray& instances) : slices_(endpoint_slices(instances)) {}

  void serve(const standin_request& request, reply_channel reply) {
    const QString& path = request.path;
    if (path.startsWith("/v3/")) {
      etcd_.serve(request, reply);
    } else if (path == "/apis/discovery.k8s.io/v1/endpointslices") {
      reply.send(200, slices_);
    } else if (path == "/standin/instances") {
      slices_ = endpoint_slices(request.body);
      reply.send(200, QJsonObject{{"items", slices_["items"].toArray().size()}});
    } else if (path == "/platform/silence-watches") {
      etcd_.silence_watches();
      reply.send(200, QJsonObject{});
    } else if (path.startsWith("/v1/zones/") && path.endsWith("/upstream-orders")) {
      order_upstreams(request, reply);
    } else if (path == "/v1/usage") {
      take_usage(request, reply);
    } else {
      reply.send(404, QJsonObject{{"error", "no such page"}});
    }
  }

 private:
  // A repeat under the same key gets the first answer (idempotent).
  void order_upstreams(const standin_request& request, reply_channel& reply) {
    const QString key = request.path + " " + request.header("idempotency-key");
    const auto [it, added] = orders_.try_emplace(key, request.json());
    reply.send(added ? 202 : 200, QJsonObject{{"accepted", it->second}});
  }

  void take_usage(const standin_request& request, reply_channel& reply) {
    const QJsonObject event = request.json();
    if (event["specversion"].toString() != "1.0" || event["id"].toString().isEmpty()) {
      reply.send(400, QJsonObject{{"error", "not a CloudEvents 1.0 event"}});
      return;
    }
    const auto [it, added] = usage_.try_emplace(event["id"].toString(), event["data"].toObject());
    const bool same = it->second == event["data"].toObject();
    reply.send(same ? 202 : 409, QJsonObject{{"accepted", same}, {"repeated", !added}});
  }

  etcd_gateway etcd_;
  QJsonObject slices_;
  std::map<QString, QJsonObject> orders_;
  std::map<QString, QJsonObject> usage_;
};

QByteArray
read_file(const std::string& name) {
  QFile file(QString::fromStdString(name));
  return !name.empty() && file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray("[]");
}

int
serve_platform(std::uint16_t port, const std::string& instances) {
  platform_standin platform(read_file(instances));
  standin_server server([&platform](const standin_request& request, reply_channel reply) {
    platform.serve(request, std::move(reply));
  });
  return server.start(port) ? QCoreApplication::exec() : 1;
}

} // namespace

int
run_platform(std::span<const std::string> args) {
  cxxopts::Options options("nutmegspur_standin platform", "Stand-in of the platform");
  options.add_options()("port", "port; 0 picks one", cxxopts::value<std::uint16_t>())(
      "instances", "file with the first instance list",
      cxxopts::value<std::string>()->default_value(""));
  std::vector<const char*> argv{"platform"};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  try {
    const auto given = options.parse(static_cast<int>(argv.size()), argv.data());
    return serve_platform(given["port"].as<std::uint16_t>(), given["instances"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& ec) {
    std::fprintf(stderr, "%s\n", ec.what());
    return 2;
  }
}

} // namespace nutmegspur::standin
