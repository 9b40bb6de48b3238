// A fake of an engine's order interface.
#include "testing/fake_engine.h"

namespace nutmegspur::testing {

namespace {

result<void>
conflict(const char* what) {
  return fail({error_code::conflict, step::intent_send, "engine", what, outcome::not_run});
}

} // namespace

std::optional<result<void>>
fake_engine::receive(const moment& now, const engine_order& order) {
  if (down) {
    return std::nullopt;
  }
  received_order it{now.boot, order.authority, order.sequence, order.wanted};
  it.was_changing = now.boot < changing_until_;
  it.streams = streams;
  it.interrupts_streams = order.wanted.role != state_.role || order.wanted.model != state_.model ||
                          order.wanted.version != state_.version;
  if (checks_fence_) {
    const bool stale = order.authority < highest_fence_;
    const bool old = order.sequence <= last_sequence_;
    if (stale || old || it.was_changing) {
      received_.push_back(it);
      return conflict(stale ? "stale_fence" : old ? "stale_sequence" : "changing");
    }
    highest_fence_ = order.authority;
  }
  it.accepted = true;
  received_.push_back(it);
  last_sequence_ = order.sequence;
  state_ = order.wanted;
  changing_until_ = now.boot + change_duration;
  return result<void>{};
}

void
fake_engine::restart(const moment& now) {
  changing_until_ = now.boot;
  state_ = {};
  highest_fence_ = {};
  last_sequence_ = 0;
  streams = 0;
}

std::optional<engine_report>
fake_engine::report(const moment& now) const {
  if (down) {
    return std::nullopt;
  }
  engine_report it;
  it.upstream = id_;
  it.highest_fence = highest_fence_;
  it.last_sequence = last_sequence_;
  it.changing = now.boot < changing_until_;
  it.state = state_;
  it.load.running = streams;
  it.measured = now;
  return it;
}

} // namespace nutmegspur::testing
