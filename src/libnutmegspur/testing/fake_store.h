/// \file fake_store.h
/// Fake platform for tests: key-value service, leases on a manual clock, watches, instance list,
/// upstream interface and usage interface, with fault injection for each call.
///
/// It has no thread or timer of its own: `submit` accepts a call, and `take_due` returns the events
/// that are due at a given time. Calls that reached the upstream and usage interfaces are recorded.
#pragma once

#include <nutmegspur/decision.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegspur::testing {

/// Fault injected into a call.
enum class store_fault {
  none,
  down,               ///< Rejected at once, not executed.
  slow,               ///< Executed late and answered then.
  late_answer,        ///< Executed at once, answered late.
  lost_after_effect,  ///< Executed, but the answer is lost: error with outcome `unknown`.
  lost_before_effect, ///< Not executed and no answer: error with outcome `unknown`.
  executed_twice,     ///< Executed twice; the second answer is returned.
  stale_read,         ///< A range read is answered from an older revision.
};

/// An event for a client's decision core.
struct delivery {
  std::string client;
  event what;
};

/// An order that reached the upstream interface.
struct received_upstream_order {
  time_point at;
  std::string client;
  upstream_order order;
};

/// A report that reached the usage interface.
struct received_usage_report {
  time_point at;
  std::string client;
  usage_report report;
};

/// The fake platform. A client is one process, identified by any unique name.
class fake_store {
 public:
  using call_filter = std::function<bool(const std::string& client, const platform_request&)>;

  /// Delay of the execution of a slow call and of a late answer.
  seconds slow_delay{3};
  /// Time after which a lost answer is reported as an error.
  seconds lost_answer_timeout{2};
  /// A slow call to the upstream or usage interface that would take longer than this is reset and
  /// never arrives.
  seconds delivery_bound{5};
  /// Number of revisions by which a stale read is behind.
  std::int64_t stale_read_revisions = 3;
  /// Interval of progress notifications of a watch without changes; zero disables them.
  seconds progress_interval{0};

  /// Sets the fault of all further calls of all clients.
  void set_fault(store_fault fault);
  /// Sets the fault of all further calls of `client`; `none` clears it.
  void set_client_fault(const std::string& client, store_fault fault);
  /// Sets the fault of the next `count` calls that `filter` accepts; takes precedence over the
  /// others.
  void fault_next(store_fault fault, call_filter filter = {}, int count = 1);

  /// Accepts a call.
  void submit(const moment& now, const std::string& client, const call_platform& call);
  /// Returns the events that are due, for all clients. Replies are ordered by due time; changes of
  /// watches follow them.
  std::vector<delivery> take_due(const moment& now);
  /// Executes one call at once, without faults, and returns its reply.
  platform_reply answer_now(const moment& now, const std::string& client,
                            const call_platform& call);

  /// Ends the watches of `client` with an error.
  void end_watches(const moment& now, const std::string& client);
  /// The watches of `client` stay open but deliver nothing more.
  void silence_watches(const std::string& client);
  /// Discards history up to `upto`; watches and reads from before it fail.
  void compact(revision upto);
  /// Discards the watches and pending answers of a client that has stopped. Its slow calls are
  /// still executed, because they were already sent.
  void forget(const std::string& client);

  // Direct access for tests.
  [[nodiscard]] std::optional<kv_pair> get(const std::string& key) const;
  [[nodiscard]] std::vector<kv_pair> list(const std::string& prefix) const;
  revision put(const moment& now, const std::string& key, std::optional<std::string> value);

  [[nodiscard]] revision current() const { return revision{revision_}; }

  void set_instances(std::vector<listed_instance> instances);

  [[nodiscard]] const std::vector<received_upstream_order>& upstream_orders() const {
    return upstream_orders_;
  }

  [[nodiscard]] const std::vector<received_usage_report>& usage_reports() const {
    return usage_reports_;
  }

  /// Number of calls accepted so far of one kind of request (index in `platform_request`).
  [[nodiscard]] std::uint64_t calls(std::size_t kind) const;

 private:
  struct store_lease {
    seconds ttl{0};
    time_point expires;
    std::set<std::string> keys;
  };

  struct open_watch {
    std::string client;
    call_id id;
    std::string from;
    std::string to;
    std::int64_t next_revision = 0; ///< First revision not yet delivered.
    bool silent = false;
    time_point last_message_at{}; ///< Time of its last message.
  };

  struct pending_fault {
    store_fault fault;
    call_filter filter;
    int remaining;
  };

  struct pending {
    time_point due;
    std::uint64_t sequence = 0;
    std::string client;
    call_platform call;
    time_point submitted_at;
    bool take_effect = false;                      ///< Execute the call when due.
    std::optional<result<platform_answer>> answer; ///< Answer, if already determined.
  };

  store_fault choose_fault(const std::string& client, const platform_request& request);
  result<platform_answer> execute(const moment& now, const std::string& client,
                                  const call_platform& call, bool stale);
  void expire_leases(const moment& now);
  void write(const kv_write& what);
  void detach_from_leases(const std::string& key);
  [[nodiscard]] std::map<std::string, kv_pair> state_at(std::int64_t at) const;
  void schedule(const moment& now, duration delay, pending it);
  void deliver_watches(const moment& now, std::vector<delivery>& out);

  result<platform_answer> run_range(const moment& now, const std::string& client,
                                    const call_platform& c, const kv_range& range, bool stale);
  result<platform_answer> run_txn(const kv_txn& txn);
  result<platform_answer> run_keep_alive(const moment& now, lease_id lease);
  result<platform_answer> run_watch(const std::string& client, const call_platform& c,
                                    const watch_start& what);

  // Invariant: replaying `history_` yields `pairs_`.
  std::map<std::string, kv_pair> pairs_;
  std::vector<kv_change> history_;
  std::int64_t revision_ = 1;
  std::int64_t compacted_revision_ = 0;
  std::map<std::uint64_t, store_lease> leases_;
  std::uint64_t last_lease_ = 0;
  std::vector<open_watch> watches_;
  std::vector<pending> pending_;
  std::vector<delivery> ready_deliveries_;
  std::uint64_t last_sequence_ = 0;
  store_fault fault_ = store_fault::none;
  std::map<std::string, store_fault> client_faults_;
  std::vector<pending_fault> pending_faults_;
  std::vector<listed_instance> instances_;
  std::vector<received_upstream_order> upstream_orders_;
  std::vector<received_usage_report> usage_reports_;
  std::map<std::size_t, std::uint64_t> calls_;
};

} // namespace nutmegspur::testing
