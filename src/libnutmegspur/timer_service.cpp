// One-shot and periodic timers.
#include <nutmegspur/timer_service.h>

namespace nutmegspur {

timer_id
timer_service::add(time_point due, duration period, callback run) {
  const std::uint64_t id = ++last_id_;
  const due_key key{due, id};
  due_.emplace(key, entry{std::move(run), period});
  due_by_id_.emplace(id, key);
  return {id};
}

timer_id
timer_service::once(time_point due, callback run) {
  return add(due, duration{0}, std::move(run));
}

timer_id
timer_service::every(time_point first, duration period, callback run) {
  return add(first, period, std::move(run));
}

void
timer_service::cancel(timer_id id) {
  const auto it = due_by_id_.find(id.value);
  if (it == due_by_id_.end()) {
    return;
  }
  due_.erase(it->second);
  due_by_id_.erase(it);
}

std::size_t
timer_service::run_due(const moment& now) {
  std::size_t called = 0;
  // A callback may add a timer that is already due; that timer runs at the next call.
  const std::uint64_t newest = last_id_;
  auto it = due_.begin();
  while (it != due_.end() && it->first.first <= now.boot) {
    if (it->first.second > newest) {
      ++it;
      continue;
    }
    const due_key key = it->first;
    entry due = std::move(it->second);
    due_.erase(it);
    due_by_id_.erase(key.second);
    if (due.period > duration{0}) {
      const due_key next{std::max(key.first + due.period, now.boot + duration{1}), key.second};
      due_.emplace(next, due);
      due_by_id_.emplace(key.second, next);
    }
    due.run(now);
    ++called;
    it = due_.begin();
  }
  return called;
}

std::optional<time_point>
timer_service::next_due() const {
  if (due_.empty()) {
    return std::nullopt;
  }
  return due_.begin()->first.first;
}

} // namespace nutmegspur
