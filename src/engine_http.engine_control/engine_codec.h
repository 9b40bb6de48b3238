/// \file engine_codec.h
/// The JSON forms of engines' control interface.
#pragma once

#include <nutmegspur/decision.h>

#include <QtCore/QByteArray>

#include <optional>
#include <vector>

namespace nutmegspur::engine_http {

/// What an engine's report page says.
struct report_page {
  engine_report report;
  bool leaving = false;
  seconds notice{0};
};

/// The body of POST /engine/orders.
QByteArray encode_order(const engine_order& order);
/// Reads the report page that was asked for at `asked_at`; empty if it is malformed. The report
/// counts as measured before it was asked for, by the age that it gives for its figures.
std::optional<report_page> decode_report(const upstream_id& upstream, const QByteArray& body,
                                         const moment& asked_at);
/// Reads the cache events page; malformed events are left out, which shows as a gap.
std::vector<cache_event> decode_cache_events(const upstream_id& upstream, const QByteArray& body);

} // namespace nutmegspur::engine_http
