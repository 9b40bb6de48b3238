// Guards against a short message for which an instance reserves more memory than it has.
// labels: P10
#include <nutmegspur/bounded_unpack.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace nutmegspur {
namespace {

// Five bytes of a peer made an instance ask for 128 GB.
TEST(bounded_unpack, a_length_beyond_the_message_is_refused_before_its_space_is_reserved) {
  for (const char head : {'\xdd', '\xdf'}) {
    for (const char* length : {"\xff\xff\xff\xff", "\x01\xff\xff\xff"}) {
      const std::string bytes = head + std::string{length, 4};
      EXPECT_THROW(static_cast<void>(unpack_bounded(bytes)), msgpack::size_overflow)
          << static_cast<int>(head);
    }
  }
}

TEST(bounded_unpack, what_fits_is_decoded) {
  std::string bytes{"\xdc\x03\xe8", 3};
  bytes.append(1'000, '\x01');
  EXPECT_EQ(unpack_bounded(bytes).get().as<std::vector<int>>(), std::vector<int>(1'000, 1));
  const std::string nested(60, '\x91');
  EXPECT_NO_THROW(static_cast<void>(unpack_bounded(nested + '\x01')));
  const std::string too_deep(100, '\x91');
  EXPECT_THROW(static_cast<void>(unpack_bounded(too_deep + '\x01')), msgpack::size_overflow);
}

} // namespace
} // namespace nutmegspur
