// Keys and JSON form of the coordination records: zone leases, intents, upstream orders, usage
// windows and marks, claims.
#include <nutmegspur/records.h>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <concepts>
#include <limits>

namespace nutmegspur {

namespace {

QString
to_qt(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QLatin1StringView
to_latin(std::string_view name) {
  return {name.data(), static_cast<qsizetype>(name.size())};
}

std::string
compact(const QJsonObject& object) {
  return QJsonDocument{object}.toJson(QJsonDocument::Compact).toStdString();
}

/// JSON integers are signed 64-bit here; a greater count is clamped to the maximum.
QJsonValue
json_count(std::uint64_t n) {
  constexpr auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  return {static_cast<qint64>(std::min(n, most))};
}

/// Reads the fields of one JSON object and keeps the first error, which names the field.
class object_reader {
 public:
  object_reader(std::string_view json, step at) : at_(at) {
    QJsonParseError ec;
    const auto raw = QByteArray::fromRawData(json.data(), static_cast<qsizetype>(json.size()));
    const QJsonDocument document = QJsonDocument::fromJson(raw, &ec);
    if (ec.error != QJsonParseError::NoError || !document.isObject()) {
      set_error("(record)", "is not a JSON object");
      return;
    }
    object_ = document.object();
  }

  object_reader(QJsonObject object, step at, std::string path)
      : object_(std::move(object)), at_(at), path_(std::move(path)) {}

  void read(std::string_view name, std::string& into) {
    const QJsonValue value = field(name);
    if (!value.isString()) {
      set_error(name, "is not a string");
      return;
    }
    into = value.toString().toStdString();
  }

  template <class Tag> void read(std::string_view name, text_id<Tag>& into) {
    read(name, into.value);
  }

  void read(std::string_view name, std::int64_t& into) {
    const QJsonValue value = field(name);
    // toInteger returns its default if the value is not an integer, so two defaults detect that.
    if (!value.isDouble() || value.toInteger(0) != value.toInteger(1)) {
      set_error(name, "is not an integer");
      return;
    }
    into = value.toInteger();
  }

  template <std::unsigned_integral N> void read(std::string_view name, N& into) {
    std::int64_t n = 0;
    read(name, n);
    if (n < 0 || static_cast<std::uint64_t>(n) > std::numeric_limits<N>::max()) {
      set_error(name, "is out of range");
      return;
    }
    into = static_cast<N>(n);
  }

  void read(std::string_view name, int& into) {
    std::uint16_t n = 0;
    read(name, n);
    into = n;
  }

  void read(std::string_view name, bool& into) {
    const QJsonValue value = field(name);
    if (!value.isBool()) {
      set_error(name, "is not a boolean");
      return;
    }
    into = value.toBool();
  }

  void read(std::string_view name, fence& into) { read_non_negative(name, into.value); }

  void read(std::string_view name, wall_time& into) {
    std::int64_t micros = 0;
    read(name, micros);
    into = wall_time{microseconds{micros}};
  }

  template <class E>
  requires std::is_enum_v<E>

  void read(std::string_view name, E& into) {
    std::string text;
    read(name, text);
    const auto value = from_name<E>(text);
    if (!value) {
      set_error(name, "has the unknown value '" + text + "'");
      return;
    }
    into = *value;
  }

  void read(std::string_view name, std::vector<std::string>& into) {
    for (const auto& it : array(name)) {
      if (!it.isString()) {
        set_error(name, "has an element that is not a string");
        return;
      }
      into.push_back(it.toString().toStdString());
    }
  }

  void read(std::string_view name, std::vector<std::uint64_t>& into) {
    for (const auto& it : array(name)) {
      const std::int64_t n = it.toInteger(-1);
      if (n < 0) {
        set_error(name, "has an element that is not a non-negative integer");
        return;
      }
      into.push_back(static_cast<std::uint64_t>(n));
    }
  }

  /// Reads arbitrary bytes, stored as base64.
  void read_bytes(std::string_view name, std::string& into) {
    std::string text;
    read(name, text);
    const auto decoded = QByteArray::fromBase64Encoding(QByteArray::fromStdString(text),
                                                        QByteArray::AbortOnBase64DecodingErrors);
    if (!decoded) {
      set_error(name, "is not base64");
      return;
    }
    into = decoded.decoded.toStdString();
  }

  QJsonArray array(std::string_view name) {
    const QJsonValue value = field(name);
    if (!value.isArray()) {
      set_error(name, "is not an array");
    }
    return value.toArray();
  }

  [[nodiscard]] QJsonValue value(std::string_view name) const { return field(name); }

  /// Returns a reader for an object nested in this one.
  object_reader nested(std::string_view name, const QJsonValue& value) {
    if (!value.isObject()) {
      set_error(name, "is not an object");
    }
    return {value.toObject(), at_, path_ + std::string{name} + "."};
  }

  /// Adopts the error of a nested reader, unless there already is one.
  void take_error(const object_reader& inner) {
    if (error_text_.empty()) {
      error_text_ = inner.error_text_;
    }
  }

  template <class T> result<T> finish(T value) const {
    if (error_text_.empty()) {
      return value;
    }
    return fail({error_code::invalid_argument, at_, "platform", error_text_});
  }

  void set_error(std::string_view name, const std::string& what) {
    if (error_text_.empty()) {
      error_text_ = "field '" + path_ + std::string{name} + "' " + what;
    }
  }

 private:
  [[nodiscard]] QJsonValue field(std::string_view name) const {
    return object_.value(to_latin(name));
  }

  void read_non_negative(std::string_view name, std::int64_t& into) {
    std::int64_t n = 0;
    read(name, n);
    if (n < 0) {
      set_error(name, "is out of range");
      return;
    }
    into = n;
  }

  QJsonObject object_;
  step at_;
  std::string path_;
  std::string error_text_; ///< Empty if all fields were valid.
};

QJsonArray
to_array(const std::vector<std::string>& texts) {
  QJsonArray array;
  for (const auto& it : texts) {
    array.append(to_qt(it));
  }
  return array;
}

QJsonObject
to_object(const engine_state& state) {
  return {{"role", to_qt(to_name(state.role))},
          {"model", to_qt(state.model.value)},
          {"version", to_qt(state.version)},
          {"adapters", to_array(state.adapters)}};
}

QJsonObject
to_object(const usage_line& line) {
  return {{"team", to_qt(line.team.value)},
          {"subject", to_qt(line.subject)},
          {"requests", json_count(line.requests)},
          {"prompt_tokens", json_count(line.prompt_tokens)},
          {"output_tokens", json_count(line.output_tokens)}};
}

QJsonObject
to_object(const usage_source_mark& mark) {
  QJsonArray above;
  for (const auto n : mark.above) {
    above.append(json_count(n));
  }
  return {{"source", to_qt(mark.source.value)},
          {"upto", json_count(mark.upto)},
          {"above", above},
          {"last_window", qint64{mark.last_window}}};
}

void
read_source(object_reader& in, usage_source_mark& into) {
  in.read("source", into.source);
  in.read("upto", into.upto);
  in.read("above", into.above);
  in.read("last_window", into.last_window);
}

void
read_state(object_reader& in, engine_state& into) {
  in.read("role", into.role);
  in.read("model", into.model);
  in.read("version", into.version);
  in.read("adapters", into.adapters);
}

void
read_line(object_reader& in, usage_line& into) {
  in.read("team", into.team);
  in.read("subject", into.subject);
  in.read("requests", into.requests);
  in.read("prompt_tokens", into.prompt_tokens);
  in.read("output_tokens", into.output_tokens);
}

} // namespace

// ---------------------------------------------------------------------------------------------
// Keys

std::string
zone_lease_key(const zone_id& zone) {
  return "lease/zone/" + zone.value;
}

std::string
intent_key(const upstream_id& upstream) {
  return "intent/" + upstream.value;
}

std::string
usage_key(const zone_id& zone, std::int64_t window_start, std::uint32_t shard) {
  // Leading zeros make keys sort by time.
  constexpr std::size_t window_digits = 12;
  std::string digits = std::to_string(window_start);
  if (digits.size() < window_digits) {
    digits.insert(0, window_digits - digits.size(), '0');
  }
  return "usage/" + zone.value + "/" + digits + "/" + std::to_string(shard);
}

std::string
usage_mark_key(const zone_id& zone) {
  return "usage-mark/" + zone.value;
}

std::string
upstream_order_key(const zone_id& zone, std::string_view kind) {
  return "order/" + zone.value + "/" + std::string{kind};
}

std::string
claim_key(const team_id& team, std::string_view digest) {
  return "claim/" + team.value + "/" + std::string{digest};
}

// ---------------------------------------------------------------------------------------------
// JSON form

std::string
to_json(const zone_lease_record& record) {
  return compact({{"holder", to_qt(record.holder.value)}, {"writer", to_qt(record.writer)}});
}

std::string
to_json(const intent_record& record) {
  return compact(
      {{"authority", qint64{record.authority.value}},
       {"sequence", json_count(record.sequence)},
       {"wanted", to_object(record.wanted)},
       {"phase", to_qt(to_name(record.phase))},
       {"holder", to_qt(record.holder.value)},
       {"writer", to_qt(record.writer)},
       {"written_at", static_cast<qint64>(record.written_at.time_since_epoch().count())}});
}

std::string
to_json(const usage_record& record) {
  QJsonArray lines;
  for (const auto& it : record.lines) {
    lines.append(to_object(it));
  }
  return compact({{"zone", to_qt(record.zone.value)},
                  {"window_start", qint64{record.window_start}},
                  {"window_seconds", json_count(record.window_seconds)},
                  {"shard", json_count(record.shard)},
                  {"lines", lines},
                  {"parts", to_array(record.parts)},
                  {"authority", qint64{record.authority.value}},
                  {"writer", to_qt(record.writer)},
                  {"confirmed", record.confirmed}});
}

std::string
to_json(const claim_record& record) {
  const auto body = QByteArray::fromStdString(record.body).toBase64();
  return compact(
      {{"phase", to_qt(to_name(record.phase))},
       {"holder", to_qt(record.holder.value)},
       {"writer", to_qt(record.writer)},
       {"request_sha256", to_qt(record.request_sha256)},
       {"ran", to_qt(to_name(record.ran))},
       {"status", record.status},
       {"content_type", to_qt(record.content_type)},
       {"body", QString::fromLatin1(body)},
       {"written_at", static_cast<qint64>(record.written_at.time_since_epoch().count())}});
}

std::string
to_json(const usage_mark_record& record) {
  QJsonArray sources;
  for (const auto& it : record.sources) {
    sources.append(to_object(it));
  }
  return compact({{"last_window", qint64{record.last_window}},
                  {"last_shard", json_count(record.last_shard)},
                  {"sources", sources},
                  {"open", to_array(record.open)},
                  {"kept", to_array(record.kept)}});
}

std::string
to_json(const upstream_order_record& record) {
  return compact({{"authority", qint64{record.authority.value}},
                  {"order", json_count(record.order)},
                  {"kind", to_qt(record.kind)},
                  {"wanted", json_count(record.wanted)},
                  {"accepted", record.accepted},
                  {"writer", to_qt(record.writer)}});
}

result<zone_lease_record>
parse_zone_lease(std::string_view json) {
  object_reader in{json, step::lease_take};
  zone_lease_record record;
  in.read("holder", record.holder);
  in.read("writer", record.writer);
  return in.finish(record);
}

result<intent_record>
parse_intent(std::string_view json) {
  object_reader in{json, step::intent_write};
  intent_record record;
  in.read("authority", record.authority);
  in.read("sequence", record.sequence);
  object_reader wanted = in.nested("wanted", in.value("wanted"));
  read_state(wanted, record.wanted);
  in.take_error(wanted);
  in.read("phase", record.phase);
  in.read("holder", record.holder);
  in.read("writer", record.writer);
  in.read("written_at", record.written_at);
  return in.finish(std::move(record));
}

result<usage_record>
parse_usage(std::string_view json) {
  object_reader in{json, step::usage_seal};
  usage_record record;
  in.read("zone", record.zone);
  in.read("window_start", record.window_start);
  in.read("window_seconds", record.window_seconds);
  in.read("shard", record.shard);
  for (const auto& it : in.array("lines")) {
    object_reader line = in.nested("lines", it);
    read_line(line, record.lines.emplace_back());
    in.take_error(line);
  }
  in.read("parts", record.parts);
  in.read("authority", record.authority);
  in.read("writer", record.writer);
  in.read("confirmed", record.confirmed);
  return in.finish(std::move(record));
}

result<claim_record>
parse_claim(std::string_view json) {
  object_reader in{json, step::claim_write};
  claim_record record;
  in.read("phase", record.phase);
  in.read("holder", record.holder);
  in.read("writer", record.writer);
  in.read("request_sha256", record.request_sha256);
  in.read("ran", record.ran);
  in.read("status", record.status);
  in.read("content_type", record.content_type);
  in.read_bytes("body", record.body);
  in.read("written_at", record.written_at);
  return in.finish(std::move(record));
}

result<usage_mark_record>
parse_usage_mark(std::string_view json) {
  object_reader in{json, step::usage_seal};
  usage_mark_record record;
  in.read("last_window", record.last_window);
  in.read("last_shard", record.last_shard);
  for (const auto& it : in.array("sources")) {
    object_reader source = in.nested("sources", it);
    read_source(source, record.sources.emplace_back());
    in.take_error(source);
  }
  in.read("open", record.open);
  in.read("kept", record.kept);
  return in.finish(std::move(record));
}

result<upstream_order_record>
parse_upstream_order(std::string_view json) {
  object_reader in{json, step::intent_write};
  upstream_order_record record;
  in.read("authority", record.authority);
  in.read("order", record.order);
  in.read("kind", record.kind);
  in.read("wanted", record.wanted);
  in.read("accepted", record.accepted);
  in.read("writer", record.writer);
  return in.finish(std::move(record));
}

} // namespace nutmegspur
