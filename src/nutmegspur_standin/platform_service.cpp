// Request dispatch, upstream orders and usage reports of the platform stand-in.
#include "platform_service.h"

#include "instance_list.h"

namespace nutmegspur::standin {

platform_service::platform_service(const QByteArray& instances)
    : instances_(endpoint_slices(instances)) {}

void
platform_service::serve(const standin_request& request, response_channel response) {
  const QString& path = request.path;
  if (path.startsWith("/v3/")) {
    etcd_.serve(request, response);
  } else if (path == "/apis/discovery.k8s.io/v1/endpointslices") {
    response.send(200, instances_);
  } else if (path == "/standin/instances") {
    instances_ = endpoint_slices(request.body);
    response.send(200, QJsonObject{{"items", instances_["items"].toArray().size()}});
  } else if (path == "/platform/silence-watches") {
    etcd_.silence_watches();
    response.send(200, QJsonObject{});
  } else if (path.startsWith("/v1/zones/") && path.endsWith("/upstream-orders")) {
    handle_upstream_order(request, response);
  } else if (path == "/v1/usage") {
    handle_usage_report(request, response);
  } else {
    response.send(404, QJsonObject{{"error", "no such path"}});
  }
}

// Idempotent: a repeated order with the same key gets the order that was accepted first.
void
platform_service::handle_upstream_order(const standin_request& request,
                                        response_channel& response) {
  const QString key = request.path + " " + request.header("idempotency-key");
  const auto [it, added] = orders_.try_emplace(key, request.json());
  response.send(added ? 202 : 200, QJsonObject{{"accepted", it->second}});
}

void
platform_service::handle_usage_report(const standin_request& request, response_channel& response) {
  const QJsonObject event = request.json();
  if (event["specversion"].toString() != "1.0" || event["id"].toString().isEmpty()) {
    response.send(400, QJsonObject{{"error", "not a CloudEvents 1.0 event"}});
    return;
  }
  const auto [it, added] = usage_.try_emplace(event["id"].toString(), event["data"].toObject());
  const bool same = it->second == event["data"].toObject();
  response.send(same ? 202 : 409, QJsonObject{{"accepted", same}, {"repeated", !added}});
}

} // namespace nutmegspur::standin
