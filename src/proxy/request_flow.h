/// \file request_flow.h
/// One caller's request from its arrival to its final response: matches it to a route and a team,
/// places and sends it, retries where allowed, and forwards the response as it arrives.
///
/// Invariant: the caller gets exactly one final response, or its connection is aborted. Decisions
/// are made by place_request() and attempt_rules.h; this class provides their inputs and executes
/// their results.
#pragma once

#include "call_set.h"
#include "event_splitter.h"
#include "forward_client.h"
#include "http_client.h"
#include "http_server.h"
#include "origin_client.h"
#include "permit_client.h"
#include "proxy_state.h"
#include "upstream_crashes.h"
#include "upstream_paths.h"

#include <nutmegspur/attempt_rules.h>
#include <nutmegspur/stream_evidence.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace nutmegspur::proxy {

/// The work that an attempt requests from an upstream.
enum class attempt_task {
  full,    ///< Prefill and the response.
  prefill, ///< Only prefill, keeping the result for another engine.
  decode,  ///< The response, from a prompt prefilled elsewhere.
};

/// The attempt in progress.
struct upstream_attempt {
  attempt_task task = attempt_task::full;
  std::unique_ptr<http1::open_call> call;
  forwarded_call* by_peer = nullptr; ///< `call`, if it goes by way of a peer.
  std::uint64_t path_attempt = 0;    ///< Its number in upstream_paths, if it does not.
  time_point last_bytes_at{};        ///< When bytes arrived last; zero if none have.
  listed_upstream upstream;
  moment sent_at{};
  std::uint64_t load_id = 0; ///< Its id in the load view.
  std::vector<chained_part> new_parts;
  bool engine_idle = false;         ///< The engine had no prefill backlog at `sent_at`.
  bool first_byte_received = false; ///< The first byte of the response body has arrived.
  http_response_head head;
  response_metadata marks;
  std::string body;
  event_splitter events;
  event_sequence sequence;
  std::string resumed_after;   ///< Id of the last event that the caller had when it was sent.
  std::uint32_t forwarded = 0; ///< Events that were forwarded.
  bool has_events = false;     ///< A complete event was received.
  bool stream_logged = false;  ///< Its end is in the log.
  bool contradicted = false;   ///< An id shows that events are missing or wrong.
  bool unusual_ids = false;    ///< That is so only by the habits of its service.
  http1::byte_hold held;       ///< `body`, and the part of an event in `events`.
  bool held_back = false;      ///< The budget of held bytes says to wait.
  bool caller_behind = false;  ///< The caller has not taken what was forwarded.
};

/// Retry-After of requests that an instance about to stop does not serve: another one does.
inline constexpr milliseconds retry_after_stopping{100};

/// How far a request has come.
enum class request_progress {
  unsent,     ///< No upstream can have run it.
  sent,       ///< An upstream may have run it, or runs it; its caller has got nothing yet.
  responding, ///< Part of the response was sent to its caller.
};

/// Why an attempt ends for the bytes that it holds.
enum class overflow_cause {
  size,     ///< More than any response, or event, has.
  length,   ///< The stated length is.
  at_fault, ///< The budget is used up, and it is one of those at fault.
  no_room,  ///< The budget is used up by others, too.
};

} // namespace nutmegspur::proxy

template <> struct nutmegspur::enum_names<nutmegspur::proxy::request_progress> {
  static constexpr std::array<enum_name<proxy::request_progress>, 3> table{{
      {proxy::request_progress::unsent, "unsent"},
      {proxy::request_progress::sent, "sent"},
      {proxy::request_progress::responding, "responding"},
  }};
};

template <> struct nutmegspur::enum_names<nutmegspur::proxy::overflow_cause> {
  static constexpr std::array<enum_name<proxy::overflow_cause>, 4> table{{
      {proxy::overflow_cause::size, "size"},
      {proxy::overflow_cause::length, "length"},
      {proxy::overflow_cause::at_fault, "at_fault"},
      {proxy::overflow_cause::no_room, "no_room"},
  }};
};

namespace nutmegspur::proxy {

class request_flow {
 public:
  request_flow(proxy_state& state, http1::http_client& client, call_set& background_calls,
               upstream_crashes& crashes, permit_client& permits, origin_client& origins,
               upstream_paths& paths, forward_client& forwards, http1::exchange_ptr caller,
               std::function<void(request_flow*)> on_done);
  request_flow(const request_flow&) = delete;
  request_flow& operator=(const request_flow&) = delete;
  ~request_flow();

  /// Starts the request, which may end before this returns.
  void start();
  /// The path to `upstream` was found cut: gives up an attempt that waits there in vain, if the
  /// request may be sent again.
  void on_path_cut(const upstream_id& upstream);
  /// This instance ends now: the request gets the final response that is true at this moment.
  void on_instance_end();
  [[nodiscard]] request_progress progress() const;

