/// \file request_permits.h
/// Divides the rates that upstreams state (upstream_limits.h) between instances: each request to
/// such an upstream needs a permit, which one instance, the upstream's keeper, grants to all.
///
/// A request that gets no permit anywhere is promised one for when its caller returns, if the
/// caller can wait that long. The caller is recognized by what the request is
/// (request_fingerprint.h), at any instance. A request that is here now gets a permit if all
/// promises can still be kept when they are due; so it also gets what a caller that does not return
/// has left.
///
/// A keeper that takes over knows nothing of the permits that were granted before, so that it
/// starts without any.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/crash_watch.h>
#include <nutmegspur/error.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// A question to a keeper.
struct permit_request {
  upstream_process process;
  std::uint64_t fingerprint = 0; ///< Of the caller's request.
  milliseconds longest_wait{0};  ///< A later permit must not be promised; zero: none.

  bool operator==(const permit_request&) const = default;
};

/// A keeper's answer.
struct permit_answer {
  bool granted = false;
  milliseconds wait{0}; ///< If not granted: when the promised permit is due, or to ask again.

  bool operator==(const permit_answer&) const = default;
};

/// What a keeper has done since it started, over all upstreams.
struct permit_totals {
  std::uint64_t granted = 0;  ///< Permits, including those of kept promises.
  std::uint64_t promised = 0; ///< Promises made.
  std::uint64_t kept = 0;     ///< Promises whose callers returned and got their permits.
  std::uint64_t lapsed = 0;   ///< Promises whose callers did not return in time.
  double accrued = 0;         ///< Permits that the rates allowed while somebody asked.
};

/// The permits of the upstreams whose keeper this instance is.
///
/// Invariant: in any time t, a process is granted at most
/// `1 + (t + saving_time + promise_grace) * rate` permits.
class request_permits {
 public:
  /// Permits that nobody asked for are saved up for this time.
  static constexpr milliseconds saving_time{500};
  /// A caller that has not returned this long after its permit was due has lost it to others.
  static constexpr milliseconds promise_grace{1'000};
  /// Open promises of one process, and of one request that several callers send.
  static constexpr std::size_t max_promises = 1'000;
  static constexpr std::size_t max_promises_per_request = 4;
  /// Keeps a process that nobody asks about for this long.
  static constexpr milliseconds retention{120'000};

  /// Takes a permit for one request, if the process has one; it gets `per_second` of them. Those
  /// without a permit or a promise are told to ask again one after the other, within `spread` or
  /// until the next permit.
  permit_answer take(const moment& now, const permit_request& request, double per_second,
                     milliseconds spread);

  [[nodiscard]] const permit_totals& totals() const { return totals_; }

 private:
  struct promise {
    time_point due{};
    std::uint64_t fingerprint = 0;
  };

  struct bucket {
    double permits = 0; ///< Accrued and not granted; some of them may be promised.
    time_point refilled{};
    time_point next_question{};    ///< Told to the next one without a permit or a promise.
    std::vector<promise> promises; ///< By the time at which they are due.
  };

  void refill(const moment& now, bucket& it, double per_second);
  /// The first time at which one more permit may be granted so that all promises can be kept.
  static time_point first_free(const moment& now, const bucket& it, double per_second);
  void expire(const moment& now);

  std::map<upstream_process, bucket> buckets_;
  permit_totals totals_;
  time_point expired_{};
};

std::string pack_permit_request(const permit_request& it);
/// Decodes a question; an error if it is malformed.
result<permit_request> unpack_permit_request(std::string_view bytes);
std::string pack_permit_answer(const permit_answer& it);
/// Decodes an answer; an error if it is malformed.
result<permit_answer> unpack_permit_answer(std::string_view bytes);

} // namespace nutmegspur
