/// \file scenario.h
/// A load scenario: the fleet, the teams, the classes of requests, how the mix shifts, and faults.
///
/// Read from JSON; every field is checked and an error names it.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/records.h>
#include <nutmegspur/request.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur::load {

/// One availability zone.
struct zone_plan {
  std::string name;
  std::string region;
  std::uint32_t entries = 1;
  std::uint32_t engines = 1;
};

/// One-way network delays.
struct delay_plan {
  milliseconds zone{2};    ///< Between zones of a region.
  milliseconds region{12}; ///< Between regions.
  milliseconds client{1};
};

/// The engines; all are alike.
struct engine_plan {
  double prefill_rate = 8000;
  double decode_rate = 40;
  std::uint32_t slots = 32;
  std::uint32_t blocks = 64;
  std::uint32_t block_tokens = 4096;
  milliseconds report_lag{500};
  milliseconds role_change_time{6000};
  milliseconds load_time{15'000};
  milliseconds startup_time{45'000}; ///< From an upstream order until the engine takes work.
};

struct team_plan {
  std::string name;
  std::uint32_t weight = 1;
  double share = 1; ///< Of the requests, relative to the other teams.
};

/// A uniform range, both ends included.
struct range {
  std::uint32_t min = 1;
  std::uint32_t max = 1;
};

/// A class of requests.
struct class_plan {
  std::string name;
  request_class priority = request_class::standard;
  milliseconds deadline{30'000};
  range prompt;
  range output;
  std::uint32_t prefixes = 1;      ///< Distinct shared prefixes for each team.
  std::uint32_t prefix_tokens = 0; ///< Shared tokens at the start of a prompt.
};

/// Share of a class in a phase.
struct mix_share {
  std::string class_name;
  double share = 1;
};

/// A stretch of time with a steady rate and mix. Between two phases, both move linearly over
/// `ramp` seconds from the start of the later one.
struct phase_plan {
  double until_s = 0;
  double ramp_s = 0;
  double requests_per_second = 1;
  std::vector<mix_share> mix;
};

/// A team multiplies its rate.
struct flood_plan {
  std::string team;
  double from_s = 0;
  double to_s = 0;
  double factor = 1;
};

enum class fault_kind { engine_lost, zone_reclaim, platform_out, region_cut };

/// A fault at a set time.
struct fault_plan {
  fault_kind kind = fault_kind::engine_lost;
  double at_s = 0;
  double for_s = 0; ///< For `platform_out` and `region_cut`.
  std::string zone;
};

/// The whole scenario.
struct scenario {
  std::string name;
  std::uint64_t seed = 1;
  double duration_s = 60;
  bool shifting = false; ///< Counts for the goodput ratio.
  std::uint32_t reclaimable_price_percent = 30;
  std::vector<zone_plan> zones;
  delay_plan delay;
  engine_plan engine;
  std::vector<team_plan> teams;
  std::vector<class_plan> classes;
  std::vector<phase_plan> phases;
  std::vector<flood_plan> floods;
  std::vector<fault_plan> faults;
};

/// Reads and checks a scenario; an error names the field.
result<scenario> parse_scenario(std::string_view json);

} // namespace nutmegspur::load

template <> struct nutmegspur::enum_names<nutmegspur::load::fault_kind> {
  static constexpr std::array<enum_name<load::fault_kind>, 4> table{{
      {load::fault_kind::engine_lost, "engine_lost"},
      {load::fault_kind::zone_reclaim, "zone_reclaim"},
      {load::fault_kind::platform_out, "platform_out"},
      {load::fault_kind::region_cut, "region_cut"},
  }};
};