 private:
  // Before an attempt.
  bool admit();

  /// The request whose response brought the first event of the stream.
  [[nodiscard]] const std::string& stream_request() const {
    return request_.resumes.empty() ? request_.id : request_.resumes;
  }

  /// Whether the caller resumes a stream that an earlier request of it began.
  [[nodiscard]] bool resumes_earlier_request() const;
  /// Sets the service and counts the request there.
  void set_service(const service_id& name);
  /// Goes on where the stream began; refuses the request if that is not known, or no longer
  /// possible.
  void on_origin(const std::optional<stream_origin>& origin);
  void place();
  /// The listed upstreams that may take the request: those of the service and, once a stream has
  /// begun, of the version that began it.
  [[nodiscard]] std::vector<const listed_upstream*> eligible_upstreams() const;
  [[nodiscard]] placement_candidates candidates() const;
  /// Drops upstreams whose path is in doubt, unless there are no others.
  void prefer_undoubted(std::vector<placement_candidate>& choices) const;
  /// Drops upstreams that need another permit while one is held: it would be lost.
  void prefer_held_permits(std::vector<placement_candidate>& choices) const;
  [[nodiscard]] placement_candidate candidate(const moment& now, const listed_upstream& it) const;
  [[nodiscard]] placement_request placement_inputs() const;
  void send(attempt_task task, const upstream_id& to, double prefill_millis);
  void start_placement();
  /// The software version of an upstream; empty if it is gone.
  [[nodiscard]] std::string version_of(const upstream_id& id) const;
  /// Starts the attempt's call, over this instance's own path or by way of a peer.
  void start_call(upstream_attempt& it);
  /// The attempt is about to be written, or a peer has written it.
  void on_sending();
  /// Whether the permit that `it` may need is held, or may be got now.
  [[nodiscard]] bool permit_in_reach(const moment& now, const listed_upstream& it) const;

  [[nodiscard]] bool lacks_permit(const listed_upstream& it) const {
    return permits_.needed(it) && !permits_held_.contains(it.id);
  }

  /// Gets the permits that the placement needs, then starts it; places anew if there are none.
  void acquire_permits();
  /// Asks for a permit for `it`; `longest_wait` is not zero if no other upstream is left.
  void acquire_permit(const listed_upstream& it, milliseconds longest_wait);
  /// Whether the upstreams of `chosen` may still be used.
  [[nodiscard]] bool still_available(const placement& chosen) const;
  void on_permit(const listed_upstream& it, const permit_answer& answer, bool last_resort);
  /// Asks one of the upstreams without a permit for the promise of one, once. Returns whether it
  /// did.
  bool ask_for_promise();
  /// Refuses the request if this instance ends before an attempt would; not if it may have run
  /// already. Returns whether it did.
  bool stop_if_too_late();

  /// Before an attempt is sent: ends the request if it is too late or its caller has left.
  bool stop_before_attempt() { return stop_if_too_late() || caller_->end_if_closed(); }

  /// Ends the request if upstreams crash on it or on a part of its prompt. Returns whether it did.
  bool stop_if_quarantined();
  /// Time until the first upstream may be used again, as far as that is known.
  [[nodiscard]] milliseconds retry_time(milliseconds unknown) const;
  [[nodiscard]] std::string request_bytes(const upstream_attempt& to) const;
  [[nodiscard]] milliseconds attempt_limit(attempt_task task) const;

  // Events of an attempt.
  void on_bytes();
  void on_head(const http_response_head& head);
  void on_body(std::string_view bytes);
  void on_call_end(http1::call_end how);
  /// Records the result of an attempt that ended, for the upstream's circuit breaker and for what
  /// it may have crashed on; only once it is known that the path is not at fault.
  void record_evidence(attempt_end how);
  /// Whether the response of the attempt is a stream of events that is forwarded as it arrives.
  [[nodiscard]] bool is_event_stream() const;

  /// How upstreams of the attempt's service and version send their streams.
  [[nodiscard]] stream_habits& habits() const {
    return state_.habits[{service_name_, attempt_->upstream.software_version}];
  }

  /// Whether the upstream sent more than a response that is held here may have.
  [[nodiscard]] bool holds_too_much() const;
  /// Whether the body that `head` states is longer than one that may be held.
  [[nodiscard]] bool states_too_much(const http_response_head& head) const;
  /// Counts what the attempt holds.
  void update_held();
  /// Ends the attempt, as malformed unless there was only no room for it.
  void end_overflowing(overflow_cause why);
  /// Reads the response as the budget and the caller allow.
  void update_reading();
  /// Reads on once the caller has taken what was forwarded.
  void wait_for_caller();
  void forward_events();
  /// Returns false if the event shows that the attempt's stream is not what its engine made.
  bool forward_event(const std::string& event);
  void on_first_byte();
  void calibrate(const moment& now);
  void count_usage(const moment& when);

