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
    const double passed = seconds_double{now.boot - it.refilled}.count();
    it.free += std::max(passed, 0.0) * per_second;
  }
  it.refilled = now.boot;
  it.free += static_cast<double>(std::erase_if(
      it.promises, [&](const auto& row) { return now.boot - row.second > promise_grace; }));
  const double most_free = 1 + per_second * seconds_double{saving_time}.count();
  const double most = most_free + per_second * seconds_double{promise_grace}.count();
  it.free = std::min({it.free, most_free, most - static_cast<double>(it.promises.size())});
}

permit_answer
request_permits::take(const moment& now, const permit_request& request, double per_second,
                      milliseconds spread) {
  expire(now);
  bucket& it = buckets_[request.process];
  refill(now, it, per_second);
  const auto accrued = it.free + static_cast<double>(it.promises.size());
  const auto [first, last] = it.promises.equal_range(request.fingerprint);
  if (first != last && first->second <= now.boot && accrued >= one_permit) {
    it.promises.erase(first);
    return {true, milliseconds{0}};
  }
  if (it.free >= one_permit) {
    it.free -= 1;
    return {true, milliseconds{0}};
  }
  const milliseconds until_next = accrual_time(1 - it.free, per_second);
  const auto same_request = static_cast<std::size_t>(std::distance(first, last));
  if (until_next <= request.longest_wait && it.promises.size() < max_promises &&
      same_request < max_promises_per_request) {
    it.free -= 1;
    it.promises.emplace(request.fingerprint, now.boot + until_next);
    return {false, until_next};
  }
  const time_point next = now.boot + until_next;
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
