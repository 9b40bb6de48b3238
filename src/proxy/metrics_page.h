/// \file metrics_page.h
/// Sets the gauges that show the current state of an instance when its metrics are requested.
/// Counters and histograms are updated where the events occur.
#pragma once

#include "duty_holder.h"
#include "peer_group.h"
#include "proxy_state.h"
#include "store_link.h"

#include <nutmegspur/request_permits.h>

#include <string>

namespace nutmegspur::proxy {

/// Sets the gauges and returns all metrics in the Prometheus text format.
std::string render_metrics(const moment& now, proxy_state& state, const store_link& store,
                           const peer_group& peers, const duty_holder& duties,
                           const permit_totals& permits);

} // namespace nutmegspur::proxy
