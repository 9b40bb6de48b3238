// Random histories of a store that is restored from older copies, with upstreams that register,
// leave and start again, seen by an instance whose calls are answered late and by a peer that
// follows it. Guards against dead or leaving upstreams that serve again, and against live ones that
// never do.
// labels: P14
#include "testing/stored_upstream.h"

#include <nutmegspur/store_era.h>
#include <nutmegspur/upstream_derivation.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <tuple>

namespace nutmegspur {
namespace {

using testing::stored_upstream;
using testing::upstream_prefix;

constexpr int upstream_count = 4;

/// The store's own view: revision numbers go back with each restore.
struct model_store {
  struct item {
    listed_upstream entry;
    std::int64_t number = 0;
  };

  std::int64_t era = 1;
  std::int64_t number = 10;
  std::map<upstream_id, item> items;

  void write(const listed_upstream& it) { items[it.id] = {it, ++number}; }

  void remove(const upstream_id& id) {
    if (items.erase(id) > 0) {
      ++number;
    }
  }
};

/// A process of an upstream, which knows about itself what the store may have lost.
struct model_process {
  listed_upstream entry;
  bool running = true;
};

/// The reply to a read of everything, on its way.
struct read_reply {
  std::optional<std::int64_t> sent_in; ///< Era that the caller knew.
  model_store store;
};

/// An instance that reads the store.
struct reader {
  manual_clock clock;
  store_era era;
  store_replica replica;
  upstream_list list;
  upstream_derivation derivation{upstream_prefix, testing::parse_stored_upstream};
  std::deque<read_reply> replies;
  std::set<std::pair<upstream_id, std::int64_t>> seen; ///< Processes listed, by their start.
  std::set<std::pair<upstream_id, std::int64_t>> left; ///< Processes seen leaving.

  void send_read(const model_store& store) { replies.push_back({era.known(), store}); }

  void receive(std::size_t n) {
    const read_reply reply = replies[n];
    replies.erase(replies.begin() + static_cast<std::ptrdiff_t>(n));
    const auto verdict = era.on_reply(reply.sent_in, reply.store.era);
    if (verdict == store_era::verdict::restored) {
      list.on_store_restored(clock.now());
    }
    if (verdict != store_era::verdict::usable) {
      return;
    }
    const revision read_at = store_position(era.current(), reply.store.number);
    std::vector<kv_pair> pairs;
    std::set<std::string> present;
    for (const auto& [id, it] : reply.store.items) {
      pairs.push_back({upstream_prefix + id.value,
                       stored_upstream(it.entry),
                       {},
                       store_position(era.current(), it.number)});
      present.insert(pairs.back().key);
    }
    replica.apply_page(pairs, read_at);
    replica.apply_absence(upstream_prefix, present, read_at);
    replica.finish_read(read_at);
    derivation.step(clock.now(), replica, list);
    for (const auto& [id, it] : reply.store.items) {
      note(id);
    }
  }

  void note(const upstream_id& id) {
    const auto* it = list.find(id);
    if (it != nullptr) {
      seen.emplace(id, it->started_ms);
    }
    if (it != nullptr && it->leaving) {
      left.emplace(id, it->started_ms);
    }
  }
};

upstream_id
name_of(int n) {
  return upstream_id{"up-" + std::to_string(n)};
}

listed_upstream
process(int n, std::int64_t started_ms) {
  listed_upstream it;
  it.id = name_of(n);
  it.service = service_id{"s"};
  it.address = "10.0.0." + std::to_string(n + 1);
  it.port = 80;
  it.started_ms = started_ms;
  return it;
}

class history {
 public:
  history() {
    for (int n = 0; n < upstream_count; ++n) {
      processes_.push_back({process(n, 100 + n)});
      store_.write(processes_.back().entry);
    }
    copies_.push_back(store_);
  }

