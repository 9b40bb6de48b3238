/// \file etcd_codec.h
/// The platform's published formats: typed operations to HTTP calls, and answers back.
///
/// etcd v3 JSON gateway, Kubernetes EndpointSliceList, CloudEvents 1.0. No I/O.
#pragma once

#include <nutmegspur/platform.h>

#include <QtCore/QByteArray>

#include <string_view>

namespace nutmegspur::etcd_http {

/// One HTTP call.
struct http_call {
  std::string_view kind; ///< Name of the operation, for metrics.
  QByteArray method = "POST";
  QByteArray path;
  QByteArray body;
  QByteArray content_type = "application/json";
  QByteArray idempotency_key; ///< Empty if the interface takes none.
  /// A call that changes something must not be sent twice by the HTTP library.
  bool one_shot = false;
};

/// The call that carries out `request`. Watches have their own: `encode_watch`.
http_call encode(const platform_request& request);
/// The body that opens a watch.
QByteArray encode_watch(const watch_start& request);

/// Reads the answer to `request`. A status other than 2xx becomes an error whose `ran` says
/// whether the platform may have carried it out.
result<platform_answer> decode(const platform_request& request, int status, const QByteArray& body);

/// One message of a watch's stream.
struct watch_message {
  bool created = false;
  bool cancelled = false;
  bool compacted = false;
  revision store;
  std::vector<kv_change> changes;
};

/// Reads one line of a watch's stream.
result<watch_message> decode_watch(const QByteArray& line);

/// Reads an EndpointSliceList. Entries without a name, kind, address or port are left out.
std::vector<listed_instance> decode_instances(const QByteArray& body);

} // namespace nutmegspur::etcd_http
