/// \file field_syntax.h
/// Syntax that field lines and chunk extensions share (RFC 9110, 5.6).
#pragma once

#include <string_view>

namespace nutmegspur::http1 {

/// Whether `text` is a token: a field name, a method or the name of a chunk extension.
bool is_token(std::string_view text);

/// `text` without spaces and tabs at its ends.
std::string_view trimmed(std::string_view text);

} // namespace nutmegspur::http1
