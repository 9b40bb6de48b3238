// Grants permits for requests to upstreams that state a rate.
#include "msgpack_array.h"

#include <nutmegspur/request_permits.h>

#include <algorithm>
#include <vector>

namespace nutmegspur {

namespace {

using seconds_double = std::chrono::duration<double>;

/// A whole permit, less the rounding errors of its accrual.
constexpr double one_permit = 1 - 1e-6;

/// The time in which `permits` accrue, at most `request_permits::retention`.
milliseconds
accrual_time(double permits, double per_second) {
  return std::chrono::ceil<milliseconds>(seconds_double{
      std::min(permits / per_second, seconds_double{request_permits::retention}.count())});
}

constexpr std::size_t request_elements = 4;
constexpr std::size_t answer_elements = 2;

} // namespace

void
request_permits::expire(const moment& now) {
  if (now.boot - expired_ < retention) {
    return;
  }
  expired_ = now.boot;
  std::erase_if(buckets_,
                [&](const auto& row) { return now.boot - row.second.refilled >= retention; });
}

void
request_permits::refill(const moment& now, bucket& it, double per_second) {
  if (it.refilled != time_point{}) {
    const double accrued =
        std::max(seconds_double{now.boot - it.refilled}.count(), 0.0) * per_second;
    it.permits += accrued;
    totals_.accrued += accrued;
  }
  it.refilled = now.boot;
  totals_.lapsed += std::erase_if(
      it.promises, [&](const auto& row) { return now.boot - row.due > promise_grace; });
  // Permits of promises that are due wait for their callers, at most for the grace period.
  const auto due =
      static_cast<double>(std::count_if(it.promises.begin(), it.promises.end(),
                                        [&](const auto& row) { return row.due <= now.boot; }));
  const double grace = per_second * seconds_double{promise_grace}.count();
  const double most = 1 + per_second * seconds_double{saving_time}.count() + std::min(due, grace);
  it.permits = std::min(it.permits, most);
}

time_point
request_permits::first_free(const moment& now, const bucket& it, double per_second) {
  // What is left of the permits that have accrued by a time, after all promises that are due by
  // then. One more permit may be granted at the first time from which at least one is always left.
  time_point first = now.boot;
  const auto left_at = [&](time_point t, std::size_t promises) {
    return it.permits + per_second * seconds_double{t - now.boot}.count() -
           static_cast<double>(promises);
  };
  const auto wait_for_one = [&](time_point t, std::size_t promises) {
    const double left = left_at(t, promises);
    return left >= one_permit ? t : t + accrual_time(1 - left, per_second);
  };
  std::size_t promises = 0;
  for (const auto& row : it.promises) {
    promises++;
    // Those that are due already count from now on.
    const time_point due = std::max(row.due, now.boot);
    if (left_at(due, promises) < one_permit) {
      first = std::max(first, wait_for_one(due, promises));
    }
  }
  return promises == 0 ? wait_for_one(now.boot, 0) : first;
}

permit_answer
request_permits::take(const moment& now, const permit_request& request, double per_second,
                      milliseconds spread) {
  expire(now);
  bucket& it = buckets_[request.process];
  refill(now, it, per_second);
  const auto of_request = [&](const promise& row) {
    return row.fingerprint == request.fingerprint;
  };
  const auto own = std::find_if(it.promises.begin(), it.promises.end(), of_request);
  if (own != it.promises.end() && own->due <= now.boot && it.permits >= one_permit) {
    it.promises.erase(own);
    it.permits -= 1;
    totals_.kept++;
    totals_.granted++;
    return {true, milliseconds{0}};
  }
  const time_point free_at = first_free(now, it, per_second);
  if (free_at <= now.boot) {
    it.permits -= 1;
    totals_.granted++;
    return {true, milliseconds{0}};
  }
  // Promises take no more than what accrues. Whatever a caller has left is for requests that are
  // here now; otherwise it would always be promised a moment before.
  const time_point after_last =
      it.promises.empty() ? free_at : it.promises.back().due + accrual_time(1, per_second);
  const auto until_free = std::chrono::ceil<milliseconds>(std::max(free_at, after_last) - now.boot);
  const auto same_request = std::count_if(it.promises.begin(), it.promises.end(), of_request);
  if (until_free <= request.longest_wait && it.promises.size() < max_promises &&
      static_cast<std::size_t>(same_request) < max_promises_per_request) {
    it.promises.push_back({now.boot + until_free, request.fingerprint});
    totals_.promised++;
    return {false, until_free};
  }
  const time_point next = now.boot + until_free;
  if (it.next_question < next || it.next_question - next > spread) {
    it.next_question = next;
  }
  const auto wait = std::chrono::ceil<milliseconds>(it.next_question - now.boot);
  it.next_question += accrual_time(1, per_second);
  return {false, wait};
}

std::string
pack_permit_request(const permit_request& it) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  out.pack_array(request_elements);
  out.pack(it.process.id.value);
  out.pack(it.process.started_ms);
  out.pack(it.fingerprint);
  out.pack(it.longest_wait.count());
  return {buf.data(), buf.size()};
}

result<permit_request>
unpack_permit_request(std::string_view bytes) {
  return pvt::unpack_array<permit_request>(bytes, request_elements, [](const auto& row) {
    return permit_request{
        {upstream_id{row.at(0).template as<std::string>()}, row.at(1).template as<std::int64_t>()},
        row.at(2).template as<std::uint64_t>(),
        milliseconds{row.at(3).template as<std::int64_t>()}};
  });
}

std::string
pack_permit_answer(const permit_answer& it) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  out.pack_array(answer_elements);
  out.pack(it.granted);
  out.pack(it.wait.count());
  return {buf.data(), buf.size()};
}

result<permit_answer>
unpack_permit_answer(std::string_view bytes) {
  return pvt::unpack_array<permit_answer>(bytes, answer_elements, [](const auto& row) {
    return permit_answer{row.at(0).template as<bool>(),
                         milliseconds{row.at(1).template as<std::int64_t>()}};
  });
}

} // namespace nutmegspur
