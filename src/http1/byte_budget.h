/// \file byte_budget.h
/// Connects the budget of held bytes (nutmegspur/held_bytes.h) to those who hold them: they stop
/// reading, read on and end as it says.
#pragma once

#include "event_loop.h"

#include <nutmegspur/held_bytes.h>

#include <functional>
#include <string>
#include <unordered_map>

namespace nutmegspur::http1 {

class byte_budget;

/// What the budget tells a holder.
struct hold_events {
  std::function<void(bool)> set_reading; ///< May be called within `byte_hold::update`.
  /// The holder must release everything. Called in a later iteration of the loop.
  std::function<void(bool at_fault)> end;
};

/// The bytes that one owner holds; released when it is destroyed.
class byte_hold {
 public:
  byte_hold() = default;
  byte_hold(const byte_hold&) = delete;
  byte_hold& operator=(const byte_hold&) = delete;

  ~byte_hold() { release(); }

  /// To be called before `update`. `source` is whoever sends the bytes, or leaves them unread.
  void start(byte_budget& budget, std::string source, hold_events events);
  /// The owner holds `bytes` now.
  void update(std::size_t bytes, bool at_fault);
  /// The owner reads no more.
  void set_complete();
  /// The source has sent more than any sound one does.
  void blame();
  void release();

  /// Whether the owner ever had to wait.
  [[nodiscard]] bool waited() const { return waited_; }

 private:
  friend class byte_budget;

  byte_budget* budget_ = nullptr;
  std::string source_;
  hold_events events_;
  holder_id id_ = 0; ///< 0 while it holds too little to be counted.
  bool waited_ = false;
};

class byte_budget {
 public:
  explicit byte_budget(event_loop& loop) : loop_(loop) {}

  /// Bytes of all holders together.
  [[nodiscard]] std::size_t total() const { return held_.total(); }

  /// A holder of no more is not counted.
  [[nodiscard]] std::size_t unheeded() const { return held_.limits().unheeded; }

 private:
  friend class byte_hold;

  void apply_changes();

  event_loop& loop_;
  held_bytes held_;
  std::unordered_map<holder_id, byte_hold*> owners_;
};

} // namespace nutmegspur::http1
