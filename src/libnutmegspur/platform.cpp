// Helper functions for the platform's typed operations.
#include <nutmegspur/platform.h>

namespace nutmegspur {

std::string
prefix_end(std::string_view prefix) {
  std::string end{prefix};
  while (!end.empty()) {
    auto& last = end.back();
    if (static_cast<unsigned char>(last) != 0xFF) {
      ++last;
      return end;
    }
    end.pop_back();
  }
  // No key sorts after those with this prefix. The store treats a single zero byte as "no upper
  // bound".
  return std::string(1, '\0');
}

} // namespace nutmegspur
