// Fault matrix of the zone's authority: every fault at every step of leases, orders, usage and
// drains. Guards against orders or reports from an instance that lost the lease, overlapping
// orders, interrupted streams, and usage that is lost or counted twice.
// labels: P01 P02 P03 P07 P08
//
// Each cell runs a whole zone: three instances that are restarted now and then, one engine that
// checks fencing numbers and one that ignores them, a planner that changes the wanted states,
// streams and usage.
// The checks use only what reached the engines, the upstream interface and the usage interface, and
// the final state.
#include "testing/authority_zone.h"

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <set>

namespace nutmegspur::testing {
namespace {

// ---------------------------------------------------------------------------------------------
// Steps and faults

enum class matrix_step {
  lease_taken,
  lease_renewed,
  lease_given_up,
  intent_written,
  intent_sent,
  intent_answered,
  intent_resolved,
  order_written,
  order_sent,
  order_accepted,
  usage_counted,
  usage_sealed,
  usage_sent,
  usage_confirmed,
  drain_begun,
  drain_waited,
  drain_ended,
};

enum class matrix_fault {
  killed_before,
  killed_after,
  paused_past_lease,
  cut_from_platform,
  cut_from_platform_one_way,
  cut_from_engines,
  cut_from_engines_one_way,
  cut_from_peers,
  store_down,
  store_slow,
  answer_lost,
  stale_read,
  delayed_past_lease,
  doubled,
  reordered,
  engine_crash,
  operators_race,
};

} // namespace
} // namespace nutmegspur::testing

namespace nutmegspur {

using testing::matrix_fault;
using testing::matrix_step;

template <> struct enum_names<matrix_step> {
  static constexpr std::array<enum_name<matrix_step>, 17> table{{
      {matrix_step::lease_taken, "lease_taken"},
      {matrix_step::lease_renewed, "lease_renewed"},
      {matrix_step::lease_given_up, "lease_given_up"},
      {matrix_step::intent_written, "intent_written"},
      {matrix_step::intent_sent, "intent_sent"},
      {matrix_step::intent_answered, "intent_answered"},
      {matrix_step::intent_resolved, "intent_resolved"},
      {matrix_step::order_written, "order_written"},
      {matrix_step::order_sent, "order_sent"},
      {matrix_step::order_accepted, "order_accepted"},
      {matrix_step::usage_counted, "usage_counted"},
      {matrix_step::usage_sealed, "usage_sealed"},
      {matrix_step::usage_sent, "usage_sent"},
      {matrix_step::usage_confirmed, "usage_confirmed"},
      {matrix_step::drain_begun, "drain_begun"},
      {matrix_step::drain_waited, "drain_waited"},
      {matrix_step::drain_ended, "drain_ended"},
  }};
};

template <> struct enum_names<matrix_fault> {
  static constexpr std::array<enum_name<matrix_fault>, 17> table{{
      {matrix_fault::killed_before, "killed_before"},
      {matrix_fault::killed_after, "killed_after"},
      {matrix_fault::paused_past_lease, "paused_past_lease"},
      {matrix_fault::cut_from_platform, "cut_from_platform"},
      {matrix_fault::cut_from_platform_one_way, "cut_from_platform_one_way"},
      {matrix_fault::cut_from_engines, "cut_from_engines"},
      {matrix_fault::cut_from_engines_one_way, "cut_from_engines_one_way"},
      {matrix_fault::cut_from_peers, "cut_from_peers"},
      {matrix_fault::store_down, "store_down"},
      {matrix_fault::store_slow, "store_slow"},
      {matrix_fault::answer_lost, "answer_lost"},
      {matrix_fault::stale_read, "stale_read"},
      {matrix_fault::delayed_past_lease, "delayed_past_lease"},
      {matrix_fault::doubled, "doubled"},
      {matrix_fault::reordered, "reordered"},
      {matrix_fault::engine_crash, "engine_crash"},
      {matrix_fault::operators_race, "operators_race"},
  }};
};

} // namespace nutmegspur

