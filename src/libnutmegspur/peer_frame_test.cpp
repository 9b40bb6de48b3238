// Tests of peer frames. They guard against payloads lost or merged when the stream arrives in
// pieces, and against accepting altered, replayed or forged frames.
#include <nutmegspur/peer_frame.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

const std::string secret = "shared peer secret";
constexpr std::uint64_t nonce = 77;

peer_frame_writer
writer_of(const std::string& sender) {
  return {secret, instance_id{sender}, nonce};
}

RC_GTEST_PROP(peer_frame, frames_are_read_however_the_stream_is_split, ()) {
  const auto payloads = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
  auto writer = writer_of("a");
  QByteArray stream;
  for (const auto& it : payloads) {
    stream += *writer.write(it);
  }
  peer_frame_reader reader(secret, nonce);
  std::vector<std::string> read;
  while (!stream.isEmpty()) {
    const auto n = *rc::gen::inRange<qsizetype>(1, stream.size() + 1);
    reader.feed(stream.left(n));
    stream.remove(0, n);
    for (auto it = reader.next(); it && *it; it = reader.next()) {
      read.push_back((*it)->payload);
    }
  }
  RC_ASSERT(read == payloads);
}

RC_GTEST_PROP(peer_frame, a_frame_with_a_changed_byte_is_never_accepted, ()) {
  QByteArray stream = *writer_of("a").write("payload");
  const auto at = *rc::gen::inRange<qsizetype>(0, stream.size());
  stream[at] = static_cast<char>(stream[at] ^ *rc::gen::inRange(1, 256));
  peer_frame_reader reader(secret, nonce);
  reader.feed(stream);
  const auto it = reader.next();
  if (it.has_value()) {
    RC_ASSERT(!it->has_value());
  }
}

RC_GTEST_PROP(peer_frame, random_bytes_are_never_accepted, ()) {
  const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  peer_frame_reader reader(secret, nonce);
  reader.feed(QByteArray::fromStdString(bytes));
  const auto it = reader.next();
  if (it.has_value()) {
    RC_ASSERT(!it->has_value());
  }
}

TEST(peer_frame, a_replayed_frame_is_rejected) {
  const QByteArray frame = *writer_of("a").write("x");
  peer_frame_reader reader(secret, nonce);
  reader.feed(frame + frame);
  EXPECT_TRUE(reader.next()->has_value());
  EXPECT_FALSE(reader.next().has_value());
}

TEST(peer_frame, a_frame_of_another_connection_is_rejected) {
  peer_frame_reader reader(secret, nonce + 1);
  reader.feed(*writer_of("a").write("x"));
  EXPECT_FALSE(reader.next().has_value());
}

TEST(peer_frame, a_wrong_secret_and_a_changed_sender_are_rejected) {
  peer_frame_reader other("another secret", nonce);
  other.feed(*writer_of("a").write("x"));
  EXPECT_FALSE(other.next().has_value());

  auto one = writer_of("a");
  auto two = writer_of("b");
  (void)two.write("first");
  peer_frame_reader reader(secret, nonce);
  reader.feed(*one.write("x") + *two.write("y"));
  EXPECT_TRUE(reader.next()->has_value());
  EXPECT_FALSE(reader.next().has_value());
}

TEST(peer_frame, a_message_over_the_limit_is_rejected) {
  EXPECT_FALSE(writer_of("a").write(std::string(max_peer_frame + 1, 'x')).has_value());
}

} // namespace
} // namespace nutmegspur
