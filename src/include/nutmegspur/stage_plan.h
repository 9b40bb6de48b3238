/// \file stage_plan.h
/// Which engines of an availability zone only read prompts, and which make tokens.
///
/// A change costs an engine seconds, so the plan changes as few as it can and leaves an engine
/// alone for a while after an order: one without an answer may still be carried out.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/upstream_list.h>

#include <map>
#include <vector>

namespace nutmegspur {

/// An order to one engine.
struct stage_change {
  upstream_id upstream;
  engine_stage target = engine_stage::decode;
};

/// Plans the stages of one zone after the other.
class stage_plan {
 public:
  /// An engine that was ordered gets no other order for so long: the longest time that an order
  /// without an answer may still be under way, and a margin.
  static constexpr milliseconds order_cooldown{15'000};

  /// `prefill_share`: part of a zone's engines that only read; 0 for none.
  explicit stage_plan(double prefill_share) : prefill_share_(prefill_share) {}

  /// Readers wanted among `engines`; with two or more there is at least one of each.
  [[nodiscard]] std::size_t target_prefill_engines(std::size_t engines) const;
  /// Changes to be ordered now in a zone with `engines`, none of them leaving.
  std::vector<stage_change> step(const moment& now,
                                 const std::vector<const listed_upstream*>& engines);

  /// The authority was lost; what was ordered stays in mind.
  void forget(const upstream_id& id) { ordered_.erase(id); }

 private:
  struct order {
    time_point at{};
    engine_stage target = engine_stage::decode;
  };

  double prefill_share_;
  std::map<upstream_id, order> ordered_;
};

} // namespace nutmegspur