namespace nutmegspur::testing {
namespace {

/// A fault at a step, with the reason if it cannot occur.
struct matrix_cell {
  matrix_step at;
  matrix_fault fault;
  const char* cannot_occur = nullptr;
};

constexpr const char* single_write =
    "an order is one write on one fresh connection, which TCP delivers at most once";

const char*
why_impossible(matrix_step at, matrix_fault fault) {
  if (at == matrix_step::intent_sent && fault == matrix_fault::doubled) {
    return single_write;
  }
  return nullptr;
}

std::vector<matrix_cell>
all_cells() {
  std::vector<matrix_cell> cells;
  for (const auto& at : enum_names<matrix_step>::table) {
    for (const auto& fault : enum_names<matrix_fault>::table) {
      cells.push_back({at.value, fault.value, why_impossible(at.value, fault.value)});
    }
  }
  return cells;
}

// ---------------------------------------------------------------------------------------------
// Recognising steps

bool
writes_key(const call_platform& call, std::string_view prefix, std::string_view fragment) {
  const auto* txn = std::get_if<kv_txn>(&call.request);
  if (txn == nullptr) {
    return false;
  }
  for (const auto& it : txn->writes) {
    if (it.key.starts_with(prefix) && it.value && it.value->find(fragment) != std::string::npos) {
      return true;
    }
  }
  return false;
}

bool
is_call_of(matrix_step at, const call_platform& call) {
  switch (at) {
  case matrix_step::lease_taken:
    return writes_key(call, "lease/", "holder");
  case matrix_step::lease_renewed:
    return std::holds_alternative<lease_keep_alive>(call.request);
  case matrix_step::lease_given_up:
    return std::holds_alternative<lease_revoke>(call.request);
  case matrix_step::intent_written:
    return writes_key(call, "intent/", R"("phase":"written")");
  case matrix_step::intent_resolved:
    return writes_key(call, "intent/", R"("phase":"a)") ||
           writes_key(call, "intent/", R"("phase":"f)") ||
           writes_key(call, "intent/", R"("phase":"u)");
  case matrix_step::order_written:
    return writes_key(call, "order/", R"("accepted":false)");
  case matrix_step::order_sent:
    return std::holds_alternative<upstream_order>(call.request);
  case matrix_step::order_accepted:
    return writes_key(call, "order/", R"("accepted":true)");
  case matrix_step::usage_sealed:
    return writes_key(call, "usage/", R"("confirmed":false)");
  case matrix_step::usage_sent:
    return std::holds_alternative<usage_report>(call.request);
  case matrix_step::usage_confirmed:
    return writes_key(call, "usage/", R"("confirmed":true)");
  default:
    return false;
  }
}

bool
is_action_of(matrix_step at, const action& what) {
  if (const auto* call = std::get_if<call_platform>(&what)) {
    return is_call_of(at, *call);
  }
  if (std::holds_alternative<send_order>(what)) {
    return at == matrix_step::intent_sent;
  }
  const auto* message = std::get_if<send_to_peer>(&what);
  if (message == nullptr) {
    return false;
  }
  if (std::holds_alternative<usage_part>(message->message)) {
    return at == matrix_step::usage_counted;
  }
  const auto* notice = std::get_if<upstream_notice>(&message->message);
  if (notice == nullptr || notice->acknowledges) {
    return false;
  }
  return at == (notice->leaving ? matrix_step::drain_begun : matrix_step::drain_ended);
}

bool
is_event_of(matrix_step at, const zone_member& to, const event& ev) {
  if (at == matrix_step::intent_answered) {
    return std::holds_alternative<order_reply>(ev);
  }
  const auto* report = std::get_if<engine_report>(&ev);
  return at == matrix_step::drain_waited && report != nullptr && report->load.running > 0 &&
         to.marked.contains(report->upstream);
}

// ---------------------------------------------------------------------------------------------
// Runs

constexpr seconds fault_duration{30};

/// One run of the zone with faults armed at steps.
class matrix_run {
 public:
  matrix_run(std::vector<matrix_cell> cells, bool tracing) : cells_(std::move(cells)) {
    injected_.resize(cells_.size());
    zone_.tracing = tracing;
    zone_.before_action = [this](zone_member& from, const action& what) {
      return on_action(from, what);
    };
    zone_.before_event = [this](zone_member& to, const event& ev) { return on_event(to, ev); };
    zone_.wanted_state = [this](const upstream_id& id) { return planned_state(id); };
  }

