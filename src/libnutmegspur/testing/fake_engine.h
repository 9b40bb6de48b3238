/// \file fake_engine.h
/// A fake of an engine's order interface: receives orders, takes some time to change, and reports
/// its state.
///
/// It records every order that reached it. It checks fencing numbers and sequences, or ignores
/// both, as configured.
#pragma once

#include <nutmegspur/decision.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegspur::testing {

/// An order that reached an engine, whether or not the engine accepted it.
struct received_order {
  time_point at;
  fence authority;
  std::uint64_t sequence = 0;
  engine_state wanted;
  bool accepted = false;
  bool was_changing = false;       ///< It arrived while another change was in progress.
  std::uint32_t streams = 0;       ///< Live streams when it arrived.
  bool interrupts_streams = false; ///< It changes the role, model or version.
};

/// The fake engine.
class fake_engine {
 public:
  fake_engine(upstream_id id, bool checks_fence)
      : id_(std::move(id)), checks_fence_(checks_fence) {}

  /// Time that a change takes.
  seconds change_duration{5};
  /// Number of live streams, set by the test.
  std::uint32_t streams = 0;
  /// An engine that is down sends no reports and accepts no orders.
  bool down = false;

  /// Processes an order. An empty result means that no answer is sent.
  std::optional<result<void>> receive(const moment& now, const engine_order& order);
  /// Restarts the engine process with its initial state, as after a crash.
  void restart(const moment& now);
  /// The report that a poll gets; empty if the engine is down.
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
