/// \file etcd_gateway.h
/// etcd v3 JSON gateway of the platform stand-in: range, txn, leases, compaction and watches.
#pragma once

#include "kv_store.h"
#include "standin_http.h"

#include <QtCore/QTimer>

#include <memory>
#include <vector>

namespace nutmegspur::standin {

/// Serves the paths under /v3/ from one in-memory store.
class etcd_gateway {
 public:
  etcd_gateway();

  /// Responds to a request under /v3/.
  void serve(const standin_request& request, const response_channel& response);
  /// Stops writing to the watches that are open now, but leaves their connections open.
  void silence_watches();

 private:
  struct watch {
    response_channel response;
    QByteArray from;
    QByteArray to;
    std::int64_t next = 0; ///< First revision that has not been sent.
    bool progress = false;
    bool silent = false;
    int idle_ticks = 0;
  };

  void range(const standin_request& request, const response_channel& response);
  void txn(const standin_request& request, const response_channel& response);
  void grant(const standin_request& request, const response_channel& response);
  void keep_alive(const standin_request& request, const response_channel& response);
  void revoke(const standin_request& request, const response_channel& response);
  void compact(const standin_request& request, const response_channel& response);
  void start_watch(const standin_request& request, const response_channel& response);
  void send_changes(watch& it);
  void send_all_changes();
  void tick();
  [[nodiscard]] QJsonObject header(std::int64_t revision) const;

  kv_store store_;
  std::vector<std::unique_ptr<watch>> watches_;
  QTimer timer_;
};

} // namespace nutmegspur::standin
