// Conversion of endpoints to and from text.
#include <nutmegspur/wire_binding.h>

#include <charconv>

namespace nutmegspur {

std::string
to_text(const endpoint& it) {
  return it.address + ":" + std::to_string(it.port);
}

std::optional<endpoint>
parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  endpoint it{std::string{text.substr(0, colon)}, 0};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), it.port);
  if (ec != std::errc{} || end != port.data() + port.size() || it.port == 0) {
    return std::nullopt;
  }
  return it;
}

} // namespace nutmegspur
