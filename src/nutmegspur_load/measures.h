/// \file measures.h
/// What a run is judged by: goodput, the worst-served team, spend, role changes, latencies.
#pragma once

#include "scenario.h"
#include "workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegspur::load {

/// How a request ended.
enum class request_result { completed, late, refused, failed };

/// One request as its caller saw it.
struct request_record {
  request_result end = request_result::failed;
  duration first_token{0}; ///< From arrival; zero if there was none.
  duration total{0};       ///< From arrival to the end of the answer.
  std::uint32_t tokens = 0;
};

/// Percentiles of a latency, in seconds.
struct percentiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

/// One team's service.
struct team_metrics {
  std::string name;
  double offered_cost = 0;   ///< Weighted tokens.
  double delivered_cost = 0; ///< Of answers whole and in time.
  double fair_cost = 0;      ///< Its fair share of all that was delivered.
};

/// One class's requests.
struct class_metrics {
  std::string name;
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
};

/// The figures of a run.
struct run_metrics {
  std::string scenario;
  std::string policy;
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  double goodput = 0;      ///< Whole answers in time, over requests offered.
  double goodput_cost = 0; ///< The same, each request weighed by its tokens.
  double worst_team = 0;   ///< Least of delivered over fair share.
  std::string worst_team_name;
  double spend = 0; ///< Against the scenario's engines running on demand throughout.
  std::uint32_t role_changes = 0;
  double region_bytes = 0;
  percentiles first_token;
  percentiles between_tokens;
  std::vector<team_metrics> teams;
  std::vector<class_metrics> classes;
};

/// Collects the ends of requests.
class metrics_recorder {
 public:
  metrics_recorder(const scenario& in, const std::vector<planned_request>& requests);

  /// The first of several ends counts.
  void record_result(std::uint64_t number, request_result end, duration total);
  void add_tokens(std::uint64_t number, std::uint32_t tokens, duration since_arrival);

  [[nodiscard]] const request_record& record(std::uint64_t number) const {
    return records_[number - 1];
  }

  /// The figures; spend, role changes and bytes are the caller's to fill in.
  [[nodiscard]] run_metrics summarize() const;

 private:
  const scenario& in_;
  const std::vector<planned_request>& requests_;
  std::vector<request_record> records_;
  std::vector<bool> ended_;
};

/// Splits `total` between teams by weight, giving none more than it asked for (max-min fair).
std::vector<double> fair_shares(double total, const std::vector<double>& demands,
                                const std::vector<double>& weights);

/// "scenario policy goodput worst_team spend role_changes".
std::string metrics_line(const run_metrics& it);
/// All figures as one JSON line.
std::string metrics_json(const run_metrics& it);

} // namespace nutmegspur::load
