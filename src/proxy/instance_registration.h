/// \file instance_registration.h
/// Keeps this instance registered in the store under a lease, so that other instances find it. The
/// registration is written by compare-and-swap: a late write would attach it to a lease that nobody
/// renews any more.
#pragma once

#include "proxy_state.h"

#include <nutmegspur/cas_record.h>

#include <functional>
#include <string>

namespace nutmegspur::proxy {

/// Key prefix of the registrations; the rest of a key is the instance's name.
inline constexpr std::string_view instance_prefix = "entry/";

inline std::string
instance_key(const instance_id& id) {
  return std::string{instance_prefix} + id.value;
}

class instance_registration {
 public:
  using reply_handler = std::function<void(const platform_reply&)>;
  /// Sends one call to the store.
  using store_caller = std::function<void(const platform_request&, reply_handler)>;

  instance_registration(proxy_state& state, store_caller call, std::int64_t started_ms)
      : state_(state), call_(std::move(call)), started_ms_(started_ms),
        record_(instance_key(state.settings.instance)) {
    record_.assume_absent();
  }

  void start();

  /// The registration expired or was removed by an operator. The next renewal writes it again.
  void on_lapsed() {
    lease_ = lease_id{};
    record_.forget();
  }

  /// The store was restored from an older copy: the lease is gone, and its id may be another's.
  void on_restored();

  void unregister();

 private:
  /// Writes the registration under a new lease, after a read of it if its revision is not known.
  void write();
  void read();
  void put(lease_id lease);
  void renew();

  proxy_state& state_;
  store_caller call_;
  std::int64_t started_ms_;
  cas_record record_;
  lease_id lease_;
  bool write_pending_ = false;
};

} // namespace nutmegspur::proxy
