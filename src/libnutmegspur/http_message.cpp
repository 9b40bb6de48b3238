// Heads of HTTP/1.1 messages.
#include <nutmegspur/http_message.h>

#include <algorithm>
#include <array>

namespace nutmegspur {

namespace {

char
lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr std::array<std::string_view, 10> connection_fields{
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "proxy-connection",   "content-length"};

} // namespace

bool
same_field_name(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view
http_fields::get(std::string_view name) const {
  for (const auto& [key, value] : all) {
    if (same_field_name(key, name)) {
      return value;
    }
  }
  return {};
}

bool
http_fields::has(std::string_view name) const {
  return count(name) > 0;
}

std::size_t
http_fields::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [&](const auto& it) { return same_field_name(it.first, name); }));
}

bool
is_connection_field(std::string_view name) {
  return std::any_of(connection_fields.begin(), connection_fields.end(),
                     [&](std::string_view it) { return same_field_name(it, name); });
}

std::string
format_request(std::string_view method, std::string_view target, const http_fields& fields,
               std::string_view body) {
  std::string text;
  constexpr std::size_t usual_head_bytes = 512;
  text.reserve(usual_head_bytes + body.size());
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : fields.all) {
    if (!is_connection_field(name)) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
  }
  if (!body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  }
  text.append("\r\n").append(body);
  return text;
}

std::string_view
reason_phrase(int status) {
  struct row {
    int status;
    std::string_view phrase;
  };

  static constexpr std::array<row, 14> table{{{200, "OK"},
                                              {400, "Bad Request"},
                                              {401, "Unauthorized"},
                                              {404, "Not Found"},
                                              {405, "Method Not Allowed"},
                                              {408, "Request Timeout"},
                                              {413, "Content Too Large"},
                                              {421, "Misdirected Request"},
                                              {429, "Too Many Requests"},
                                              {431, "Request Header Fields Too Large"},
                                              {500, "Internal Server Error"},
                                              {502, "Bad Gateway"},
                                              {503, "Service Unavailable"},
                                              {504, "Gateway Timeout"}}};
  for (const auto& it : table) {
    if (it.status == status) {
      return it.phrase;
    }
  }
  return "Status";
}

} // namespace nutmegspur
