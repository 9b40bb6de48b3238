// Final responses that wait for space in the callers' ring buffer.
#include <nutmegspur/unsent_responses.h>

namespace nutmegspur {

std::optional<request_id>
request_of_response(const action& what) {
  if (const auto* it = std::get_if<start_response>(&what)) {
    return it->request;
  }
  if (const auto* it = std::get_if<send_chunk>(&what)) {
    return it->request;
  }
  if (const auto* it = std::get_if<end_response>(&what)) {
    return it->request;
  }
  if (const auto* it = std::get_if<fail_request>(&what)) {
    return it->request;
  }
  return std::nullopt;
}

bool
unsent_responses::suppresses(const action& what) const {
  if (pending_.empty()) {
    return false;
  }
  const auto request = request_of_response(what);
  return request && pending_.count(*request) > 0;
}

void
unsent_responses::keep(const action& final_response) {
  if (const auto request = request_of_response(final_response)) {
    pending_.try_emplace(*request, final_response);
  }
}

void
unsent_responses::flush(const std::function<bool(const action&)>& push) {
  while (!pending_.empty() && push(pending_.begin()->second)) {
    pending_.erase(pending_.begin());
  }
}

} // namespace nutmegspur
