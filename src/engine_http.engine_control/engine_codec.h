/// \file engine_codec.h
/// Encodes and decodes the JSON documents of the engines' control interface.
#pragma once

#include <nutmegspur/decision.h>

#include <QtCore/QByteArray>

#include <optional>
#include <vector>

namespace nutmegspur::engine_http {

/// A decoded engine report.
struct report_page {
  engine_report report;
  bool leaving = false;
  seconds notice{0};
};

/// Encodes the request body of POST /engine/orders.
QByteArray encode_order(const engine_order& order);
/// Decodes a report that was requested at `asked_at`; empty if it is malformed. The time of
/// measurement is `asked_at`, which precedes the response, minus the age that the report gives.
std::optional<report_page> decode_report(const upstream_id& upstream, const QByteArray& body,
                                         const moment& asked_at);
/// Decodes a page of cache events. Malformed events are skipped, which leaves a gap in the numbers.
std::vector<cache_event> decode_cache_events(const upstream_id& upstream, const QByteArray& body);

} // namespace nutmegspur::engine_http
