/// \file prefix.h
/// Extracts prompt text, estimates its token count, and computes the chained hashes of its cache
/// blocks.
///
/// A block's hash covers the salt and all text up to the block's end, so equal hashes mean equal
/// prefixes under the same salt. Teams use different salts and therefore share no blocks.
#pragma once

#include <nutmegspur/request.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

class QJsonObject;

namespace nutmegspur {

/// Assumed bytes of text per token.
inline constexpr std::size_t bytes_per_token = 4;

/// Estimates the number of tokens in `text`; at least 1.
std::uint32_t estimate_tokens(std::string_view text);

/// Extracts the prompt from an OpenAI-compatible request body: all messages, in order.
std::string prompt_text(const QJsonObject& body, api_format format);

/// Hashes the complete blocks of `text`, in order. A trailing partial block is ignored.
std::vector<std::uint64_t> hash_prefix_blocks(std::string_view text, std::string_view salt,
                                              std::uint32_t block_tokens);

/// Applies `salt` to a block hash computed without a salt: salting each hash of
/// `hash_prefix_blocks(text, "", n)` gives `hash_prefix_blocks(text, salt, n)`.
std::uint64_t salted_block(std::uint64_t block, std::string_view salt);

} // namespace nutmegspur
