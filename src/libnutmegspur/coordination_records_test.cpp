// Coordination records are read back as they were written, and malformed ones give an error that
// names the field. Guards against fields that are lost or misread when another instance takes over.
#include <nutmegspur/records.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

std::string
any_text() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

std::uint64_t
any_count() {
  return *rc::gen::inRange<std::uint64_t>(0, std::numeric_limits<std::int64_t>::max());
}

template <class E>
E
any_of_enum() {
  const auto& table = enum_names<E>::table;
  return table.at(*rc::gen::inRange<std::size_t>(0, table.size())).value;
}

std::vector<std::string>
any_texts() {
  std::vector<std::string> texts(*rc::gen::inRange<std::size_t>(0, 4));
  std::generate(texts.begin(), texts.end(), any_text);
  return texts;
}

fence
any_fence() {
  return fence{static_cast<std::int64_t>(any_count())};
}

wall_time
any_time() {
  return wall_time{microseconds{static_cast<std::int64_t>(any_count())}};
}

intent_record
any_intent() {
  intent_record it;
  it.authority = any_fence();
  it.sequence = any_count();
  it.wanted = {any_of_enum<engine_role>(), model_id{any_text()}, any_text(), any_texts()};
  it.phase = any_of_enum<intent_phase>();
  it.holder = instance_id{any_text()};
  it.writer = any_text();
  it.written_at = any_time();
  return it;
}

usage_record
any_usage() {
  usage_record it;
  it.zone = zone_id{any_text()};
  it.window_start = static_cast<std::int64_t>(any_count());
  it.shard = *rc::gen::arbitrary<std::uint32_t>();
  const auto n = *rc::gen::inRange(0, 4);
  for (int i = 0; i < n; ++i) {
    it.lines.push_back({team_id{any_text()}, any_text(), any_count(), any_count(), any_count()});
  }
  it.parts = any_texts();
  it.authority = any_fence();
  it.writer = any_text();
  it.confirmed = *rc::gen::arbitrary<bool>();
  return it;
}

usage_mark_record
any_mark() {
  usage_mark_record it;
  it.last_window = static_cast<std::int64_t>(any_count());
  it.last_shard = *rc::gen::arbitrary<std::uint32_t>();
  const auto n = *rc::gen::inRange(0, 4);
  for (int i = 0; i < n; ++i) {
    it.sources.push_back({instance_id{any_text()}, any_count(), {any_count()}, 60});
  }
  it.open = any_texts();
  it.kept = any_texts();
  return it;
}

upstream_order_record
any_upstream_order() {
  return {any_fence(),
          any_count(),
          any_text(),
          *rc::gen::arbitrary<std::uint32_t>(),
          *rc::gen::arbitrary<bool>(),
          any_text()};
}

claim_record
any_claim() {
  claim_record it;
  it.phase = any_of_enum<claim_phase>();
  it.holder = instance_id{any_text()};
  it.writer = any_text();
  it.request_sha256 = any_text();
  it.ran = any_of_enum<outcome>();
  it.status = *rc::gen::inRange(0, 600);
  it.content_type = any_text();
  it.body = *rc::gen::arbitrary<std::string>(); // Any bytes.
  it.written_at = any_time();
  return it;
}

RC_GTEST_PROP(coordination_records, read_back_as_written, ()) {
  const zone_lease_record lease{instance_id{any_text()}, any_text()};
  RC_ASSERT(parse_zone_lease(to_json(lease)).value() == lease);
  const auto intent = any_intent();
  RC_ASSERT(parse_intent(to_json(intent)).value() == intent);
  const auto usage = any_usage();
  RC_ASSERT(parse_usage(to_json(usage)).value() == usage);
  const auto claim = any_claim();
  RC_ASSERT(parse_claim(to_json(claim)).value() == claim);
  const auto mark = any_mark();
  RC_ASSERT(parse_usage_mark(to_json(mark)).value() == mark);
  const auto order = any_upstream_order();
  RC_ASSERT(parse_upstream_order(to_json(order)).value() == order);
}

RC_GTEST_PROP(coordination_records, any_bytes_give_a_value_or_an_error,
              (const std::string& bytes)) {
  RC_ASSERT(!parse_zone_lease(bytes).has_value());
  RC_ASSERT(!parse_intent(bytes).has_value());
  RC_ASSERT(!parse_usage(bytes).has_value());
  RC_ASSERT(!parse_claim(bytes).has_value());
}

std::string
replaced(std::string text, const std::string& what, const std::string& with) {
  const auto at = text.find(what);
  EXPECT_NE(at, std::string::npos) << what << " in " << text;
  return text.replace(at, what.size(), with);
}

TEST(coordination_records, a_bad_field_is_named) {
  usage_record usage;
  usage.lines.push_back({team_id{"a"}, "m", 1, 2, 3});
  const auto named = [](const auto& parsed, const std::string& field) {
    ASSERT_FALSE(parsed.has_value());
    EXPECT_NE(parsed.error().message.find("'" + field + "'"), std::string::npos)
        << parsed.error().message;
  };
  const std::string text = to_json(usage);
  named(parse_usage(replaced(text, "\"requests\":1", "\"requests\":-1")), "lines.requests");
  named(parse_usage(replaced(text, "\"prompt_tokens\":2", "\"prompt_tokens\":2.5")),
        "lines.prompt_tokens");
  named(parse_usage(replaced(text, "\"shard\":0", "\"shard\":4294967296")), "shard");
  named(parse_usage(replaced(text, "\"confirmed\":false", "\"confirmed\":0")), "confirmed");
  named(parse_intent(replaced(to_json(intent_record{}), "mixed", "both")), "wanted.role");
  named(parse_claim(replaced(to_json(claim_record{}), "\"body\":\"\"", "\"body\":\"*\"")), "body");
  named(parse_zone_lease(R"({"writer":"w"})"), "holder");
  named(parse_zone_lease("[]"), "(record)");
}

TEST(coordination_records, keys_sort_by_time) {
  EXPECT_EQ(zone_lease_key(zone_id{"bern-a"}), "lease/zone/bern-a");
  EXPECT_EQ(intent_key(upstream_id{"e1"}), "intent/e1");
  EXPECT_EQ(usage_key(zone_id{"z"}, 1'800'000'000, 7), "usage/z/001800000000/7");
  EXPECT_LT(usage_key(zone_id{"z"}, 999, 0), usage_key(zone_id{"z"}, 1000, 0));
  EXPECT_EQ(claim_key(team_id{"t"}, "abc"), "claim/t/abc");
}

} // namespace
} // namespace nutmegspur
