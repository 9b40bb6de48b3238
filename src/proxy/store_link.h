/// \file store_link.h
/// This instance's connection to the platform's store: it follows the configuration and the lists
/// of upstreams and instances, by a watch of its own or through a peer, and carries single calls.
///
/// Invariant: what was learnt is never undone by older news; revisions decide.
#pragma once

#include "call_set.h"
#include "instance_registration.h"
#include "proxy_state.h"
#include "store_copy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace nutmegspur::proxy {

/// Another instance's registration.
struct registered_instance {
  instance_id name;
  endpoint peer;
  zone_id zone;
  std::int64_t started_ms = 0;
};

class store_link {
 public:
  using reply_handler = std::function<void(const platform_reply&)>;

  struct hooks {
    /// Another instance registered (true) or vanished (false).
    std::function<void(const registered_instance&, bool)> on_instance;
    /// Who holds the lease on the duties; empty if nobody does.
    std::function<void(const std::optional<instance_id>&)> on_duties_holder;
  };

  store_link(proxy_state& state, http1::http_client& client, hooks callbacks, std::int64_t started_ms);
  store_link(const store_link&) = delete;
  store_link& operator=(const store_link&) = delete;
  ~store_link();

  void start();
  /// One call; `on_reply` comes once, unless the link ends first.
  void call(const call_id& id, const platform_request& request, milliseconds limit,
            reply_handler on_reply);
  /// Whether it watches the store itself. If not, `apply_update` brings what is new.
  void set_watching(bool watching);
  /// While it does not watch: how the peer that it follows finds the store.
  void on_peer_state(bool store_reachable, std::string_view peer);
  /// Takes a peer's news of the store.
  void apply_update(const store_update& from, const instance_id& peer);

  /// A peer that holds the same has followed the store up to `at`.
  void on_same_content(revision at) { copy_.store = std::max(copy_.store, at); }

  /// Ends the registration.
  void unregister() { registration_.unregister(); }

  [[nodiscard]] const store_copy& copy() const { return copy_; }

  /// Hash of what is held; equal where the same is held.
  [[nodiscard]] std::uint64_t content_hash();

  /// Time since the store, or the peer that this instance follows, last answered well.
  [[nodiscard]] milliseconds age(const moment& now) const {
    return std::chrono::duration_cast<milliseconds>(now.boot - last_success_);
  }

  [[nodiscard]] bool watching() const { return watching_; }

  [[nodiscard]] bool reachable() const { return reachable_; }

 private:
  void read_all();
  void read_config();
  void read_duties_holder();
  /// A part of a whole read failed: all of it is read anew, once.
  void abandon_read(std::string_view why);
  void read_range(const std::string& prefix, const std::string& from);
  void on_range(const std::string& prefix, const kv_range_reply& reply);
  void on_read_done();
  void watch();
  void on_watch(int status, const std::string& body);
  void apply(const kv_change& change, std::string_view source);
  void apply_config_value(const std::string& value, std::string_view source);
  void apply_upstream(const kv_change& change, std::string_view source);
  void apply_instance(const kv_change& change);
  void remove_missing_instances(const std::vector<std::string>& present, revision at);
  void apply_duties_holder(const std::optional<std::string>& record);
  void set_duties_holder(const std::optional<instance_id>& holder);
  void retry_later();
  void set_reachable(bool now_reachable, std::string_view why);
  void drop_removed(const std::vector<upstream_id>& gone, std::string_view source);
  void tick(const moment& now);

  proxy_state& state_;
  call_set calls_;
  hooks callbacks_;
  store_copy copy_;
  revision min_read_revision_; ///< Least revision of the reads under way.
  int pending_reads_ = 0;
  std::vector<upstream_id> read_upstreams_; ///< Upstreams seen by the read under way.
  std::vector<std::string> read_instances_;
  bool reachable_ = true;
  time_point last_success_ = http1::event_loop::now().boot;
  bool watching_ = true;
  bool follow_active_ = false; ///< A read, a watch or the pause before one is under way.
  std::uint64_t content_hash_ = 0;
  bool content_hash_stale_ = true; ///< Since `content_hash_` was worked out.
  instance_registration registration_;
  timer_id tick_timer_;
};

} // namespace nutmegspur::proxy
