/// \file store_link.h
/// This instance's connection to the platform's store: follows the configuration and the lists of
/// upstreams and instances, by a watch of its own or through a peer, and sends single calls.
///
/// Invariant: older data never replaces newer data; positions (store_era.h) decide.
#pragma once

#include "call_set.h"
#include "instance_registration.h"
#include "proxy_state.h"
#include "store_copy.h"

#include <nutmegspur/store_era.h>

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
    /// Another instance registered (true), or its registration is gone (false).
    std::function<void(const registered_instance&, bool)> on_instance;
    /// The holder of the lease on the duties; empty if there is none.
    std::function<void(const std::optional<instance_id>&)> on_duties_holder;
    /// The store was restored from an older copy: what it acknowledged before may be lost.
    std::function<void()> on_restored;
  };

  store_link(proxy_state& state, http1::http_client& client, hooks callbacks,
             std::int64_t started_ms);
  store_link(const store_link&) = delete;
  store_link& operator=(const store_link&) = delete;
  ~store_link();

  void start();
  /// Sends one call; `on_reply` runs once, unless the link is destroyed first.
  void call(const call_id& id, const platform_request& request, milliseconds limit,
            reply_handler on_reply);
  /// Sets whether this instance watches the store itself. If not, apply_update() brings the
  /// changes.
  void set_watching(bool watching);
  /// A peer has read the store in `era`, at a time when this instance may not have noticed it yet.
  void on_peer_era(std::int64_t era, const instance_id& peer);
  /// While this instance does not watch: whether the peer that it follows reaches the store.
  void on_peer_state(bool store_reachable, std::string_view peer);
  /// Applies a peer's update of the store.
  void apply_update(const store_update& from, const instance_id& peer);

  /// A peer with the same content has followed the store up to `at`.
  void on_same_content(revision at) { copy_.store = std::max(copy_.store, at); }

  /// Removes this instance's registration.
  void unregister() { registration_.unregister(); }

  [[nodiscard]] const store_copy& copy() const { return copy_; }

  /// Hash of the copy; equal for instances with equal content.
  [[nodiscard]] std::uint64_t content_hash();

  /// Time since the store, or the peer that this instance follows, last responded successfully.
  [[nodiscard]] milliseconds age(const moment& now) const {
    return std::chrono::duration_cast<milliseconds>(now.boot - last_success_);
  }

  [[nodiscard]] bool watching() const { return watching_; }

  /// Number of times that the store was restored, as far as known here.
  [[nodiscard]] std::int64_t era() const { return era_.current(); }

  /// Whether the store has been in its current era for longer than a relay needs to read it again.
  [[nodiscard]] bool era_settled(const moment& now) const;

  [[nodiscard]] bool reachable() const { return reachable_; }

 private:
  void read_all();
  void read_config();
  void read_duties_holder();
  /// Part of a full read failed: schedules one repetition of all of it.
  void fail_full_read(std::string_view why);
  void read_range(const std::string& prefix, const std::string& from);
  void on_range(const std::string& prefix, const kv_range_reply& reply);
  void on_read_done();
  void watch();
  void on_watch(int status, const std::string& body);
  /// Whether a reply to a call may be used that was made when the era `sent_in` was known.
  bool check_era(std::optional<std::int64_t> sent_in, const http_fields& fields);
  void on_restored(std::string_view source);
  void apply(const kv_change& change, std::string_view source);
  void apply_config_value(const std::string& value, std::string_view source);
  void apply_upstream(const kv_change& change, std::string_view source);
  void apply_instance(const kv_change& change);
  void remove_missing_instances(const std::vector<std::string>& present, revision at);
  void apply_duties_holder(const std::optional<std::string>& record);
  void set_duties_holder(const std::optional<instance_id>& holder);
  void schedule_retry();
  void set_reachable(bool now_reachable, std::string_view why);
  void on_upstreams_removed(const std::vector<upstream_id>& gone, std::string_view source);
  void tick(const moment& now);

  proxy_state& state_;
  call_set calls_;
  hooks callbacks_;
  store_era era_;
  time_point restored_at_{};
  store_copy copy_;
  revision min_read_revision_; ///< Lowest revision of the reads in progress.
  int pending_reads_ = 0;
  std::vector<upstream_id> read_upstreams_; ///< Upstreams found by the read in progress.
  std::vector<std::string> read_instances_;
  bool reachable_ = true;
  time_point last_success_ = http1::event_loop::now().boot;
  bool watching_ = true;
  bool follow_active_ = false; ///< A read, a watch or the pause before one is in progress.
  std::uint64_t content_hash_ = 0;
  bool content_hash_stale_ = true; ///< The copy changed since `content_hash_` was computed.
  instance_registration registration_;
  timer_id tick_timer_;
};

} // namespace nutmegspur::proxy
