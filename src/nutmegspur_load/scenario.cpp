/// \file scenario.cpp
/// Parses and checks scenarios in JSON.

#include "scenario.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <algorithm>
#include <set>

namespace nutmegspur::load {

namespace {

/// Reads the fields of one JSON object and keeps the first error of the document.
class field_reader {
 public:
  field_reader(QJsonObject object, std::string path, std::optional<std::string>& first_error)
      : object_(std::move(object)), path_(std::move(path)), first_error_(first_error) {}

  field_reader(const field_reader&) = delete;
  field_reader& operator=(const field_reader&) = delete;

  /// Reports fields that were not read as unknown.
  ~field_reader() {
    for (const auto& name : object_.keys()) {
      if (!read_.contains(name.toStdString())) {
        record_error(name.toStdString(), "is not a known field");
      }
    }
  }

  template <class T> void number(const char* name, T& to, double min, double max) {
    const auto value = read_field(name);
    if (value.isUndefined()) {
      return;
    }
    const double n = value.toDouble(min - 1);
    if (!value.isDouble() || n < min || n > max) {
      record_error(name,
                   "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
      return;
    }
    to = static_cast<T>(n);
  }

  void milliseconds_field(const char* name, milliseconds& to) {
    constexpr double max_ms = 3'600'000;
    double ms = static_cast<double>(to.count());
    number(name, ms, 0, max_ms);
    to = milliseconds{static_cast<std::int64_t>(ms)};
  }

  void text(const char* name, std::string& to) {
    const auto value = read_field(name);
    if (!value.isString() || value.toString().isEmpty()) {
      record_error(name, "must be a non-empty string");
      return;
    }
    to = value.toString().toStdString();
  }

  template <class E> void enumerator(const char* name, E& to) {
    std::string found;
    text(name, found);
    if (const auto value = from_name<E>(found)) {
      to = *value;
    } else {
      record_error(name, "'" + found + "' is not a known value");
    }
  }

  void flag(const char* name, bool& to) {
    const auto value = read_field(name);
    if (!value.isUndefined()) {
      to = value.toBool();
    }
  }

  void token_range(const char* name, range& to) {
    constexpr double max_tokens = 1e6;
    const auto list = read_field(name).toArray();
    if (list.size() != 2 || list[0].toDouble() < 1 || list[1].toDouble() < list[0].toDouble() ||
        list[1].toDouble() > max_tokens) {
      record_error(name, "must be [minimum, maximum], from 1 to 1000000 tokens");
      return;
    }
    to = {static_cast<std::uint32_t>(list[0].toDouble()),
          static_cast<std::uint32_t>(list[1].toDouble())};
  }

  /// Calls `read(reader)` for each object of a list.
  template <class F> void list(const char* name, bool required, F read) {
    const auto value = read_field(name);
    if (!value.isArray() && (required || !value.isUndefined())) {
      record_error(name, "must be an array");
      return;
    }
    const auto items = value.toArray();
    if (required && items.isEmpty()) {
      record_error(name, "must not be empty");
    }
    for (int i = 0; i < items.size(); ++i) {
      const auto where = path_ + name + "[" + std::to_string(i) + "].";
      field_reader item(items[i].toObject(), where, first_error_);
      read(item);
    }
  }

  template <class F> void object(const char* name, F read) {
    field_reader item(read_field(name).toObject(), path_ + name + ".", first_error_);
    read(item);
  }

  void record_error(const std::string& name, const std::string& what) {
    if (!first_error_) {
      first_error_ = path_ + name + " " + what;
    }
  }

 private:
  QJsonValue read_field(const char* name) {
    read_.insert(name);
    return object_.value(QLatin1String(name));
  }

  QJsonObject object_;
  std::string path_;
  std::optional<std::string>& first_error_;
  std::set<std::string> read_;
};

constexpr double max_count = 1000;
constexpr double max_seconds = 86'400;
constexpr double max_rate = 1e6;

void
read_fleet(field_reader& in, scenario& to) {
  in.list("zones", true, [&](field_reader& item) {
    auto& it = to.zones.emplace_back();
    item.text("name", it.name);
    item.text("region", it.region);
    item.number("entries", it.entries, 1, max_count);
    item.number("engines", it.engines, 1, max_count);
  });
  in.object("delay", [&](field_reader& item) {
    item.milliseconds_field("zone_ms", to.delay.zone);
    item.milliseconds_field("region_ms", to.delay.region);
    item.milliseconds_field("client_ms", to.delay.client);
  });
  in.object("engine", [&](field_reader& item) {
    auto& it = to.engine;
    item.number("prefill_rate", it.prefill_rate, 1, max_rate);
    item.number("decode_rate", it.decode_rate, 1, max_rate);
    item.number("slots", it.slots, 1, max_rate);
    item.number("blocks", it.blocks, 1, max_rate);
    item.number("block_tokens", it.block_tokens, 1, max_rate);
    item.milliseconds_field("report_lag_ms", it.report_lag);
    item.milliseconds_field("role_change_ms", it.role_change_time);
    item.milliseconds_field("load_ms", it.load_time);
    item.milliseconds_field("start_ms", it.startup_time);
  });
}

void
read_demand(field_reader& in, scenario& to) {
  in.list("teams", true, [&](field_reader& item) {
    auto& it = to.teams.emplace_back();
    item.text("name", it.name);
    item.number("weight", it.weight, 1, max_count);
    item.number("share", it.share, 0, max_rate);
  });
  in.list("classes", true, [&](field_reader& item) {
    auto& it = to.classes.emplace_back();
    item.text("name", it.name);
    item.enumerator("priority", it.priority);
    item.milliseconds_field("deadline_ms", it.deadline);
    item.token_range("prompt", it.prompt);
    item.token_range("output", it.output);
    item.number("prefixes", it.prefixes, 1, max_rate);
    item.number("prefix_tokens", it.prefix_tokens, 0, max_rate);
  });
  in.list("phases", true, [&](field_reader& item) {
    auto& it = to.phases.emplace_back();
    item.number("until_s", it.until_s, 1, max_seconds);
    item.number("ramp_s", it.ramp_s, 0, max_seconds);
    item.number("requests_per_second", it.requests_per_second, 0, max_rate);
    item.list("mix", true, [&](field_reader& mix_item) {
      auto& class_share = it.mix.emplace_back();
      mix_item.text("class", class_share.class_name);
      mix_item.number("share", class_share.share, 0, max_rate);
    });
  });
  in.list("floods", false, [&](field_reader& item) {
    auto& it = to.floods.emplace_back();
    item.text("team", it.team);
    item.number("from_s", it.from_s, 0, max_seconds);
    item.number("to_s", it.to_s, 0, max_seconds);
    item.number("factor", it.factor, 1, max_count);
  });
}

void
read_faults(field_reader& in, scenario& to) {
  in.list("faults", false, [&](field_reader& item) {
    auto& it = to.faults.emplace_back();
    item.enumerator("kind", it.kind);
    item.number("at_s", it.at_s, 0, max_seconds);
    item.number("for_s", it.for_s, 0, max_seconds);
    item.text("zone", it.zone);
  });
}

template <class List, class Name>
bool
has_name(const List& list, const Name& name) {
  return std::any_of(list.begin(), list.end(), [&](const auto& it) { return it.name == name; });
}

std::optional<std::string>
find_unknown_reference(const scenario& it) {
  for (const auto& phase : it.phases) {
    for (const auto& class_share : phase.mix) {
      if (!has_name(it.classes, class_share.class_name)) {
        return "phases: mix names the unknown class '" + class_share.class_name + "'";
      }
    }
  }
  for (const auto& flood : it.floods) {
    if (!has_name(it.teams, flood.team)) {
      return "floods: unknown team '" + flood.team + "'";
    }
  }
  for (const auto& fault : it.faults) {
    if (!has_name(it.zones, fault.zone)) {
      return "faults: unknown zone '" + fault.zone + "'";
    }
  }
  return std::nullopt;
}

tl::unexpected<error>
make_error(const std::string& what) {
  return fail({error_code::invalid_argument, step::settings_parse, "", "scenario: " + what});
}

} // namespace

result<scenario>
parse_scenario(std::string_view json) {
  QJsonParseError parse_error;
  const auto bytes = QByteArray(json.data(), static_cast<qsizetype>(json.size()));
  const auto document = QJsonDocument::fromJson(bytes, &parse_error);
  if (!document.isObject()) {
    return make_error("not a JSON object: " + parse_error.errorString().toStdString());
  }
  scenario it;
  std::optional<std::string> first_error;
  {
    field_reader in(document.object(), "", first_error);
    in.text("name", it.name);
    in.number("seed", it.seed, 0, 1e15);
    in.number("duration_s", it.duration_s, 1, max_seconds);
    in.flag("shifting", it.shifting);
    in.number("reclaimable_price_percent", it.reclaimable_price_percent, 1, 100);
    read_fleet(in, it);
    read_demand(in, it);
    read_faults(in, it);
  }
  if (!first_error) {
    first_error = find_unknown_reference(it);
  }
  if (first_error) {
    return make_error(*first_error);
  }
  return it;
}

} // namespace nutmegspur::load
