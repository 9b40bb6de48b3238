/// \file resource_http.h
/// The worker "operators/resource_http": serves the operators' API over HTTP on the operator port.
///
/// Each connection carries one call. A watch is a chunked stream of JSON lines that ends when
/// either side closes the connection.
#pragma once

#include "operator_call.h"

#include <nutmegspur/kernel.h>

#include <QtCore/QPointer>
#include <QtHttpServer/QAbstractHttpServer>
#include <QtNetwork/QTcpSocket>

#include <map>
#include <memory>

namespace nutmegspur::operators {

/// Request ids of this worker start above this number, so that they differ from those of callers.
inline constexpr std::uint64_t request_id_base = std::uint64_t{1} << 62;

/// The worker. Lives on one thread with a Qt event loop.
class resource_http final : public duty_worker {
 public:
  explicit resource_http(const worker_context& context);
  resource_http(const resource_http&) = delete;
  resource_http& operator=(const resource_http&) = delete;
  ~resource_http() override;

  result<void> start(event_sink sink) override;
  void carry_out(const action& what) override;
  void stop() override;

 private:
  class server;

  /// A call whose response is pending, or a watch.
  struct open_call {
    QPointer<QTcpSocket> socket;
    std::string secret; ///< Secret of a key being issued.
    resource_verb verb = resource_verb::get;
    bool streaming = false; ///< The response headers of a watch were sent.
  };

  void on_call(const operator_call& it, QTcpSocket* socket);
  void on_closed(request_id id);
  void on_response(const resource_response& it);
  void write_stream(open_call& call, const resource_response& it);
  void send_error(QTcpSocket* socket, const error& ec, request_id id);
  void send(QTcpSocket* socket, int status, const QByteArray& body,
            const QByteArray& extra_headers = {});

  const worker_context& context_;
  event_sink sink_;
  std::unique_ptr<server> server_;
  std::map<request_id, open_call> calls_;
  std::uint64_t last_request_id_ = request_id_base;
};

} // namespace nutmegspur::operators
