// The settings table, and the checks of values.
#include <nutmegspur/settings.h>

#include <QHostAddress>
#include <QString>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <variant>

namespace nutmegspur {

namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t hour_in_seconds = 3'600;
constexpr std::int64_t max_idempotency_lifetime = 31LL * 24 * 3'600;
constexpr std::int64_t hour_in_milliseconds = 3'600'000;
constexpr std::int64_t max_body_size = 64LL * 1024 * 1024;
constexpr std::size_t min_secret_length = 16;
constexpr std::size_t sha256_digits = 64;

using type = setting_type;

constexpr std::array<setting_info, 24> table{{
    {"instance", type::text, "name of this instance, unique among all live instances", true},
    {"zone", type::text, "availability zone that this instance runs in", true},
    {"region", type::text, "region of the availability zone", true},
    {"bind-address", type::ip_address, "IP address to listen on"},
    {"caller-port", type::port, "port for callers", false, 1, max_port},
    {"operator-port", type::port, "port for operators", false, 1, max_port},
    {"peer-port", type::port, "port for other instances", false, 1, max_port},
    {"platform-address", type::ip_address, "IP address of the platform's services"},
    {"platform-port", type::port, "port of the platform's services", false, 1, max_port},
    {"platform-plugin", type::text, "platform adapter to use"},
    {"routing-policy", type::text, "policy that selects upstreams"},
    {"admission-policy", type::text, "policy that queues and refuses requests"},
    {"peer-secret", type::secret, "secret shared by all instances, at least 16 characters", true},
    {"bootstrap-operator-key-sha256", type::sha256,
     "SHA-256 of an operator key that is accepted while the store holds none"},
    {"lease-ttl", type::duration_seconds, "time to live of a zone's lease, in seconds", false, 3,
     60},
    {"usage-window", type::duration_seconds, "length of a usage window, in seconds", false, 1,
     hour_in_seconds},
    {"drain-limit", type::duration_seconds,
     "maximum wait for live work in a shutdown or a planned change, in seconds", false, 1,
     hour_in_seconds},
    {"balancer-lag", type::duration_milliseconds,
     "how long the balancer may send callers after /readyz fails, in milliseconds", false, 0,
     60'000},
    {"idempotency-lifetime", type::duration_seconds,
     "minimum retention of an Idempotency-Key, in seconds", false, hour_in_seconds,
     max_idempotency_lifetime},
    {"default-deadline", type::duration_milliseconds,
     "deadline of a request that does not specify one, in milliseconds", false, 100,
     hour_in_milliseconds},
    {"max-body-bytes", type::integer, "maximum size of a request body", false, 1024, max_body_size},
    {"max-in-flight", type::integer, "maximum number of waiting and running requests", false, 1,
     100'000},
    {"log-level", type::text, "info, warning or error"},
    {"log-directory", type::text,
     "directory for log files; if empty, logs go to standard error only"},
}};

tl::unexpected<error>
invalid_setting(const given_setting& given, const std::string& allowed, bool show_value = true) {
  const std::string value = show_value ? "'" + given.value + "'" : "invalid (value not shown)";
  return fail(
      {error_code::invalid_argument, step::settings_parse, "",
       "--" + given.flag + " (from " + given.source + ") is " + value + "; expected " + allowed});
}

result<std::int64_t>
parse_number(const given_setting& given, const setting_info& info) {
  std::int64_t n = 0;
  const char* end = given.value.data() + given.value.size();
  const auto [rest, ec] = std::from_chars(given.value.data(), end, n);
  if (ec != std::errc{} || rest != end || n < info.min_value || n > info.max_value) {
    return invalid_setting(given, "an integer from " + std::to_string(info.min_value) + " to " +
                                      std::to_string(info.max_value));
  }
  return n;
}

bool
is_name(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-' || c == '/';
  });
}

bool
is_sha256(const std::string& text) {
  return text.size() == sha256_digits && std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
         });
}

result<void>
check_text(const given_setting& given, const setting_info& info) {
  switch (info.type) {
  case type::ip_address:
    if (QHostAddress{QString::fromStdString(given.value)}.isNull()) {
      return invalid_setting(given, "an IP address such as 127.0.0.1 or ::1");
    }
    return {};
  case type::sha256:
    if (!is_sha256(given.value)) {
      return invalid_setting(given, "64 lower-case hexadecimal digits");
    }
    return {};
  case type::secret:
    if (given.value.size() < min_secret_length) {
      return invalid_setting(given, "at least 16 characters", false);
    }
    return {};
  default:
    break;
  }
  if (given.flag == "log-level") {
    const std::array<std::string_view, 3> levels{"info", "warning", "error"};
    if (std::find(levels.begin(), levels.end(), given.value) == levels.end()) {
      return invalid_setting(given, "info, warning or error");
    }
    return {};
  }
  if (!is_name(given.value)) {
    return invalid_setting(given, "a name of letters, digits and . _ - /");
  }
  return {};
}

