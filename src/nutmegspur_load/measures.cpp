/// \file measures.cpp
/// Computes and formats the metrics of a run.

#include "measures.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <algorithm>
#include <cstdio>

namespace nutmegspur::load {

namespace {

constexpr double micros_per_second = 1e6;
constexpr double milli_per_token = 1000;

double
to_seconds(duration time) {
  return static_cast<double>(time.count()) / micros_per_second;
}

percentiles
compute_percentiles(std::vector<double> samples) {
  if (samples.empty()) {
    return {};
  }
  std::sort(samples.begin(), samples.end());
  const auto quantile = [&](double q) {
    return samples[static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1))];
  };
  return {quantile(0.50), quantile(0.95), quantile(0.99)};
}

QJsonObject
to_object(const percentiles& it) {
  return {{"p50", it.p50}, {"p95", it.p95}, {"p99", it.p99}};
}

} // namespace

metrics_recorder::metrics_recorder(const scenario& in, const std::vector<planned_request>& requests)
    : in_(in), requests_(requests), records_(requests.size()), ended_(requests.size(), false) {}

void
metrics_recorder::record_result(std::uint64_t number, request_result end, duration total) {
  if (ended_[number - 1]) {
    return;
  }
  ended_[number - 1] = true;
  auto& it = records_[number - 1];
  const auto& planned = requests_[number - 1];
  it.end = end;
  it.total = total;
  if (end == request_result::completed && it.tokens != planned.output_tokens) {
    it.end = request_result::failed;
  } else if (end == request_result::completed &&
             total > in_.classes[planned.class_index].deadline) {
    it.end = request_result::late;
  }
}

void
metrics_recorder::add_tokens(std::uint64_t number, std::uint32_t tokens, duration since_arrival) {
  auto& it = records_[number - 1];
  if (it.tokens == 0) {
    it.first_token = since_arrival;
  }
  it.tokens += tokens;
}

run_metrics
metrics_recorder::summarize() const {
  run_metrics metrics;
  metrics.scenario = in_.name;
  metrics.offered = requests_.size();
  for (const auto& it : in_.classes) {
    metrics.classes.push_back({it.name});
  }
  std::vector<double> first_token_times;
  std::vector<double> token_intervals;
  std::vector<double> demands(in_.teams.size(), 0);
  std::vector<double> delivered(in_.teams.size(), 0);
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    const auto& record = records_[i];
    const auto cost = static_cast<double>(weighted_cost(requests_[i])) / milli_per_token;
    demands[requests_[i].team] += cost;
    auto& class_entry = metrics.classes[requests_[i].class_index];
    class_entry.offered += 1;
    class_entry.completed += record.end == request_result::completed ? 1 : 0;
    class_entry.late += record.end == request_result::late ? 1 : 0;
    class_entry.refused += record.end == request_result::refused ? 1 : 0;
    metrics.late += record.end == request_result::late ? 1 : 0;
    metrics.refused += record.end == request_result::refused ? 1 : 0;
    metrics.failed += record.end == request_result::failed ? 1 : 0;
    if (record.tokens > 0) {
      first_token_times.push_back(to_seconds(record.first_token));
    }
    if (record.end != request_result::completed) {
      continue;
    }
    metrics.completed += 1;
    delivered[requests_[i].team] += cost;
    if (record.tokens > 1) {
      token_intervals.push_back(to_seconds(record.total - record.first_token) /
                                (record.tokens - 1));
    }
  }
  std::vector<double> weights;
  double total_demand = 0;
  double total_delivered = 0;
  for (std::size_t i = 0; i < in_.teams.size(); ++i) {
    weights.push_back(in_.teams[i].weight);
    total_demand += demands[i];
    total_delivered += delivered[i];
  }
  const auto fair = fair_shares(total_delivered, demands, weights);
  metrics.worst_team = 1;
  for (std::size_t i = 0; i < in_.teams.size(); ++i) {
    metrics.teams.push_back({in_.teams[i].name, demands[i], delivered[i], fair[i]});
    const double ratio = fair[i] > 0 ? delivered[i] / fair[i] : 1;
    if (ratio < metrics.worst_team) {
      metrics.worst_team = ratio;
      metrics.worst_team_name = in_.teams[i].name;
    }
  }
  metrics.goodput = metrics.offered > 0 ? static_cast<double>(metrics.completed) /
                                              static_cast<double>(metrics.offered)
                                        : 0;
  metrics.goodput_cost = total_demand > 0 ? total_delivered / total_demand : 0;
  metrics.first_token = compute_percentiles(std::move(first_token_times));
  metrics.between_tokens = compute_percentiles(std::move(token_intervals));
  return metrics;
}

