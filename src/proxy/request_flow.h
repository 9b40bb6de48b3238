/// \file request_flow.h
/// One caller's request from its arrival to its final answer: it is matched to a route and a team,
/// placed, sent, tried again where that is allowed, and its answer is passed on as it comes.
///
/// Invariant: the caller gets exactly one final answer, or its connection is broken off. The
/// decisions are those of place_request() and after_attempt(); this class feeds and obeys them.
#pragma once

#include "call_set.h"
#include "event_splitter.h"
#include "http_client.h"
#include "http_server.h"
#include "proxy_state.h"

#include <nutmegspur/attempt_rules.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace nutmegspur::proxy {

/// What an upstream is asked for.
enum class attempt_task {
  whole,    ///< The answer.
  reading,  ///< Only to read the prompt and to keep it.
  going_on, ///< The answer, from a prompt that was read elsewhere.
};

/// Of the attempt in work.
struct upstream_attempt {
  attempt_task asked = attempt_task::whole;
  std::unique_ptr<http1::client_call> call;
  listed_upstream upstream;
  moment sent_at{};
  std::uint64_t load = 0; ///< Its number in the load view.
  std::vector<chained_part> new_parts;
  bool alone = false; ///< The engine had nothing else to read when it was sent.
  bool read = false;  ///< The first byte of its answer's body has come.
  http_response_head head;
  response_metadata marks;
  std::string body;
  event_splitter events;
};

class request_flow {
 public:
  request_flow(proxy_state& state, http1::http_client& client, call_set& aside,
               http1::exchange_ptr caller, std::function<void(request_flow*)> on_done);
  request_flow(const request_flow&) = delete;
  request_flow& operator=(const request_flow&) = delete;
  ~request_flow();

  /// Begins; may already end within.
  void start();

 private:
  // Before an upstream is asked.
  bool admit();
  void place();
  [[nodiscard]] placement_candidates candidates() const;
  [[nodiscard]] placement_candidate candidate(const moment& now, const listed_upstream& it) const;
  [[nodiscard]] placement_request wanted() const;
  void send(attempt_task asked, const upstream_id& to, double prefill_millis);
  void begin_plan();
  [[nodiscard]] std::string request_bytes(const upstream_attempt& to) const;
  [[nodiscard]] milliseconds attempt_limit() const;

  // What an attempt tells.
  void on_head(const http_response_head& head);
  void on_body(std::string_view bytes);
  void on_call_end(http1::call_end how);
  void pass_events();
  void pass_event(const std::string& event);
  void note_first_byte();
  void learn_pace(const moment& now);
  void note_ran(const moment& when);

  // After an attempt, and the end.
  void end_reading(attempt_end how);
  void go_on();
  void free_handle();
  void close_attempt(attempt_end how);
  void end_attempt(attempt_end how);
  void pass_answer();
  /// Tells the caller what `step` says: one of refuse, fail and cut.
  void give_up_with(next_step step, std::string_view why, milliseconds retry_after,
                    double expected_millis);
  void refuse(std::string_view why, milliseconds retry_after, double expected_millis);
  void fail(int status, std::string_view why);
  void cut(std::string_view why);
  void answer_error(int status, std::string_view why);
  void on_gone();
  void on_deadline();
  void finish(int status);

  [[nodiscard]] duration left() const;

  [[nodiscard]] bool streaming() const { return route_->kind == route_kind::stream; }

  [[nodiscard]] std::string elapsed_text() const;
  [[nodiscard]] std::string first_event_text() const;
  void count(const char* name, const char* label, std::string_view value);
  void observe_seconds(const char* name, duration span);

  proxy_state& state_;
  http1::http_client& client_;
  call_set& aside_; ///< Calls that outlive the request.
  http1::exchange_ptr caller_;
  std::function<void(request_flow*)> on_done_;

  std::shared_ptr<const route_table> config_; ///< The one in force on arrival.
  const proxy_route* route_ = nullptr;
  const proxy_service* service_ = nullptr;
  service_id service_name_;
  team_id team_;
  caller_request request_;
  prompt_shape prompt_;
  time_point deadline_{};
  timer_id deadline_timer_;
  timer_id silence_timer_;

  placement plan_;
  std::optional<upstream_attempt> attempt_;
  std::optional<prompt_handle> handle_; ///< A prompt that was read for this request.
  upstream_id reader_;                  ///< Who read it.
  bool split_failed_ = false;           ///< Readers are not asked again.
  std::set<upstream_id> tried_;
  attempt_history history_;
  std::string last_event_id_; ///< Of the last event passed on.
  time_point first_event_at_{};
  time_point last_event_at_{};
  duration longest_gap_{0}; ///< Between two events passed on.
  bool counted_ = false;    ///< In the usage.
  bool done_ = false;
};

} // namespace nutmegspur::proxy
