/// \file call_set.h
/// Single HTTP calls to the platform, to upstreams and to peers whose owner needs the complete
/// response or the reason for its absence. Destroying the set cancels its open calls.
#pragma once

#include "http_client.h"

#include <nutmegspur/wire_binding.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace nutmegspur::proxy {

/// How a single call ended.
struct call_outcome {
  http1::call_end end = http1::call_end::unreachable;
  int status = 0; ///< Valid, like `fields` and `body`, only if `end` is `completed`.
  http_fields fields;
  std::string body;
  moment sent_at{};

  [[nodiscard]] bool complete() const { return end == http1::call_end::completed; }
};

/// Time limits of a single call.
struct call_limits {
  milliseconds all{0};                 ///< From the start to the last byte of the response.
  std::optional<milliseconds> connect; ///< For the connection; the whole time if it is not given.
  /// Not over a kept connection, where the server may respond to an earlier call once more: for
  /// calls whose responses do not name them.
  bool new_connection = false;
};

class call_set {
 public:
  using handler = std::function<void(const call_outcome&)>;

  call_set(http1::event_loop& loop, http1::http_client& client) : loop_(loop), client_(client) {}

  /// Sends `call` once, and not after `not_after`. `on_end` runs within `limits`, in a later
  /// iteration of the loop.
  void send(const endpoint& to, const wire_call& call, const call_limits& limits, handler on_end,
            time_point not_after = time_point::max());

  [[nodiscard]] bool empty() const { return calls_.empty(); }

 private:
  http1::event_loop& loop_;
  http1::http_client& client_;
  std::map<std::uint64_t, std::unique_ptr<http1::client_call>> calls_;
  std::uint64_t last_number_ = 0;
};

} // namespace nutmegspur::proxy