  /// One event, chosen by `kind`; `n` chooses among the things that it may happen to.
  void step(int kind, std::size_t n) {
    model_process& it = processes_[n % processes_.size()];
    switch (kind) {
    case 0: // A heartbeat.
      write(it);
      break;
    case 1:
      it.entry.leaving = true;
      write(it);
      break;
    case 2: // Ends, its entry lapses.
      it.running = false;
      ended_.emplace(it.entry.id, it.entry.started_ms);
      store_.remove(it.entry.id);
      break;
    case 3: // The next process of the id.
      if (!it.running) {
        it = {process(static_cast<int>(n % processes_.size()), ++last_start_)};
        write(it);
      }
      break;
    case 4:
      copies_.push_back(store_);
      break;
    case 5:
      restore(copies_[n % copies_.size()]);
      break;
    case 6:
      reader_.send_read(store_);
      break;
    case 7:
      if (!reader_.replies.empty()) {
        reader_.receive(n % reader_.replies.size());
      }
      break;
    default:
      reader_.clock.advance(milliseconds{static_cast<std::int64_t>(n % 1'500)});
      reader_.list.expire(reader_.clock.now());
    }
  }

  /// Whether no process that the reader saw leaving may get requests.
  [[nodiscard]] bool keeps_out_what_left() const {
    return std::none_of(reader_.left.begin(), reader_.left.end(), [&](const auto& row) {
      const auto* it = reader_.list.usable(row.first);
      return it != nullptr && it->started_ms == row.second;
    });
  }

  /// Whether no process that has ended, and that the reader has dropped, is listed again.
  [[nodiscard]] bool keeps_out_what_ended() {
    for (const auto& [id, started_ms] : ended_) {
      const auto* it = reader_.list.find(id);
      const bool listed = it != nullptr && it->started_ms == started_ms;
      if (listed && dropped_.contains({id, started_ms})) {
        return false;
      }
      if (!listed && reader_.seen.contains({id, started_ms})) {
        dropped_.emplace(id, started_ms);
      }
    }
    return true;
  }

  /// Whether the reader sees at once, with revision numbers that were given out before, that
  /// processes leave after a restore of the first copy.
  [[nodiscard]] bool sees_changes_after_restore() {
    while (!reader_.replies.empty()) {
      reader_.receive(0);
    }
    restore(copies_.front());
    reader_.send_read(store_); // Its reply tells the new era only.
    reader_.receive(0);
    for (auto& it : processes_) {
      it.entry.leaving = true;
      write(it);
    }
    reader_.send_read(store_);
    reader_.receive(0);
    return std::all_of(processes_.begin(), processes_.end(), [&](const auto& it) {
      const auto* listed = reader_.list.usable(it.entry.id);
      return !it.running || listed == nullptr || listed->started_ms != it.entry.started_ms;
    });
  }

  /// Lets everything settle: all that run write until their revisions exceed all former ones, and
  /// the reader reads once the grace period is over.
  void settle() {
    while (!reader_.replies.empty()) {
      reader_.receive(0);
    }
    const std::int64_t highest = highest_;
    do {
      for (auto& it : processes_) {
        write(it);
        if (!it.running) {
          store_.remove(it.entry.id); // It lapses.
        }
      }
      store_.number++;
    } while (store_.number <= highest + upstream_count);
    for (int n = 0; n < 2; ++n) {
      reader_.send_read(store_);
      reader_.receive(0);
      reader_.clock.advance(upstream_list::reregistration_grace + milliseconds{1});
      reader_.list.expire(reader_.clock.now());
      store_.number++;
    }
    reader_.send_read(store_);
    reader_.receive(0);
  }

  /// Whether the reader's list is what the processes are.
  [[nodiscard]] bool reader_agrees() const {
    return std::all_of(processes_.begin(), processes_.end(), [&](const auto& it) {
      const auto* listed = reader_.list.find(it.entry.id);
      return it.running ? listed != nullptr && *listed == it.entry : listed == nullptr;
    });
  }

 private:
  void write(const model_process& it) {
    if (it.running) {
      store_.write(it.entry);
      highest_ = std::max(highest_, store_.number);
    }
  }

  void restore(const model_store& copy) {
    highest_ = std::max(highest_, store_.number);
    const std::int64_t era = store_.era + 1;
    store_ = copy;
    store_.era = era;
    // A copy of the future of this history does not exist any more.
    std::erase_if(copies_, [&](const auto& it) { return it.number > store_.number; });
  }

  model_store store_;
  std::vector<model_store> copies_;
  std::vector<model_process> processes_;
  reader reader_;
  std::int64_t last_start_ = 1'000;
  std::set<std::pair<upstream_id, std::int64_t>> ended_;
  std::set<std::pair<upstream_id, std::int64_t>> dropped_; ///< Of these, by the reader.
  std::int64_t highest_ = 0; ///< Highest revision number ever given out.
};

/// Arguments of `history::step`.
std::vector<std::pair<int, std::size_t>>
random_steps(std::size_t count) {
  return *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
      count, rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange<std::size_t>(0, 9'000)));
}

// What an instance believes from a past that is gone sends requests to processes that left.
RC_GTEST_PROP(store_history, a_process_that_left_or_ended_gets_nothing_again, ()) {
  history all;
  for (const auto& [kind, n] : random_steps(120)) {
    all.step(kind, n);
    RC_ASSERT(all.keeps_out_what_left());
    RC_ASSERT(all.keeps_out_what_ended());
  }
}

// Revision numbers that are given out again hid what happened after a restore.
RC_GTEST_PROP(store_history, changes_after_a_restore_are_seen_at_once, ()) {
  history all;
  for (const auto& [kind, n] : random_steps(60)) {
    all.step(kind, n);
  }
  RC_ASSERT(all.sees_changes_after_restore());
}

// A list that took a revision of another era for a later one misses a live upstream for ever.
RC_GTEST_PROP(store_history, the_list_is_right_once_everything_has_settled, ()) {
  history all;
  for (const auto& [kind, n] : random_steps(80)) {
    all.step(kind, n);
  }
  all.settle();
  RC_ASSERT(all.reader_agrees());
}

} // namespace
} // namespace nutmegspur
