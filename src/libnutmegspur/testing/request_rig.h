/// \file request_rig.h
/// Several entry instances' request tables and claim books before one fake store and fake
/// upstreams, on a manual clock. Tests choose what happens to each attempt and read what callers
/// saw and what reached the upstreams.
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

/// What a caller saw of one request.
struct caller_view {
  bool started = false;
  int status = 0;
  std::vector<header_field> headers;
  std::string text;
  bool ended = false; ///< The answer was said to be whole.
  token_usage usage;
  std::optional<error> refused;
  int finals = 0;           ///< Final answers; more than one is a fault.
  bool after_final = false; ///< Something came after the final answer.
};

/// An attempt that an instance opened and that has not ended.
struct open_call {
  std::size_t instance = 0;
  std::uint64_t process = 0; ///< Which process of that instance.
  open_attempt what;
};

/// What becomes of an attempt at a service.
enum class call_fate {
  answered,        ///< It ran and the answer came.
  lost_after_run,  ///< It ran; the connection broke before the answer.
  lost_before_run, ///< Bytes left; it did not run.
  refused,         ///< The connection was refused: no byte left.
};

/// A request of the rig's caller.
struct request_handle {
  std::size_t instance = 0;
  request_id request;

  auto operator<=>(const request_handle&) const = default;
};

/// The rig. Team "a" holds key "key-a", team "b" holds "key-b"; model "m" is offered to team "a",
/// service "pay" (not repeatable) and "read" (repeatable) to both.
class request_rig {
 public:
  explicit request_rig(std::size_t instances);

  static std::string digest(const std::string& key);

  request_handle call_model(std::size_t instance, const std::string& key = "key-a",
                            std::uint32_t max_tokens = 8);
  request_handle call_service(std::size_t instance, const std::string& service,
                              const std::string& idempotency_key, const std::string& body,
                              const std::string& key = "key-a");
  request_handle arrive(std::size_t instance, request_arrived what);

  void feed(std::size_t instance, const event& ev);
  /// Advances the clock, hands out the store's replies and ticks all instances.
  void pass(duration span);
  /// `pass`, in steps of the tick period.
  void pass_slowly(duration span);
  /// Ends attempt `it` at a service as `fate` says.
  void end_call(const open_call& it, call_fate fate);
  /// Ends every open call at a service as answered, until there is none.
  void answer_all_calls();
  /// The process is killed: nothing of it goes on, except calls that have left.
  void kill(std::size_t instance);
  /// A new process in the place of a killed one.
  void restart(std::size_t instance);
  /// Changes the configuration in force everywhere.
  void configure(const std::function<void(config_snapshot&)>& change);

  /// Text of output token `i`.
  static std::string token(std::uint64_t i) { return "t" + std::to_string(i) + " "; }

  /// The whole text of `n` output tokens.
  static std::string tokens(std::uint64_t n);

  [[nodiscard]] const caller_view& view(const request_handle& of) const { return views_.at(of); }

  [[nodiscard]] const std::map<request_handle, caller_view>& views() const { return views_; }

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
  /// Every call that ran at service "pay", by body.
  std::map<std::string, int> runs;
  /// Requests of which a byte reached an upstream.
  std::set<request_handle> touched;
  std::vector<usage_line> usage;
  milliseconds config_age{0};

 private:
  struct entry_parts {
    entry_parts(request_rig& rig, std::size_t number);

    claim_manager claims;
    std::unique_ptr<admission_policy> admission;
    std::unique_ptr<routing_policy> routing;
    upstream_map upstreams;
    request_table table;
  };

  void carry_out(std::size_t from, const action& what);
  void see_final(const request_handle& of);

  config_view config_;
  std::vector<std::unique_ptr<entry_parts>> instances_;
  std::vector<std::uint64_t> process_; ///< The number of each instance's last process.
  std::uint64_t processes_ = 0;
  std::uint64_t last_request_ = 0;
  std::map<request_handle, caller_view> views_;
};

} // namespace nutmegspur::testing
