/// \file request_table.h
/// The live requests of an entry instance: authentication, authorization, admission, routing,
/// attempts, resumption and exactly one final response for each.
#pragma once

#include <nutmegspur/claims.h>
#include <nutmegspur/config.h>
#include <nutmegspur/policy.h>
#include <nutmegspur/retry_budget.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

struct access_grant;

/// Settings of a request table.
struct request_options {
  instance_id instance;
  zone_id zone;
  std::string region;
  std::uint64_t seed = 1; ///< Not read by the table.
  /// Same on all instances, so that a team's cached prefixes are found by requests of any instance.
  std::string cache_salt_secret;
  milliseconds progress_limit{10'000};
  std::uint32_t max_attempts = 5;
  std::uint32_t max_buffered_chunks =
      64;                  ///< Out-of-order chunks buffered while an earlier one is missing.
  seconds suspect_span{2}; ///< How long a failed upstream is avoided.
};

/// Dependencies of a request table. All references must outlive it.
struct request_dependencies {
  std::function<config_view()> config;
  upstream_map& upstreams;
  routing_policy& routing;
  admission_policy& admission;
  claim_manager& claims;
  /// Called once for each request that had any output.
  std::function<void(const moment&, const usage_line&, action_list&)> count_usage;
  /// How long ago the configuration was last known to be current; may be empty.
  std::function<milliseconds(const moment&)> config_age = {};
};

/// The live requests of one instance. A part of the decision core (duty::requests).
class request_table {
 public:
  request_table(request_options options, request_dependencies dependencies);
  request_table(const request_table&) = delete;
  request_table& operator=(const request_table&) = delete;
  ~request_table() = default;

  void step(const moment& now, const event& ev, action_list& out);

  /// From now on new requests are refused as `not_run`; live requests continue.
  void close() { closed_ = true; }

  /// This instance ends now: each request without a final response gets an error that says what is
  /// known of it. A call that may be running and must not run again is still recorded if it ends.
  void fail_unfinished(const moment& now, action_list& out);

  /// Requests without a final response, and calls that continue after their caller disconnected.
  [[nodiscard]] std::size_t live() const { return live_.size(); }

 private:
  enum class phase {
    queued,   ///< In the admission queue.
    claiming, ///< Its claim is being written.
    running,  ///< An attempt is open.
    resuming, ///< An attempt failed; waits for an upstream that can take it.
  };

  struct buffered_chunk {
    std::uint32_t tokens = 0;
    std::string text;
  };

  struct live_request {
    request_arrived arrival;
    team_id team;
    std::string subject; ///< Model or service name, for usage and logs.
    std::uint64_t cost_milli = 0;
    milliseconds progress_limit{0};
    phase current_phase = phase::queued;
    bool repeatable = true;
    bool claimed = false; ///< The claim is written; the call's end must be recorded.
    bool caller_disconnected =
        false;                     ///< The caller disconnected; the call continues and is recorded.
    bool response_started = false; ///< `start_response` was emitted.
    /// Whether a byte of an attempt may have reached an upstream.
    bool may_have_run = false;
    std::uint32_t attempts = 0;
    bool attempt_open = false;
    time_point last_chunk;   ///< When the open attempt last sent a chunk.
    bool prefilling = false; ///< The open attempt has given no output yet.
    upstream_id upstream;    ///< Of the last attempt.
    std::vector<upstream_id> tried_upstreams;
    std::uint64_t delivered = 0; ///< Output tokens (bytes, for a service) given to the caller.
    // Invariant: every key is greater than `delivered`; at most `max_buffered_chunks`.
    std::map<std::uint64_t, buffered_chunk> buffered;
    token_usage usage;                    ///< As engines reported.
    claimed_call_outcome recorded_result; ///< What is recorded for a claimed call.
  };

  using live_map = std::unordered_map<request_id, live_request>;

