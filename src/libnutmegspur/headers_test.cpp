// Compiles the main public headers together, and tests the name tables and the ring buffer.
#include <nutmegspur/authority.h>
#include <nutmegspur/config.h>
#include <nutmegspur/decision.h>
#include <nutmegspur/event_log.h>
#include <nutmegspur/kernel.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/policy.h>
#include <nutmegspur/ring.h>
#include <nutmegspur/upstream_table.h>

#include <gtest/gtest.h>

#include <set>

namespace nutmegspur {
namespace {

template <class E>
void
expect_distinct_names() {
  std::set<std::string_view> names;
  for (const auto& row : enum_names<E>::table) {
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
    EXPECT_EQ(from_name<E>(row.name), row.value);
  }
}

TEST(names, are_distinct_and_convert_back_to_their_values) {
  expect_distinct_names<error_code>();
  expect_distinct_names<step>();
  expect_distinct_names<outcome>();
  expect_distinct_names<resource_kind>();
  expect_distinct_names<mechanism>();
  expect_distinct_names<duty>();
}

TEST(ring, refuses_items_when_full_and_counts_them) {
  bounded_ring<int> ring{2};
  EXPECT_TRUE(ring.try_push(1));
  EXPECT_TRUE(ring.try_push(2));
  EXPECT_FALSE(ring.try_push(3));
  EXPECT_EQ(ring.refused(), 1U);
  int n = 0;
  EXPECT_TRUE(ring.try_pop(n));
  EXPECT_EQ(n, 1);
}

} // namespace
} // namespace nutmegspur
