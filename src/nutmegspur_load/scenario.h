/// \file scenario.h
/// A load scenario: the fleet, teams, classes of requests, phases of load, and faults.
///
/// Scenarios are read from JSON. Every field is checked, and an error names the field.
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

/// One availability zone and its numbers of entry instances and engines.
struct zone_plan {
  std::string name;
  std::string region;
  std::uint32_t entries = 1;
  std::uint32_t engines = 1;
};

/// One-way network delays.
struct delay_plan {
  milliseconds zone{2};    ///< Between two zones of a region.
  milliseconds region{12}; ///< Between two regions.
  milliseconds client{1};  ///< From an entry instance to the caller.
};

/// Speed, capacity and times of an engine; all engines of a scenario have the same.
struct engine_plan {
  double prefill_rate = 8000;
  double decode_rate = 40;
  std::uint32_t slots = 32;
  std::uint32_t blocks = 64;
  std::uint32_t block_tokens = 4096;
  milliseconds report_lag{500};
  milliseconds role_change_time{6000};
  milliseconds load_time{15'000};
  milliseconds startup_time{45'000}; ///< From the order of an upstream until it takes work.
};

struct team_plan {
  std::string name;
  std::uint32_t weight = 1;
  double share = 1; ///< Share of the requests, relative to the other teams.
};

/// Uniform distribution of a number of tokens; both bounds are included.
struct range {
  std::uint32_t min = 1;
  std::uint32_t max = 1;
};

/// A class of requests with its sizes and deadline.
struct class_plan {
  std::string name;
  request_class priority = request_class::standard;
  milliseconds deadline{30'000};
  range prompt;
  range output;
  std::uint32_t prefixes = 1;      ///< Number of distinct shared prefixes for each team.
  std::uint32_t prefix_tokens = 0; ///< Length of a shared prefix.
};

/// Share of a class in the requests of a phase, relative to the other classes.
struct mix_share {
  std::string class_name;
  double share = 1;
};

/// A period with a constant rate and mix. Within its first `ramp_s` seconds, both change linearly
/// from those of the previous phase.
struct phase_plan {
  double until_s = 0;
  double ramp_s = 0;
  double requests_per_second = 1;
  std::vector<mix_share> mix;
};

/// A period in which a team's rate is multiplied by `factor`.
struct flood_plan {
  std::string team;
  double from_s = 0;
  double to_s = 0;
  double factor = 1;
};

enum class fault_kind { engine_lost, zone_reclaim, platform_out, region_cut };

/// A fault that begins at a set time.
struct fault_plan {
  fault_kind kind = fault_kind::engine_lost;
  double at_s = 0;
  double for_s = 0; ///< Duration; used by `platform_out` and `region_cut`.
  std::string zone;
};

/// A scenario as read from its file.
struct scenario {
  std::string name;
  std::uint64_t seed = 1;
  double duration_s = 60;
  bool shifting = false; ///< Included in the goodput ratio of tools/measure.
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

/// Parses and checks a scenario; an error names the field.
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
