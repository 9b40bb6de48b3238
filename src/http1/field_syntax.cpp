// Tokens and white space of field lines.
#include "field_syntax.h"

#include <algorithm>

namespace nutmegspur::http1 {

namespace {

bool
is_token_char(char c) {
  constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         punctuation.find(c) != std::string_view::npos;
}

} // namespace

bool
is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

std::string_view
trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

} // namespace nutmegspur::http1
