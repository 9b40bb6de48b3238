// labels: P09 P10
// The budget of held bytes: who reads on, who waits and who ends.
#include <nutmegspur/held_bytes.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace nutmegspur {
namespace {

constexpr held_bytes_limits small{1'000, 500, 600, 300, 200, 10};

bool
has(const std::vector<hold_change>& changes, holder_id holder, hold_order order) {
  return std::any_of(changes.begin(), changes.end(), [&](const hold_change& it) {
    return it.holder == holder && it.order == order;
  });
}

// Guards against requests that are delayed although there is room.
TEST(held_bytes, all_read_while_there_is_room) {
  held_bytes held{small};
  for (int n = 0; n < 5; ++n) {
    held.set(held.open("a" + std::to_string(n)), 60, false);
  }
  EXPECT_TRUE(held.take_changes().empty());
  EXPECT_EQ(held.total(), 300U);
}

// Guards against one source whose holders take the room of all others.
TEST(held_bytes, beyond_its_share_only_the_oldest_of_a_source_reads) {
  held_bytes held{small};
  const holder_id first = held.open("a");
  const holder_id second = held.open("a");
  const holder_id other = held.open("b");
  held.set(first, 160, false);
  held.set(second, 160, false);
  held.set(other, 50, false);
  EXPECT_EQ(held.take_changes(), (std::vector<hold_change>{{second, hold_order::wait, false}}));
  held.close(first);
  EXPECT_EQ(held.take_changes(), (std::vector<hold_change>{{second, hold_order::read, false}}));
}

// Guards against holders that wait for each other for ever.
TEST(held_bytes, the_oldest_of_all_always_reads) {
  held_bytes held{small};
  std::vector<holder_id> ids;
  for (int n = 0; n < 6; ++n) {
    ids.push_back(held.open("a" + std::to_string(n)));
    held.set(ids.back(), 150, false);
  }
  auto changes = held.take_changes();
  EXPECT_EQ(changes.size(), 5U);
  EXPECT_FALSE(has(changes, ids.front(), hold_order::wait));
  held.close(ids.front());
  changes = held.take_changes();
  EXPECT_TRUE(has(changes, ids[1], hold_order::read));
}

// Guards against a turn that goes to a holder that has no use for it, while all others wait.
TEST(held_bytes, a_complete_holder_needs_no_turn) {
  held_bytes held{small};
  const holder_id complete = held.open("a");
  held.set(complete, 200, false);
  held.set_complete(complete);
  std::vector<holder_id> reading;
  for (int n = 0; n < 3; ++n) {
    reading.push_back(held.open("b" + std::to_string(n)));
    held.set(reading.back(), 150, false);
  }
  EXPECT_EQ(held.take_changes(), (std::vector<hold_change>{{reading[1], hold_order::wait, false},
                                                           {reading[2], hold_order::wait, false}}));
}

// Guards against what is complete being thrown away for what is not.
TEST(held_bytes, a_complete_holder_ends_last) {
  held_bytes held{small};
  const holder_id complete = held.open("a");
  held.set(complete, 700, false);
  held.set_complete(complete);
  const holder_id reading = held.open("b");
  held.set(reading, 400, false);
  EXPECT_EQ(held.take_changes(), (std::vector<hold_change>{{reading, hold_order::end, false}}));
  held.set(complete, 1'200, false);
  EXPECT_EQ(held.take_changes(), (std::vector<hold_change>{{complete, hold_order::end, false}}));
}

// Guards against a sound request that ends for the bytes of another.
TEST(held_bytes, the_largest_at_fault_ends_when_the_budget_is_nearly_used_up) {
  held_bytes held{small};
  const holder_id sound = held.open("a");
  held.set(sound, 200, false);
  std::vector<holder_id> faulty;
  for (int n = 0; n < 3; ++n) {
    faulty.push_back(held.open("f" + std::to_string(n)));
    held.set(faulty.back(), 140U + static_cast<std::size_t>(n), n > 0);
  }
  const auto changes = held.take_changes();
  EXPECT_TRUE(has(changes, faulty[2], hold_order::end));
  EXPECT_FALSE(has(changes, faulty[1], hold_order::end));
  EXPECT_FALSE(has(changes, sound, hold_order::end));
  EXPECT_FALSE(has(changes, sound, hold_order::wait)); // It is the oldest.
}

// Guards against an upstream that keeps its room after it has sent without end once.
TEST(held_bytes, a_blamed_source_loses_all_its_room_before_others) {
  held_bytes held{small};
  const holder_id one = held.open("bad");
  const holder_id two = held.open("bad");
  std::vector<holder_id> sound;
  for (int n = 0; n < 4; ++n) {
    sound.push_back(held.open("a" + std::to_string(n)));
    held.set(sound.back(), 200, false);
  }
  held.set(one, 60, false);
  held.set(two, 50, false);
  held.blame("bad");
  const auto changes = held.take_changes();
  EXPECT_TRUE(has(changes, one, hold_order::end));
  EXPECT_TRUE(has(changes, two, hold_order::end));
  for (const auto id : sound) {
    EXPECT_FALSE(has(changes, id, hold_order::end));
  }
  EXPECT_EQ(held.total(), 800U);
}

/// Holders that grow as far as their orders let them.
struct random_holders {
  struct row {
    holder_id id = 0;
    std::string source;
    std::size_t bytes = 0;
    bool at_fault = false;
    bool waits = false;
  };

  held_bytes held{small};
  std::vector<row> open;

  void step(int kind, std::size_t choice, std::size_t piece) {
    if (kind == 0 || open.empty()) {
      const std::string source(1, static_cast<char>('a' + choice % 5));
      open.push_back({held.open(source), source, 0, false, false});
      return;
    }
    row& it = open[choice % open.size()];
    if (kind == 1) {
      held.close(it.id);
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(choice % open.size()));
    } else if (!it.waits) {
      it.bytes = std::min(it.bytes + piece, small.one);
      it.at_fault = it.at_fault || kind == 2;
      held.set(it.id, it.bytes, it.at_fault);
    }
  }

  void apply(const std::vector<hold_change>& changes) {
    for (const auto& change : changes) {
      const auto it = std::find_if(open.begin(), open.end(),
                                   [&](const auto& one) { return one.id == change.holder; });
      RC_ASSERT(it != open.end());
      it->waits = change.order == hold_order::wait;
      if (change.order == hold_order::end) {
        RC_ASSERT(!it->at_fault || change.at_fault);
        check_end(*it);
        open.erase(it);
      }
    }
  }

  /// Whoever ends is the largest of those at fault, or none is at fault.
  void check_end(const row& ended) const {
    for (const auto& it : open) {
      if (it.at_fault) {
        RC_ASSERT(ended.at_fault);
        RC_ASSERT(it.bytes <= ended.bytes);
      }
    }
  }

  [[nodiscard]] std::size_t sum() const {
    std::size_t n = 0;
    for (const auto& it : open) {
      n += it.bytes;
    }
    return n;
  }
};

// Guards against a sum above the budget, bytes that are never given back, a sound holder that ends
// before one at fault, and holders none of which reads.
RC_GTEST_PROP(held_bytes, the_sum_stays_below_the_budget, ()) {
  random_holders all;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
      300, rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange<std::size_t>(0, 9'000)));
  for (const auto& [kind, choice] : steps) {
    all.step(kind, choice, choice % 70);
    all.apply(all.held.take_changes());
    RC_ASSERT(all.held.total() <= small.budget);
    RC_ASSERT(all.held.total() == all.sum());
    RC_ASSERT(all.held.holders() == all.open.size());
    RC_ASSERT(all.open.empty() || std::any_of(all.open.begin(), all.open.end(),
                                              [](const auto& it) { return !it.waits; }));
  }
  while (!all.open.empty()) {
    all.step(1, 0, 0);
    all.apply(all.held.take_changes());
  }
  RC_ASSERT(all.held.total() == 0U);
  RC_ASSERT(all.held.take_changes().empty());
}

// Guards against sound holders that end: as long as none is at fault and few of them are new,
// waiting is enough.
RC_GTEST_PROP(held_bytes, sound_holders_never_end, ()) {
  random_holders all;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
      1'500, rc::gen::pair(rc::gen::inRange(0, 15), rc::gen::inRange<std::size_t>(0, 9'000)));
  for (const auto& [kind, choice] : steps) {
    constexpr std::size_t most_open = 8;
    if (kind != 0 || all.open.size() < most_open) {
      all.step(kind == 2 ? 3 : kind, choice, small.unheeded);
    }
    const auto changes = all.held.take_changes();
    for (const auto& it : changes) {
      RC_ASSERT(it.order != hold_order::end);
    }
    all.apply(changes);
  }
}

} // namespace
} // namespace nutmegspur
