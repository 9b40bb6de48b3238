/// \file prefix_test.cpp
/// Guards against cache sharing between teams: prefix hashes must be equal for equal prefixes under
/// the same salt, and differ under different salts.
// labels: P04

#include <nutmegspur/prefix.h>

#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <gtest/gtest.h>

namespace nutmegspur {

TEST(prefix, hashes_are_equal_up_to_the_first_difference) {
  const auto one = hash_prefix_blocks(std::string(64, 'a') + std::string(64, 'b'), "s", 16);
  const auto two = hash_prefix_blocks(std::string(64, 'a') + std::string(64, 'c'), "s", 16);
  ASSERT_EQ(one.size(), 2U);
  ASSERT_EQ(two.size(), 2U);
  EXPECT_EQ(one[0], two[0]);
  EXPECT_NE(one[1], two[1]);
}

TEST(prefix, hashes_differ_under_another_salt) {
  const std::string text(640, 'a');
  const auto one = hash_prefix_blocks(text, "team-1", 16);
  const auto two = hash_prefix_blocks(text, "team-2", 16);
  for (std::size_t i = 0; i < one.size(); ++i) {
    EXPECT_NE(one[i], two[i]);
  }
}

TEST(prefix, extracts_chat_and_completion_prompts) {
  const auto chat = QJsonDocument::fromJson(R"({"messages":[{"role":"user","content":"hello"},
      {"role":"user","content":[{"type":"text","text":"you"}]}]})");
  EXPECT_EQ(prompt_text(chat.object(), api_format::chat_completions), "user\nhello\nuser\nyou\n");
  const auto plain = QJsonDocument::fromJson(R"({"prompt":"hello"})");
  EXPECT_EQ(prompt_text(plain.object(), api_format::completions), "hello");
  EXPECT_EQ(estimate_tokens(""), 1U);
  EXPECT_EQ(estimate_tokens("hello"), 2U);
}

} // namespace nutmegspur
