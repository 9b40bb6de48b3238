/// \file fake_store.h
/// A fake of the platform for tests: key-value service, leases on a manual clock, watches, instance
/// list, upstream interface and usage interface, with a fault chosen for each call.
///
/// Nothing happens by itself: `submit` takes a call, `take_due` hands out what is due at a moment.
/// It records what reached the upstream and the usage interface.
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

/// What goes wrong with one call.
enum class store_fault {
  none,
  down,               ///< Refused at once, not run.
  slow,               ///< Takes effect late, and then answers.
  late_answer,        ///< Takes effect at once and answers late.
  lost_after_effect,  ///< Takes effect; the answer never comes (an error `unknown` after a while).
  lost_before_effect, ///< No effect; the answer never comes (an error `unknown` after a while).
  executed_twice,     ///< Carried out twice; the second answer comes back.
  stale_read,         ///< A range is answered from an older revision.
};

/// Something to be fed into a client's decision core.
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

/// The fake. A client is one process, by any name.
class fake_store {
 public:
  using call_filter = std::function<bool(const std::string& client, const platform_request&)>;

  /// How late a slow call takes effect and a late answer comes.
  seconds slow_delay{3};
  /// When a lost answer is reported as an error.
  seconds lost_answer_timeout{2};
  /// A send to the upstream or usage interface that takes longer is reset and never arrives.
  seconds delivery_bound{5};
  /// How many revisions back a stale read looks.
  std::int64_t stale_read_revisions = 3;
  /// How often a watch without changes gives a sign of progress; zero never.
  seconds progress_interval{0};

  /// Every call of every client has this fault from now on.
  void set_fault(store_fault fault);
  /// Every call of `client` has this fault from now on; `none` ends it.
  void set_client_fault(const std::string& client, store_fault fault);
  /// The next `count` calls that `filter` accepts have this fault.
  void fault_next(store_fault fault, call_filter filter = {}, int count = 1);

  /// Takes a call.
  void submit(const moment& now, const std::string& client, const call_platform& call);
  /// What has come due for any client, in order.
  std::vector<delivery> take_due(const moment& now);
  /// Runs one call to its end at once, without faults.
  platform_reply answer_now(const moment& now, const std::string& client,
                            const call_platform& call);

  /// Ends the watches of `client` with an error.
  void end_watches(const moment& now, const std::string& client);
  /// The watches of `client` stay open and say nothing more.
  void silence_watches(const std::string& client);
  /// Drops history up to `upto`; watches and reads from before it are refused.
  void compact(revision upto);
  /// Drops what is under way for a client that is gone. Calls that are already slow still take
  /// effect: they had left the process.
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

  /// Calls taken so far, by the kind of request (index in `platform_request`).
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
    time_point last_message_at{}; ///< When it last said something.
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
    bool take_effect = false;                      ///< The call is carried out when due.
    std::optional<result<platform_answer>> answer; ///< Ready answer.
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

  // Invariant: `pairs_` is what replaying `history_` gives.
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