  void run() {
    constexpr int phases = 4;
    zone_.run_for(seconds{12});
    injecting_ = true;
    for (int i = 0; i < phases; ++i) {
      generation_ = i + 1;
      zone_.wanted_upstreams = static_cast<std::uint32_t>(2 + i);
      run_with_faults(seconds{35});
      if (zone_member* holder = zone_.holder()) {
        zone_.stop_gracefully(*holder);
      }
      run_with_faults(seconds{15});
    }
    injecting_ = false;
    clear_faults();
    zone_.run_for(seconds{50});
    zone_.counting = false;
    zone_.run_for(seconds{110});
  }

  [[nodiscard]] std::vector<std::string> violations();

  [[nodiscard]] const std::vector<std::string>& trace() const { return zone_.trace; }

 private:
  // During `operators_race` another version is wanted.
  engine_state planned_state(const upstream_id& id) const {
    engine_state it;
    it.role = generation_ % 2 == 1 ? engine_role::prefill : engine_role::decode;
    it.model = model_id{"m"};
    it.version = "v" + std::to_string(racing_ > 0 ? 100 + racing_ : generation_);
    it.adapters = {id.value};
    return it;
  }

  delivery_mode on_action(zone_member& from, const action& what) {
    for (std::size_t i = 0; injecting_ && i < cells_.size(); ++i) {
      if (!injected_.at(i) && is_action_of(cells_.at(i).at, what)) {
        injected_.at(i) = true;
        return inject(cells_.at(i).fault, from);
      }
    }
    return delivery_mode::normal;
  }

  delivery_mode on_event(zone_member& to, const event& ev) {
    for (std::size_t i = 0; injecting_ && i < cells_.size(); ++i) {
      if (!injected_.at(i) && is_event_of(cells_.at(i).at, to, ev)) {
        injected_.at(i) = true;
        return inject(cells_.at(i).fault, to);
      }
    }
    return delivery_mode::normal;
  }

  delivery_mode inject(matrix_fault fault, zone_member& it);

  void run_with_faults(seconds span) {
    for (seconds at{0}; at < span; ++at) {
      zone_.run_for(seconds{1});
      if (!kill_next_.empty() && zone_.find(kill_next_) != nullptr) {
        zone_.kill(kill_next_);
      }
      kill_next_.clear();
      if (clear_faults_at_ && zone_.clock.now().boot >= *clear_faults_at_) {
        clear_faults();
      }
    }
  }

  void clear_faults() {
    clear_faults_at_.reset();
    racing_ = 0;
    zone_.store.set_fault(store_fault::none);
    for (auto& engine : zone_.engines) {
      engine.down = false;
    }
    for (const auto& it : zone_.members) {
      it->cut_from_engines = false;
      it->engine_answers_lost = false;
      it->cut_from_peers = false;
      zone_.store.set_client_fault(it->name, store_fault::none);
    }
    std::vector<std::string> names;
    for (const auto& it : zone_.members) {
      names.push_back(it->name);
    }
    for (const auto& name : names) {
      if (zone_member* it = zone_.find(name)) {
        zone_.resume(*it);
      }
    }
  }

  void check_engines(std::vector<std::string>& found) const;
  void check_upstream_orders(std::vector<std::string>& found) const;
  void check_usage(std::vector<std::string>& found) const;
  void check_progress(std::vector<std::string>& found);

