/// \file metrics_page.h
/// What an instance believes at this moment, as gauges on its page of metrics; counters and
/// histograms are kept as things happen.
#pragma once

#include "duty_holder.h"
#include "peer_group.h"
#include "proxy_state.h"
#include "store_link.h"

#include <string>

namespace nutmegspur::proxy {

/// Sets the gauges and gives the page in Prometheus' text format.
std::string render_metrics(const moment& now, proxy_state& state, const store_link& store,
                           const peer_group& peers, const duty_holder& duties);

} // namespace nutmegspur::proxy
