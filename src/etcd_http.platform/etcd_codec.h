/// \file etcd_codec.h
/// Encodes platform operations as HTTP calls and decodes their responses, without I/O.
///
/// Formats: etcd v3 JSON gateway, Kubernetes EndpointSliceList, CloudEvents 1.0.
#pragma once

#include <nutmegspur/platform.h>

#include <QtCore/QByteArray>

#include <string_view>

namespace nutmegspur::etcd_http {

/// An HTTP call to the platform.
struct http_call {
  std::string_view kind; ///< Name of the operation, for metrics.
  QByteArray method = "POST";
  QByteArray path;
  QByteArray body;
  QByteArray content_type = "application/json";
  QByteArray idempotency_key; ///< Empty if the interface takes no such key.
  /// True for calls that change state: the HTTP library must not send them again by itself.
  bool one_shot = false;
};

/// Encodes `request` as an HTTP call.
http_call encode(const platform_request& request);
/// The request body that opens a watch.
QByteArray encode_watch(const watch_start& request);

/// Decodes the response to `request`. A status other than 2xx becomes an error whose `ran` says
/// whether the platform may have executed the request.
result<platform_answer> decode(const platform_request& request, int status, const QByteArray& body);

/// One message of a watch stream.
struct watch_message {
  bool created = false;
  bool cancelled = false;
  bool compacted = false;
  revision store;
  std::vector<kv_change> changes;
};

/// Decodes one line of a watch stream.
result<watch_message> decode_watch(const QByteArray& line);

/// Decodes an EndpointSliceList. Entries without a name, kind, address or port are skipped.
std::vector<listed_instance> decode_instances(const QByteArray& body);

} // namespace nutmegspur::etcd_http