  std::vector<matrix_cell> cells_;
  std::vector<bool> injected_;
  authority_zone zone_;
  bool injecting_ = false;
  int generation_ = 0;
  int racing_ = 0;
  std::string kill_next_;
  std::optional<time_point> clear_faults_at_;
};

delivery_mode
matrix_run::inject(matrix_fault fault, zone_member& it) {
  clear_faults_at_ = zone_.clock.now().boot + fault_duration;
  const std::string name = it.name;
  switch (fault) {
  case matrix_fault::killed_before:
    zone_.kill(name);
    break;
  case matrix_fault::killed_after:
    it.paused = false;
    kill_next_ = name; // Within a second, after this action and some later ones.
    break;
  case matrix_fault::paused_past_lease:
    it.paused = true;
    break;
  case matrix_fault::cut_from_platform:
    zone_.store.set_client_fault(name, store_fault::down);
    break;
  case matrix_fault::cut_from_platform_one_way:
    zone_.store.set_client_fault(name, store_fault::lost_after_effect);
    break;
  case matrix_fault::cut_from_engines:
    it.cut_from_engines = true;
    break;
  case matrix_fault::cut_from_engines_one_way:
    it.engine_answers_lost = true;
    break;
  case matrix_fault::cut_from_peers:
    it.cut_from_peers = true;
    break;
  case matrix_fault::store_down:
    zone_.store.set_fault(store_fault::down);
    break;
  case matrix_fault::store_slow:
    zone_.store.slow_delay = seconds{3};
    zone_.store.set_fault(store_fault::slow);
    break;
  case matrix_fault::answer_lost:
    return delivery_mode::drop;
  case matrix_fault::stale_read:
    zone_.store.set_fault(store_fault::stale_read);
    break;
  case matrix_fault::delayed_past_lease:
    return delivery_mode::very_late;
  case matrix_fault::doubled:
    return delivery_mode::twice;
  case matrix_fault::reordered:
    return delivery_mode::late;
  case matrix_fault::engine_crash:
    for (auto& engine : zone_.engines) {
      engine.restart(zone_.clock.now());
    }
    break;
  case matrix_fault::operators_race:
    racing_ = 1;
    break;
  }
  return delivery_mode::normal;
}

// ---------------------------------------------------------------------------------------------
// Checks

void
matrix_run::check_engines(std::vector<std::string>& found) const {
  for (const auto& engine : zone_.engines) {
    const received_order* last = nullptr;
    for (const auto& it : engine.received()) {
      const std::string where =
          engine.id().value + " sequence " + std::to_string(it.sequence) + ": ";
      if (it.was_changing) {
        found.push_back("P01 " + where + "arrived while another change was in progress");
      }
      if (last != nullptr && it.sequence <= last->sequence) {
        found.push_back("P01 " + where + "came after " + std::to_string(last->sequence));
      }
      if (last != nullptr && it.authority < last->authority) {
        found.push_back("P03 " + where + "came from a process that had lost its authority");
      }
      if (it.accepted && it.interrupts_streams && it.streams > 0) {
        found.push_back("P02 " + where + "cut " + std::to_string(it.streams) + " streams");
      }
      last = &it;
    }
  }
}

void
matrix_run::check_upstream_orders(std::vector<std::string>& found) const {
  const upstream_order* last = nullptr;
  for (const auto& it : zone_.store.upstream_orders()) {
    const std::string where = "upstream order " + std::to_string(it.order.order) + ": ";
    if (last != nullptr && it.order.authority < last->authority) {
      found.push_back("P07 " + where + "came from a process that had lost its authority");
    }
    if (last != nullptr && it.order.order < last->order) {
      found.push_back("P07 " + where + "came after " + std::to_string(last->order));
    }
    if (last != nullptr && it.order.order == last->order && it.order.wanted != last->wanted) {
      found.push_back("P07 " + where + "repeated with another number of upstreams");
    }
    last = &it.order;
  }
}

void
matrix_run::check_usage(std::vector<std::string>& found) const {
  std::map<std::string, usage_record> windows;
  std::set<std::string> parts;
  std::uint64_t reported = 0;
  fence last;
  for (const auto& it : zone_.store.usage_reports()) {
    if (it.report.authority < last) {
      found.push_back("P08 " + it.report.id + ": came from a process without authority");
    }
    last = it.report.authority;
    const auto [placed, is_new] = windows.emplace(it.report.id, it.report.record);
    if (!is_new) {
      if (placed->second.lines != it.report.record.lines) {
        found.push_back("P08 " + it.report.id + ": reported twice with different figures");
      }
      continue;
    }
    for (const auto& line : it.report.record.lines) {
      reported += line.requests;
    }
    for (const auto& part : it.report.record.parts) {
      if (!parts.insert(part).second) {
        found.push_back("P08 " + it.report.id + ": counts part " + part + " again");
      }
    }
  }
  const bool too_much = reported > zone_.counted;
  const bool too_little = reported + zone_.max_lost < zone_.counted;
  if (too_much || too_little) {
    found.push_back("P08 reported " + std::to_string(reported) + " of " +
                    std::to_string(zone_.counted) + " requests, of which " +
                    std::to_string(zone_.max_lost) + " may be lost");
  }
}

void
matrix_run::check_progress(std::vector<std::string>& found) {
  if (zone_.holder() == nullptr) {
    found.emplace_back("nobody holds the lease at the end");
  }
  for (const auto& engine : zone_.engines) {
    if (engine.state() != planned_state(engine.id())) {
      found.push_back(engine.id().value + " is not in the wanted state at the end");
    }
  }
  const auto& orders = zone_.store.upstream_orders();
  if (orders.empty() || orders.back().order.wanted != zone_.wanted_upstreams) {
    found.emplace_back("the zone does not have the wanted upstreams at the end");
  }
}

std::vector<std::string>
matrix_run::violations() {
  std::vector<std::string> found;
  for (std::size_t i = 0; i < cells_.size(); ++i) {
    if (!injected_.at(i)) {
      found.push_back("step " + std::string{to_name(cells_.at(i).at)} + " was not reached");
    }
  }
  check_engines(found);
  check_upstream_orders(found);
  check_usage(found);
  check_progress(found);
  return found;
}

std::string
names_of(const std::vector<matrix_cell>& cells) {
  std::string text;
  for (const auto& it : cells) {
    text += " [" + std::string{to_name(it.at)} + " x " + std::string{to_name(it.fault)} + "]";
  }
  return text;
}

/// Runs the cells together and reports violations; with NUTMEGSPUR_TRACE set, prints the trace of a
/// second, identical run.
void
expect_no_violations(const std::vector<matrix_cell>& cells) {
  matrix_run run{cells, false};
  run.run();
  const auto violations = run.violations();
  if (violations.empty()) {
    return;
  }
  std::string text = "cell" + names_of(cells) + "\n";
  for (const auto& it : violations) {
    text += "  " + it + "\n";
  }
  ADD_FAILURE() << text;
  if (std::getenv("NUTMEGSPUR_TRACE") != nullptr) {
    matrix_run again{cells, true};
    again.run();
    for (const auto& it : again.trace()) {
      std::cout << it << '\n';
    }
  }
}

TEST(fault_matrix_authority, every_step_and_fault_has_a_cell) {
  std::set<std::pair<matrix_step, matrix_fault>> seen;
  for (const auto& it : all_cells()) {
    seen.emplace(it.at, it.fault);
    if (it.cannot_occur != nullptr) {
      std::cout << "cannot occur:" << names_of({it}) << ": " << it.cannot_occur << '\n';
    }
  }
  EXPECT_EQ(seen.size(),
            enum_names<matrix_step>::table.size() * enum_names<matrix_fault>::table.size());
}

TEST(fault_matrix_authority, no_guarantee_is_violated_without_faults) {
  expect_no_violations({});
}

TEST(fault_matrix_authority, no_guarantee_is_violated_by_any_single_fault) {
  for (const auto& it : all_cells()) {
    if (it.cannot_occur == nullptr) {
      expect_no_violations({it});
    }
  }
}

TEST(fault_matrix_authority, no_guarantee_is_violated_by_sampled_pairs_of_faults) {
  constexpr unsigned seed = 20261204;
  constexpr int samples = 300;
  std::mt19937 random{seed};
  const auto cells = all_cells();
  for (int i = 0; i < samples; ++i) {
    const auto& first = cells.at(random() % cells.size());
    const auto& second = cells.at(random() % cells.size());
    if (first.cannot_occur == nullptr && second.cannot_occur == nullptr) {
      expect_no_violations({first, second});
    }
  }
}

} // namespace
} // namespace nutmegspur::testing
