/// \file measures.h
/// Metrics of a run: goodput, fairness between teams, spend, role changes and latencies.
#pragma once

#include "scenario.h"
#include "workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegspur::load {

/// How a request ended. A response is `completed` if it has all tokens and came within the
/// deadline, `late` if it came after the deadline.
enum class request_result { completed, late, refused, failed };

/// Timing and result of one request as its caller saw them.
struct request_record {
  request_result end = request_result::failed;
  duration first_token{0}; ///< Since arrival; zero if no token came.
  duration total{0};       ///< From arrival to the end of the response.
  std::uint32_t tokens = 0;
};

/// Percentiles of a latency, in seconds.
struct percentiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

/// Cost of one team's requests, in weighted tokens.
struct team_metrics {
  std::string name;
  double offered_cost = 0;   ///< Of all its requests.
  double delivered_cost = 0; ///< Of its completed requests.
  double fair_cost = 0;      ///< Its max-min fair share of the cost delivered to all teams.
};

/// Requests of one class by result.
struct class_metrics {
  std::string name;
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
};

/// Metrics of one run of a scenario.
struct run_metrics {
  std::string scenario;
  std::string policy;
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  double goodput = 0;      ///< Completed requests over offered requests.
  double goodput_cost = 0; ///< The same, each request weighted by its cost in tokens.
  double worst_team = 0;   ///< Lowest ratio of delivered to fair cost of a team.
  std::string worst_team_name;
  double spend = 0; ///< Relative to running all the scenario's engines on demand for the whole run.
  std::uint32_t role_changes = 0;
  double region_bytes = 0; ///< Sent between regions.
  percentiles first_token;
  percentiles between_tokens;
  std::vector<team_metrics> teams;
  std::vector<class_metrics> classes;
};

/// Collects tokens and results of requests and computes the metrics.
class metrics_recorder {
 public:
  metrics_recorder(const scenario& in, const std::vector<planned_request>& requests);

  /// Records how a request ended; later results of the same request are ignored. A completed
  /// response becomes `failed` if its number of tokens is wrong and `late` if it missed the
  /// deadline.
  void record_result(std::uint64_t number, request_result end, duration total);
  void add_tokens(std::uint64_t number, std::uint32_t tokens, duration since_arrival);

  [[nodiscard]] const request_record& record(std::uint64_t number) const {
    return records_[number - 1];
  }

  /// Computes the metrics except policy, spend, role changes and region bytes, which the caller
  /// sets.
  [[nodiscard]] run_metrics summarize() const;

 private:
  const scenario& in_;
  const std::vector<planned_request>& requests_;
  std::vector<request_record> records_;
  std::vector<bool> ended_;
};

/// Splits `total` between teams by weight; none gets more than its demand (weighted max-min
/// fairness).
std::vector<double> fair_shares(double total, const std::vector<double>& demands,
                                const std::vector<double>& weights);

/// Formats a line "scenario policy goodput worst_team spend role_changes", as tools/measure reads
/// it.
std::string metrics_line(const run_metrics& it);
/// Formats all metrics as one line of JSON.
std::string metrics_json(const run_metrics& it);

} // namespace nutmegspur::load
