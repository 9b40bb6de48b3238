// Chained hashes of a prompt's cache blocks.
#include <nutmegspur/prefix.h>

#include <QtCore/QJsonArray>
#include <QtCore/QJsonObject>

#include <algorithm>

namespace nutmegspur {
namespace {

// FNV-1a, 64 bits.
constexpr std::uint64_t hash_basis = 0xCBF29CE484222325ULL;
constexpr std::uint64_t hash_prime = 0x100000001B3ULL;

std::uint64_t
hash_text(std::uint64_t hash, std::string_view text) {
  for (const char it : text) {
    hash = (hash ^ static_cast<unsigned char>(it)) * hash_prime;
  }
  return hash;
}

// A message's content is a string, or an array of parts with a "text" each.
std::string
content_text(const QJsonValue& content) {
  if (content.isString()) {
    return content.toString().toStdString();
  }
  std::string text;
  for (const auto& part : content.toArray()) {
    text += part.toObject().value(QStringLiteral("text")).toString().toStdString();
  }
  return text;
}

} // namespace

std::string
prompt_text(const QJsonObject& body) {
  const QJsonValue prompt = body.value(QStringLiteral("prompt"));
  if (prompt.isString()) {
    return prompt.toString().toStdString();
  }
  std::string text;
  for (const auto& it : body.value(QStringLiteral("messages")).toArray()) {
    const QJsonObject message = it.toObject();
    text += message.value(QStringLiteral("role")).toString().toStdString();
    text += ": ";
    text += content_text(message.value(QStringLiteral("content")));
    text += '\n';
  }
  return text;
}

std::uint32_t
estimate_tokens(std::string_view text) {
  const std::size_t n = (text.size() + characters_per_token - 1) / characters_per_token;
  return static_cast<std::uint32_t>(std::max<std::size_t>(n, 1));
}

std::uint64_t
salted_block(std::uint64_t block, std::string_view salt) {
  return salt.empty() ? block : hash_text(block, salt);
}

std::vector<std::uint64_t>
prefix_blocks(std::string_view prompt, std::string_view salt) {
  constexpr std::size_t block_characters = characters_per_token * prefix_block_tokens;
  std::vector<std::uint64_t> blocks;
  blocks.reserve(prompt.size() / block_characters);
  std::uint64_t hash = hash_basis;
  for (std::size_t at = 0; at + block_characters <= prompt.size(); at += block_characters) {
    hash = hash_text(hash, prompt.substr(at, block_characters));
    blocks.push_back(salted_block(hash, salt));
  }
  return blocks;
}

} // namespace nutmegspur
