/// \file unsent_responses.h
/// Final responses that wait for space in the callers' ring buffer.
///
/// Once a part of a response was lost because the ring buffer was full, only a final error may
/// follow for that response: a normal end after a lost part would make it look complete.
#pragma once

#include <nutmegspur/decision.h>

#include <functional>
#include <map>
#include <optional>

namespace nutmegspur {

/// The request whose response `what` is a part of; empty for other actions.
std::optional<request_id> request_of_response(const action& what);

/// Holds at most one final response per request. Used by the decision thread only.
class unsent_responses {
 public:
  /// Whether `what` must not be sent, because the final part of its response is held here.
  [[nodiscard]] bool suppresses(const action& what) const;
  /// Stores a final response, unless one is already stored for the request.
  void keep(const action& final_response);
  /// Passes the stored responses to `push` until it returns false.
  void flush(const std::function<bool(const action&)>& push);

  [[nodiscard]] std::size_t size() const { return pending_.size(); }

 private:
  std::map<request_id, action> pending_;
};

} // namespace nutmegspur
