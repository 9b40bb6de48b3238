/// \file held_bytes.h
/// One budget for the bytes that an instance holds for others: responses that are not complete,
/// parts of events, bytes that a reader has not taken yet.
///
/// Reading waits before anything is thrown away. While the budget is pressed, the oldest holder of
/// each source reads on and the others wait, so that each of them gets its turn and one source does
/// not stop another. When the budget is nearly used up, the largest holder that is at fault ends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegspur {

/// The bounds of a budget, in bytes. Invariant: unheeded <= one <= share <= calm <= turns, and
/// turns + one <= budget. The rest of the budget is for holders that have just begun.
struct held_bytes_limits {
  std::size_t budget = 56UL * 1024 * 1024; ///< Of all holders together.
  std::size_t calm = 14UL * 1024 * 1024;   ///< Up to this sum all read.
  std::size_t turns =
      21UL * 1024 * 1024; ///< Up to this sum the oldest holder of each source reads.
  std::size_t share = 12UL * 1024 * 1024; ///< Of the holders of one source, beyond its oldest.
  std::size_t one = 9UL * 1024 * 1024;    ///< Of one holder: its owner ends it beyond that.
  /// A holder of no more is not counted and never waits: requests of ordinary size.
  std::size_t unheeded = 16UL * 1024;
};

/// What a holder has to do from now on.
enum class hold_order {
  read, ///< Read on.
  wait, ///< Stop reading until told otherwise.
  end,  ///< Release everything at once. The holder is closed.
};

using holder_id = std::uint64_t;

/// A holder's new order.
struct hold_change {
  holder_id holder = 0;
  hold_order order = hold_order::read;
  bool at_fault = false; ///< With `end`: not only for want of room.

  friend bool operator==(const hold_change&, const hold_change&) = default;
};

class held_bytes {
 public:
  explicit held_bytes(held_bytes_limits limits = {}) : limits_(limits) {}

  /// A new holder, which reads. `source` names whoever sends its bytes, or leaves them unread.
  holder_id open(std::string source);
  /// `holder` has `bytes` now. It is at fault from the first time that it is reported so.
  void set(holder_id holder, std::size_t bytes, bool at_fault);
  /// `holder` keeps what it has and reads no more: it needs no turn.
  void set_complete(holder_id holder);
  /// `holder` has released everything.
  void close(holder_id holder);
  /// A holder of `source` has sent more than any sound one does: all its holders are at fault, for
  /// as long as it has any.
  void blame(const std::string& source);

  /// Whether holders wait, or would if they held more.
  [[nodiscard]] bool pressed() const { return total_ > limits_.calm || waiting_ != 0; }

  /// The holders whose order has changed since the last call. From its return on `total()` is at
  /// most the budget.
  std::vector<hold_change> take_changes();

  /// Bytes of all holders together.
  [[nodiscard]] std::size_t total() const { return total_; }

  [[nodiscard]] std::size_t holders() const { return holders_.size(); }

  [[nodiscard]] const held_bytes_limits& limits() const { return limits_; }

 private:
  struct holder_state {
    std::string source;
    std::size_t bytes = 0;
    bool at_fault = false;
    bool complete = false;
    bool waits = false;
  };

  struct source_state {
    std::size_t bytes = 0;
    std::size_t holders = 0;
    bool at_fault = false;
  };

  [[nodiscard]] bool at_fault(const holder_state& it) const {
    return it.at_fault || sources_.at(it.source).at_fault;
  }

  /// Ends the largest holders that `may_end` accepts until no more than `down_to` bytes are held.
  template <class Predicate>
  void end_largest(Predicate may_end, std::size_t down_to, std::vector<hold_change>& changes);

  held_bytes_limits limits_;
  std::map<holder_id, holder_state> holders_; ///< The oldest first.
  std::map<std::string, source_state> sources_;
  std::size_t total_ = 0;
  std::size_t waiting_ = 0; ///< Holders that wait.
  holder_id last_id_ = 0;
};

} // namespace nutmegspur
