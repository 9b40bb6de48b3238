/// \file prefix.h
/// Chained hashes of a prompt's cache blocks, by which the router finds an engine that holds the
/// start of a prompt.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

class QJsonObject;

namespace nutmegspur {

/// Characters taken for one token until an engine reports the real count.
inline constexpr std::size_t characters_per_token = 4;
/// Tokens in a cache block.
inline constexpr std::size_t prefix_block_tokens = 16;

/// The prompt of a request body in the OpenAI-compatible format: `prompt`, or the `messages` as one
/// line "role: content" each.
std::string prompt_text(const QJsonObject& body);

/// Estimated tokens in `text`, at least 1.
std::uint32_t estimate_tokens(std::string_view text);

/// One hash for each whole block of `prompt`, each covering everything before it. `salt` is the
/// team's cache salt, so that two teams never share a block.
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt, std::string_view salt = {});

/// The hash that takes the place of `block` under `salt`; `prefix_blocks(p, s)` equals
/// `prefix_blocks(p)` with each block salted.
std::uint64_t salted_block(std::uint64_t block, std::string_view salt);

} // namespace nutmegspur
