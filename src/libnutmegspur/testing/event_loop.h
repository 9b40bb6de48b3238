/// \file event_loop.h
/// Qt's event loop for tests of workers: the application object, and a wait for a condition.
#pragma once

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>

#include <functional>

namespace nutmegspur::testing {

/// The application object of the process, created on the first call.
inline QCoreApplication&
application() {
  static int argc = 1;
  static char name[] = "test";
  static char* argv[] = {name, nullptr};
  static QCoreApplication app{argc, argv};
  return app;
}

/// Runs the event loop until `condition` holds. Returns false if it does not hold within 60 s.
inline bool
wait_for(const std::function<bool()>& condition) {
  constexpr qint64 timeout_ms = 60'000;
  QElapsedTimer timer;
  timer.start();
  while (!condition() && timer.elapsed() < timeout_ms) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return condition();
}

} // namespace nutmegspur::testing
