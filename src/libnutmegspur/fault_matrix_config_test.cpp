// Fault matrix of the configuration: every fault at every step, alone and in random pairs.
//
// Two zones have two relays and one other instance each. While the fault is active, operators
// change a team and withdraw a key. With a single fault, an accepted change must be in force within
// 4 s on every reachable instance. No instance may return to an older configuration.
// labels: P14 P06
#include "testing/config_cluster.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace nutmegspur {

namespace testing {

/// The injected faults.
enum class config_fault {
  killed,
  paused_past_lease,
  cut_from_platform,
  cut_from_zone,
  cut_from_upstream,
  cut_one_way,
  store_down,
  store_slow,
  answer_lost,
  stale_read,
  delayed_past_lease,
  doubled,
  reordered,
  silent_connection,
  engine_crash,
  upstream_withdrawn,
  operators_racing,
  key_withdrawn,
};

} // namespace testing

template <> struct enum_names<testing::config_fault> {
  using f = testing::config_fault;
  static constexpr std::array<enum_name<f>, 18> table{{
      {f::killed, "killed"},
      {f::paused_past_lease, "paused_past_lease"},
      {f::cut_from_platform, "cut_from_platform"},
      {f::cut_from_zone, "cut_from_zone"},
      {f::cut_from_upstream, "cut_from_upstream"},
      {f::cut_one_way, "cut_one_way"},
      {f::store_down, "store_down"},
      {f::store_slow, "store_slow"},
      {f::answer_lost, "answer_lost"},
      {f::stale_read, "stale_read"},
      {f::delayed_past_lease, "delayed_past_lease"},
      {f::doubled, "doubled"},
      {f::reordered, "reordered"},
      {f::silent_connection, "silent_connection"},
      {f::engine_crash, "engine_crash"},
      {f::upstream_withdrawn, "upstream_withdrawn"},
      {f::operators_racing, "operators_racing"},
      {f::key_withdrawn, "key_withdrawn"},
  }};
};

