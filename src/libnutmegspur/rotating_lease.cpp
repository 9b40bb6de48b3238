// A lease that is replaced once per rotation.
#include <nutmegspur/rotating_lease.h>

namespace nutmegspur {

bool
rotating_lease::grant_due(time_point now) const {
  return lifetime_ > seconds{0} && pending_call_ == 0 && now >= next_grant_;
}

lease_grant
rotating_lease::next_grant(std::uint64_t number, time_point now) {
  pending_call_ = number;
  next_grant_ = now + (current_.empty() ? retry_pause : rotation);
  return {lifetime_ + rotation + retry_pause};
}

bool
rotating_lease::accept_reply(const platform_reply& reply) {
  if (pending_call_ == 0 || reply.call.number != pending_call_) {
    return false;
  }
  pending_call_ = 0;
  const auto* granted = reply.answer ? std::get_if<lease_reply>(&*reply.answer) : nullptr;
  if (granted == nullptr) {
    next_grant_ = reply.asked_at + retry_pause;
    return true;
  }
  current_ = granted->lease;
  next_grant_ = reply.asked_at + rotation;
  return true;
}

void
rotating_lease::invalidate(time_point now) {
  if (!current_.empty()) {
    current_ = {};
    next_grant_ = now;
  }
}

} // namespace nutmegspur
