/// \file authority.h
/// What the holder of a zone's lease may do, and until when.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <optional>

namespace nutmegspur {

/// Proof of holding a zone's lease. It is worth nothing after `until` on the boot clock.
struct authority {
  fence number;
  time_point until;
};

/// Read by every part that gives orders or reports.
class authority_source {
 public:
  authority_source() = default;
  authority_source(const authority_source&) = delete;
  authority_source& operator=(const authority_source&) = delete;
  virtual ~authority_source() = default;

  /// The authority in force at `now`, or empty.
  [[nodiscard]] virtual std::optional<authority> current(time_point now) const = 0;
};

} // namespace nutmegspur