namespace testing {
namespace {

constexpr std::array config_steps{step::config_write, step::config_read, step::config_apply,
                                  step::config_relay};
constexpr seconds in_force_bound{4};
constexpr seconds settle_span{3};
constexpr seconds fault_span{6};
constexpr seconds pause_span{15};
constexpr seconds recovery_span{10};

/// A cell of the matrix: a fault at a step.
struct cell {
  step at;
  config_fault fault;
};

std::string
describe(const cell& it) {
  return std::string{to_name(it.at)} + " x " + std::string{to_name(it.fault)};
}

/// The instance that a fault at step `at` affects: the one that writes, reads, applies or relays.
std::string
target_instance(step at) {
  switch (at) {
  case step::config_write:
    return "b3";
  case step::config_read:
    return "new";
  default:
    return "b1";
  }
}

/// Why a cell cannot occur; empty if it can.
std::string
why_impossible(const cell& it) {
  switch (it.fault) {
  case config_fault::cut_from_upstream:
  case config_fault::engine_crash:
  case config_fault::upstream_withdrawn:
    return "configuration is neither read from an upstream nor sent to one";
  default:
    return {};
  }
}

// -----------------------------------------------------------------------------------------------
// Faults

using network_rule = config_cluster::network_rule;

/// Applies `delivery` to messages from `target` (and to it, if `both_ways`), and `rest` to others.
network_rule
affect_messages(const std::string& target, bool both_ways,
                const std::function<message_delivery()>& delivery, const network_rule& rest) {
  return [=](const std::string& from, const std::string& to) {
    return from == target || (both_ways && to == target) ? delivery() : rest(from, to);
  };
}

std::function<message_delivery()>
random_delay(std::uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  return [random] { return message_delivery{1, milliseconds{1 + (*random)() % 900}}; };
}

void
delay_calls(config_cluster& in, const std::string& target) {
  in.store.slow_delay = seconds{12};
  in.store.set_client_fault(target, store_fault::late_answer);
}

void
partition_zones(config_cluster& in) {
  for (const std::string a : {"b1", "b2", "b3"}) {
    for (const std::string b : {"z1", "z2", "z3"}) {
      in.partition(a, b);
    }
  }
}

void
silence_connections(config_cluster& in, const std::string& target) {
  in.store.silence_watches(target);
  // Established connections are silent; the platform still answers new calls.
  in.network = affect_messages(
      target, true,
      [] {
        return message_delivery{0, {}};
      },
      in.network);
}

/// Activates a fault on the target instance of its step.
void
inject(config_cluster& in, const cell& it, std::uint64_t seed) {
  const std::string target = target_instance(it.at);
  const auto calls_of_target = [target](const std::string& client, const platform_request&) {
    return client == target;
  };
  switch (it.fault) {
  case config_fault::killed:
    return in.kill(target);
  case config_fault::paused_past_lease:
    return in.pause(target);
  case config_fault::cut_from_platform:
    in.store.silence_watches(target);
    return in.store.set_client_fault(target, store_fault::lost_before_effect);
  case config_fault::cut_from_zone:
    return partition_zones(in);
  case config_fault::cut_one_way:
    // Its calls arrive, but it receives no answers, and its messages to peers are lost.
    in.store.silence_watches(target);
    in.store.set_client_fault(target, store_fault::lost_after_effect);
    in.network = affect_messages(
        target, false,
        [] {
          return message_delivery{0, {}};
        },
        in.network);
    return;
  case config_fault::store_down:
    for (const auto& name : in.names()) {
      in.store.end_watches(in.clock.now(), name);
    }
    return in.store.set_fault(store_fault::down);
  case config_fault::store_slow:
    return in.store.set_fault(store_fault::slow);
  case config_fault::answer_lost:
    return in.store.fault_next(store_fault::lost_after_effect, calls_of_target, 3);
  case config_fault::stale_read:
    return in.store.fault_next(
        store_fault::stale_read,
        [=](const std::string& client, const platform_request& what) {
          return client == target && std::holds_alternative<kv_range>(what);
        },
        5);
  case config_fault::delayed_past_lease:
    delay_calls(in, target);
    in.network = affect_messages(
        target, true,
        [] {
          return message_delivery{1, seconds{12}};
        },
        in.network);
    return;
  case config_fault::doubled:
    in.at(target).duplicate_batches = true;
    in.network = affect_messages(
        target, true,
        [] {
          return message_delivery{2, milliseconds{300}};
        },
        in.network);
    return;
  case config_fault::reordered:
    in.network = affect_messages(target, true, random_delay(seed), in.network);
    return;
  case config_fault::silent_connection:
    return silence_connections(in, target);
  case config_fault::cut_from_upstream:
  case config_fault::engine_crash:
  case config_fault::upstream_withdrawn:
  case config_fault::operators_racing:
  case config_fault::key_withdrawn:
    return; // The first three cannot occur; `issue_all` performs the last two.
  }
}

void
clear_faults(config_cluster& in) {
  in.store.set_fault(store_fault::none);
  in.store.slow_delay = seconds{3};
  for (const auto& name : in.names()) {
    in.store.set_client_fault(name, store_fault::none);
    in.at(name).duplicate_batches = false;
    if (in.at(name).paused) {
      in.resume(name);
    }
  }
  in.network = [](const std::string&, const std::string&) { return message_delivery{}; };
  in.heal_all();
}

// -----------------------------------------------------------------------------------------------
// Operator calls

resource
team(std::uint32_t weight) {
  return {"thun", {}, team_spec{.weight = weight}};
}

resource
key(bool withdrawn) {
  return {"k", {}, key_spec{team_id{"thun"}, key_role::caller, std::string(64, 'a'), withdrawn}};
}

/// A write that was sent to an instance.
struct issued_write {
  std::string through;
  std::uint64_t id = 0;
  resource what;
  time_point at;
};

/// A run with the faults of one or more cells.
class run {
 public:
  run(std::vector<cell> cells, std::uint64_t seed)
      : cells_(std::move(cells)), seed_(seed), in_(seed) {}

  /// Performs the run. Returns the first violation, or empty.
  std::string first_violation();

 private:
  [[nodiscard]] bool has(config_fault fault) const {
    return std::any_of(cells_.begin(), cells_.end(),
                       [&](const cell& it) { return it.fault == fault; });
  }

