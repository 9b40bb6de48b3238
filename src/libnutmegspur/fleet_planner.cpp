/// \file fleet_planner.cpp
/// When to change roles and order upstreams.

#include <nutmegspur/fleet_planner.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

namespace {

constexpr double micros_per_second = 1e6;
/// A request is heavy in prefill if it has more prompt tokens for each output token than this.
constexpr double heavy_prefill_ratio = 16;
/// Share of the time until a deadline that decoding may take.
constexpr double decode_share = 0.8;
constexpr double cached_memory = 0.95;
constexpr std::uint32_t percent = 100;

double
seconds_of(duration span) {
  return static_cast<double>(span.count()) / micros_per_second;
}

} // namespace

upstream_wish
split_kinds(std::uint32_t needed, std::uint32_t reclaimable_percent) {
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
    fade(now);
    on_arrived(now, *arrived);
  } else if (const auto* ended = std::get_if<attempt_ended>(&ev)) {
    on_ended(*ended);
  } else if (std::holds_alternative<tick>(ev) && now.boot >= next_plan_) {
    next_plan_ = now.boot + options_.period;
    fade(now);
    if (!source_.current(now.boot)) {
      return;
    }
    // An average over less than its memory would follow single requests.
    if (first_seen_ && now.boot - *first_seen_ >= options_.mix_memory) {
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
  auto& sums = call->prompt_tokens > heavy_prefill_ratio * output ? heavy_prefill_ : heavy_output_;
  sums.requests += 1;
  sums.prefill_tokens += call->prompt_tokens;
  sums.output_tokens += output;
  sums.allowed_seconds += std::max(0.0, seconds_of(it.deadline - now.boot));
}

void
fleet_planner::on_ended(const attempt_ended& it) {
  if (it.usage.prompt_tokens == 0) {
    return;
  }
  const double share = static_cast<double>(it.usage.cached_tokens) / it.usage.prompt_tokens;
  cached_share_ = cached_memory * cached_share_ + (1 - cached_memory) * std::min(1.0, share);
}

void
fleet_planner::fade(const moment& now) {
  if (!first_seen_) {
    first_seen_ = now.boot;
    last_fade_ = now.boot;
  }
  const double factor =
      std::exp(-seconds_of(now.boot - last_fade_) / seconds_of(options_.mix_memory));
  last_fade_ = now.boot;
  for (auto* it : {&heavy_prefill_, &heavy_output_}) {
    it->requests *= factor;
    it->prefill_tokens *= factor;
    it->output_tokens *= factor;
    it->allowed_seconds *= factor;
  }
}

std::vector<traffic_class>
fleet_planner::mix() const {
  const double instances = hooks_.instances ? std::max(1U, hooks_.instances()) : 1U;
  const double memory = seconds_of(options_.mix_memory);
  std::vector<traffic_class> parts;
  for (const auto* it : {&heavy_prefill_, &heavy_output_}) {
    traffic_class part;
    if (it->requests > 0) {
      part.requests_per_second = instances * it->requests / memory;
      part.prefill_tokens = (1 - cached_share_) * it->prefill_tokens / it->requests;
      part.output_tokens = it->output_tokens / it->requests;
      part.max_token_seconds = decode_share * it->allowed_seconds / it->output_tokens;
    }
    parts.push_back(part);
  }
  return parts;
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
  std::uint32_t under_way = 0;
  const auto all = engines();
  for (const auto* it : all) {
    roles[role_index(it->state.role)] += 1;
    under_way += it->changing ? 1 : 0;
  }
  const bool too_soon = last_change_ && now.boot - *last_change_ < options_.change_spacing;
  if (under_way >= options_.max_changes || too_soon || all.size() < 2) {
    return;
  }
  const auto change = best_change(roles);
  if (!change) {
    return;
  }
  const auto* engine = pick_engine(change->from);
  if (engine == nullptr) {
    return;
  }
  auto wanted = engine->state;
  wanted.role = change->to;
  last_change_ = now.boot;
  hooks_.want(now, upstream_id{engine->listed.name}, wanted, out);
}

std::optional<fleet_planner::role_change>
fleet_planner::best_change(const role_counts& roles) const {
  const auto parts = mix();
  const double share_now = served_share(options_.shape, parts, roles);
  if (share_now <= 0 || share_now * options_.least_busy > 1) {
    return std::nullopt;
  }
  std::optional<role_change> best;
  double best_share = share_now * (1 + options_.hysteresis);
  double count = 0;
  for (const auto n : roles) {
    count += n;
  }
  // What one change costs, as a share of the zone's engine time within the horizon.
  const double cost = seconds_of(options_.change_cost) / (seconds_of(options_.horizon) * count);
  for (const auto& from : enum_names<engine_role>::table) {
    for (const auto& to : enum_names<engine_role>::table) {
      if (from.value == to.value || roles[role_index(from.value)] == 0) {
        continue;
      }
      auto changed = roles;
      changed[role_index(from.value)] -= 1;
      changed[role_index(to.value)] += 1;
      const double share = served_share(options_.shape, parts, changed) - cost * share_now;
      if (share > best_share) {
        best_share = share;
        best = role_change{from.value, to.value};
      }
    }
  }
  return best;
}

const upstream_state*
fleet_planner::pick_engine(engine_role role) const {
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
fleet_planner::wanted_engines() const {
  double busy = 0;
  for (const auto& part : mix()) {
    busy += demand_of(options_.shape, part).engines;
  }
  const auto needed = static_cast<std::uint32_t>(std::ceil(busy / options_.target_busy));
  return std::clamp(needed, options_.least_upstreams, options_.most_upstreams);
}

void
fleet_planner::plan_upstreams(const moment& now, action_list& out) {
  if (!hooks_.want_upstreams) {
    return;
  }
  const auto needed = wanted_engines();
  if (wanted_ == 0 || needed > wanted_) {
    wanted_ = needed;
    shrink_since_.reset();
  } else if (needed == wanted_) {
    shrink_since_.reset();
    return;
  } else {
    if (!shrink_since_) {
      shrink_since_ = now.boot;
    }
    if (now.boot - *shrink_since_ < options_.shrink_delay) {
      return;
    }
    wanted_ -= 1;
    shrink_since_ = now.boot;
  }
  const auto wish = split_kinds(wanted_, options_.reclaimable_percent);
  hooks_.want_upstreams(now, "on_demand", wish.on_demand, out);
  hooks_.want_upstreams(now, "reclaimable", wish.reclaimable, out);
}

} // namespace nutmegspur
