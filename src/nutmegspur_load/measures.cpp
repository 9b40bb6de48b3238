/// \file measures.cpp
/// Sums up a run.

#include "measures.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <algorithm>
#include <cstdio>

namespace nutmegspur::load {

namespace {

constexpr double micros_per_second = 1e6;
constexpr double milli = 1000;

double
seconds_of(duration span) {
  return static_cast<double>(span.count()) / micros_per_second;
}

percentiles
percentiles_of(std::vector<double> samples) {
  if (samples.empty()) {
    return {};
  }
  std::sort(samples.begin(), samples.end());
  const auto at = [&](double q) {
    return samples[static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1))];
  };
  return {at(0.50), at(0.95), at(0.99)};
}

QJsonObject
to_object(const percentiles& it) {
  return {{"p50", it.p50}, {"p95", it.p95}, {"p99", it.p99}};
}

} // namespace

measure_book::measure_book(const scenario& in, const std::vector<planned_request>& requests)
    : in_(in), requests_(requests), records_(requests.size()), ended_(requests.size(), false) {}

void
measure_book::set_end(std::uint64_t number, request_end end, duration total) {
  if (ended_[number - 1]) {
    return;
  }
  ended_[number - 1] = true;
  auto& it = records_[number - 1];
  const auto& wanted = requests_[number - 1];
  it.end = end;
  it.total = total;
  if (end == request_end::whole && it.tokens != wanted.output_tokens) {
    it.end = request_end::failed;
  } else if (end == request_end::whole && total > in_.classes[wanted.kind].deadline) {
    it.end = request_end::late;
  }
}

void
measure_book::add_tokens(std::uint64_t number, std::uint32_t tokens, duration since_arrival) {
  auto& it = records_[number - 1];
  if (it.tokens == 0) {
    it.first_token = since_arrival;
  }
  it.tokens += tokens;
}

measures
measure_book::sum_up() const {
  measures sum;
  sum.scenario = in_.name;
  sum.offered = requests_.size();
  for (const auto& it : in_.classes) {
    sum.classes.push_back({it.name});
  }
  std::vector<double> first;
  std::vector<double> between;
  std::vector<double> asked(in_.teams.size(), 0);
  std::vector<double> delivered(in_.teams.size(), 0);
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    const auto& record = records_[i];
    const auto cost = static_cast<double>(weighted_cost(requests_[i])) / milli;
    asked[requests_[i].team] += cost;
    auto& kind = sum.classes[requests_[i].kind];
    kind.offered += 1;
    kind.whole += record.end == request_end::whole ? 1 : 0;
    kind.late += record.end == request_end::late ? 1 : 0;
    kind.refused += record.end == request_end::refused ? 1 : 0;
    sum.late += record.end == request_end::late ? 1 : 0;
    sum.refused += record.end == request_end::refused ? 1 : 0;
    sum.failed += record.end == request_end::failed ? 1 : 0;
    if (record.tokens > 0) {
      first.push_back(seconds_of(record.first_token));
    }
    if (record.end != request_end::whole) {
      continue;
    }
    sum.whole += 1;
    delivered[requests_[i].team] += cost;
    if (record.tokens > 1) {
      between.push_back(seconds_of(record.total - record.first_token) / (record.tokens - 1));
    }
  }
  std::vector<double> weights;
  double all_asked = 0;
  double all_delivered = 0;
  for (std::size_t i = 0; i < in_.teams.size(); ++i) {
    weights.push_back(in_.teams[i].weight);
    all_asked += asked[i];
    all_delivered += delivered[i];
  }
  const auto fair = fair_shares(all_delivered, asked, weights);
  sum.worst_team = 1;
  for (std::size_t i = 0; i < in_.teams.size(); ++i) {
    sum.teams.push_back({in_.teams[i].name, asked[i], delivered[i], fair[i]});
    const double ratio = fair[i] > 0 ? delivered[i] / fair[i] : 1;
    if (ratio < sum.worst_team) {
      sum.worst_team = ratio;
      sum.worst_team_name = in_.teams[i].name;
    }
  }
  sum.goodput =
      sum.offered > 0 ? static_cast<double>(sum.whole) / static_cast<double>(sum.offered) : 0;
  sum.goodput_cost = all_asked > 0 ? all_delivered / all_asked : 0;
  sum.first_token = percentiles_of(std::move(first));
  sum.between_tokens = percentiles_of(std::move(between));
  return sum;
}

std::vector<double>
fair_shares(double total, const std::vector<double>& asked, const std::vector<double>& weights) {
  std::vector<double> given(asked.size(), 0);
  std::vector<bool> full(asked.size(), false);
  double left = total;
  while (left > 1e-9) {
    double weight = 0;
    for (std::size_t i = 0; i < asked.size(); ++i) {
      weight += full[i] ? 0 : weights[i];
    }
    if (weight <= 0) {
      break;
    }
    // Raises all that are not full by the same level, until the next one is full or nothing is
    // left.
    double level = left / weight;
    for (std::size_t i = 0; i < asked.size(); ++i) {
      if (!full[i]) {
        level = std::min(level, (asked[i] - given[i]) / weights[i]);
      }
    }
    for (std::size_t i = 0; i < asked.size(); ++i) {
      if (!full[i]) {
        given[i] += level * weights[i];
        full[i] = given[i] >= asked[i] - 1e-9;
      }
    }
    left -= level * weight;
  }
  return given;
}

std::string
measure_line(const measures& it) {
  char line[256];
  std::snprintf(line, sizeof line, "%s %s %.3f %.3f %.3f %u", it.scenario.c_str(),
                it.policy.c_str(), it.goodput, it.worst_team, it.spend, it.role_changes);
  return line;
}

std::string
measure_json(const measures& it) {
  QJsonArray teams;
  for (const auto& team : it.teams) {
    teams.append(QJsonObject{{"team", QString::fromStdString(team.name)},
                             {"offered", team.offered_cost},
                             {"delivered", team.delivered_cost},
                             {"fair", team.fair_cost}});
  }
  QJsonArray classes;
  for (const auto& kind : it.classes) {
    classes.append(QJsonObject{{"class", QString::fromStdString(kind.name)},
                               {"offered", static_cast<qint64>(kind.offered)},
                               {"whole", static_cast<qint64>(kind.whole)},
                               {"late", static_cast<qint64>(kind.late)},
                               {"refused", static_cast<qint64>(kind.refused)}});
  }
  const QJsonObject all{{"scenario", QString::fromStdString(it.scenario)},
                        {"policy", QString::fromStdString(it.policy)},
                        {"offered", static_cast<qint64>(it.offered)},
                        {"whole", static_cast<qint64>(it.whole)},
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