/// The member that holds a setting's value.
using setting_member =
    std::variant<std::string settings::*, instance_id settings::*, zone_id settings::*,
                 std::uint16_t settings::*, std::uint32_t settings::*, seconds settings::*,
                 milliseconds settings::*>;

/// The members, in the order of the rows of the table.
constexpr std::array<setting_member, table.size()> members{
    &settings::instance,
    &settings::zone,
    &settings::region,
    &settings::bind_address,
    &settings::caller_port,
    &settings::operator_port,
    &settings::peer_port,
    &settings::platform_address,
    &settings::platform_port,
    &settings::platform_plugin,
    &settings::routing_policy,
    &settings::admission_policy,
    &settings::peer_secret,
    &settings::bootstrap_operator_key_sha256,
    &settings::lease_ttl,
    &settings::usage_window,
    &settings::drain_limit,
    &settings::balancer_lag,
    &settings::idempotency_lifetime,
    &settings::default_deadline,
    &settings::max_body_bytes,
    &settings::max_in_flight,
    &settings::log_level,
    &settings::log_directory,
};

/// Checks a value against its row of the table and assigns it to the member of that row.
struct assign_checked {
  settings& out;
  const given_setting& given;
  const setting_info& info;

  result<void> operator()(std::string settings::*member) const { return text(member); }

  result<void> operator()(instance_id settings::*member) const { return text(member); }

  result<void> operator()(zone_id settings::*member) const { return text(member); }

  template <class N> result<void> operator()(N settings::*member) const {
    const auto n = parse_number(given, info);
    if (!n) {
      return fail(n.error());
    }
    out.*member = static_cast<N>(*n);
    return {};
  }

  template <class T> result<void> text(T settings::*member) const {
    if (auto checked = check_text(given, info); !checked) {
      return checked;
    }
    out.*member = T{given.value};
    return {};
  }
};

const setting_info*
info_of(std::string_view flag) {
  const auto* it = std::find_if(table.begin(), table.end(),
                                [&](const setting_info& row) { return row.flag == flag; });
  return it == table.end() ? nullptr : it;
}

/// Converts a member's value to text.
struct value_text {
  const settings& from;

  std::string operator()(std::string settings::*member) const { return from.*member; }

  std::string operator()(instance_id settings::*member) const { return (from.*member).value; }

  std::string operator()(zone_id settings::*member) const { return (from.*member).value; }

  std::string operator()(seconds settings::*member) const {
    return std::to_string((from.*member).count());
  }

  std::string operator()(milliseconds settings::*member) const {
    return std::to_string((from.*member).count());
  }

  template <class N> std::string operator()(N settings::*member) const {
    return std::to_string(from.*member);
  }
};

/// Checks that the three listeners, which share one address, have different ports.
result<void>
check_ports(const settings& out) {
  if (out.caller_port == out.operator_port || out.caller_port == out.peer_port ||
      out.operator_port == out.peer_port) {
    return fail({error_code::invalid_argument, step::settings_parse, "",
                 "--caller-port, --operator-port and --peer-port must differ"});
  }
  return {};
}

} // namespace

std::span<const setting_info>
settings_table() {
  return table;
}

std::string
default_value(std::string_view flag) {
  const setting_info* info = info_of(flag);
  if (info == nullptr) {
    return "";
  }
  const settings defaults;
  return std::visit(value_text{defaults},
                    members.at(static_cast<std::size_t>(info - table.data())));
}

std::string
environment_name(std::string_view flag) {
  std::string name = "NUTMEGSPUR_";
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

result<settings>
parse_settings(std::span<const given_setting> given) {
  settings out;
  for (const auto& it : given) {
    const setting_info* info = info_of(it.flag);
    if (info == nullptr) {
      return fail(
          {error_code::invalid_argument, step::settings_parse, "",
           "--" + it.flag + " (from " + it.source + ") is not a known setting; see --help"});
    }
    const auto row = static_cast<std::size_t>(info - table.data());
    if (auto assigned = std::visit(assign_checked{out, it, *info}, members.at(row)); !assigned) {
      return fail(assigned.error());
    }
  }
  for (const auto& info : table) {
    const auto was_given = [&](const given_setting& it) { return it.flag == info.flag; };
    if (info.required && std::none_of(given.begin(), given.end(), was_given)) {
      return fail({error_code::invalid_argument, step::settings_parse, "",
                   "--" + std::string{info.flag} + " (or " + environment_name(info.flag) +
                       ") is required: " + std::string{info.help}});
    }
  }
  if (auto checked = check_ports(out); !checked) {
    return fail(checked.error());
  }
  return out;
}

} // namespace nutmegspur
