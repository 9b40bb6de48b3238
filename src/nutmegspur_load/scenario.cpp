/// \file scenario.cpp
/// Reads scenarios from JSON.

#include "scenario.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <algorithm>
#include <set>

namespace nutmegspur::load {

namespace {

/// Reads the fields of one object and keeps the first mistake.
class field_reader {
 public:
  field_reader(QJsonObject object, std::string path, std::optional<std::string>& mistake)
      : object_(std::move(object)), path_(std::move(path)), mistake_(mistake) {}

  field_reader(const field_reader&) = delete;
  field_reader& operator=(const field_reader&) = delete;

  /// Complains about fields that nobody read.
  ~field_reader() {
    for (const auto& name : object_.keys()) {
      if (!read_.contains(name.toStdString())) {
        complain(name.toStdString(), "is not known");
      }
    }
  }

  template <class T> void number(const char* name, T& to, double least, double most) {
    const auto value = take(name);
    if (value.isUndefined()) {
      return;
    }
    const double n = value.toDouble(least - 1);
    if (!value.isDouble() || n < least || n > most) {
      complain(name,
               "must be a number from " + std::to_string(least) + " to " + std::to_string(most));
      return;
    }
    to = static_cast<T>(n);
  }

  void span(const char* name, milliseconds& to) {
    constexpr double most_ms = 3'600'000;
    double ms = static_cast<double>(to.count());
    number(name, ms, 0, most_ms);
    to = milliseconds{static_cast<std::int64_t>(ms)};
  }

  void text(const char* name, std::string& to) {
    const auto value = take(name);
    if (!value.isString() || value.toString().isEmpty()) {
      complain(name, "must be a text");
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
      complain(name, "'" + found + "' is not one of its values");
    }
  }

  void flag(const char* name, bool& to) {
    const auto value = take(name);
    if (!value.isUndefined()) {
      to = value.toBool();
    }
  }

  void numbers(const char* name, range& to) {
    constexpr double most_tokens = 1e6;
    const auto list = take(name).toArray();
    if (list.size() != 2 || list[0].toDouble() < 1 || list[1].toDouble() < list[0].toDouble() ||
        list[1].toDouble() > most_tokens) {
      complain(name, "must be [least, most]");
      return;
    }
    to = {static_cast<std::uint32_t>(list[0].toDouble()),
          static_cast<std::uint32_t>(list[1].toDouble())};
  }

  /// Calls `read(reader)` for each object of a list.
  template <class F> void list(const char* name, bool required, F read) {
    const auto value = take(name);
    if (!value.isArray() && (required || !value.isUndefined())) {
      complain(name, "must be a list");
      return;
    }
    const auto items = value.toArray();
    if (required && items.isEmpty()) {
      complain(name, "must not be empty");
    }
    for (int i = 0; i < items.size(); ++i) {
      const auto where = path_ + name + "[" + std::to_string(i) + "].";
      field_reader item(items[i].toObject(), where, mistake_);
      read(item);
    }
  }

  template <class F> void object(const char* name, F read) {
    field_reader item(take(name).toObject(), path_ + name + ".", mistake_);
    read(item);
  }

  void complain(const std::string& name, const std::string& what) {
    if (!mistake_) {
      mistake_ = path_ + name + " " + what;
    }
  }

 private:
  QJsonValue take(const char* name) {
    read_.insert(name);
    return object_.value(QLatin1String(name));
  }

