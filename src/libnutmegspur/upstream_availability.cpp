// When the first of a service's upstreams may be used again.
#include <nutmegspur/upstream_availability.h>

#include <algorithm>

namespace nutmegspur {

namespace {

milliseconds
time_left(const upstream_wait& it, milliseconds unknown) {
  const milliseconds breaker = it.breaker_open ? unknown : milliseconds{0};
  const milliseconds withheld = it.withheld.value_or(unknown);
  const milliseconds longest = std::max({breaker, withheld, it.pause, it.permit});
  return longest > milliseconds{0} ? longest : unknown;
}

} // namespace

milliseconds
first_availability(const std::vector<upstream_wait>& upstreams, milliseconds unknown) {
  if (upstreams.empty()) {
    return unknown;
  }
  milliseconds first = milliseconds::max();
  for (const auto& it : upstreams) {
    first = std::min(first, time_left(it, unknown));
  }
  return first;
}

} // namespace nutmegspur
