// Tests of what the store keeps of the origins of streams. They guard against an origin that is
// taken for the only one while streams of another may still be resumed, and against entries of
// others that cannot be read.
// labels: P09 P11
#include <nutmegspur/origin_record.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

constexpr milliseconds window{16'000};
const stream_origin v1{service_id{"llm"}, "v1"};
const stream_origin v2{service_id{"llm"}, "v2"};

wall_time
at(seconds time) {
  constexpr seconds epoch{1'790'000'000};
  return wall_time{epoch + time};
}

TEST(origin_record, a_version_that_left_is_possible_for_as_long_as_its_streams_are_resumed) {
  origin_record record;
  EXPECT_TRUE(record.add(v1));
  EXPECT_TRUE(record.add(v2));
  EXPECT_FALSE(record.add(v2));
  EXPECT_TRUE(record.retire(at(seconds{10}), {v2}));
  EXPECT_FALSE(record.lists(v1)) << "no stream may begin there before it is added again";
  EXPECT_EQ(record.possible(at(seconds{20}), window), (std::vector{v1, v2}));
  EXPECT_EQ(record.possible(at(seconds{27}), window), std::vector{v2});
}

TEST(origin_record, a_version_that_comes_back_is_in_service) {
  origin_record record;
  record.add(v1);
  record.retire(at(seconds{0}), {});
  EXPECT_TRUE(record.add(v1));
  EXPECT_TRUE(record.lists(v1));
  EXPECT_EQ(record.possible(at(seconds{1'000}), window), std::vector{v1});
}

TEST(origin_record, does_not_grow_with_the_versions_of_the_past) {
  origin_record record;
  for (int n = 0; n < 1'000; ++n) {
    const stream_origin version{service_id{"llm"}, std::to_string(n)};
    record.add(version);
    record.retire(at(seconds{60} * n), {version});
  }
  EXPECT_LE(record.entries().size(), 4U);
}

TEST(origin_record, a_clock_that_is_ahead_keeps_an_origin_possible) {
  origin_record record;
  record.add(v1);
  record.retire(at(seconds{100}), {});
  EXPECT_EQ(record.possible(at(seconds{0}), window), std::vector{v1});
}

// Any sequence of changes survives the way to the store and back.
RC_GTEST_PROP(origin_record, survives_the_store, ()) {
  origin_record record;
  for (int n = 0; n < 20; ++n) {
    const auto number = *rc::gen::inRange(0, 6);
    const stream_origin origin{service_id{"s" + std::to_string(number % 2)},
                               std::to_string(number)};
    if (*rc::gen::inRange(0, 3) != 0) {
      record.add(origin);
    } else {
      record.retire(at(seconds{n}), {origin});
    }
    const auto read = origin_record::unpack(record.pack());
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == record);
  }
}

// Bytes of another writer are an error or a record, and end no process.
RC_GTEST_PROP(origin_record, any_bytes_are_read_or_refused, (const std::string& bytes)) {
  (void)origin_record::unpack(bytes);
  (void)unpack_origin_batch(bytes);
  origin_record record;
  record.add(v1);
  std::string damaged = record.pack() + bytes;
  damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] = *rc::gen::arbitrary<char>();
  (void)origin_record::unpack(damaged);
  (void)unpack_origin_batch(damaged);
}

// msgpack reads nested arrays by recursion.
TEST(origin_record, deeply_nested_bytes_are_refused) {
  const std::string nested(1'000'000, '\x91');
  EXPECT_FALSE(origin_record::unpack(nested));
  EXPECT_FALSE(unpack_origin_batch(nested));
  const std::string nested_maps = std::string(1'000'000, '\x81');
  EXPECT_FALSE(origin_record::unpack(nested_maps));
  EXPECT_FALSE(origin_record::unpack({"\xdd\xff\xff\xff\xff", 5}));
}

TEST(origin_record, a_time_that_is_no_time_is_read) {
  // [["llm", "v1", 2^63 - 1]]
  const std::string bytes{"\x91\x93\xa3llm\xa2v1\xd3\x7f\xff\xff\xff\xff\xff\xff\xff", 18};
  const auto read = origin_record::unpack(bytes);
  if (read) {
    EXPECT_EQ(read->possible(at(seconds{0}), window), std::vector{v1});
  }
}

TEST(origin_batch, survives_the_store) {
  const std::vector<stream_origin_notice> streams{{"0123456789abcdef", v1}, {"a", v2}};
  const auto read = unpack_origin_batch(pack_origin_batch(streams));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, streams);
}

} // namespace
} // namespace nutmegspur
