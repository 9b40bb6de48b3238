/// \file mechanisms.h
/// The safety mechanisms. A build can disable one of them, to show that the test that covers it
/// then fails.
///
/// A normal build enables all of them; `cmake -DNUTMEGSPUR_ABLATE=claim_before_send` disables that
/// one.
#pragma once

#include <nutmegspur/names.h>

namespace nutmegspur {

/// A mechanism on which a guarantee of the system depends; P01 to P14 number the guarantees.
enum class mechanism {
  one_open_intent,         ///< An order waits until the previous one is resolved (P01).
  drain_before_change,     ///< A role change waits for streams to end or move (P02).
  lease_deadline_check,    ///< The sending thread checks the lease right before a send (P03, P07).
  team_check,              ///< A request runs only on upstreams offered to its key's team (P04).
  header_allow_list,       ///< Only listed headers reach an upstream (P05).
  withdraw_ends_streams,   ///< A withdrawn key ends its live requests (P06).
  seal_once,               ///< A usage window is sealed by compare-and-swap (P08).
  chunk_offset_check,      ///< Chunks of earlier attempts and repeated offsets are dropped (P09).
  outcome_from_first_byte, ///< Once a byte may have been sent, the outcome is not `not_run` (P10).
  claim_before_send,       ///< A non-repeatable call is claimed before it is sent (P11).
  leaving_takes_no_work,   ///< No request is routed to a leaving upstream (P12).
  shutdown_waits,          ///< A shutdown waits for work in progress (P13).
  revision_only_grows,     ///< An older configuration is refused (P14).
  stop_window_check,       ///< A stopping instance starts only what it can answer (P13).
  replica_revision_check,  ///< The replica takes no older change, nor one after a gap (P14).
  stream_evidence,         ///< A stream is complete, and an event dropped, on evidence only (P09).
};

template <> struct enum_names<mechanism> {
  static constexpr std::array<enum_name<mechanism>, 16> table{{
      {mechanism::one_open_intent, "one_open_intent"},
      {mechanism::drain_before_change, "drain_before_change"},
      {mechanism::lease_deadline_check, "lease_deadline_check"},
      {mechanism::team_check, "team_check"},
      {mechanism::header_allow_list, "header_allow_list"},
      {mechanism::withdraw_ends_streams, "withdraw_ends_streams"},
      {mechanism::seal_once, "seal_once"},
      {mechanism::chunk_offset_check, "chunk_offset_check"},
      {mechanism::outcome_from_first_byte, "outcome_from_first_byte"},
      {mechanism::claim_before_send, "claim_before_send"},
      {mechanism::leaving_takes_no_work, "leaving_takes_no_work"},
      {mechanism::shutdown_waits, "shutdown_waits"},
      {mechanism::revision_only_grows, "revision_only_grows"},
      {mechanism::stop_window_check, "stop_window_check"},
      {mechanism::replica_revision_check, "replica_revision_check"},
      {mechanism::stream_evidence, "stream_evidence"},
  }};
};

/// Whether this build enables mechanism `m`.
constexpr bool
enabled([[maybe_unused]] mechanism m) {
#ifdef NUTMEGSPUR_ABLATE
  static_assert(from_name<mechanism>(NUTMEGSPUR_ABLATE).has_value(),
                "NUTMEGSPUR_ABLATE names no mechanism");
  return to_name(m) != std::string_view{NUTMEGSPUR_ABLATE};
#else
  return true;
#endif
}

} // namespace nutmegspur
