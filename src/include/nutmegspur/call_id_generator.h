/// \file call_id_generator.h
/// Ids for the platform calls of one duty; a reply is matched to its caller by its id.
#pragma once

#include <nutmegspur/platform.h>

#include <cstdint>

namespace nutmegspur {

/// Returns each id once.
class call_id_generator {
 public:
  explicit call_id_generator(duty owner) : owner_(owner) {}

  call_id next() { return {owner_, ++last_number_}; }

 private:
  duty owner_;
  std::uint64_t last_number_ = 0;
};

} // namespace nutmegspur
