// Exchange of usage parts between instances. Guards against usage that is lost or resent
// forever when the holder is unknown or unreachable, or the source is lost. Sealing under faults is
// in the fault matrix.
// labels: P08
#include "testing/fake_store.h"

#include <nutmegspur/usage_ledger.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

using testing::fake_store;

struct settable_authority final : authority_source {
  std::optional<authority> held;

  [[nodiscard]] std::optional<authority> current(time_point now) const override {
    return held && now < held->until ? held : std::nullopt;
  }
};

/// Three instances: "h" may hold the lease, "c" knows "h" and "s" knows only "c".
struct usage_under_test {
  manual_clock clock;
  fake_store store;
  settable_authority holder;
  settable_authority no_authority;
  std::map<std::string, std::unique_ptr<usage_ledger>> ledgers;
  std::vector<std::pair<std::string, usage_part>> sent_parts; ///< Parts sent, with their receivers.
  std::set<std::string> disconnected;

  usage_under_test() {
    add("h", "h", "", holder);
    add("c", "h", "", no_authority);
    add("s", "c", "c", no_authority);
  }

  void add(const std::string& name, const std::string& target, const std::string& copy,
           const authority_source& source) {
    usage_settings config{instance_id{name}, zone_id{"z"}};
    config.window = seconds{10};
    config.copy_forward_delay = seconds{20};
    ledgers[name] = std::make_unique<usage_ledger>(
        config,
        usage_hooks{[target] { return std::optional{instance_id{target}}; },
                    [copy] { return std::optional{instance_id{copy}}; }},
        source);
  }

  void take_authority() {
    const revision lease_revision = store.put(clock.now(), "lease/zone/z", "{}");
    holder.held = authority{fence{lease_revision.value}, time_point::max()};
  }

  void run_for(seconds span) {
    for (duration at{0}; at < span; at += tick_period) {
      clock.advance(tick_period);
      for (const auto& [name, it] : ledgers) {
        feed(name, tick{});
      }
      for (const auto& it : store.take_due(clock.now())) {
        feed(it.client, it.what);
      }
    }
  }

  void count(const std::string& name, std::uint64_t requests) {
    action_list out;
    ledgers.at(name)->count(clock.now(), {team_id{"t"}, "m", requests, 0, 0}, out);
    carry_out(name, out);
  }

  void feed(const std::string& name, const event& ev) {
    const auto it = ledgers.find(name);
    if (it != ledgers.end()) {
      action_list out;
      it->second->step(clock.now(), ev, out);
      carry_out(name, out);
    }
  }

  void carry_out(const std::string& name, const action_list& out) {
    for (const auto& it : out) {
      if (const auto* call = std::get_if<call_platform>(&it)) {
        store.submit(clock.now(), name, *call);
      } else if (const auto* message = std::get_if<send_to_peer>(&it)) {
        if (const auto* part = std::get_if<usage_part>(&message->message)) {
          sent_parts.emplace_back(message->peer.value, *part);
        }
        if (disconnected.count(name) == 0 && disconnected.count(message->peer.value) == 0) {
          feed(message->peer.value, peer_received{instance_id{name}, message->message});
        }
      }
    }
  }

  [[nodiscard]] std::uint64_t reported() const {
    std::map<std::string, std::uint64_t> windows;
    for (const auto& it : store.usage_reports()) {
      std::uint64_t sum = 0;
      for (const auto& line : it.report.record.lines) {
        sum += line.requests;
      }
      windows[it.report.id] = sum;
    }
    std::uint64_t all_windows = 0;
    for (const auto& [id, sum] : windows) {
      all_windows += sum;
    }
    return all_windows;
  }
};

TEST(usage_ledger, a_part_reaches_the_holder_through_a_peer_and_is_released) {
  usage_under_test zone;
  zone.take_authority();
  zone.run_for(seconds{7});
  zone.count("s", 5);
  zone.run_for(seconds{50});
  EXPECT_EQ(zone.reported(), 5U);
  EXPECT_TRUE(zone.ledgers.at("s")->handed_over());
  const auto sent = zone.sent_parts.size();
  zone.run_for(seconds{120});
  EXPECT_EQ(zone.sent_parts.size(), sent) << "sealed parts are not sent again";
}

TEST(usage_ledger, a_copy_survives_its_source) {
  usage_under_test zone;
  zone.count("s", 3);
  zone.run_for(seconds{6});
  zone.ledgers.erase("s");
  zone.take_authority();
  zone.run_for(seconds{60});
  EXPECT_EQ(zone.reported(), 3U);
}

TEST(usage_ledger, without_a_holder_parts_stay_bounded_and_nothing_is_lost) {
  usage_under_test zone;
  constexpr std::uint64_t outage_seconds = 900;
  for (std::uint64_t i = 0; i < outage_seconds; ++i) {
    zone.count("s", 1);
    zone.run_for(seconds{1});
  }
  std::set<std::uint64_t> sequences;
  for (const auto& [to, part] : zone.sent_parts) {
    sequences.insert(part.sequence);
  }
  EXPECT_LE(sequences.size(), usage_ledger::max_own_parts);
  zone.take_authority();
  zone.run_for(seconds{180});
  EXPECT_EQ(zone.reported(), outage_seconds);
}

TEST(usage_ledger, a_stopping_instance_hands_over_its_copies) {
  usage_under_test zone;
  zone.disconnected.insert("h");
  zone.count("s", 2);
  zone.run_for(seconds{6});
  zone.feed("c", stop_requested{});
  zone.ledgers.erase("s");
  zone.run_for(seconds{30});
  EXPECT_FALSE(zone.ledgers.at("c")->handed_over()) << "no other instance has the copy";
  zone.disconnected.clear();
  zone.run_for(seconds{90});
  EXPECT_TRUE(zone.ledgers.at("c")->handed_over());
}

} // namespace
} // namespace nutmegspur