  QJsonObject object_;
  std::string path_;
  std::optional<std::string>& mistake_;
  std::set<std::string> read_;
};

constexpr double most_count = 1000;
constexpr double most_seconds = 86'400;
constexpr double most_rate = 1e6;

void
read_fleet(field_reader& in, scenario& to) {
  in.list("zones", true, [&](field_reader& item) {
    auto& it = to.zones.emplace_back();
    item.text("name", it.name);
    item.text("region", it.region);
    item.number("entries", it.entries, 1, most_count);
    item.number("engines", it.engines, 1, most_count);
  });
  in.object("delay", [&](field_reader& item) {
    item.span("zone_ms", to.delay.zone);
    item.span("region_ms", to.delay.region);
    item.span("client_ms", to.delay.client);
  });
  in.object("engine", [&](field_reader& item) {
    auto& it = to.engine;
    item.number("prefill_rate", it.prefill_rate, 1, most_rate);
    item.number("decode_rate", it.decode_rate, 1, most_rate);
    item.number("slots", it.slots, 1, most_rate);
    item.number("blocks", it.blocks, 1, most_rate);
    item.number("block_tokens", it.block_tokens, 1, most_rate);
    item.span("report_lag_ms", it.report_lag);
    item.span("role_change_ms", it.role_change);
    item.span("load_ms", it.load);
    item.span("start_ms", it.start);
  });
}

void
read_demand(field_reader& in, scenario& to) {
  in.list("teams", true, [&](field_reader& item) {
    auto& it = to.teams.emplace_back();
    item.text("name", it.name);
    item.number("weight", it.weight, 1, most_count);
    item.number("share", it.share, 0, most_rate);
  });
  in.list("classes", true, [&](field_reader& item) {
    auto& it = to.classes.emplace_back();
    item.text("name", it.name);
    item.enumerator("priority", it.priority);
    item.span("deadline_ms", it.deadline);
    item.numbers("prompt", it.prompt);
    item.numbers("output", it.output);
    item.number("prefixes", it.prefixes, 1, most_rate);
    item.number("prefix_tokens", it.prefix_tokens, 0, most_rate);
  });
  in.list("phases", true, [&](field_reader& item) {
    auto& it = to.phases.emplace_back();
    item.number("until_s", it.until_s, 1, most_seconds);
    item.number("ramp_s", it.ramp_s, 0, most_seconds);
    item.number("requests_per_second", it.requests_per_second, 0, most_rate);
    item.list("mix", true, [&](field_reader& share) {
      auto& part = it.mix.emplace_back();
      share.text("class", part.class_name);
      share.number("share", part.share, 0, most_rate);
    });
  });
  in.list("floods", false, [&](field_reader& item) {
    auto& it = to.floods.emplace_back();
    item.text("team", it.team);
    item.number("from_s", it.from_s, 0, most_seconds);
    item.number("to_s", it.to_s, 0, most_seconds);
    item.number("factor", it.factor, 1, most_count);
  });
}

void
read_faults(field_reader& in, scenario& to) {
  in.list("faults", false, [&](field_reader& item) {
    auto& it = to.faults.emplace_back();
    item.enumerator("kind", it.kind);
    item.number("at_s", it.at_s, 0, most_seconds);
    item.number("for_s", it.for_s, 0, most_seconds);
    item.text("zone", it.zone);
  });
}

template <class List, class Name>
bool
has(const List& list, const Name& name) {
  return std::any_of(list.begin(), list.end(), [&](const auto& it) { return it.name == name; });
}

std::optional<std::string>
find_dangling(const scenario& it) {
  for (const auto& phase : it.phases) {
    for (const auto& part : phase.mix) {
      if (!has(it.classes, part.class_name)) {
        return "phases: mix names no class '" + part.class_name + "'";
      }
    }
  }
  for (const auto& flood : it.floods) {
    if (!has(it.teams, flood.team)) {
      return "floods: there is no team '" + flood.team + "'";
    }
  }
  for (const auto& fault : it.faults) {
    if (!has(it.zones, fault.zone)) {
      return "faults: there is no zone '" + fault.zone + "'";
    }
  }
  return std::nullopt;
}

tl::unexpected<error>
bad(const std::string& what) {
  return fail({error_code::invalid_argument, step::settings_parse, "", "scenario: " + what});
}

} // namespace

result<scenario>
parse_scenario(std::string_view json) {
  QJsonParseError problem;
  const auto bytes = QByteArray(json.data(), static_cast<qsizetype>(json.size()));
  const auto document = QJsonDocument::fromJson(bytes, &problem);
  if (!document.isObject()) {
    return bad("not a JSON object: " + problem.errorString().toStdString());
  }
  scenario it;
  std::optional<std::string> mistake;
  {
    field_reader in(document.object(), "", mistake);
    in.text("name", it.name);
    in.number("seed", it.seed, 0, 1e15);
    in.number("duration_s", it.duration_s, 1, most_seconds);
    in.flag("shifting", it.shifting);
    in.number("reclaimable_price_percent", it.reclaimable_price_percent, 1, 100);
    read_fleet(in, it);
    read_demand(in, it);
    read_faults(in, it);
  }
  if (!mistake) {
    mistake = find_dangling(it);
  }
  if (mistake) {
    return bad(*mistake);
  }
  return it;
}

} // namespace nutmegspur::load
