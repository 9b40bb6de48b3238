/// \file prefix.cpp
/// Extraction of prompt text, and prefix block hashes.

#include <nutmegspur/hashing.h>
#include <nutmegspur/prefix.h>

#include <QtCore/QJsonArray>
#include <QtCore/QJsonObject>

#include <algorithm>

namespace nutmegspur {

namespace {

/// Extracts the text of a message's content: a string, or a list of parts with text.
std::string
content_text(const QJsonValue& content) {
  if (content.isString()) {
    return content.toString().toStdString();
  }
  std::string text;
  for (const auto& part : content.toArray()) {
    text += part.toObject()["text"].toString().toStdString();
  }
  return text;
}

} // namespace

std::uint32_t
estimate_tokens(std::string_view text) {
  const auto tokens = (text.size() + bytes_per_token - 1) / bytes_per_token;
  return static_cast<std::uint32_t>(std::max<std::size_t>(1, tokens));
}

std::string
prompt_text(const QJsonObject& body, api_format format) {
  if (format == api_format::completions) {
    return content_text(body["prompt"]);
  }
  std::string text;
  for (const auto& it : body["messages"].toArray()) {
    const auto message = it.toObject();
    text += message["role"].toString().toStdString() + "\n";
    text += content_text(message["content"]) + "\n";
  }
  return text;
}

std::uint64_t
salted_block(std::uint64_t block, std::string_view salt) {
  return salt.empty() ? block : fnv1a(block, salt);
}

std::vector<std::uint64_t>
hash_prefix_blocks(std::string_view text, std::string_view salt, std::uint32_t block_tokens) {
  const auto size = std::max<std::size_t>(1, block_tokens) * bytes_per_token;
  std::vector<std::uint64_t> blocks;
  auto hash = fnv_basis;
  for (std::size_t at = 0; at + size <= text.size(); at += size) {
    hash = fnv1a(hash, text.substr(at, size));
    blocks.push_back(salted_block(hash, salt));
  }
  return blocks;
}

} // namespace nutmegspur
