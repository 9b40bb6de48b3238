// Tests of the replica of the store. They guard against an instance that claims to hold the store's
// content at a position and does not: it loses upstreams for good, and so do the peers that follow
// it.
// labels: P12 P14
#include "testing/replica_model.h"

#include <nutmegspur/store_replica.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <unordered_set>

namespace nutmegspur::testing {
namespace {

kv_change
written(const std::string& key, const std::string& value, std::int64_t at) {
  return {key, value, {}, revision{at}};
}

kv_change
removed(const std::string& key, std::int64_t at) {
  return {key, std::nullopt, {}, revision{at}};
}

/// A replica that has read the keys "a" at 1 and "b" at 2, up to 10.
store_replica
example() {
  store_replica it;
  it.apply_page({{"a", "A", {}, revision{1}}, {"b", "B", {}, revision{2}}}, revision{10});
  it.apply_absence("", {"a", "b"}, revision{10});
  it.finish_read(revision{10});
  return it;
}

TEST(store_replica, an_older_change_is_ignored) {
  store_replica it;
  it.apply_changes({written("a", "leaving", 5)}, {}, revision{5});
  it.apply_changes({written("a", "ready", 4)}, revision{3}, revision{4});
  EXPECT_EQ(it.find("a")->value, "leaving");
  it.apply_changes({removed("a", 6)}, revision{5}, revision{6});
  it.apply_changes({written("a", "ready", 5)}, revision{4}, revision{5});
  EXPECT_EQ(it.find("a"), nullptr);
  EXPECT_EQ(it.position(), revision{6});
}

TEST(store_replica, a_full_read_removes_missing_keys_but_keeps_newer_ones) {
  store_replica it;
  it.apply_changes({written("a", "A", 1), written("b", "B", 9)}, {}, revision{1});
  it.apply_absence("", {}, revision{5});
  it.finish_read(revision{5});
  EXPECT_EQ(it.find("a"), nullptr);
  EXPECT_NE(it.find("b"), nullptr);
}

// The page that would have held a key was answered before the key was written.
TEST(store_replica, a_key_written_between_two_pages_is_kept) {
  store_replica it = example();
  const std::set<std::string> present{"a", "b"};
  it.apply_changes({written("aa", "N", 12)}, revision{10}, revision{12});
  it.apply_page({{"b", "B", {}, revision{2}}}, revision{13});
  it.apply_absence("", present, revision{11}); // The first page's revision.
  EXPECT_NE(it.find("aa"), nullptr);
}

// An entry that expired in an outage and is back unchanged is a change like any other.
TEST(store_replica, an_entry_that_is_back_unchanged_reaches_a_peer) {
  store_replica it = example();
  store_replica peer = example();
  peer.apply_changes({removed("a", 11)}, revision{10}, revision{11});
  it.apply_changes({removed("a", 11), written("a", "A", 12)}, revision{10}, revision{12});
  ASSERT_TRUE(peer.apply_update(it.update_since(peer.position())));
  EXPECT_NE(peer.find("a"), nullptr);
  EXPECT_EQ(peer.position(), revision{12});
  EXPECT_EQ(peer.content_hash(), it.content_hash());
}

TEST(store_replica, an_update_contains_removals) {
  store_replica it = example();
  store_replica peer = example();
  it.apply_changes({removed("a", 11)}, revision{10}, revision{11});
  const auto update = it.update_since(peer.position());
  EXPECT_FALSE(update.whole());
  EXPECT_TRUE(update.written.empty());
  ASSERT_TRUE(peer.apply_update(update));
  EXPECT_EQ(peer.find("a"), nullptr);
  ASSERT_TRUE(peer.apply_update(update)) << "a second copy of it";
  EXPECT_EQ(peer.find("a"), nullptr);
}

TEST(store_replica, an_update_that_begins_after_the_position_is_refused) {
  store_replica it = example();
  it.apply_changes({written("c", "C", 11)}, revision{10}, revision{20});
  store_replica peer;
  EXPECT_FALSE(peer.apply_update(it.update_since(revision{15})));
  EXPECT_EQ(peer.position(), revision{});
  EXPECT_TRUE(peer.values().empty());
}

TEST(store_replica, an_older_update_changes_nothing) {
  store_replica it = example();
  const auto early = it.update_since({});
  it.apply_changes({removed("a", 11)}, revision{10}, revision{11});
  EXPECT_FALSE(it.apply_update(early));
  EXPECT_EQ(it.find("a"), nullptr);
}

TEST(store_replica, a_watch_with_a_gap_before_it_does_not_advance_the_position) {
  store_replica it = example();
  it.apply_changes({written("c", "C", 15)}, revision{12}, revision{15});
  EXPECT_EQ(it.position(), revision{10});
  EXPECT_FALSE(it.settled());
}

// Removals that happened before a read, or that were forgotten, are in no list of changes.
TEST(store_replica, a_peer_gets_everything_where_removals_may_be_missing) {
  store_replica it = example();
  EXPECT_TRUE(it.update_since(revision{9}).whole());
  EXPECT_FALSE(it.update_since(revision{10}).whole());
  it.on_same_content(revision{30});
  EXPECT_TRUE(it.update_since(revision{29}).whole());
  EXPECT_FALSE(it.update_since(revision{30}).whole());
  std::int64_t at = 30;
  for (std::size_t n = 0; n <= store_replica::max_removals; ++n) {
    const std::string key = "k" + std::to_string(n);
    it.apply_changes({written(key, "V", at + 1), removed(key, at + 2)}, revision{at},
                     revision{at + 2});
    at += 2;
  }
  EXPECT_TRUE(it.update_since(revision{31}).whole());
  EXPECT_FALSE(it.update_since(revision{at - 10}).whole());
}

TEST(store_replica, equal_contents_have_equal_hashes_in_any_order) {
  store_replica one;
  store_replica other;
  one.apply_changes({written("a", "A", 1), written("b", "B", 2)}, {}, revision{3});
  other.apply_changes({written("b", "B", 2), written("x", "X", 3)}, {}, revision{3});
  other.apply_changes({written("a", "A", 1)}, {}, revision{3});
  EXPECT_NE(one.content_hash(), other.content_hash());
  other.apply_changes({removed("x", 4)}, revision{3}, revision{4});
  EXPECT_EQ(one.content_hash(), other.content_hash());
  other.apply_changes({written("a", "leaving", 5)}, revision{4}, revision{5});
  EXPECT_NE(one.content_hash(), other.content_hash());
}

// A wrong content repairs itself: a read contradicts it at a revision that is not older.
TEST(store_replica, a_contradicted_content_is_repaired_by_a_read) {
  const store_replica right = example();
  store_replica wrong = example();
  ASSERT_TRUE(wrong.apply_update({revision{}, revision{10}, {{"b", {"B", revision{2}}}}, {}}));
  ASSERT_EQ(wrong.find("a"), nullptr);
  EXPECT_TRUE(wrong.contradicts(right.position(), right.content_hash()));
  EXPECT_TRUE(right.contradicts(wrong.position(), wrong.content_hash()));
  EXPECT_FALSE(wrong.contradicts(revision{9}, right.content_hash()));
  wrong.apply_page({{"a", "A", {}, revision{1}}, {"b", "B", {}, revision{2}}}, revision{12});
  wrong.apply_absence("", {"a", "b"}, revision{12});
  wrong.finish_read(revision{12});
  EXPECT_EQ(wrong.content_hash(), right.content_hash());
}

// Two instances that are reading the store at their start do not hold the content of one position.
TEST(store_replica, a_content_that_is_being_read_contradicts_nothing) {
  store_replica one;
  store_replica other;
  one.apply_page({{"a", "A", {}, revision{1}}}, revision{10});
  EXPECT_EQ(one.stated_hash(), 0U);
  EXPECT_FALSE(one.contradicts(other.position(), other.stated_hash()));
  EXPECT_FALSE(other.contradicts(one.position(), one.stated_hash()));
  one.finish_read(revision{10});
  EXPECT_EQ(one.stated_hash(), one.content_hash());
  one.apply_page({{"b", "B", {}, revision{12}}}, revision{12});
  EXPECT_EQ(one.stated_hash(), 0U);
}

TEST(store_replica, a_restored_copy_replaces_the_content_of_the_era_before) {
  store_replica it;
  it.apply_changes({written("a", "A", store_position(1, 90).value)}, {}, store_position(1, 95));
  const revision read_at = store_position(2, 50);
  it.apply_page({{"b", "B", {}, store_position(2, 40)}}, read_at);
  it.apply_absence("", {"b"}, read_at);
  it.finish_read(read_at);
  EXPECT_EQ(it.find("a"), nullptr);
  EXPECT_NE(it.find("b"), nullptr);
  EXPECT_EQ(it.position(), read_at);
  EXPECT_TRUE(it.update_since(store_position(1, 95)).whole());
}

TEST(key_changes, names_what_was_written_rewritten_or_removed) {
  store_replica it = example();
  key_changes changes{""};
  EXPECT_EQ(changes.take(it), (std::vector<std::string>{"a", "b"}));
  EXPECT_TRUE(changes.take(it).empty());
  it.apply_changes({written("a", "A", 11), removed("b", 12), written("c", "C", 13)}, revision{10},
                   revision{13});
  EXPECT_EQ(changes.take(it), (std::vector<std::string>{"a", "c", "b"}));
}

// An upstream that has left got requests for as long as two instances, one of which follows the
// other, did not reach the store.
TEST(store_replica, a_final_removal_passes_through_instances_that_do_not_reach_the_store) {
  const manual_clock clock;
  const moment now = clock.now();
  model_store store;
  store.put(upstream_prefix + "a", "10.0.0.1 5 ready");
  std::array<replica_instance, 3> chain;
  for (auto& it : chain) {
    it.receive(now, it.ask_store(store, true));
  }
  chain[1].lose_store(now);
  chain[2].lose_store(now);
  store.remove(upstream_prefix + "a");
  chain[0].receive(now, chain[0].ask_store(store, false));
  for (const std::size_t n : {1U, 2U}) {
    chain.at(n).receive(now, chain.at(n - 1).update_for(now, chain.at(n).position()));
    EXPECT_TRUE(chain.at(n).list.empty()) << n;
  }
}

// What expired in an outage is kept while it may come back, whoever tells of its removal.
TEST(store_replica, a_removal_in_a_grace_period_is_not_final_for_peers) {
  manual_clock clock;
  model_store store;
  store.put(upstream_prefix + "a", "10.0.0.1 5 ready");
  std::array<replica_instance, 3> chain;
  for (auto& it : chain) {
    it.receive(clock.now(), it.ask_store(store, true));
    it.lose_store(clock.now());
  }
  store.remove(upstream_prefix + "a");
  const auto pass_on = [&] {
    chain[0].receive(clock.now(), chain[0].ask_store(store, false));
    for (const std::size_t n : {1U, 2U}) {
      auto& it = chain.at(n);
      it.receive(clock.now(), chain.at(n - 1).update_for(clock.now(), it.position()));
      it.expire(clock.now());
    }
  };
  pass_on();
  EXPECT_FALSE(chain[1].list.empty());
  EXPECT_FALSE(chain[2].list.empty());
  clock.advance(upstream_list::reregistration_grace);
  pass_on();
  EXPECT_TRUE(chain[1].list.empty());
  EXPECT_TRUE(chain[2].list.empty());
}

// ---------------------------------------------------------------------------------------------
// All histories of one upstream and two instances

enum class action {
  write,
  expire,
  watch_first,
  watch_second,
  read_first,
  read_second,
  update_first,
  update_second,
  lose_first,
  lose_second,
  wait,
};

constexpr std::array<const char*, 11> action_names{
    "write",          "expire",          "first watches",     "second watches",
    "first reads",    "second reads",    "first asks second", "second asks first",
    "first loses it", "second loses it", "grace periods end"};

/// The store with one upstream, and two instances that have it and do not reach the store.
template <class Instance> struct two_instances {
  manual_clock clock;
  model_store store;
  std::array<Instance, 2> all;

  two_instances() {
    write();
    for (auto& it : all) {
      it.receive(clock.now(), it.ask_store(store, true));
      it.lose_store(clock.now());
    }
  }

  void write() {
    // A process that still has its entry writes only changes.
    const bool present = store.items.contains(upstream_prefix + "a");
    const std::string address =
        present && store.items[upstream_prefix + "a"].value[0] == '1' ? "2.0.0.1" : "1.0.0.1";
    store.put(upstream_prefix + "a", address + " 5 ready");
  }

  void step(action what) {
    const moment now = clock.now();
    const auto second = [&](action first) { return what == first ? 0U : 1U; };
    switch (what) {
    case action::write:
      write();
      break;
    case action::expire:
      store.remove(upstream_prefix + "a");
      break;
    case action::watch_first:
    case action::watch_second: {
      auto& it = all.at(second(action::watch_first));
      it.receive(now, it.ask_store(store, false));
      break;
    }
    case action::read_first:
    case action::read_second: {
      auto& it = all.at(second(action::read_first));
      it.receive(now, it.ask_store(store, true));
      break;
    }
    case action::update_first:
    case action::update_second: {
      const auto n = second(action::update_first);
      all.at(n).receive(now, all.at(1 - n).update_for(now, all.at(n).position()));
      break;
    }
    case action::lose_first:
    case action::lose_second:
      all.at(second(action::lose_first)).lose_store(now);
      break;
    case action::wait:
      clock.advance(upstream_list::reregistration_grace + milliseconds{500});
      for (auto& it : all) {
        it.expire(clock.now());
      }
      break;
    }
  }

  /// Whether both instances list what the store holds once they follow it again and the grace
  /// periods are over. Works on a copy.
  [[nodiscard]] bool agree_in_the_end() const {
    two_instances copy = *this;
    for (const auto what : {action::watch_first, action::watch_second, action::wait}) {
      copy.step(what);
    }
    return std::all_of(copy.all.begin(), copy.all.end(),
                       [&](const auto& it) { return lists_content_of(it.list, copy.store); });
  }

  /// Describes everything that later steps depend on.
  [[nodiscard]] std::string description() const {
    std::string text;
    const auto add = [&](const auto& n) { text += std::to_string(n) + ','; };
    for (const auto& it : store.history) {
      text += it.value ? it.value->substr(0, 1) : "-";
    }
    for (const auto& it : all) {
      text += '|';
      add(it.position().value);
      const moment now = clock.now();
      for (std::int64_t base = 0; base <= store.number; ++base) {
        const auto update = it.update_for(now, revision{base}).update;
        add(update.base.value);
        for (const auto& [key, value] : update.written) {
          add(value.modified.value);
        }
        for (const auto& [key, at] : update.removed) {
          add(-at.value);
        }
      }
      add(it.list.all().empty() ? 0 : it.list.all().front()->address[0]);
      add(it.list.final_through().value);
      add(it.list.in_grace(now) ? 1 : 0);
      add(it.list.in_grace(now.after(upstream_list::reregistration_grace)) ? 1 : 0);
      upstream_list copy = it.list;
      copy.set_store_reachable(now, true);
      add(copy.expire(now.after(upstream_list::reregistration_grace)).size());
    }
    return text;
  }
};

template <class Instance> struct history_search {
  std::size_t states = 0;
  std::vector<action> failing; ///< The shortest history after which the instances disagree.
};

template <class Instance>
std::string
describe(const two_instances<Instance>& it, const std::vector<action>& history) {
  if constexpr (std::is_same_v<Instance, replica_instance>) {
    return it.description();
  } else {
    std::string text;
    for (const auto what : history) {
      text += static_cast<char>('a' + static_cast<int>(what));
    }
    return text;
  }
}

/// Goes through all histories of up to `depth` actions, shorter ones first.
template <class Instance>
history_search<Instance>
search(std::size_t depth, const std::vector<action>& actions) {
  struct node {
    two_instances<Instance> state;
    std::vector<action> history;
  };

  history_search<Instance> found;
  std::unordered_set<std::string> seen;
  std::vector<node> level(1);
  for (std::size_t length = 0; length <= depth; ++length) {
    std::vector<node> next;
    for (const auto& it : level) {
      ++found.states;
      if (!it.state.agree_in_the_end()) {
        found.failing = it.history;
        return found;
      }
      for (const auto what : actions) {
        if (length == depth) {
          break;
        }
        node after = it;
        after.history.push_back(what);
        after.state.step(what);
        if (seen.insert(describe(after.state, after.history)).second) {
          next.push_back(std::move(after));
        }
      }
    }
    level = std::move(next);
  }
  return found;
}

std::string
text_of(const std::vector<action>& history) {
  std::string text;
  for (const auto what : history) {
    text +=
        (text.empty() ? "" : ", ") + std::string{action_names.at(static_cast<std::size_t>(what))};
  }
  return text;
}

std::vector<action>
all_actions() {
  std::vector<action> all;
  for (std::size_t n = 0; n < action_names.size(); ++n) {
    all.push_back(static_cast<action>(n));
  }
  return all;
}

// After an outage, an instance that follows the store through a peer loses an upstream for good.
TEST(store_replica, two_instances_agree_after_every_short_history) {
  constexpr std::size_t depth = 10;
  const auto found = search<replica_instance>(depth, all_actions());
  std::cout << "histories of up to " << depth << " actions: " << found.states << " states\n";
  EXPECT_TRUE(found.failing.empty()) << text_of(found.failing);
}

// The search must be able to find the fault that it is for.
TEST(store_replica, the_search_finds_the_fault_of_updates_that_follow_the_list) {
  const auto found =
      search<list_copy_instance>(6, {action::write, action::expire, action::watch_first,
                                     action::watch_second, action::update_first, action::wait});
  std::cout << "found after " << found.states << " histories: " << text_of(found.failing) << '\n';
  EXPECT_FALSE(found.failing.empty());
}

// ---------------------------------------------------------------------------------------------
// Random histories

constexpr int upstream_count = 4;

/// Three to five instances; messages between them and from the store are late, doubled, lost and
/// out of order.
class random_fleet {
 public:
  explicit random_fleet(std::size_t count) : instances_(count) {
    for (int n = 0; n < upstream_count; ++n) {
      start(n);
    }
    copies_.push_back(store_);
    for (auto& it : instances_) {
      it.self.receive(clock_.now(), it.self.ask_store(store_, true));
    }
  }

