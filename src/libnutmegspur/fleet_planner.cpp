/// \file fleet_planner.cpp
/// Decides when to change the roles of engines and when to order upstreams.

#include <nutmegspur/fleet_planner.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

namespace {

constexpr double micros_per_second = 1e6;
/// A request is prefill-heavy if it has more prompt tokens per output token than this.
constexpr double prefill_heavy_ratio = 16;
/// Maximum share of the time until a deadline that is planned for decoding.
constexpr double max_decode_share = 0.8;
constexpr double cached_share_decay = 0.95;
constexpr std::uint32_t percent = 100;

double
to_seconds(duration span) {
  return static_cast<double>(span.count()) / micros_per_second;
}

} // namespace

upstream_counts
split_by_kind(std::uint32_t needed, std::uint32_t reclaimable_percent) {
  const auto reclaimable = needed * std::min(reclaimable_percent, percent) / percent;
  return {needed - reclaimable, reclaimable};
}

fleet_planner::fleet_planner(fleet_options options, fleet_hooks hooks,
                             const upstream_map& upstreams, const authority_source& source)
    : options_(std::move(options)), hooks_(std::move(hooks)), upstreams_(upstreams),
      source_(source) {}

void
fleet_planner::step(const moment& now, const event& ev, action_list& out) {
  if (const auto* arrived = std::get_if<request_arrived>(&ev)) {
    decay(now);
    on_arrived(now, *arrived);
  } else if (const auto* ended = std::get_if<attempt_ended>(&ev)) {
    on_ended(*ended);
  } else if (std::holds_alternative<tick>(ev) && now.boot >= next_plan_) {
    next_plan_ = now.boot + options_.period;
    decay(now);
    if (!source_.current(now.boot)) {
      return;
    }
    // Over less than the time constant, the average would follow single requests.
    if (averaging_since_ && now.boot - *averaging_since_ >= options_.mix_time_constant) {
      plan_roles(now, out);
      plan_upstreams(now, out);
    }
  }
}

void
fleet_planner::on_arrived(const moment& now, const request_arrived& it) {
  const auto* call = std::get_if<inference_call>(&it.call);
  if (call == nullptr) {
    return;
  }
  const double output = std::max(1U, call->max_tokens);
  auto& sums = call->prompt_tokens > prefill_heavy_ratio * output ? prefill_heavy_ : output_heavy_;
  sums.requests += 1;
  sums.prefill_tokens += call->prompt_tokens;
  sums.output_tokens += output;
  sums.deadline_seconds += std::max(0.0, to_seconds(it.deadline - now.boot));
}

void
fleet_planner::on_ended(const attempt_ended& it) {
  if (it.usage.prompt_tokens == 0) {
    return;
  }
  const double share = static_cast<double>(it.usage.cached_tokens) / it.usage.prompt_tokens;
  cached_share_ =
      cached_share_decay * cached_share_ + (1 - cached_share_decay) * std::min(1.0, share);
}

void
fleet_planner::decay(const moment& now) {
  if (!averaging_since_) {
    averaging_since_ = now.boot;
    last_decay_ = now.boot;
  }
  const double factor =
      std::exp(-to_seconds(now.boot - last_decay_) / to_seconds(options_.mix_time_constant));
  last_decay_ = now.boot;
  for (auto* it : {&prefill_heavy_, &output_heavy_}) {
    it->requests *= factor;
    it->prefill_tokens *= factor;
    it->output_tokens *= factor;
    it->deadline_seconds *= factor;
  }
}

std::vector<traffic_class>
fleet_planner::traffic_mix() const {
  const double instances = hooks_.instances ? std::max(1U, hooks_.instances()) : 1U;
  const double time_constant = to_seconds(options_.mix_time_constant);
  std::vector<traffic_class> classes;
  for (const auto* it : {&prefill_heavy_, &output_heavy_}) {
    traffic_class traffic;
    if (it->requests > 0) {
      traffic.requests_per_second = instances * it->requests / time_constant;
      traffic.prefill_tokens = (1 - cached_share_) * it->prefill_tokens / it->requests;
      traffic.output_tokens = it->output_tokens / it->requests;
      traffic.max_token_seconds = max_decode_share * it->deadline_seconds / it->output_tokens;
    }
    classes.push_back(traffic);
  }
  return classes;
}

