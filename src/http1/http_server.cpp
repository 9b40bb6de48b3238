// HTTP server: accepting connections and formatting responses.
#include "http_server.h"

#include "server_connection.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace nutmegspur::http1 {

std::string
format_head(int status, std::string_view reason, const http_fields& fields) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(reason.empty() ? reason_phrase(status) : reason).append("\r\n");
  for (const auto& [name, value] : fields.all) {
    if (!is_connection_field(name)) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
  }
  return text;
}

bool
exchange::end_if_closed() {
  return connection_ != nullptr && connection_->end_if_closed();
}

void
exchange::reply(int status, std::string_view reason, const http_fields& fields,
                std::string_view body) {
  if (connection_ == nullptr) {
    return;
  }
  started_ = true;
  const bool keep = !connection_->closing();
  std::string text = format_head(status, reason, fields);
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  const bool bodiless = status == no_content || status == not_modified;
  if (!bodiless) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += keep ? "\r\n" : "Connection: close\r\n\r\n";
  if (head_.method != "HEAD" && !bodiless) {
    text.append(body);
  }
  server_connection* connection = std::exchange(connection_, nullptr);
  connection->send(text);
  connection->finish_response(keep);
}

void
exchange::begin(int status, std::string_view reason, const http_fields& fields) {
  if (connection_ == nullptr) {
    return;
  }
  started_ = true;
  chunked_ = head_.minor_version > 0;
  std::string text = format_head(status, reason, fields);
  if (chunked_) {
    text += "Transfer-Encoding: chunked\r\n";
  } else {
    connection_->begin_response_without_framing();
  }
  text += connection_->closing() ? "Connection: close\r\n\r\n" : "\r\n";
  connection_->send(text);
}

void
exchange::write(std::string_view piece) {
  if (connection_ == nullptr || piece.empty()) {
    return;
  }
  if (!chunked_) {
    connection_->send(piece);
    return;
  }
  constexpr std::size_t size_digits = 20;
  std::array<char, size_digits> size{};
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  std::string text{size.data(), static_cast<std::size_t>(n)};
  text.append(piece).append("\r\n");
  connection_->send(text);
}

void
exchange::finish() {
  if (connection_ == nullptr) {
    return;
  }
  server_connection* connection = std::exchange(connection_, nullptr);
  if (chunked_) {
    connection->send("0\r\n\r\n");
  }
  connection->finish_response(!connection->closing());
}

void
exchange::abort() {
  if (connection_ == nullptr) {
    return;
  }
  std::exchange(connection_, nullptr)->abort_response();
}

std::size_t
exchange::unsent() const {
  return connection_ == nullptr ? 0 : connection_->unsent();
}

http_server::http_server(event_loop& loop, server_hooks hooks)
    : loop_(loop), hooks_(std::move(hooks)),
      listener_(loop, [this](std::unique_ptr<tcp_stream> stream) {
        auto connection = std::make_unique<server_connection>(*this, std::move(stream));
        auto* key = connection.get();
        connections_.emplace(key, std::move(connection));
      }) {}

http_server::~http_server() = default;

result<void>
http_server::listen(const endpoint& at) {
  return listener_.listen(at);
}

void
http_server::drain() {
  closing_ = true;
  for (auto& [key, connection] : connections_) {
    connection->drain();
  }
}

void
http_server::stop_receiving(const http_fields& refusal_fields) {
  closing_ = true;
  for (auto& [key, connection] : connections_) {
    connection->stop_receiving(refusal_fields);
  }
}

std::size_t
http_server::busy() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const auto& it) { return it.second->busy(); }));
}

std::size_t
http_server::receiving() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& it) { return it.second->receiving(); }));
}

void
http_server::remove(server_connection* connection) {
  connections_.erase(connection);
}

} // namespace nutmegspur::http1
