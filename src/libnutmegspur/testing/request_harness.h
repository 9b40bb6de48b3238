/// \file request_harness.h
/// Test harness: request tables and claim managers of several entry instances with one fake store
/// and fake upstreams, on a manual clock. Tests decide how each attempt ends and check what callers
/// received and what reached the upstreams.
#pragma once

#include "testing/fake_store.h"

#include <nutmegspur/request_table.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegspur::testing {

/// What a caller received for one request.
struct observed_response {
  bool started = false;
  int status = 0;
  std::vector<header_field> headers;
  std::string text;
  bool ended = false; ///< The response was reported complete.
  token_usage usage;
  std::optional<error> refused;
  int final_count = 0;      ///< Number of final responses; more than one is a fault.
  bool after_final = false; ///< A part followed the final one, or it started twice: a fault.
};

/// An attempt that an instance opened and that has not ended.
struct open_call {
  std::size_t instance = 0;
  std::uint64_t process = 0; ///< Number of the process of that instance.
  open_attempt what;
};

/// How an attempt at a service ends.
enum class call_ending {
  answered,        ///< It ran and the response arrived.
  lost_after_run,  ///< It ran; the connection broke before the response.
  lost_before_run, ///< Bytes were sent; it did not run.
  refused,         ///< The connection was refused: no byte was sent.
};

/// Identifies a request made through the harness.
struct request_handle {
  std::size_t instance = 0;
  request_id request;

  auto operator<=>(const request_handle&) const = default;
};

/// The harness. Team "a" holds key "key-a", team "b" holds "key-b"; model "m" is offered to team
/// "a", service "pay" (not repeatable) and "read" (repeatable) to both.
class request_harness {
 public:
  explicit request_harness(std::size_t instances);

  static std::string digest(const std::string& key);

  request_handle call_model(std::size_t instance, const std::string& key = "key-a",
                            std::uint32_t max_tokens = 8);
  request_handle call_service(std::size_t instance, const std::string& service,
                              const std::string& idempotency_key, const std::string& body,
                              const std::string& key = "key-a");
  request_handle arrive(std::size_t instance, request_arrived what);

  void feed(std::size_t instance, const event& ev);
  /// Advances the clock, delivers the store's replies and ticks all instances.
  void pass(duration period);
  /// Like `pass`, in steps of the tick period.
  void advance_in_ticks(duration period);
  /// Ends attempt `it` at a service as `ending` says.
  void end_call(const open_call& it, call_ending ending);
  /// Ends all open calls as `call_ending::answered`, including those opened meanwhile.
  void answer_all_calls();
  /// Kills the instance's process; only service calls that were already sent continue.
  void kill(std::size_t instance);
  /// Starts a new process in place of a killed one.
  void restart(std::size_t instance);
  /// Changes the configuration of all instances.
  void configure(const std::function<void(config_snapshot&)>& change);

  /// Text of output token `i`.
  static std::string token(std::uint64_t i) { return "t" + std::to_string(i) + " "; }

  /// Text of the first `n` output tokens.
  static std::string tokens(std::uint64_t n);

  [[nodiscard]] const observed_response& view(const request_handle& of) const {
    return views_.at(of);
  }

  [[nodiscard]] const std::map<request_handle, observed_response>& views() const { return views_; }

  [[nodiscard]] bool alive(std::size_t instance) const { return instances_[instance] != nullptr; }

  [[nodiscard]] std::size_t size() const { return instances_.size(); }

  [[nodiscard]] request_table& table(std::size_t instance) { return instances_[instance]->table; }

  [[nodiscard]] claim_manager& claims(std::size_t instance) { return instances_[instance]->claims; }

  [[nodiscard]] upstream_map& upstreams(std::size_t instance) {
    return instances_[instance]->upstreams;
  }

  manual_clock clock;
  fake_store store;
  std::deque<open_call> open;
  std::vector<attempt_id> cancelled;
  /// How often a service ran a call, by the call's body.
  std::map<std::string, int> runs;
  /// Requests of which at least one byte reached an upstream.
  std::set<request_handle> reached_upstream;
  std::vector<usage_line> usage;
  milliseconds config_age{0};

 private:
  struct instance_parts {
    instance_parts(request_harness& harness, std::size_t number);

    claim_manager claims;
    std::unique_ptr<admission_policy> admission;
    std::unique_ptr<routing_policy> routing;
    upstream_map upstreams;
    request_table table;
  };

  void execute(std::size_t from, const action& what);
  void count_final(const request_handle& of);

  config_view config_;
  std::vector<std::unique_ptr<instance_parts>> instances_;
  std::vector<std::uint64_t> current_process_; ///< The number of each instance's last process.
  std::uint64_t started_processes_ = 0;
  std::uint64_t last_request_ = 0;
  std::map<request_handle, observed_response> views_;
};

} // namespace nutmegspur::testing
