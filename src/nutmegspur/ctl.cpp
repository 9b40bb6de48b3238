// The operators' client: parses the command line, calls the API and prints the response.
#include "ctl.h"

#include "ctl_client.h"
#include "ctl_explain.h"
#include "ctl_output.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QJsonDocument>
#include <QtCore/QUrl>

#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

namespace nutmegspur {

namespace {

constexpr std::size_t help_width = 100;
// The API accepts at most this many resources in one atomic change.
constexpr qsizetype max_batch_size = 100;

constexpr const char* commands_text = R"(
commands:
  get KIND NAME             show one resource
  list [KIND]               show all resources, or those of one kind
  apply -f FILE             create or change resources from a JSON file ('-' reads standard input);
                            up to 100 are applied atomically, more in batches of 100
  delete KIND NAME          delete a resource
  watch [KIND]              print changes as they happen, until interrupted
  key issue NAME --team T   issue a caller's key and print its secret (shown only once)
  key issue NAME --role operator
                            issue an operator's key
  key withdraw NAME         withdraw a key permanently
  drain UPSTREAM            stop sending new work to an upstream
  undrain UPSTREAM          resume sending work to an upstream
  status                    show the state of the instance
  explain REQUEST [FILE...] trace one request through log files or standard input;
                            needs no instance

kinds: team, key, model, adapter, version, offer, route, drain, upstream

exit status: 0 success, 1 rejected by the server, 2 wrong usage, 3 no response from the server
)";

cxxopts::Options
describe_options() {
  cxxopts::Options options{"nutmegspur ctl", "The operators' client.\n"};
  options.set_width(help_width);
  options.custom_help("COMMAND [options]");
  options.positional_help("");
  auto add = options.add_options();
  add("operator-url", "address of an instance's operator port (or NUTMEGSPUR_OPERATOR_URL)",
      cxxopts::value<std::string>());
  add("operator-key", "operator's key (or NUTMEGSPUR_OPERATOR_KEY)", cxxopts::value<std::string>());
  add("json", "print the server's JSON instead of tables");
  add("f,file", "file to apply; '-' is standard input", cxxopts::value<std::string>());
  add("revision",
      "with apply of one resource, or delete: only at this revision; 0: only if it does "
      "not exist",
      cxxopts::value<std::int64_t>());
  add("since", "with watch: only changes after this revision", cxxopts::value<std::int64_t>());
  add("team", "with key issue: the key's team", cxxopts::value<std::string>());
  add("role", "with key issue: caller or operator",
      cxxopts::value<std::string>()->default_value("caller"));
  add("reason", "with drain: reason shown with the drain",
      cxxopts::value<std::string>()->default_value(""));
  add("h,help", "show this help");
  options.add_options("hidden")("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

ctl_status
usage_error(const std::string& why) {
  std::cerr << "nutmegspur ctl: " << why << "\n"
            << "'nutmegspur ctl --help' lists the commands.\n";
  return ctl_status::usage;
}

QString
resource_path(const std::string& kind, const std::string& name = {}) {
  const auto encoded = [](const std::string& it) {
    return QString::fromLatin1(QUrl::toPercentEncoding(QString::fromStdString(it)));
  };
  return "/api/v1/" + encoded(kind) + (name.empty() ? QString{} : "/" + encoded(name));
}

QByteArray
to_compact_json(const QJsonObject& it) {
  return QJsonDocument(it).toJson(QJsonDocument::Compact);
}

/// One command of the client, with its parsed options.
class ctl_command {
 public:
  ctl_command(const cxxopts::ParseResult& options, ctl_target target)
      : options_(options), client_(std::move(target)),
        words_(options["words"].as<std::vector<std::string>>()), json_(options.count("json") > 0) {}

  ctl_status run();

 private:
  ctl_status get();
  ctl_status list();
  ctl_status apply();
  ctl_status apply_batches(const QJsonArray& items);
  ctl_status remove();
  ctl_status watch();
  ctl_status key();
  ctl_status issue_key();
  ctl_status withdraw_key();
  ctl_status drain();
  ctl_status undrain();
  ctl_status status();

  /// Whether `min_count` to `max_count` arguments follow the command's name.
  [[nodiscard]] bool has_arguments(std::size_t min_count, std::size_t max_count) const {
    return words_.size() > min_count && words_.size() <= max_count + 1;
  }

  [[nodiscard]] QByteArray condition() const;
  ctl_status print_response(const ctl_response& response, const std::string& message = {}) const;
  static ctl_status report_failure(const ctl_response& response);

  const cxxopts::ParseResult& options_;
  ctl_client client_;
  std::vector<std::string> words_;
  bool json_;
};

ctl_status
ctl_command::report_failure(const ctl_response& response) {
  std::cerr << "nutmegspur ctl: " << response.error_text() << "\n";
  return response.status == 0 ? ctl_status::unreachable : ctl_status::refused;
}

ctl_status
ctl_command::print_response(const ctl_response& response, const std::string& message) const {
  if (!response.ok()) {
    return report_failure(response);
  }
  if (json_) {
    std::cout << response.body.toStdString() << "\n";
    return ctl_status::ok;
  }
  if (!message.empty()) {
    std::cout << message << "\n";
    return ctl_status::ok;
  }
  const QJsonObject json = response.json();
  const bool one = json.contains("spec");
  const QJsonArray items = one ? QJsonArray{json} : json.value("items").toArray();
  std::cout << resource_table(items);
  return ctl_status::ok;
}

QByteArray
ctl_command::condition() const {
  if (options_.count("revision") == 0) {
    return {};
  }
  const auto number = options_["revision"].as<std::int64_t>();
  return number == 0 ? "If-None-Match: *"
                     : "If-Match: \"" + QByteArray::number(qint64{number}) + "\"";
}

ctl_status
ctl_command::get() {
  if (!has_arguments(2, 2)) {
    return usage_error("get takes a kind and a name");
  }
  return print_response(client_.get(resource_path(words_[1], words_[2])));
}

ctl_status
ctl_command::list() {
  if (!has_arguments(0, 1)) {
    return usage_error("list takes at most one kind");
  }
  if (words_.size() == 2) {
    return print_response(client_.get(resource_path(words_[1])));
  }
  QJsonArray all;
  QJsonObject last_response;
  for (const char* kind :
       {"team", "key", "model", "adapter", "version", "offer", "route", "drain", "upstream"}) {
    const ctl_response response = client_.get(resource_path(kind));
    if (!response.ok()) {
      return report_failure(response);
    }
    last_response = response.json();
    for (const auto& it : last_response.value("items").toArray()) {
      all.append(it);
    }
  }
  last_response.insert("items", all);
  return print_response({200, to_compact_json(last_response), {}});
}

ctl_status
ctl_command::apply() {
  if (!has_arguments(0, 0) || options_.count("file") == 0) {
    return usage_error("apply takes -f FILE and no other arguments");
  }
  const auto name = options_["file"].as<std::string>();
  std::string text;
  if (name == "-") {
    text.assign(std::istreambuf_iterator<char>{std::cin}, {});
  } else {
    std::ifstream file{name, std::ios::binary};
    if (!file) {
      return usage_error("cannot read file '" + name + "'");
    }
    text.assign(std::istreambuf_iterator<char>{file}, {});
  }
  QJsonParseError ec{};
  const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(text), &ec);
  if (ec.error != QJsonParseError::NoError) {
    return usage_error("'" + name + "' is not JSON: " + ec.errorString().toStdString() +
                       " at byte " + std::to_string(ec.offset));
  }
  QJsonArray items = document.isArray() ? document.array() : QJsonArray{document.object()};
  if (document.isObject() && document.object().contains("items")) {
    items = document.object().value("items").toArray();
  }
  if (options_.count("revision") == 0) {
    return apply_batches(items);
  }
  if (items.size() != 1) {
    return usage_error("--revision requires exactly one resource");
  }
  const QJsonObject it = items.first().toObject();
  const QString path = resource_path(it.value("kind").toString().toStdString(),
                                     it.value("name").toString().toStdString());
  return print_response(client_.send("PUT", path, to_compact_json(it), condition()));
}

ctl_status
ctl_command::apply_batches(const QJsonArray& items) {
  QJsonArray applied;
  QJsonObject last_response;
  qsizetype from = 0;
  do {
    QJsonArray batch;
    while (from < items.size() && batch.size() < max_batch_size) {
      batch.append(items.at(from++));
    }
    const QByteArray body = QJsonDocument(batch).toJson(QJsonDocument::Compact);
    const ctl_response response = client_.send("POST", "/api/v1/apply", body);
    if (!response.ok()) {
      if (!applied.isEmpty()) {
        std::cerr << "nutmegspur ctl: applied the first " << applied.size()
                  << " resources before the error\n";
      }
      return report_failure(response);
    }
    last_response = response.json();
    for (const auto& it : last_response.value("items").toArray()) {
      applied.append(it);
    }
  } while (from < items.size());
  last_response.insert("items", applied);
  return print_response({200, to_compact_json(last_response), {}});
}

ctl_status
ctl_command::remove() {
  if (!has_arguments(2, 2)) {
    return usage_error("delete takes a kind and a name");
  }
  return print_response(
      client_.send("DELETE", resource_path(words_[1], words_[2]), {}, condition()),
      words_[1] + " '" + words_[2] + "' is deleted");
}

ctl_status
ctl_command::watch() {
  if (!has_arguments(0, 1)) {
    return usage_error("watch takes at most one kind");
  }
  QString path = "/api/v1/watch?since=";
  path += QString::number(options_.count("since") > 0 ? options_["since"].as<std::int64_t>() : 0);
  if (words_.size() == 2) {
    path +=
        "&kind=" + QString::fromLatin1(QUrl::toPercentEncoding(QString::fromStdString(words_[1])));
  }
  std::string stream_error;
  const auto on_line = [&](const QByteArray& line) {
    const QJsonObject it = QJsonDocument::fromJson(line).object();
    if (it.contains("error")) {
      stream_error = ctl_response{500, line, {}}.error_text();
    } else if (json_) {
      std::cout << line.toStdString() << std::endl;
    } else if (!it.contains("progress")) {
      const bool deleted = it.value("resource").isNull();
      std::cout << it.value("revision").toVariant().toString().toStdString() << "  "
                << (deleted ? "deleted  " : "changed  ")
                << it.value("kind").toString().toStdString() << "/"
                << it.value("name").toString().toStdString() << std::endl;
    }
    return true;
  };
  const ctl_response response = client_.stream(path, on_line);
  if (!stream_error.empty()) {
    std::cerr << "nutmegspur ctl: " << stream_error << "\n";
    return ctl_status::refused;
  }
  return response.ok() ? ctl_status::ok : report_failure(response);
}

ctl_status
ctl_command::key() {
  if (has_arguments(2, 2) && words_[1] == "issue") {
    return issue_key();
  }
  if (has_arguments(2, 2) && words_[1] == "withdraw") {
    return withdraw_key();
  }
  return usage_error("key takes 'issue NAME' or 'withdraw NAME'");
}

ctl_status
ctl_command::issue_key() {
  QJsonObject body{{"name", QString::fromStdString(words_[2])},
                   {"role", QString::fromStdString(options_["role"].as<std::string>())}};
  if (options_.count("team") > 0) {
    body.insert("team", QString::fromStdString(options_["team"].as<std::string>()));
  }
  const ctl_response response = client_.send("POST", "/api/v1/keys:issue", to_compact_json(body));
  return print_response(response, "key '" + words_[2] +
                                      "' is issued; its secret is shown only now:\n" +
                                      response.json().value("secret").toString().toStdString());
}

ctl_status
ctl_command::withdraw_key() {
  constexpr int max_tries = 5;
  constexpr int conflict = 409;
  const QString path = resource_path("key", words_[2]);
  ctl_response response;
  for (int n = 0; n < max_tries; ++n) {
    response = client_.get(path);
    if (!response.ok()) {
      return report_failure(response);
    }
    QJsonObject it = response.json();
    QJsonObject spec = it.value("spec").toObject();
    spec.insert("withdrawn", true);
    it.insert("spec", spec);
    const auto number = it.value("revision").toInteger();
    response = client_.send("PUT", path, to_compact_json(it),
                            "If-Match: \"" + QByteArray::number(number) + "\"");
    if (response.status != conflict) {
      break;
    }
  }
  return print_response(response, "key '" + words_[2] + "' is withdrawn");
}

ctl_status
ctl_command::drain() {
  if (!has_arguments(1, 1)) {
    return usage_error("drain takes an upstream");
  }
  const QString name = QString::fromStdString(words_[1]);
  const QJsonObject spec{{"upstream", name},
                         {"reason", QString::fromStdString(options_["reason"].as<std::string>())}};
  const QJsonObject body{{"kind", "drain"}, {"name", name}, {"spec", spec}};
  return print_response(
      client_.send("PUT", resource_path("drain", words_[1]), to_compact_json(body)),
      "upstream '" + words_[1] + "' is drained");
}

ctl_status
ctl_command::undrain() {
  if (!has_arguments(1, 1)) {
    return usage_error("undrain takes an upstream");
  }
  return print_response(client_.send("DELETE", resource_path("drain", words_[1]), {}),
                        "upstream '" + words_[1] + "' takes work again");
}

ctl_status
ctl_command::status() {
  if (!has_arguments(0, 0)) {
    return usage_error("status takes no arguments");
  }
  const ctl_response response = client_.get("/api/v1/status");
  if (!response.ok() || json_) {
    return print_response(response);
  }
  std::cout << field_list(response.json());
  return ctl_status::ok;
}

ctl_status
ctl_command::run() {
  struct command {
    std::string_view name;
    ctl_status (ctl_command::*run)();
  };

  static constexpr std::array<command, 9> commands{{
      {"get", &ctl_command::get},
      {"list", &ctl_command::list},
      {"apply", &ctl_command::apply},
      {"delete", &ctl_command::remove},
      {"watch", &ctl_command::watch},
      {"key", &ctl_command::key},
      {"drain", &ctl_command::drain},
      {"undrain", &ctl_command::undrain},
      {"status", &ctl_command::status},
  }};
  for (const auto& it : commands) {
    if (it.name == words_.front()) {
      return (this->*it.run)();
    }
  }
  return usage_error("there is no command '" + words_.front() + "'");
}

/// The value of the option, else of the environment variable, else an empty string.
std::string
option_or_variable(const cxxopts::ParseResult& options, const char* option, const char* variable) {
  if (options.count(option) > 0) {
    return options[option].as<std::string>();
  }
  const char* value = std::getenv(variable);
  return value == nullptr ? std::string{} : std::string{value};
}

ctl_status
run_parsed(const cxxopts::ParseResult& options) {
  if (options.count("words") == 0) {
    return usage_error("no command given");
  }
  if (const auto& words = options["words"].as<std::vector<std::string>>();
      words.front() == "explain") {
    return explain_request(std::span{words}.subspan(1));
  }
  ctl_target target{option_or_variable(options, "operator-url", "NUTMEGSPUR_OPERATOR_URL"),
                    option_or_variable(options, "operator-key", "NUTMEGSPUR_OPERATOR_KEY")};
  while (target.url.ends_with('/')) {
    target.url.pop_back();
  }
  const QUrl url{QString::fromStdString(target.url)};
  if (url.scheme() != QLatin1String("http") || url.host().isEmpty()) {
    return usage_error("--operator-url must be given as http://ADDRESS:PORT");
  }
  if (target.key.empty()) {
    return usage_error("--operator-key or NUTMEGSPUR_OPERATOR_KEY must be given");
  }
  return ctl_command{options, std::move(target)}.run();
}

} // namespace

int
run_ctl(std::span<const std::string> args) {
  std::string program = "nutmegspur-ctl";
  std::vector<const char*> argv{program.c_str()};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  int argc = 1;
  char* name = program.data();
  const QCoreApplication application{argc, &name};
  cxxopts::Options options = describe_options();
  try {
    const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      std::cout << options.help({""}) << commands_text;
      return static_cast<int>(ctl_status::ok);
    }
    return static_cast<int>(run_parsed(parsed));
  } catch (const cxxopts::exceptions::exception& ec) {
    return static_cast<int>(usage_error(ec.what()));
  }
}

} // namespace nutmegspur