  void step(int kind, std::size_t n) {
    member& it = instances_[n % instances_.size()];
    member& other = instances_[n / 7 % instances_.size()];
    const int upstream = static_cast<int>(n / 3 % upstream_count);
    process& its = processes_.at(static_cast<std::size_t>(upstream));
    const moment now = clock_.now();
    switch (kind) {
    case 0: // Expires, though the process may run.
      store_.remove(key(upstream));
      break;
    case 1: // Registers, as before if it was there before.
      write(upstream);
      break;
    case 2:
      its.leaving = true;
      write(upstream);
      break;
    case 3:
      store_.remove(key(upstream));
      start(upstream);
      break;
    case 4:
    case 5:
      if (it.served) {
        it.replies.push_back(it.self.ask_store(store_, kind == 5));
      }
      break;
    case 6:
      deliver(it.replies, n, [&](const auto& reply) { it.self.receive(now, reply); });
      break;
    case 7:
      it.messages.push_back(other.self.update_for(now, it.self.position()));
      break;
    case 8:
      deliver(it.messages, n, [&](const auto& message) { it.self.receive(now, message); });
      break;
    case 9: // The store refuses some, or all.
      for (auto& each : instances_) {
        if (&each == &it || n % 3 == 0) {
          each.served = false;
          each.self.lose_store(now);
        }
      }
      break;
    case 10:
      it.served = true;
      break;
    case 11:
      it = {};
      break;
    case 12:
      copies_.push_back(store_);
      break;
    case 13:
      if (n % 4 == 0) {
        highest_ = std::max(highest_, store_.number);
        const model_store copy = copies_[n % copies_.size()];
        store_.restore(copy);
        std::erase_if(copies_, [&](const auto& made) { return made.number > store_.number; });
      }
      break;
    default:
      clock_.advance(milliseconds{static_cast<std::int64_t>(n % 1'500)});
      for (auto& each : instances_) {
        each.self.expire(clock_.now());
      }
    }
  }

  /// The disturbance ends: processes register again, and all instances are served.
  void settle() {
    // What was written in eras that are gone is written again.
    store_.number = std::max(store_.number, highest_);
    for (int n = 0; n < upstream_count; ++n) {
      write(n);
    }
    for (auto& it : instances_) {
      it.served = true;
      it.self.receive(clock_.now(), it.self.ask_store(store_, false));
      // Late messages come in any case.
      for (const auto& message : it.messages) {
        it.self.receive(clock_.now(), message);
      }
    }
    for (int n = 0; n < 2; ++n) {
      for (auto& it : instances_) {
        it.self.receive(clock_.now(), it.self.ask_store(store_, false));
      }
      clock_.advance(upstream_list::reregistration_grace + milliseconds{1});
      for (auto& it : instances_) {
        it.self.expire(clock_.now());
      }
    }
  }

  [[nodiscard]] bool all_agree() const {
    return std::all_of(instances_.begin(), instances_.end(), [&](const auto& it) {
      return lists_content_of(it.self.list, store_) &&
             it.self.replica.content_hash() == instances_.front().self.replica.content_hash();
    });
  }

  /// Whether no two instances hold different content at one position.
  [[nodiscard]] bool none_contradict() const {
    for (const auto& one : instances_) {
      for (const auto& other : instances_) {
        const store_replica& replica = other.self.replica;
        if (replica.settled() &&
            one.self.replica.contradicts(replica.position(), replica.content_hash())) {
          return false;
        }
      }
    }
    return true;
  }

 private:
  struct process {
    std::int64_t started_ms = 0;
    bool leaving = false;
  };

  struct member {
    replica_instance self;
    bool served = true;
    std::deque<store_reply> replies;
    std::deque<peer_message> messages;
  };

  /// Delivers one of the messages, which may be lost first or come once more later.
  template <class Queue, class Receive>
  static void deliver(Queue& queue, std::size_t n, const Receive& receive) {
    if (queue.empty()) {
      return;
    }
    const auto chosen = queue.begin() + static_cast<std::ptrdiff_t>(n % queue.size());
    const auto message = *chosen;
    if (n % 5 != 0) {
      queue.erase(chosen);
    }
    if (n % 11 != 0) {
      receive(message);
    }
  }

  static std::string key(int n) { return upstream_prefix + std::to_string(n); }

  void start(int n) {
    processes_.at(static_cast<std::size_t>(n)) = {++last_start_, false};
    write(n);
  }

  void write(int n) {
    const process& it = processes_.at(static_cast<std::size_t>(n));
    store_.put(key(n),
               "10.0.0.1 " + std::to_string(it.started_ms) + (it.leaving ? " leaving" : " ready"));
  }

  manual_clock clock_;
  model_store store_;
  std::vector<model_store> copies_;
  std::array<process, upstream_count> processes_;
  std::vector<member> instances_;
  std::int64_t last_start_ = 0;
  std::int64_t highest_ = 0; ///< Highest revision number ever given out.
};

// Whatever is late, doubled, lost or refused, an instance must not miss an upstream for good.
RC_GTEST_PROP(store_replica, all_instances_agree_with_the_store_in_the_end, ()) {
  random_fleet fleet{static_cast<std::size_t>(*rc::gen::inRange(3, 6))};
  const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
      150, rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange<std::size_t>(0, 9'000)));
  for (const auto& [kind, n] : steps) {
    fleet.step(kind, n);
    RC_ASSERT(fleet.none_contradict());
  }
  fleet.settle();
  RC_ASSERT(fleet.all_agree());
}

} // namespace
} // namespace nutmegspur::testing
