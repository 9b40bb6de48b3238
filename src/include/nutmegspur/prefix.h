/// \file prefix.h
/// Prompt text, its estimated tokens, and the chained hashes of its cache blocks.
///
/// A block's hash covers the salt and all text before the block's end, so that equal hashes mean an
/// equal prefix under the same salt. Teams have different salts and so share no blocks.
#pragma once

#include <nutmegspur/request.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

class QJsonObject;

namespace nutmegspur {

/// Bytes of text that are counted as one token.
inline constexpr std::size_t bytes_per_token = 4;

/// Tokens in `text`, estimated; at least 1.
std::uint32_t estimate_tokens(std::string_view text);

/// The prompt of a request body in the OpenAI-compatible format, all messages in order.
std::string prompt_text(const QJsonObject& body, api_format format);

/// Hashes of the whole blocks of `text`, the first block first. A rest that fills no block has
/// none.
std::vector<std::uint64_t> hash_prefix_blocks(std::string_view text, std::string_view salt,
                                              std::uint32_t block_tokens);

} // namespace nutmegspur