std::vector<double>
fair_shares(double total, const std::vector<double>& demands, const std::vector<double>& weights) {
  std::vector<double> allocated(demands.size(), 0);
  std::vector<bool> satisfied(demands.size(), false);
  double remaining = total;
  while (remaining > 1e-9) {
    double weight = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
      weight += satisfied[i] ? 0 : weights[i];
    }
    if (weight <= 0) {
      break;
    }
    // Raises all unsatisfied teams by the same level per weight, until the next demand is satisfied
    // or nothing remains.
    double level = remaining / weight;
    for (std::size_t i = 0; i < demands.size(); ++i) {
      if (!satisfied[i]) {
        level = std::min(level, (demands[i] - allocated[i]) / weights[i]);
      }
    }
    for (std::size_t i = 0; i < demands.size(); ++i) {
      if (!satisfied[i]) {
        allocated[i] += level * weights[i];
        satisfied[i] = allocated[i] >= demands[i] - 1e-9;
      }
    }
    remaining -= level * weight;
  }
  return allocated;
}

std::string
metrics_line(const run_metrics& it) {
  char line[256];
  std::snprintf(line, sizeof line, "%s %s %.3f %.3f %.3f %u", it.scenario.c_str(),
                it.policy.c_str(), it.goodput, it.worst_team, it.spend, it.role_changes);
  return line;
}

std::string
metrics_json(const run_metrics& it) {
  QJsonArray teams;
  for (const auto& team : it.teams) {
    teams.append(QJsonObject{{"team", QString::fromStdString(team.name)},
                             {"offered", team.offered_cost},
                             {"delivered", team.delivered_cost},
                             {"fair", team.fair_cost}});
  }
  QJsonArray classes;
  for (const auto& class_entry : it.classes) {
    classes.append(QJsonObject{{"class", QString::fromStdString(class_entry.name)},
                               {"offered", static_cast<qint64>(class_entry.offered)},
                               {"whole", static_cast<qint64>(class_entry.completed)},
                               {"late", static_cast<qint64>(class_entry.late)},
                               {"refused", static_cast<qint64>(class_entry.refused)}});
  }
  const QJsonObject all{{"scenario", QString::fromStdString(it.scenario)},
                        {"policy", QString::fromStdString(it.policy)},
                        {"offered", static_cast<qint64>(it.offered)},
                        {"whole", static_cast<qint64>(it.completed)},
                        {"late", static_cast<qint64>(it.late)},
                        {"refused", static_cast<qint64>(it.refused)},
                        {"failed", static_cast<qint64>(it.failed)},
                        {"goodput", it.goodput},
                        {"goodput_cost", it.goodput_cost},
                        {"worst_team", it.worst_team},
                        {"worst_team_name", QString::fromStdString(it.worst_team_name)},
                        {"spend", it.spend},
                        {"role_changes", static_cast<qint64>(it.role_changes)},
                        {"region_bytes", it.region_bytes},
                        {"first_token_s", to_object(it.first_token)},
                        {"between_tokens_s", to_object(it.between_tokens)},
                        {"teams", teams},
                        {"classes", classes}};
  return QJsonDocument(all).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace nutmegspur::load
