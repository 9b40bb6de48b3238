/// \file platform_service.h
/// The platform stand-in's interfaces behind one handler.
#pragma once

#include "etcd_gateway.h"
#include "standin_http.h"

#include <map>

namespace nutmegspur::standin {

/// Key-value service, instance list, upstream interface and usage interface.
class platform_service {
 public:
  /// Begins with an instance list as `PUT /standin/instances` takes it.
  explicit platform_service(const QByteArray& instances);

  void serve(const standin_request& request, response_channel response);

 private:
  void handle_upstream_order(const standin_request& request, response_channel& response);
  void handle_usage_report(const standin_request& request, response_channel& response);

  etcd_gateway etcd_;
  QJsonObject instances_;
  std::map<QString, QJsonObject> orders_; ///< First order under each path and idempotency key.
  std::map<QString, QJsonObject> usage_;  ///< First record under each event id.
};

} // namespace nutmegspur::standin
