// The platform stand-in's interfaces.
#include "platform_service.h"

#include "instance_list.h"

namespace nutmegspur::standin {

platform_service::platform_service(const QByteArray& instances)
    : slices_(endpoint_slices(instances)) {}

void
platform_service::serve(const standin_request& request, reply_channel reply) {
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

// A repeat under the same key gets the first answer (idempotent).
void
platform_service::order_upstreams(const standin_request& request, reply_channel& reply) {
  const QString key = request.path + " " + request.header("idempotency-key");
  const auto [it, added] = orders_.try_emplace(key, request.json());
  reply.send(added ? 202 : 200, QJsonObject{{"accepted", it->second}});
}

void
platform_service::take_usage(const standin_request& request, reply_channel& reply) {
  const QJsonObject event = request.json();
  if (event["specversion"].toString() != "1.0" || event["id"].toString().isEmpty()) {
    reply.send(400, QJsonObject{{"error", "not a CloudEvents 1.0 event"}});
    return;
  }
  const auto [it, added] = usage_.try_emplace(event["id"].toString(), event["data"].toObject());
  const bool same = it->second == event["data"].toObject();
  reply.send(same ? 202 : 409, QJsonObject{{"accepted", same}, {"repeated", !added}});
}

} // namespace nutmegspur::standin
