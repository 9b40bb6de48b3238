// Final answers that wait for room in the callers' ring.
#include <nutmegspur/unsent_answers.h>

namespace nutmegspur {

std::optional<request_id>
answered_request(const action& what) {
  if (const auto* it = std::get_if<start_answer>(&what)) {
    return it->request;
  }
  if (const auto* it = std::get_if<send_chunk>(&what)) {
    return it->request;
  }
  if (const auto* it = std::get_if<end_answer>(&what)) {
    return it->request;
  }
  if (const auto* it = std::get_if<refuse_request>(&what)) {
    return it->request;
  }
  return std::nullopt;
}

bool
unsent_answers::bars(const action& what) const {
  if (kept_.empty()) {
    return false;
  }
  const auto request = answered_request(what);
  return request && kept_.count(*request) > 0;
}

void
unsent_answers::keep(const action& final_answer) {
  if (const auto request = answered_request(final_answer)) {
    kept_.try_emplace(*request, final_answer);
  }
}

void
unsent_answers::flush(const std::function<bool(const action&)>& push) {
  while (!kept_.empty() && push(kept_.begin()->second)) {
    kept_.erase(kept_.begin());
  }
}

} // namespace nutmegspur
