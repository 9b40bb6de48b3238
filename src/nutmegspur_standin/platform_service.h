/// \file platform_service.h
/// All interfaces of the platform stand-in behind one handler.
#pragma once

#include "etcd_gateway.h"
#include "standin_http.h"

#include <map>

namespace nutmegspur::standin {

/// Serves the key-value store, the instance list, upstream orders and usage reports.
class platform_service {
 public:
  /// `instances` is the initial instance list, in the format of `PUT /standin/instances`.
  explicit platform_service(const QByteArray& instances);

  void serve(const standin_request& request, response_channel response);

 private:
  void handle_upstream_order(const standin_request& request, response_channel& response);
  void handle_usage_report(const standin_request& request, response_channel& response);

  etcd_gateway etcd_;
  QJsonObject instances_;
  std::map<QString, QJsonObject> orders_; ///< First order for each path and idempotency key.
  std::map<QString, QJsonObject> usage_;  ///< First record for each event id.
};

} // namespace nutmegspur::standin
