// The fault matrix of the configuration: every fault at every step, alone and in pairs.
//
// Two zones with two relays and a member each. A change of a team and the withdrawal of a key are
// asked for while the fault is in force; what was accepted must be in force within 4 s in every
// instance that can be reached, and never go back.
// labels: P14 P06
#include "testing/config_cluster.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace nutmegspur {

namespace testing {

/// What goes wrong.
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
constexpr seconds settle{3};
constexpr seconds fault_span{6};
constexpr seconds pause_span{15};
constexpr seconds mend_span{10};

/// One cell of the table.
struct cell {
  step at;
  config_fault fault;
};

std::string
text_of(const cell& it) {
  return std::string{to_name(it.at)} + " x " + std::string{to_name(it.fault)};
}

/// Which instance the fault hits at a step: who writes, reads, applies or relays.
std::string
target_of(step at) {
  switch (at) {
  case step::config_write:
    return "b3";
  case step::config_read:
    return "new";
  default:
    return "b1";
  }
}

/// Why a cell cannot occur, or empty.
std::string
cannot_occur(const cell& it) {
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

using rule = config_cluster::network_rule;

/// What happens to messages from or to `target`, beside `rest`.
rule
hit(const std::string& target, bool both_ways, const std::function<peer_fate()>& fate,
    const rule& rest) {
  return [=](const std::string& from, const std::string& to) {
    return from == target || (both_ways && to == target) ? fate() : rest(from, to);
  };
}

std::function<peer_fate()>
random_delays(std::uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  return [random] { return peer_fate{1, milliseconds{1 + (*random)() % 900}}; };
}

void
slow_calls(config_cluster& in, const std::string& target) {
  in.store.slow_by = seconds{12};
  in.store.set_client_fault(target, store_fault::late_answer);
}

void
cut_zones(config_cluster& in) {
  for (const std::string a : {"b1", "b2", "b3"}) {
    for (const std::string b : {"z1", "z2", "z3"}) {
      in.cut(a, b);
    }
  }
}

void
silence(config_cluster& in, const std::string& target) {
  in.store.silence_watches(target);
  // The connections that stand are dead; the platform answers on new ones.
  in.network = hit(
      target, true,
      [] {
        return peer_fate{0, {}};
      },
      in.network);
}

/// Puts the fault in force. `target` runs, unless it is the instance that starts later.
void
inject(config_cluster& in, const cell& it, std::uint64_t seed) {
  const std::string target = target_of(it.at);
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
    return cut_zones(in);
  case config_fault::cut_one_way:
    // Calls arrive, answers do not; peers hear nothing from it.
    in.store.silence_watches(target);
    in.store.set_client_fault(target, store_fault::lost_after_effect);
    in.network = hit(
        target, false,
        [] {
          return peer_fate{0, {}};
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
    slow_calls(in, target);
    in.network = hit(
        target, true,
        [] {
          return peer_fate{1, seconds{12}};
        },
        in.network);
    return;
  case config_fault::doubled:
    in.at(target).doubled_batches = true;
    in.network = hit(
        target, true,
        [] {
          return peer_fate{2, milliseconds{300}};
        },
        in.network);
    return;
  case config_fault::reordered:
    in.network = hit(target, true, random_delays(seed), in.network);
    return;
  case config_fault::silent_connection:
    return silence(in, target);
  case config_fault::cut_from_upstream:
  case config_fault::engine_crash:
  case config_fault::upstream_withdrawn:
  case config_fault::operators_racing:
  case config_fault::key_withdrawn:
    return; // The first three cannot occur; the last two are in what operators ask for.
  }
}

void
mend(config_cluster& in) {
  in.store.set_fault(store_fault::none);
  in.store.slow_by = seconds{3};
  for (const auto& name : in.names()) {
    in.store.set_client_fault(name, store_fault::none);
    in.at(name).doubled_batches = false;
    if (in.at(name).paused) {
      in.resume(name);
    }
  }
  in.network = [](const std::string&, const std::string&) { return peer_fate{}; };
  in.mend_all();
}

// -----------------------------------------------------------------------------------------------
// What operators ask for

resource
team(std::uint32_t weight) {
  return {"thun", {}, team_spec{.weight = weight}};
}

resource
key(bool withdrawn) {
  return {"k", {}, key_spec{team_id{"thun"}, key_role::caller, std::string(64, 'a'), withdrawn}};
}

/// A call, and what came of it.
struct asked {
  std::string through;
  std::uint64_t id = 0;
  resource what;
  time_point at;
};

/// One run of the matrix.
class run {
 public:
  run(std::vector<cell> cells, std::uint64_t seed)
      : cells_(std::move(cells)), seed_(seed), in_(seed) {}

  /// Runs it; the first broken promise, or empty.
  std::string verdict();

 private:
  [[nodiscard]] bool has(config_fault fault) const {
    return std::any_of(cells_.begin(), cells_.end(),
                       [&](const cell& it) { return it.fault == fault; });
  }

  void begin();
  void ask(const std::string& through, const resource& what,
           std::optional<revision> condition = {});
  void ask_all();
  bool reachable(const std::string& name);
  std::string wait_in_force();
  std::string check_answers();
  std::string check_end();

  std::vector<cell> cells_;
  std::uint64_t seed_;
  config_cluster in_;
  std::vector<asked> asked_;
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
  in_.run(settle);
  // Something to be stale against.
  in_.store.put(in_.clock.now(), config_key(resource_kind::team, "thun"), spec_json(team(2).spec));
  in_.run(settle);
}

void
run::ask(const std::string& through, const resource& what, std::optional<revision> condition) {
  if (in_.at(through).up) {
    asked_.push_back({through, in_.put(through, what, condition), what, in_.clock.now().boot});
  }
}

void
run::ask_all() {
  ask("b3", team(7));
  in_.run(milliseconds{100});
  ask("z2", team(6));
  if (has(config_fault::operators_racing)) {
    const revision at = in_.store.get(config_key(resource_kind::team, "thun"))->modified;
    ask("z3", team(8), at);
    ask("z1", team(9), at);
  }
  ask(has(config_fault::key_withdrawn) ? "b3" : "z3", key(true));
}

bool
run::reachable(const std::string& name) {
  // An instance that holds nothing yet is not ready, and is given no caller.
  const bool holds_nothing = in_.at(name).replica->at() == revision{};
  // A member that hears from the store and all peers late can only be late itself.
  const bool late = has(config_fault::delayed_past_lease) && !in_.at(name).relay &&
                    name == target_of(cells_.front().at);
  return !holds_nothing && !late;
}

std::string
run::wait_in_force() {
  // Whatever the store took is accepted from that moment on, answered or not.
  const auto written = [&] {
    return parse_spec(resource_kind::key, in_.store.get("cfg/key/k")->value) == key(true).spec;
  };
  if (!in_.run_until(written, fault_span)) {
    return {};
  }
  const revision accepted = in_.store.get("cfg/key/k")->modified;
  const auto in_force = [&] { return in_.behind(accepted).empty(); };
  // The bound is for single faults.
  if (in_.run_until(in_force, in_force_bound) || cells_.size() > 1) {
    return {};
  }
  std::string late;
  for (const auto& name : in_.behind(accepted)) {
    late += reachable(name) ? name + " " : "";
  }
  return late.empty() ? "" : "not in force after 4 s in: " + late;
}

std::string
run::check_answers() {
  for (const auto& it : asked_) {
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
  if (!in_.run_until([&] { return in_.behind(end).empty(); }, mend_span)) {
    return "not in force after all was mended, in: " + in_.behind(end).front();
  }
  bool withdrawn = false;
  for (const auto& it : asked_) {
    const resource_response* answer = in_.answer(it.through, it.id);
    withdrawn = withdrawn || (answer != nullptr && answer->json && it.what.name == "k");
    if (answer == nullptr || answer->json || answer->json.error().ran != outcome::not_run) {
      continue;
    }
    // "Not run" is true: the store holds no trace of it.
    const auto stored = in_.store.get(config_key(kind_of(it.what.spec), it.what.name));
    if (parse_spec(kind_of(it.what.spec), stored->value) == it.what.spec) {
      return "answered 'not run', but it ran: " + it.what.name;
    }
  }
  const auto stored = parse_spec(resource_kind::key, in_.store.get("cfg/key/k")->value);
  if (withdrawn && stored != key(true).spec) {
    return "the accepted withdrawal is lost";
  }
  for (const auto& name : in_.names()) {
    const auto* known = in_.at(name).replica->view()->key(std::string(64, 'a'));
    if (in_.at(name).up && (known == nullptr || resource_spec{known->spec} != *stored)) {
      return "the key is not as stored in " + name;
    }
    const bool told = in_.at(name).withdrawn.contains("k");
    if (in_.at(name).up && name != "new" && told != std::get<key_spec>(*stored).withdrawn) {
      return "the withdrawal was not told in " + name;
    }
  }
  return {};
}

std::string
run::verdict() {
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
    // Killed and paused where they hurt most: with the change under way.
    const bool midway =
        it.fault == config_fault::killed || it.fault == config_fault::paused_past_lease;
    if (!midway) {
      inject(in_, it, seed_);
    }
  }
  ask_all();
  for (const auto& it : cells_) {
    if (it.fault == config_fault::killed || it.fault == config_fault::paused_past_lease) {
      inject(in_, it, seed_);
    }
  }
  std::string why = wait_in_force();
  in_.run(has(config_fault::paused_past_lease) || has(config_fault::delayed_past_lease)
              ? pause_span
              : fault_span);
  mend(in_);
  in_.run(mend_span);
  why = why.empty() ? check_answers() : why;
  why = why.empty() ? check_end() : why;
  return why.empty() ? in_.broken() : why;
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
text_of(const std::vector<cell>& cells, std::uint64_t seed) {
  std::string out = "seed " + std::to_string(seed);
  for (const auto& it : cells) {
    out += "; " + text_of(it);
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
    run_cells += cannot_occur(it).empty() ? 1 : 0;
  }
  EXPECT_EQ(all_cells().size(), config_steps.size() * enum_names<config_fault>::table.size());
  EXPECT_EQ(run_cells, config_steps.size() * (enum_names<config_fault>::table.size() - 3));
}

TEST(fault_matrix_config, single_faults) {
  for (const auto& it : all_cells()) {
    if (!cannot_occur(it).empty()) {
      continue;
    }
    const std::vector<cell> cells{it};
    EXPECT_EQ(run(cells, 1).verdict(), "") << text_of(cells, 1);
  }
}

TEST(fault_matrix_config, pairs_of_faults) {
  constexpr std::uint64_t first_seed = 20261204;
  constexpr std::uint64_t pairs = 120;
  for (std::uint64_t seed = first_seed; seed < first_seed + pairs; ++seed) {
    std::mt19937_64 random(seed);
    const auto all = all_cells();
    const std::vector<cell> cells{all[random() % all.size()], all[random() % all.size()]};
    EXPECT_EQ(run(cells, seed).verdict(), "") << text_of(cells, seed);
  }
}

} // namespace
} // namespace testing
} // namespace nutmegspur
