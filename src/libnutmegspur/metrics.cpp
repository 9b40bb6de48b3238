// Counters, gauges and histograms, and their Prometheus text format.
#include <nutmegspur/metrics.h>

#include <sstream>

namespace nutmegspur {

namespace {

constexpr double first_bound_seconds = 0.001;
constexpr double micros_per_second = 1e6;

std::string
escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

std::string
label_text(const metric_labels& labels, const std::string& extra = "") {
  std::string text;
  for (const auto& it : labels) {
    text += (text.empty() ? "" : ",") + it.name + "=\"" + escape(it.value) + "\"";
  }
  if (!extra.empty()) {
    text += (text.empty() ? "" : ",") + extra;
  }
  return text.empty() ? text : "{" + text + "}";
}

void
render_histogram(std::ostream& page, const std::string& name, const metric_labels& labels,
                 const histogram& it) {
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < histogram::bucket_count; ++i) {
    cumulative += it.in_bucket(i);
    std::ostringstream bound;
    bound << "le=\"" << histogram::bound(i) << '"';
    page << name << "_bucket" << label_text(labels, bound.str()) << ' ' << cumulative << '\n';
  }
  page << name << "_bucket" << label_text(labels, "le=\"+Inf\"") << ' ' << it.count() << '\n';
  page << name << "_sum" << label_text(labels) << ' ' << it.sum() << '\n';
  page << name << "_count" << label_text(labels) << ' ' << it.count() << '\n';
}

} // namespace

double
histogram::bound(std::size_t i) {
  return first_bound_seconds * static_cast<double>(1ULL << i);
}

void
histogram::observe(double value_seconds) {
  std::size_t i = 0;
  while (i < bucket_count && value_seconds > bound(i)) {
    ++i;
  }
  buckets_.at(i).fetch_add(1, std::memory_order_relaxed);
  const double micros = std::max(0.0, value_seconds) * micros_per_second;
  sum_micros_.fetch_add(static_cast<std::uint64_t>(micros), std::memory_order_relaxed);
}

std::uint64_t
histogram::in_bucket(std::size_t i) const {
  return buckets_.at(i).load(std::memory_order_relaxed);
}

std::uint64_t
histogram::count() const {
  std::uint64_t n = 0;
  for (const auto& it : buckets_) {
    n += it.load(std::memory_order_relaxed);
  }
  return n;
}

double
histogram::sum() const {
  return static_cast<double>(sum_micros_.load(std::memory_order_relaxed)) / micros_per_second;
}

double
histogram::quantile(double q) const {
  const double target_count = q * static_cast<double>(count());
  double cumulative = 0;
  for (std::size_t i = 0; i < bucket_count; ++i) {
    cumulative += static_cast<double>(in_bucket(i));
    if (cumulative >= target_count) {
      return bound(i);
    }
  }
  return bound(bucket_count);
}

template <class M>
M&
metric_registry::find_or_add(series_map<M>& in, std::string_view name,
                             const metric_labels& labels) {
  const std::lock_guard lock{mutex_};
  series_key key{std::string{name}, labels};
  auto it = in.find(key);
  if (it != in.end()) {
    return *it->second;
  }
  if (in.size() >= max_series) {
    for (auto& label : key.labels) {
      label.value = "other";
    }
  }
  auto& slot = in[key];
  if (!slot) {
    slot = std::make_unique<M>();
  }
  return *slot;
}

counter&
metric_registry::get_counter(std::string_view name, const metric_labels& labels) {
  return find_or_add(counters_, name, labels);
}

gauge&
metric_registry::get_gauge(std::string_view name, const metric_labels& labels) {
  return find_or_add(gauges_, name, labels);
}

histogram&
metric_registry::get_histogram(std::string_view name, const metric_labels& labels) {
  return find_or_add(histograms_, name, labels);
}

std::string
metric_registry::render() const {
  const std::lock_guard lock{mutex_};
  std::ostringstream page;
  std::string last;
  const auto type_line = [&](const std::string& name, const char* type) {
    if (name != last) {
      page << "# TYPE " << name << ' ' << type << '\n';
      last = name;
    }
  };
  for (const auto& [key, it] : counters_) {
    type_line(key.name, "counter");
    page << key.name << label_text(key.labels) << ' ' << it->value() << '\n';
  }
  for (const auto& [key, it] : gauges_) {
    type_line(key.name, "gauge");
    page << key.name << label_text(key.labels) << ' ' << it->value() << '\n';
  }
  for (const auto& [key, it] : histograms_) {
    type_line(key.name, "histogram");
    render_histogram(page, key.name, key.labels, *it);
  }
  return page.str();
}

} // namespace nutmegspur
