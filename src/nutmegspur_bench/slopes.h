/// \file slopes.h
/// The measurements, one function for each part of the core. Each prints its results.
#pragma once

namespace nutmegspur::bench {

void measure_peers();     ///< Membership, by the number of instances in a zone.
void measure_upstreams(); ///< Membership, by the number of engines in a zone.
void measure_teams();     ///< Configuration, by the number of teams and their keys.
void measure_usage();     ///< Usage records, by the number of teams.
void measure_streams();   ///< The request table, by the number of open streams.
void measure_messages();  ///< Size and processor time of peer messages.
void measure_calls();     ///< Platform calls, by the number of nodes.

} // namespace nutmegspur::bench
