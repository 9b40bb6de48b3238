/// \file store_link.h
/// This instance's connection to the platform's store: it follows the configuration and the lists
/// of upstreams and instances, keeps this instance registered, and carries single calls.
///
/// Invariant: what was learnt is never undone by older news; revisions decide.
#pragma once

#include "call_set.h"
#include "proxy_state.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace nutmegspur::proxy {

/// Another instance's registration.
struct registered_instance {
  instance_id name;
  endpoint peer;
  std::int64_t started_ms = 0;
};

/// The newest copy of what the store holds, as read; a peer that cannot reach the store is given
/// it.
struct store_copy {
  revision store; ///< How far it goes.
  std::string config;
  std::map<std::string, std::pair<std::string, revision>> upstreams; ///< By key.
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

  store_link(proxy_state& state, http1::http_client& client, hooks events, std::int64_t started_ms);
  store_link(const store_link&) = delete;
  store_link& operator=(const store_link&) = delete;
  ~store_link();

  void start();
  /// One call; `on_reply` comes once, unless the link ends first.
  void call(const call_id& id, const platform_request& request, milliseconds limit,
            reply_handler on_reply);
  /// Takes a peer's copy if it goes further than what is held.
  void take_copy(const store_copy& from, const instance_id& peer);
  /// Ends the registration.
  void sign_off();

  [[nodiscard]] const store_copy& copy() const { return copy_; }

  [[nodiscard]] bool reachable() const { return reachable_; }

 private:
  void read_all();
  void read_config();
  void read_duties_holder();
  /// A part of a whole read failed: all of it is read anew, once.
  void abandon_read(std::string_view why);
  void read_range(const std::string& prefix, const std::string& from);
  void on_range(const std::string& prefix, const kv_range_reply& reply);
  void range_done();
  void watch();
  void on_watch(int status, const std::string& body);
  void apply(const kv_change& change, std::string_view source);
  void apply_config_value(const std::string& value, std::string_view source);
  void apply_upstream(const kv_change& change, std::string_view source);
  void apply_instance(const kv_change& change);
  void retry_later();
  void set_reachable(bool now_reachable, std::string_view why);
  void drop_removed(const std::vector<upstream_id>& gone, std::string_view source);
  void tick(const moment& now);

  void register_self();
  void renew_registration();

  proxy_state& state_;
  call_set calls_;
  hooks events_;
  std::int64_t started_ms_;
  store_copy copy_;
  revision reading_from_; ///< Least revision of the reads under way.
  int reads_left_ = 0;
  std::vector<upstream_id> present_; ///< Upstreams seen by the read under way.
  std::map<std::string, registered_instance> instances_;
  bool reachable_ = true;
  lease_id registration_;
  bool registering_ = false;
  timer_id tick_timer_;
};

/// A copy as a peer is sent it, and back.
std::string pack_copy(const store_copy& copy);
result<store_copy> unpack_copy(std::string_view bytes);

} // namespace nutmegspur::proxy