// ---------------------------------------------------------------------------------------------
// Roles

std::vector<const upstream_state*>
fleet_planner::engines() const {
  std::vector<const upstream_state*> found;
  for (const auto& [id, it] : upstreams_) {
    if (it.listed.kind == instance_kind::engine && it.listed.zone == options_.zone && !it.leaving &&
        !it.drained) {
      found.push_back(&it);
    }
  }
  return found;
}

void
fleet_planner::plan_roles(const moment& now, action_list& out) {
  role_counts roles{};
  std::uint32_t changes_in_progress = 0;
  const auto candidates = engines();
  for (const auto* it : candidates) {
    roles[role_index(it->state.role)] += 1;
    changes_in_progress += it->changing ? 1 : 0;
  }
  const bool too_soon = last_change_ && now.boot - *last_change_ < options_.min_change_interval;
  if (changes_in_progress >= options_.max_changes || too_soon || candidates.size() < 2) {
    return;
  }
  const auto change = best_change(roles);
  if (!change) {
    return;
  }
  const auto* engine = least_loaded_engine(change->from);
  if (engine == nullptr) {
    return;
  }
  auto wanted = engine->state;
  wanted.role = change->to;
  last_change_ = now.boot;
  hooks_.set_wanted_state(now, upstream_id{engine->listed.name}, wanted, out);
}

std::optional<fleet_planner::role_change>
fleet_planner::best_change(const role_counts& roles) const {
  const auto classes = traffic_mix();
  const double share_now = served_share(options_.shape, classes, roles);
  if (share_now <= 0 || share_now * options_.min_utilization > 1) {
    return std::nullopt;
  }
  std::optional<role_change> best;
  double best_share = share_now * (1 + options_.hysteresis);
  double count = 0;
  for (const auto n : roles) {
    count += n;
  }
  // Cost of one change, as a share of the zone's engine time within the horizon.
  const double cost = to_seconds(options_.change_cost) / (to_seconds(options_.horizon) * count);
  for (const auto& from : enum_names<engine_role>::table) {
    for (const auto& to : enum_names<engine_role>::table) {
      if (from.value == to.value || roles[role_index(from.value)] == 0) {
        continue;
      }
      auto changed = roles;
      changed[role_index(from.value)] -= 1;
      changed[role_index(to.value)] += 1;
      const double share = served_share(options_.shape, classes, changed) - cost * share_now;
      if (share > best_share) {
        best_share = share;
        best = role_change{from.value, to.value};
      }
    }
  }
  return best;
}

const upstream_state*
fleet_planner::least_loaded_engine(engine_role role) const {
  const upstream_state* best = nullptr;
  for (const auto* it : engines()) {
    if (it->state.role == role && !it->changing &&
        (best == nullptr || it->load.running < best->load.running)) {
      best = it;
    }
  }
  return best;
}

// ---------------------------------------------------------------------------------------------
// Upstreams

std::uint32_t
fleet_planner::needed_upstreams() const {
  double busy = 0;
  for (const auto& traffic : traffic_mix()) {
    busy += demand_of(options_.shape, traffic).engines;
  }
  const auto needed = static_cast<std::uint32_t>(std::ceil(busy / options_.target_utilization));
  return std::clamp(needed, options_.min_upstreams, options_.max_upstreams);
}

void
fleet_planner::plan_upstreams(const moment& now, action_list& out) {
  if (!hooks_.set_wanted_upstreams) {
    return;
  }
  const auto needed = needed_upstreams();
  if (target_upstreams_ == 0 || needed > target_upstreams_) {
    target_upstreams_ = needed;
    shrink_since_.reset();
  } else if (needed == target_upstreams_) {
    shrink_since_.reset();
    return;
  } else {
    if (!shrink_since_) {
      shrink_since_ = now.boot;
    }
    if (now.boot - *shrink_since_ < options_.shrink_delay) {
      return;
    }
    target_upstreams_ -= 1;
    shrink_since_ = now.boot;
  }
  const auto counts = split_by_kind(target_upstreams_, options_.reclaimable_percent);
  hooks_.set_wanted_upstreams(now, "on_demand", counts.on_demand, out);
  hooks_.set_wanted_upstreams(now, "reclaimable", counts.reclaimable, out);
}

} // namespace nutmegspur
