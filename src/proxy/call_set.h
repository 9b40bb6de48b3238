/// \file call_set.h
/// Single HTTP calls to the platform, to upstreams and to peers whose owner needs the complete
/// response or the reason for its absence. Destroying the set cancels its open calls.
#pragma once

#include "byte_budget.h"
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

/// Longest reply of most calls: those to upstreams, to the platform's other interfaces and to peers
/// are a few fields.
inline constexpr std::size_t max_short_reply_bytes = 256UL * 1024;
/// Longest reply with values of the store: at most 1 MB of them, or one value of the configured
/// maximum, both longer by a third in their encoding.
inline constexpr std::size_t max_store_reply_bytes = 16UL * 1024 * 1024;

/// For the whole of a reply of that size over the slowest links (10 Mbit/s).
inline constexpr milliseconds long_transfer{15'000};

/// Limits of a single call.
struct call_limits {
  milliseconds all{0}; ///< From the start to the last byte of the response.
  /// Without a byte of the response for this long the call ends as timed out. Replies whose size
  /// grows with the system have this limit, and `all` is that of the slowest link.
  std::optional<milliseconds> progress;
  std::optional<milliseconds> connect; ///< For the connection; the whole time if it is not given.
  /// Not over a kept connection, where the server may respond to an earlier call once more: for
  /// calls whose responses do not name them.
  bool new_connection = false;
  /// A call whose reply is longer ends as malformed.
  std::size_t reply_bytes = max_short_reply_bytes;
};

class call_set {
 public:
  using handler = std::function<void(const call_outcome&)>;

  call_set(http1::event_loop& loop, http1::http_client& client, http1::byte_budget& budget)
      : loop_(loop), client_(client), budget_(budget) {}

  call_set(const call_set&) = delete;
  call_set& operator=(const call_set&) = delete;
  ~call_set();

  /// Sends `call` once, and not after `not_after`. `on_end` runs within `limits`, in a later
  /// iteration of the loop.
  void send(const endpoint& to, const wire_call& call, const call_limits& limits, handler on_end,
            time_point not_after = time_point::max());

  [[nodiscard]] bool empty() const { return calls_.empty(); }

 private:
  struct open_entry {
    call_outcome outcome;
    handler on_end;
    std::unique_ptr<http1::client_call> call;
    http1::byte_hold held; ///< The body in `outcome`.
    time_point last_byte{};
    timer_id progress_timer;
  };

  void on_body(open_entry& it, std::string_view bytes);
  /// Ends the call if it has made no progress for `limit`; looks again when it may have.
  void await_progress(std::uint64_t number, milliseconds limit);
  void end(std::uint64_t number, http1::call_end how);

  http1::event_loop& loop_;
  http1::http_client& client_;
  http1::byte_budget& budget_;
  std::map<std::uint64_t, open_entry> calls_;
  std::uint64_t last_number_ = 0;
};

} // namespace nutmegspur::proxy
