/// \file slopes.h
/// The measurements, one function for each part.
#pragma once

namespace nutmegspur::bench {

void measure_peers();     ///< Membership as a zone's instances grow.
void measure_upstreams(); ///< Membership as a zone's engines grow.
void measure_teams();     ///< Configuration as teams and keys grow.
void measure_usage();     ///< Usage records as teams grow.
void measure_streams();   ///< The request table as live streams grow.
void measure_messages();  ///< Bytes and processor time of peer messages.
void measure_calls();     ///< Calls of the platform as nodes grow.

} // namespace nutmegspur::bench
