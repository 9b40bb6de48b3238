// Peer messages: size and processor time of encoding, framing and decoding.
#include "slope.h"
#include "slopes.h"

#include <nutmegspur/peer_frame.h>

#include <cstdio>

namespace nutmegspur::bench {

namespace {

constexpr int repeats = 2000;
const std::string secret = "a secret shared by all peers";

load_digest
make_load_digest(int entries) {
  load_digest digest;
  for (int n = 0; n < entries; ++n) {
    digest.entries.push_back({upstream_id{"engine-zone-1-" + std::to_string(n)},
                              {40, 3, 12'000, 8'000, 10'000},
                              engine_role::mixed,
                              milliseconds{900}});
  }
  return digest;
}

member_digest
make_member_digest() {
  return {{{instance_id{"entry-zone-1-17"}, zone_id{"zone-1"}, 1'800'000'000'000, false, "10.1.2.3",
            8082}},
          0x1234567890abcdefULL,
          true};
}

struct message_cost {
  double bytes = 0;
  double micros = 0; ///< To encode, frame, verify and decode it once.
};

message_cost
measure_message(const peer_message& message) {
  message_cost cost;
  const double spent = min_cpu_seconds([&] {
    peer_frame_writer writer(secret, instance_id{"entry-zone-1-17"}, 1);
    peer_frame_reader reader(secret, 1);
    for (int n = 0; n < repeats; ++n) {
      const auto frame = writer.write(encode(message));
      cost.bytes = static_cast<double>(frame->size());
      reader.feed(*frame);
      const auto read = reader.next();
      (void)decode_peer_message((*read)->payload);
    }
  });
  cost.micros = spent * 1e6 / repeats;
  return cost;
}

void
print_message_cost(const char* name, const peer_message& message) {
  const message_cost cost = measure_message(message);
  std::printf("message %s: %.0f bytes framed, %.2f us to send and receive\n", name, cost.bytes,
              cost.micros);
}

} // namespace

void
measure_messages() {
  print_message_cost("member_digest (heartbeat)", make_member_digest());
  print_message_cost("config_heartbeat", config_heartbeat{{100'000}, {100'000}, milliseconds{700}});
  print_message_cost(
      "config_delta (one team)",
      config_delta{
          {1}, {2}, {{"cfg/team/team-17", R"({"max_in_flight":50,"weight":1})", {1}, {2}}}});
  print_message_cost("upstream_notice", upstream_notice{upstream_id{"engine-zone-1-17"}, true});
  print_message_cost("usage_part_ack", usage_part_ack{instance_id{"entry-zone-1-17"}, 7, true});
  std::vector<point> bytes;
  std::vector<point> micros;
  for (const int entries : {4, 16, 64, 256}) {
    const message_cost cost = measure_message(make_load_digest(entries));
    bytes.push_back({static_cast<double>(entries), cost.bytes});
    micros.push_back({static_cast<double>(entries), cost.micros});
  }
  print_slope("load_digest", "bytes framed", "entries", bytes);
  print_slope("load_digest", "us to send and receive", "entries", micros);
}

} // namespace nutmegspur::bench
