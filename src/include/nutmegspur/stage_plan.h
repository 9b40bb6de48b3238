/// \file stage_plan.h
/// Decides which engines of an availability zone prefill and which decode.
///
/// An engine decodes only what an engine of its own software version has prefilled, and a stream is
/// resumed only at its version, so each version's engines in a zone are divided for themselves.
///
/// A stage change takes an engine out of service for seconds, so the plan changes as few engines as
/// possible. After an order it leaves the engine alone for a while, because an order without a
/// reply may still be executed.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/upstream_list.h>

#include <map>
#include <vector>

namespace nutmegspur {

/// An order to one engine to change its stage.
struct stage_change {
  upstream_id upstream;
  engine_stage target = engine_stage::decode;
};

/// Plans the stages of the engines of any number of services, one service per call of `step`.
class stage_plan {
 public:
  /// Minimum time between two orders to an engine: the longest time for which an order without a
  /// reply may still be executed, plus a margin.
  static constexpr milliseconds order_cooldown{15'000};

  /// `prefill_share`: share of a zone's engines that only prefill; 0 for none.
  explicit stage_plan(double prefill_share) : prefill_share_(prefill_share) {}

  /// Target number of prefill engines among `engines` of a zone. With two or more engines and a
  /// share above 0, at least one engine prefills and at least one decodes.
  [[nodiscard]] std::size_t target_prefill_engines(std::size_t engines) const;
  /// Returns the changes to order now in a service with `engines`, none of which may be leaving.
  /// While there are several versions, a version whose engines are all in one zone keeps two that
  /// decode, if it has them: streams that one breaks off are resumed at the other.
  std::vector<stage_change> step(const moment& now,
                                 const std::vector<const listed_upstream*>& engines);

  /// Forgets the last order to engine `id`.
  void forget(const upstream_id& id) { ordered_.erase(id); }

 private:
  using group = std::vector<const listed_upstream*>;

  void step_group(const moment& now, const group& engines, std::size_t least_decode_engines,
                  std::vector<stage_change>& changes);

  struct order {
    time_point at{};
    engine_stage target = engine_stage::decode;
  };

  double prefill_share_;
  std::map<upstream_id, order> ordered_;
};

} // namespace nutmegspur
