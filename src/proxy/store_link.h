/// \file store_link.h
/// This instance's connection to the platform's store: follows the configuration and the lists of
/// upstreams and instances, by a watch of its own or through a peer, and sends single calls.
///
/// Everything that is learned about the store goes into the replica (store_replica.h), which
/// decides what is newer; the lists of upstreams and instances are derived from it. The
/// configuration has an order of its own, its version.
#pragma once

#include "call_set.h"
#include "instance_registration.h"
#include "proxy_state.h"
#include "store_copy.h"

#include <nutmegspur/store_era.h>
#include <nutmegspur/store_replica.h>
#include <nutmegspur/upstream_derivation.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
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
  /// The configuration as a message for a peer that holds version `held`.
  [[nodiscard]] const std::string& config_copy(std::int64_t held);
  /// Applies a peer's configuration, as stored.
  void apply_config_copy(const std::string& config, const instance_id& peer);
  /// Applies a peer's update of the store.
  void apply_update(const store_update& from, const instance_id& peer);

  /// A peer with the same content has followed the store up to `at`.
  void on_same_content(revision at);

  /// A peer's content at position `at` has this hash. If that contradicts this instance's content,
  /// one of both is wrong: reads the store again.
  void check_content(revision at, std::uint64_t hash, const instance_id& peer);

  /// Removes this instance's registration.
  void unregister() { registration_.unregister(); }

  [[nodiscard]] const store_replica& replica() const { return replica_; }

  [[nodiscard]] copy_position position() const { return {replica_.position(), config_version_}; }

  /// What a peer that holds `from` lacks.
  [[nodiscard]] store_update update_since(const copy_position& from) const;
  /// The same as a message for a peer of an earlier release.
  [[nodiscard]] std::string earlier_update_since(const copy_position& from) const;

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
  /// A full read of the followed keys. Replies to a read that was given up are ignored.
  struct full_read {
    int open_parts = 0;
    revision read_at; ///< Lowest revision of the replies.
  };

  /// The keys of one prefix, page by page.
  struct range_read {
    std::string prefix;
    std::set<std::string> present;
    revision read_at; ///< Lowest revision of the pages, which are not a snapshot.
  };

  using read_ptr = std::shared_ptr<full_read>;

  void call(const call_id& id, const platform_request& request, call_limits limits,
            reply_handler on_reply);
  void read_all();
  /// Sends a call of `read`; `on_reply` runs if the call succeeded while the read is in progress.
  void read_part(const read_ptr& read, const kv_range& what,
                 std::function<void(const kv_range_reply&)> on_reply);
  void read_config(const read_ptr& read);
  void read_duties_holder(const read_ptr& read);
  void read_range(const read_ptr& read, const std::shared_ptr<range_read>& range,
                  const std::string& from);
  /// Part of a full read failed: schedules one repetition of all of it.
  void fail_full_read(std::string_view why);
  void on_part_read(const read_ptr& read, revision read_at);
  void watch();
  void on_watch(revision after, int status, const std::string& body);
  /// The connection of a waiting watch was closed. That is an outage only if the store does not
  /// answer another call either.
  void check_store();
  /// The store does not serve this instance: pauses, and watches again.
  void on_watch_failed(const std::string& why);
  /// Whether a reply to a call may be used that was made when the era `sent_in` was known.
  bool check_era(std::optional<std::int64_t> sent_in, const http_fields& fields);
  void on_restored(std::string_view source);
  [[nodiscard]] bool followed(const std::string& key) const;
  /// Brings what is derived from the replica up to date.
  void derive(std::string_view source);
  /// Whether a removal that this instance sees is that of an upstream that has left, for all: the
  /// store serves it, and has for long enough that entries which expired before are back.
  [[nodiscard]] bool vouches_for_removals(const moment& now) const;
  /// The store has answered: if no grace period is left, the removals up to the position are final.
  void confirm_removals();
  void derive_instance(const std::string& key);
  void derive_duties_holder(const std::string& key);
  void apply_config_value(const std::string& value, std::string_view source);
  void schedule_retry();
  void set_reachable(bool now_reachable, std::string_view why);
  /// Logs the services that have just lost their last usable upstream.
  void log_unserved(std::string_view source);
  void tick(const moment& now);

  proxy_state& state_;
  call_set calls_;
  hooks callbacks_;
  store_era era_;
  time_point restored_at_{};
  store_replica replica_;
  upstream_derivation upstream_derivation_;
  key_changes instance_changes_;
  key_changes holder_changes_;
  std::string config_; ///< The accepted configuration with the highest version, as stored.
  std::int64_t config_version_ = 0;
  std::string config_copy_; ///< `config_` as a message for peers; empty until one requests it.
  std::optional<instance_id> duties_holder_;
  std::set<service_id> served_;            ///< Services with usable upstreams.
  std::set<service_id> unserved_;          ///< Services that had some.
  read_ptr read_;                          ///< Null while no full read is in progress.
  bool read_wanted_ = false;               ///< The content was contradicted.
  std::uint64_t contradicted_content_ = 0; ///< Its hash then.
  time_point next_check_{};
  milliseconds check_pause_;
  bool reachable_ = true;
  time_point vouches_from_ = time_point::max(); ///< See vouches_for_removals().
  time_point last_success_ = http1::event_loop::now().boot;
  bool watching_ = true;
  bool follow_active_ = false; ///< A read, a watch or the pause before one is in progress.
  instance_registration registration_;
  timer_id tick_timer_;
};

} // namespace nutmegspur::proxy
