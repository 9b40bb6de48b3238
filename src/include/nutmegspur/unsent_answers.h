/// \file unsent_responses.h
/// Final answers that the callers' ring has not taken yet.
///
/// Once a part of an answer did not fit into the ring, nothing more of that answer may be sent but
/// its final error: an end after a lost part would look like a whole answer.
#pragma once

#include <nutmegspur/decision.h>

#include <functional>
#include <map>
#include <optional>

namespace nutmegspur {

/// The request whose answer `what` is a part of; empty for other actions.
std::optional<request_id> request_of_response(const action& what);

/// At most one final answer for each request; used by the decision thread only.
class unsent_responses {
 public:
  /// Whether `what` belongs to an answer whose final part is kept here, and so must not be sent.
  [[nodiscard]] bool bars(const action& what) const;
  /// Keeps a final answer; one that is already kept for the request stays.
  void keep(const action& final_answer);
  /// Hands answers to `push` until it refuses one.
  void flush(const std::function<bool(const action&)>& push);

  [[nodiscard]] std::size_t size() const { return kept_.size(); }

 private:
  std::map<request_id, action> kept_;
};

} // namespace nutmegspur