  void begin();
  void issue(const std::string& through, const resource& what,
             std::optional<revision> condition = {});
  void issue_all();
  bool reachable(const std::string& name);
  std::string check_in_force();
  std::string check_answers();
  std::string check_end();

  std::vector<cell> cells_;
  std::uint64_t seed_;
  config_cluster in_;
  std::vector<issued_write> writes_;
};

void
run::begin() {
  const auto now = in_.clock.now();
  in_.store.put(now, config_key(resource_kind::team, "thun"), spec_json(team(1).spec));
  in_.store.put(now, config_key(resource_kind::key, "k"), spec_json(key(false).spec));
  for (const std::string zone : {"b", "z"}) {
    in_.start(zone + "1", zone, true);
    in_.start(zone + "2", zone, true);
    in_.start(zone + "3", zone, false);
  }
  in_.run(settle_span);
  // A second value, so that a stale read can return the first.
  in_.store.put(in_.clock.now(), config_key(resource_kind::team, "thun"), spec_json(team(2).spec));
  in_.run(settle_span);
}

void
run::issue(const std::string& through, const resource& what, std::optional<revision> condition) {
  if (in_.at(through).up) {
    writes_.push_back({through, in_.put(through, what, condition), what, in_.clock.now().boot});
  }
}

void
run::issue_all() {
  issue("b3", team(7));
  in_.run(milliseconds{100});
  issue("z2", team(6));
  if (has(config_fault::operators_racing)) {
    const revision at = in_.store.get(config_key(resource_kind::team, "thun"))->modified;
    issue("z3", team(8), at);
    issue("z1", team(9), at);
  }
  issue(has(config_fault::key_withdrawn) ? "b3" : "z3", key(true));
}

bool
run::reachable(const std::string& name) {
  // An instance without a configuration is not ready and receives no calls.
  const bool holds_nothing = in_.at(name).replica->at() == revision{};
  // A non-relay whose messages from the store and all peers are delayed cannot be in time.
  const bool delayed = has(config_fault::delayed_past_lease) && !in_.at(name).relay &&
                       name == target_instance(cells_.front().at);
  return !holds_nothing && !delayed;
}

std::string
run::check_in_force() {
  // A write counts as accepted once the store holds it, even if it has not been answered.
  const auto written = [&] {
    return parse_spec(resource_kind::key, in_.store.get("cfg/key/k")->value) == key(true).spec;
  };
  if (!in_.run_until(written, fault_span)) {
    return {};
  }
  const revision accepted = in_.store.get("cfg/key/k")->modified;
  const auto in_force = [&] { return in_.behind(accepted).empty(); };
  // The bound applies to single faults only.
  if (in_.run_until(in_force, in_force_bound) || cells_.size() > 1) {
    return {};
  }
  std::string missing;
  for (const auto& name : in_.behind(accepted)) {
    missing += reachable(name) ? name + " " : "";
  }
  return missing.empty() ? "" : "not in force after 4 s in: " + missing;
}

std::string
run::check_answers() {
  for (const auto& it : writes_) {
    const resource_response* answer = in_.answer(it.through, it.id);
    if (answer == nullptr && in_.at(it.through).up) {
      return "no answer through " + it.through;
    }
  }
  return {};
}

std::string
run::check_end() {
  const revision end = in_.store.current();
  if (!in_.run_until([&] { return in_.behind(end).empty(); }, recovery_span)) {
    return "not in force after all faults were cleared, in: " + in_.behind(end).front();
  }
  bool withdrawn = false;
  for (const auto& it : writes_) {
    const resource_response* answer = in_.answer(it.through, it.id);
    withdrawn = withdrawn || (answer != nullptr && answer->json && it.what.name == "k");
    if (answer == nullptr || answer->json || answer->json.error().ran != outcome::not_run) {
      continue;
    }
    // After the outcome "not run" the store must not hold the value.
    const auto stored = in_.store.get(config_key(kind_of(it.what.spec), it.what.name));
    if (parse_spec(kind_of(it.what.spec), stored->value) == it.what.spec) {
      return "answered 'not run', but it ran: " + it.what.name;
    }
  }
  const auto stored = parse_spec(resource_kind::key, in_.store.get("cfg/key/k")->value);
  if (withdrawn && stored != key(true).spec) {
    return "the accepted withdrawal was lost";
  }
  for (const auto& name : in_.names()) {
    const auto* known = in_.at(name).replica->view()->key(std::string(64, 'a'));
    if (in_.at(name).up && (known == nullptr || resource_spec{known->spec} != *stored)) {
      return "the key differs from the stored one in " + name;
    }
    const bool notified = in_.at(name).withdrawn.contains("k");
    if (in_.at(name).up && name != "new" && notified != std::get<key_spec>(*stored).withdrawn) {
      return "the withdrawal was not reported in " + name;
    }
  }
  return {};
}

std::string
run::first_violation() {
  begin();
  for (const auto& it : cells_) {
    if (it.at == step::config_read && it.fault != config_fault::killed) {
      in_.start("new", "b", false);
      break;
    }
    if (it.at == step::config_read) {
      in_.start("new", "b", false);
      in_.run(milliseconds{20});
      break;
    }
  }
  for (const auto& it : cells_) {
    // Instances are killed or paused after the writes were issued, while they are in progress.
    const bool injected_midway =
        it.fault == config_fault::killed || it.fault == config_fault::paused_past_lease;
    if (!injected_midway) {
      inject(in_, it, seed_);
    }
  }
  issue_all();
  for (const auto& it : cells_) {
    if (it.fault == config_fault::killed || it.fault == config_fault::paused_past_lease) {
      inject(in_, it, seed_);
    }
  }
  std::string why = check_in_force();
  in_.run(has(config_fault::paused_past_lease) || has(config_fault::delayed_past_lease)
              ? pause_span
              : fault_span);
  clear_faults(in_);
  in_.run(recovery_span);
  why = why.empty() ? check_answers() : why;
  why = why.empty() ? check_end() : why;
  return why.empty() ? in_.violation() : why;
}

// -----------------------------------------------------------------------------------------------
// The matrix

std::vector<cell>
all_cells() {
  std::vector<cell> out;
  for (const step at : config_steps) {
    for (const auto& row : enum_names<config_fault>::table) {
      out.push_back({at, row.value});
    }
  }
  return out;
}

std::string
describe(const std::vector<cell>& cells, std::uint64_t seed) {
  std::string out = "seed " + std::to_string(seed);
  for (const auto& it : cells) {
    out += "; " + describe(it);
  }
  return out;
}

TEST(fault_matrix_config, every_step_and_fault_has_a_cell) {
  std::size_t run_cells = 0;
  for (const auto& row : enum_names<step>::table) {
    const bool config = row.name.starts_with("config_");
    const bool listed =
        std::find(config_steps.begin(), config_steps.end(), row.value) != config_steps.end();
    EXPECT_EQ(config, listed) << row.name;
  }
  for (const auto& it : all_cells()) {
    run_cells += why_impossible(it).empty() ? 1 : 0;
  }
  EXPECT_EQ(all_cells().size(), config_steps.size() * enum_names<config_fault>::table.size());
  EXPECT_EQ(run_cells, config_steps.size() * (enum_names<config_fault>::table.size() - 3));
}

TEST(fault_matrix_config, no_invariant_is_violated_by_any_single_fault) {
  for (const auto& it : all_cells()) {
    if (!why_impossible(it).empty()) {
      continue;
    }
    const std::vector<cell> cells{it};
    EXPECT_EQ(run(cells, 1).first_violation(), "") << describe(cells, 1);
  }
}

TEST(fault_matrix_config, no_invariant_is_violated_by_random_pairs_of_faults) {
  constexpr std::uint64_t first_seed = 20261204;
  constexpr std::uint64_t pairs = 120;
  for (std::uint64_t seed = first_seed; seed < first_seed + pairs; ++seed) {
    std::mt19937_64 random(seed);
    const auto all = all_cells();
    const std::vector<cell> cells{all[random() % all.size()], all[random() % all.size()]};
    EXPECT_EQ(run(cells, seed).first_violation(), "") << describe(cells, seed);
  }
}

} // namespace
} // namespace testing
} // namespace nutmegspur
