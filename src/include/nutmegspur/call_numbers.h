/// \file call_id_generator.h
/// Numbers for the platform calls of one duty, so that replies find who asked.
#pragma once

#include <nutmegspur/platform.h>

#include <cstdint>

namespace nutmegspur {

/// Hands out each number once.
class call_id_generator {
 public:
  explicit call_id_generator(duty owner) : owner_(owner) {}

  call_id next() { return {owner_, ++last_}; }

 private:
  duty owner_;
  std::uint64_t last_ = 0;
};

} // namespace nutmegspur
