// Reads the whole configuration in pages.
#include <nutmegspur/config_reader.h>
#include <nutmegspur/mechanisms.h>

namespace nutmegspur {

namespace {

constexpr std::uint32_t page_pairs = 500;
// Longer than a slow store takes for a page; with a shorter deadline a full read from a slow store
// would never complete.
constexpr seconds page_deadline{10};

} // namespace

void
config_reader::start(const moment& now, revision min_revision, action_list& out) {
  min_revision_ = min_revision;
  partial_ = {};
  request_page(now, std::string{config_prefix}, out);
}

void
config_reader::request_page(const moment& now, std::string from, action_list& out) {
  call_ = numbers_.next();
  requested_at_ = now.boot;
  out.push_back(call_platform{
      *call_, kv_range{std::move(from), prefix_end(config_prefix), page_pairs, partial_.at}});
}

bool
config_reader::overdue(const moment& now) const {
  return active() && now.boot - requested_at_ > page_deadline;
}

result<std::optional<config_reader::full_read>>
config_reader::on_reply(const moment& now, const platform_reply& reply, action_list& out) {
  call_.reset();
  if (!reply.answer) {
    return fail(reply.answer.error());
  }
  const auto* page = std::get_if<kv_range_reply>(&*reply.answer);
  if (page == nullptr) {
    return fail({error_code::internal, step::config_read, "platform",
                 "unexpected reply type for a range read"});
  }
  const bool first = partial_.at == revision{};
  if (first) {
    partial_.at = page->store;
  }
  if (enabled(mechanism::revision_only_grows) &&
      (partial_.at < min_revision_ || page->store < partial_.at)) {
    return fail({error_code::unavailable, step::config_read, "platform",
                 "stale read: revision " + std::to_string(page->store.value) + " is older than " +
                     std::to_string(min_revision_.value)});
  }
  for (const auto& it : page->pairs) {
    partial_.pairs.push_back({it.key, it.value, it.created, it.modified});
  }
  if (!page->more || page->pairs.empty()) {
    return std::optional{std::move(partial_)};
  }
  // The smallest key greater than the last one of this page.
  request_page(now, page->pairs.back().key + '\0', out);
  return std::optional<full_read>{};
}

} // namespace nutmegspur
