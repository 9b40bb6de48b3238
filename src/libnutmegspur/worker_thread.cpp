// The thread of a worker and its ring buffers.
#include "worker_thread.h"

#include <QMetaObject>

namespace nutmegspur::pvt {

namespace {

metric_labels
worker_label(worker_kind kind) {
  return {{"worker", std::string{to_name(kind)}}};
}

} // namespace

worker_thread::worker_thread(worker_kind kind, std::string plugin, const worker_context& context)
    : kind_(kind), plugin_(std::move(plugin)), context_(context),
      refused_actions_(
          context.metrics.get_counter("nutmegspur_ring_refused_actions_total", worker_label(kind))),
      refused_events_(
          context.metrics.get_counter("nutmegspur_ring_refused_events_total", worker_label(kind))),
      inbox_(std::make_unique<QObject>()) {
  inbox_->moveToThread(&thread_);
}

worker_thread::~worker_thread() {
  stop();
}

result<void>
worker_thread::start(std::function<void()> wake) {
  events_.set_wake(std::move(wake));
  thread_.setObjectName(QString::fromStdString(std::string{to_name(kind_)}));
  thread_.start();
  result<void> started;
  QMetaObject::invokeMethod(
      inbox_.get(), [&] { started = start_on_thread(); }, Qt::BlockingQueuedConnection);
  return started;
}

result<void>
worker_thread::start_on_thread() {
  auto made = worker_registry::instance().make(plugin_, context_);
  if (!made) {
    return fail(made.error());
  }
  worker_ = std::move(*made);
  return worker_->start([this](event&& ev) {
    if (events_.try_push(std::move(ev))) {
      return true;
    }
    refused_events_.add();
    return false;
  });
}

bool
worker_thread::push(const action& what) {
  if (!actions_.try_push(action{what})) {
    refused_actions_.add();
    return false;
  }
  if (!drain_posted_.exchange(true)) {
    QMetaObject::invokeMethod(
        inbox_.get(), [this] { drain(); }, Qt::QueuedConnection);
  }
  return true;
}

void
worker_thread::drain() {
  // Cleared before the loop: a later push posts a new call, so no action stays in the ring buffer.
  // Read as well as written, so that the actions of earlier pushes are seen: on arm64 the loop's
  // first read could otherwise come before the write.
  drain_posted_.exchange(false);
  action what;
  while (actions_.try_pop(what)) {
    if (worker_) {
      worker_->carry_out(what);
    }
  }
}

void
worker_thread::stop() {
  if (!thread_.isRunning()) {
    return;
  }
  QMetaObject::invokeMethod(
      inbox_.get(),
      [this] {
        drain();
        if (worker_) {
          worker_->stop();
        }
        worker_.reset();
      },
      Qt::BlockingQueuedConnection);
  thread_.quit();
  thread_.wait();
}

} // namespace nutmegspur::pvt
