// Measures how the state, message sizes and processor time of configuration and usage grow with the
// number of teams.
#include "slope.h"
#include "slopes.h"

#include <nutmegspur/config_peers.h>
#include <nutmegspur/config_state.h>
#include <nutmegspur/records.h>

#include <memory>

namespace nutmegspur::bench {

namespace {

constexpr int keys_per_team = 2;

kv_change
make_change(resource_kind kind, const std::string& name, const resource_spec& spec,
            std::int64_t at) {
  return {config_key(kind, name), spec_json(spec), {at}, {at}};
}

// Returns `teams` teams with their keys, 12 models, and an offer of each model.
std::vector<kv_change>
make_configuration(int teams) {
  std::vector<kv_change> all;
  std::int64_t at = 1;
  for (int n = 0; n < teams; ++n) {
    const std::string name = "team-" + std::to_string(n);
    all.push_back(make_change(resource_kind::team, name, team_spec{1, 50}, ++at));
    for (int key = 0; key < keys_per_team; ++key) {
      const std::string key_name = name + "-key-" + std::to_string(key);
      std::string digest = std::to_string(n * keys_per_team + key);
      digest.insert(0, 64 - digest.size(), '0');
      all.push_back(make_change(resource_kind::key, key_name,
                                key_spec{team_id{name}, key_role::caller, digest}, ++at));
    }
  }
  for (int n = 0; n < 12; ++n) {
    const std::string name = "model-" + std::to_string(n);
    all.push_back(make_change(resource_kind::model, name, model_spec{}, ++at));
    offer_spec offer;
    offer.model = model_id{name};
    offer.open_to_all = true;
    all.push_back(make_change(resource_kind::offer, name, offer, ++at));
  }
  return all;
}

double
encoded_bytes(const std::vector<kv_change>& changes) {
  double bytes = 0;
  for (const auto& it : delta_pages({}, {1}, changes)) {
    bytes += static_cast<double>(encode(it).size());
  }
  return bytes;
}

usage_record
make_usage_record(int teams) {
  usage_record record;
  record.zone = zone_id{"zone-1"};
  for (int n = 0; n < teams; ++n) {
    record.lines.push_back(
        {team_id{"team-" + std::to_string(n)}, "model-large", 31, 48'000, 20'000});
  }
  return record;
}

} // namespace

void
measure_teams() {
  std::vector<point> state;
  std::vector<point> load;
  std::vector<point> change;
  std::vector<point> snapshot;
  for (const int teams : {512, 1024, 2048, 4096, 8192}) {
    const auto all = make_configuration(teams);
    const revision at = all.back().modified;
    const double before = heap_bytes();
    auto loaded = std::make_unique<config_state>();
    loaded->replace(all, at);
    state.push_back({static_cast<double>(teams), heap_bytes() - before});
    load.push_back({static_cast<double>(teams), 1e3 * min_cpu_seconds([&] {
                                                  config_state fresh;
                                                  fresh.replace(all, at);
                                                })});
    std::int64_t next = at.value;
    change.push_back({static_cast<double>(teams),
                      1e3 * min_cpu_seconds([&] {
                        ++next;
                        loaded->apply(
                            {make_change(resource_kind::team, "team-1",
                                         team_spec{static_cast<std::uint32_t>(next), 50}, next)},
                            {next});
                      })});
    snapshot.push_back({static_cast<double>(teams), encoded_bytes(all)});
  }
  print_slope("configuration state", "bytes per instance", "teams (2 keys each)", state);
  print_slope("configuration load", "ms", "teams (2 keys each)", load);
  print_slope("configuration change", "ms per change", "teams (2 keys each)", change);
  print_slope("configuration snapshot", "bytes on the wire", "teams (2 keys each)", snapshot);
}

void
measure_usage() {
  std::vector<point> part;
  std::vector<point> value;
  std::vector<point> cpu;
  for (const int teams : {64, 256, 1024, 4000}) {
    const usage_record record = make_usage_record(teams);
    const auto x = static_cast<double>(teams);
    part.push_back({x, static_cast<double>(
                           encode(usage_part{instance_id{"entry-1"}, 1, 0, record.lines}).size())});
    value.push_back({x, static_cast<double>(to_json(record).size())});
    cpu.push_back({x, 1e3 * min_cpu_seconds([&] { (void)parse_usage(to_json(record)); })});
  }
  print_slope("usage part", "bytes", "lines", part);
  print_slope("usage record", "bytes of the stored value", "lines", value);
  print_slope("usage record encoded and parsed", "ms", "lines", cpu);
}

} // namespace nutmegspur::bench
