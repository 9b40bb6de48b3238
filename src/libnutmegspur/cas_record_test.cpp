// Random histories of a store that executes writes late, and of writers that take turns. Guards
// against a late write that replaces a record which was acknowledged or read since.
// labels: P08
#include <nutmegspur/cas_record.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace nutmegspur {
namespace {

/// The store's one key, and writes that it has received and not executed yet.
struct model_store {
  std::int64_t number = 10;
  std::int64_t modified = 0;
  std::string value;
  std::deque<kv_txn> late;

  kv_txn_reply execute(const kv_txn& txn) {
    for (const auto& it : txn.conditions) {
      if (it.modified.value != modified) {
        return {};
      }
    }
    modified = ++number;
    value = txn.writes.front().value.value_or("");
    return {true, revision{modified}};
  }

  [[nodiscard]] kv_range_reply read() const {
    kv_range_reply reply;
    reply.store = revision{number};
    if (modified != 0) {
      reply.pairs.push_back({"key", value, revision{modified}, revision{modified}});
    }
    return reply;
  }
};

int
number_in(const std::string& value) {
  return value.empty() ? 0 : std::stoi(value);
}

platform_reply
lost_reply() {
  return {{duty::usage, 0},
          tl::unexpected(
              error{error_code::unavailable, step::platform_call, "store", "", outcome::unknown}),
          {}};
}

/// A writer whose values count up, and the greatest of them that it knows to be in the store.
struct model_writer {
  cas_record record{"key"};
  int sent = 0;
  int confirmed = 0;

  void read(const model_store& store) {
    const auto reply = store.read();
    const auto* value = record.on_read(reply);
    confirmed = std::max(confirmed, value == nullptr ? 0 : number_in(*value));
  }

  void write(model_store& store, int how) {
    const kv_txn txn = record.write(std::to_string(++sent), {});
    if (how == 0) { // Answered.
      const auto reply = store.execute(txn);
      if (record.on_written({{duty::usage, 0}, reply, {}}) == cas_result::applied) {
        confirmed = sent;
      }
      return;
    }
    if (how == 1) { // Executed, and the reply is lost.
      store.execute(txn);
    } else if (how == 2) { // Executed later.
      store.late.push_back(txn);
    }
    EXPECT_EQ(record.on_written(lost_reply()), cas_result::unknown);
  }
};

// Regression: a sealed usage window was reported, and the late write of an earlier seal replaced
// it; the window was reported again with other counts.
RC_GTEST_PROP(cas_record, a_value_that_was_confirmed_is_not_replaced_by_an_earlier_write, ()) {
  model_store store;
  model_writer writer;
  const auto n = *rc::gen::inRange(1, 40);
  for (int i = 0; i < n; ++i) {
    const auto action = *rc::gen::inRange(0, 6);
    if (action == 5 && !store.late.empty()) {
      store.execute(store.late.front());
      store.late.pop_front();
    } else if (!writer.record.known()) {
      writer.read(store);
    } else {
      writer.write(store, action % 4);
    }
    RC_ASSERT(number_in(store.value) >= writer.confirmed);
  }
}

// A record that another process left, or that a late write brought, must be read before it is
// replaced.
TEST(cas_record, a_write_that_finds_another_revision_writes_nothing) {
  model_store store;
  store.execute({{}, {{"key", "other", {}}}});
  cas_record record{"key"};
  EXPECT_FALSE(record.known());
  record.assume_absent();
  const auto reply = store.execute(record.write("own", {}));
  EXPECT_EQ(record.on_written({{duty::usage, 0}, reply, {}}), cas_result::replaced);
  EXPECT_EQ(store.value, "other");
  EXPECT_FALSE(record.known());
  const auto read = store.read();
  ASSERT_NE(record.on_read(read), nullptr);
  EXPECT_TRUE(store.execute(record.write("own", {})).applied);
}

} // namespace
} // namespace nutmegspur