  // Arrival (request_table.cpp)
  void on_arrived(const moment& now, const request_arrived& it, action_list& out);
  void add(const request_arrived& it, const access_grant& granted);
  void list_models(const request_arrived& it, const team_id& team, const config_snapshot& config,
                   action_list& out);
  void on_caller_disconnected(const moment& now, request_id request, action_list& out);
  void on_claim_result(const moment& now, const claim_result& claim, action_list& out);
  void on_tick(const moment& now, action_list& out);
  void fail_withdrawn_keys(const moment& now, action_list& out);
  void fail_expired(const moment& now, action_list& out);
  /// Fails the requests whose deadline is at most `due_by` and whose caller waits.
  void fail_requests(const moment& now, time_point due_by, error_code code, const std::string& why,
                     action_list& out);
  void dispatch(const moment& now, action_list& out);
  /// Places or refuses one waiting request; false if none can be placed now.
  bool dispatch_one(const moment& now, action_list& out);
  void dispatch_resuming(const moment& now, action_list& out);
  void place(const moment& now, live_request& it, const placement& target, action_list& out);
  [[nodiscard]] bool any_upstream_serves(const live_request& it, const moment& now) const;
  [[nodiscard]] route_query query_for(const live_request& it) const;
  [[nodiscard]] milliseconds expected_service_time(const request_arrived& it,
                                                   const moment& now) const;
  [[nodiscard]] capacity_estimate capacity(const moment& now) const;

  // Attempts (request_attempts.cpp)
  void begin_attempt(const moment& now, live_request& it, const placement& target,
                     action_list& out);
  void on_opened(const attempt_opened& ev, action_list& out);
  void on_chunk(const moment& now, const attempt_chunk& ev, action_list& out);
  void on_ended(const moment& now, const attempt_ended& ev, action_list& out);
  void record_progress(const moment& now, live_request& it, std::uint32_t tokens);
  void deliver(live_request& it, std::uint32_t tokens, const std::string& text, action_list& out);
  void begin_response(live_request& it, int status, std::vector<header_field> headers,
                      action_list& out);
  void deliver_buffered(live_request& it, action_list& out);
  /// Closes the open attempt; `cancel` also stops it at the upstream.
  void close_attempt(live_request& it, bool cancel, action_list& out);
  /// The open attempt's prompt is no longer waiting at its upstream.
  void end_prefill(live_request& it);
  void retry_or_fail(const moment& now, live_request& it, const error& why, action_list& out);
  void complete(const moment& now, live_request& it, const attempt_ended& ev, action_list& out);
  /// Sends the final error response. Erases `it`, unless it is a call that must not be repeated and
  /// may be running: that one continues without its caller.
  void finish_with_error(const moment& now, live_request& it, const error& why, action_list& out);
  /// Ends the request without a further response.
  void drop(const moment& now, live_request& it, outcome ran, action_list& out);
  /// Takes `it` out of all indexes, counts its usage, and settles its team's charge.
  void erase(const moment& now, live_request& it, action_list& out);
  void count_usage(const moment& now, const live_request& it, action_list& out);
  [[nodiscard]] std::uint64_t actual_cost_milli(const live_request& it) const;
  [[nodiscard]] live_request* find_current(const attempt_id& attempt);
  /// Whether its work ran, as far as is known.
  [[nodiscard]] static outcome known_outcome(const live_request& it);
  void mark_suspect(const moment& now, const upstream_id& upstream, const error& why,
                    action_list& out);
  [[nodiscard]] open_attempt make_open_attempt(const live_request& it,
                                               const upstream_state& target) const;

  request_options options_;
  request_dependencies dependencies_;
  retry_budget retry_budget_;
  config_view checked_config_;
  bool closed_ = false;
  live_map live_;
  // Invariant: holds each live request that was sent with a key, under the digest of that key.
  std::unordered_map<std::string, std::set<request_id>> requests_by_key_;
  // Invariant: holds the number of live requests of each team that has any.
  std::unordered_map<team_id, std::uint32_t> live_count_by_team_;
  // Invariant: holds the requests in phase `resuming`.
  std::set<request_id> resuming_;
  std::uint64_t in_flight_cost_milli_ = 0; ///< Expected cost of the live requests already placed.
};

} // namespace nutmegspur
