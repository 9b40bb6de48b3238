// Conversion of the instance list to endpoint slices.
#include "instance_list.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>

namespace nutmegspur::standin {

namespace {

QJsonObject
slice_of(const QJsonObject& it) {
  const bool leaving = it["leaving"].toBool();
  const QJsonObject conditions{{"ready", !leaving}, {"serving", true}, {"terminating", leaving}};
  const QJsonObject endpoint{{"addresses", QJsonArray{it["address"]}},
                             {"conditions", conditions},
                             {"zone", it["zone"]},
                             {"targetRef", QJsonObject{{"kind", "Pod"}, {"name", it["name"]}}}};
  const QJsonObject labels{{"kubernetes.io/service-name", it["service"].toString()},
                           {"nutmegspur/kind", it["kind"]},
                           {"nutmegspur/region", it["region"]}};
  return {{"metadata", QJsonObject{{"name", it["name"]}, {"labels", labels}}},
          {"addressType", "IPv4"},
          {"endpoints", QJsonArray{endpoint}},
          {"ports", QJsonArray{QJsonObject{{"name", "main"}, {"port", it["port"]}}}}};
}

} // namespace

QJsonObject
endpoint_slices(const QByteArray& instances) {
  QJsonArray items;
  for (const auto& it : QJsonDocument::fromJson(instances).array()) {
    items.append(slice_of(it.toObject()));
  }
  return {{"kind", "EndpointSliceList"}, {"apiVersion", "discovery.k8s.io/v1"}, {"items", items}};
}

} // namespace nutmegspur::standin
