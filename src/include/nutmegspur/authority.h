/// \file authority.h
/// The authority that comes with a zone's lease: a fencing number and the end of its validity.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <optional>

namespace nutmegspur {

/// Proof that this instance holds the zone's lease. Not valid after `until` on the boot clock.
struct authority {
  fence number;
  time_point until;
};

/// Interface through which components check the authority before they send orders or reports.
class authority_source {
 public:
  authority_source() = default;
  authority_source(const authority_source&) = delete;
  authority_source& operator=(const authority_source&) = delete;
  virtual ~authority_source() = default;

  /// The authority that is valid at `now`, or empty.
  [[nodiscard]] virtual std::optional<authority> current(time_point now) const = 0;
};

} // namespace nutmegspur