  // End of an attempt and of the request.
  void end_prefill(attempt_end how);
  void start_decode();
  void free_handle();
  void close_attempt(attempt_end how);
  /// Logs what the attempt's stream was like; `how` it ended and what follows.
  void log_stream(std::string_view how, std::string_view next);
  void end_attempt(attempt_end how);
  void forward_response();
  /// An end that was in question is wrong if the attempt that was to prove it has begun to send
  /// more: only a proved end completes the stream then.
  void note_contradicted_end();
  /// Sends the request again, after an attempt that ended like this.
  void retry(attempt_end how);
  /// No upstream has begun to answer the question for the rest of the stream.
  void on_proof_timeout();
  /// Ends the started response, whose end no further attempt has proved.
  void complete();
  /// Logs that the response is complete; `proof` tells what its end was believed on.
  void log_answer(const upstream_id& upstream, int status, std::string_view proof,
                  std::size_t partial_event);
  /// Ends the request as `step` says: refuse, fail or cut.
  void end_request(next_step step, std::string_view why, std::optional<milliseconds> retry_after,
                   double expected_millis);
  /// Responds with 503: the request did not run. Without `retry_after`, it cannot run later either.
  void refuse(std::string_view why, std::optional<milliseconds> retry_after,
              double expected_millis);
  /// Responds with an error: the request may have run.
  void fail(int status, std::string_view why);
  /// Aborts the connection: part of the response has been sent.
  void cut(std::string_view why);
  /// Responds with an error of the request itself: malformed, no route or unknown key.
  void reject(int status, std::string_view why);
  void on_caller_disconnected();
  void on_deadline();
  /// No time is left for the request: ends it according to its progress.
  void end_unfinished(std::string_view why, milliseconds retry_after);
  void finish(int status);

  [[nodiscard]] duration remaining_time() const;

  [[nodiscard]] bool streaming() const { return route_->kind == route_kind::stream; }

  [[nodiscard]] std::string elapsed_text() const;
  [[nodiscard]] std::string first_event_text() const;
  void count(const char* name, const char* label, std::string_view value);
  void observe_seconds(const char* name, duration time);

  proxy_state& state_;
  http1::http_client& client_;
  call_set& background_calls_; ///< Calls that outlive the request.
  upstream_crashes& crashes_;
  permit_client& permits_;
  origin_client& origins_;
  upstream_paths& paths_;
  forward_client& forwards_;
  http1::exchange_ptr caller_;
  std::function<void(request_flow*)> on_done_;

  std::shared_ptr<const route_table> config_; ///< Configuration in force on arrival.
  const proxy_route* route_ = nullptr;
  const proxy_service* service_ = nullptr;
  service_id service_name_;
  team_id team_;
  caller_request request_;
  prompt_shape prompt_;
  std::uint64_t fingerprint_ = 0; ///< request_fingerprint() of the request.
  crash_suspects suspects_;       ///< What upstreams may crash on.
  time_point deadline_{};
  timer_id deadline_timer_;
  timer_id proof_timer_; ///< Ends the wait for the proof of an end.
  timer_id unsent_timer_;

  placement placement_;
  std::optional<upstream_attempt> attempt_;
  std::optional<prompt_handle> prompt_handle_; ///< Prompt prefilled for this request.
  upstream_id prefill_upstream_;               ///< Engine that prefilled it.
  std::string prefill_version_;                ///< Software version of that engine.
  bool prefill_failed_ = false;                ///< No further attempt uses a separate prefill.
  std::set<upstream_id> tried_;
  std::set<upstream_id> permits_held_; ///< Each for one attempt.
  unsigned permits_asked_ = 0;
  unsigned unforwarded_ = 0; ///< Attempts that no peer would forward.
  bool promise_asked_ = false;
  std::shared_ptr<bool> permit_wait_; ///< Not null while a question to a keeper is open.
  attempt_history history_;
  std::string last_event_id_; ///< Of the last event forwarded.
  /// The version that began the stream; empty before its first event.
  std::optional<std::string> stream_version_;
  std::shared_ptr<bool> origin_wait_; ///< Not null while the origin of the stream is looked up.
  time_point first_event_at_{};
  time_point last_event_at_{};
  duration longest_gap_{0};    ///< Between two forwarded events.
  upstream_id ended_by_;       ///< Upstream that ended the response without proof.
  bool usage_counted_ = false; ///< The request is in the team's usage.
  bool done_ = false;
};

} // namespace nutmegspur::proxy
