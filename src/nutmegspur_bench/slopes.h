/// \file slopes.h
/// The measurements, one function for each part of the core. Each prints its results.
#pragma once

namespace nutmegspur::bench {

void measure_peers();     ///< Membership over the instances of a zone.
void measure_upstreams(); ///< Membership over the engines of a zone.
void measure_teams();     ///< Configuration over teams and their keys.
void measure_usage();     ///< Usage records over teams.
void measure_streams();   ///< The request table over open streams.
void measure_messages();  ///< Size and processor time of peer messages.
void measure_calls();     ///< Platform calls over nodes.

} // namespace nutmegspur::bench
