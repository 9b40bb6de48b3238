// Text form and HTTP status code of errors.
#include <nutmegspur/error.h>

namespace nutmegspur {

std::string
to_text(const error& ec) {
  std::string text{to_name(ec.at)};
  if (!ec.peer.empty()) {
    text += " " + ec.peer;
  }
  text += ": " + ec.message;
  text += " (" + std::string{to_name(ec.code)} + ")";
  return text;
}

int
http_status(error_code code) {
  switch (code) {
  case error_code::invalid_argument:
    return 400;
  case error_code::unauthenticated:
  case error_code::key_withdrawn:
    return 401;
  case error_code::permission_denied:
    return 403;
  case error_code::not_found:
    return 404;
  case error_code::conflict:
    return 409;
  case error_code::too_large:
    return 413;
  case error_code::overloaded:
    return 429;
  case error_code::cancelled:
    return 499;
  case error_code::internal:
    return 500;
  case error_code::upstream_failed:
    return 502;
  case error_code::lease_lost:
  case error_code::unavailable:
    return 503;
  case error_code::deadline_exceeded:
    return 504;
  }
  return 500;
}

} // namespace nutmegspur
