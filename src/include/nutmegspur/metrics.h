/// \file metrics.h
/// Counters, gauges and histograms, rendered in the Prometheus text format (version 0.0.4).
///
/// Values are relaxed atomics: any thread may update and render them.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// A label of a series, such as {"team", "thun"}.
struct metric_label {
  std::string name;
  std::string value;

  auto operator<=>(const metric_label&) const = default;
};

using metric_labels = std::vector<metric_label>;

/// A value that only increases.
class counter {
 public:
  void add(std::uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }

  [[nodiscard]] std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// A value that can increase and decrease.
class gauge {
 public:
  void set(std::int64_t n) { value_.store(n, std::memory_order_relaxed); }

  void add(std::int64_t n) { value_.fetch_add(n, std::memory_order_relaxed); }

  [[nodiscard]] std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Counts observations, in seconds, in fixed buckets. Their upper bounds are 1 ms to about 2 min,
/// each twice the previous one.
class histogram {
 public:
  static constexpr std::size_t bucket_count = 18;

  /// Upper bound of bucket `i`, in seconds.
  static double bound(std::size_t i);

  void observe(double value_seconds);

  /// Number of observations in bucket `i`, not cumulative. `bucket_count` is the overflow bucket.
  [[nodiscard]] std::uint64_t in_bucket(std::size_t i) const;
  [[nodiscard]] std::uint64_t count() const;
  /// Sum of all observations, in seconds.
  [[nodiscard]] double sum() const;
  /// Upper bound of the bucket that contains the `q`-quantile (0..1), in seconds. For the overflow
  /// bucket, twice the largest bound.
  [[nodiscard]] double quantile(double q) const;

 private:
  std::array<std::atomic<std::uint64_t>, bucket_count + 1> buckets_{};
  std::atomic<std::uint64_t> sum_micros_{0};
};

/// All series of a process. Returned references stay valid for the lifetime of the registry.
class metric_registry {
 public:
  /// Maximum number of series of each metric type. Beyond it, new series of a name share one series
  /// whose label values are all "other".
  static constexpr std::size_t max_series = 20'000;

  counter& get_counter(std::string_view name, const metric_labels& labels = {});
  gauge& get_gauge(std::string_view name, const metric_labels& labels = {});
  histogram& get_histogram(std::string_view name, const metric_labels& labels = {});

  /// All series in the Prometheus text format.
  [[nodiscard]] std::string render() const;

 private:
  struct series_key {
    std::string name;
    metric_labels labels;

    auto operator<=>(const series_key&) const = default;
  };

  template <class M> using series_map = std::map<series_key, std::unique_ptr<M>>;

  template <class M>
  M& find_or_add(series_map<M>& in, std::string_view name, const metric_labels& labels);

  mutable std::mutex mutex_;
  series_map<counter> counters_;
  series_map<gauge> gauges_;
  series_map<histogram> histograms_;
};

} // namespace nutmegspur
