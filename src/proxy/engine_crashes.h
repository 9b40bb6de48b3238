/// \file engine_crashes.h
/// Finds out whether attempts broke because an engine's process ended, and counts that against the
/// prompt parts that it worked on.
#pragma once

#include "call_set.h"
#include "proxy_state.h"

#include <nutmegspur/crash_watch.h>

namespace nutmegspur::proxy {

class engine_crashes {
 public:
  /// Checks go through `client`; one whose connections requests do not use up.
  engine_crashes(proxy_state& state, http1::http_client& client);

  /// An attempt broke at `engine` whose prompt has these parts. Asks the engine whether it runs,
  /// unless that is known.
  void on_attempt_broken(const listed_upstream& engine, const part_ids& parts);

 private:
  void record_crash(const listed_upstream& engine, const part_ids& parts);

  proxy_state& state_;
  call_set checks_;
  crash_watch watch_;
};

} // namespace nutmegspur::proxy
