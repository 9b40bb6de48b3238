/// \file fake_engine.h
/// A fake of an engine's order interface: takes orders, changes for a while, reports with a lag.
///
/// It records every order that reached it. It checks fencing numbers and sequences, or ignores
/// both.
#pragma once

#include <nutmegspur/decision.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegspur::testing {

/// An order that reached an engine, whether or not it took it.
struct received_order {
  time_point at;
  fence authority;
  std::uint64_t sequence = 0;
  engine_state wanted;
  bool accepted = false;
  bool was_changing = false;       ///< It arrived while another change was under way.
  std::uint32_t streams = 0;       ///< Live streams when it arrived.
  bool interrupts_streams = false; ///< It changes what streams depend on.
};

/// The fake engine.
class fake_engine {
 public:
  fake_engine(upstream_id id, bool checks_fence)
      : id_(std::move(id)), checks_fence_(checks_fence) {}

  /// How long a change takes.
  seconds change_duration{5};
  /// Streams under way, as a test sets them.
  std::uint32_t streams = 0;
  /// An engine that is down reports nothing and takes nothing.
  bool down = false;

  /// An order arrives. Empty answer: nothing comes back.
  std::optional<result<void>> receive(const moment& now, const engine_order& order);
  /// The process dies and starts anew with its first state, as after a crash.
  void restart(const moment& now);
  /// What a poll sees, or nothing.
  [[nodiscard]] std::optional<engine_report> report(const moment& now) const;

  [[nodiscard]] const upstream_id& id() const { return id_; }

  [[nodiscard]] const engine_state& state() const { return state_; }

  [[nodiscard]] const std::vector<received_order>& received() const { return received_; }

 private:
  upstream_id id_;
  bool checks_fence_;
  engine_state state_;
  fence highest_fence_;
  std::uint64_t last_sequence_ = 0;
  time_point changing_until_;
  std::vector<received_order> received_;
};

} // namespace nutmegspur::testing
