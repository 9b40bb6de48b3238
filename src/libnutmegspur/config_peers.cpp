// State of the connected peers, and the pages of deltas.
#include <nutmegspur/config_peers.h>

#include <algorithm>
#include <tuple>

namespace nutmegspur {

namespace {

// Well below `max_peer_frame`, which leaves room for the other fields of the message.
constexpr std::size_t page_bytes = 256UL * 1024;
constexpr std::size_t page_changes = 1000;

} // namespace

std::vector<config_delta>
delta_pages(revision from, revision to, const std::vector<kv_change>& changes) {
  std::vector<config_delta> pages(1);
  std::size_t bytes = 0;
  for (const auto& it : changes) {
    const std::size_t size = it.key.size() + it.value.value_or("").size();
    const std::size_t count = pages.back().changes.size();
    if (count > 0 && (bytes + size > page_bytes || count >= page_changes)) {
      pages.emplace_back();
      bytes = 0;
    }
    pages.back().changes.push_back(it);
    bytes += size;
  }
  std::uint32_t number = 0;
  for (auto& it : pages) {
    it.from = from;
    it.to = to;
    it.page = number++;
    it.last_page = number == pages.size();
  }
  return pages;
}

std::optional<config_delta>
delta_assembler::add(config_delta page) {
  if (page.from != from_ || page.to != to_) {
    pages_.clear();
    last_.reset();
    from_ = page.from;
    to_ = page.to;
  }
  if (page.last_page) {
    last_ = page.page;
  }
  pages_[page.page] = std::move(page.changes);
  if (!last_ || pages_.size() != std::size_t{*last_} + 1) {
    return std::nullopt;
  }
  config_delta whole{from_, to_, {}, true, 0};
  for (auto& [number, changes] : pages_) {
    std::move(changes.begin(), changes.end(), std::back_inserter(whole.changes));
  }
  *this = {};
  return whole;
}

void
config_peers::on_heartbeat(const instance_id& peer, const config_heartbeat& message) {
  peers_[peer].heartbeat = message;
  highest_ = std::max(highest_, message.highest);
}

std::optional<instance_id>
config_peers::next_pull_peer(const std::vector<instance_id>& preferred, revision at,
                             time_point not_since) const {
  std::optional<instance_id> best;
  std::tuple<bool, bool, time_point> best_rank;
  for (const auto& [id, it] : peers_) {
    const bool may_be_ahead = !it.heartbeat || it.heartbeat->at > at;
    const time_point last_pull = it.pulled_at.value_or(time_point{});
    if (!may_be_ahead || last_pull > not_since) {
      continue;
    }
    const bool is_preferred = std::find(preferred.begin(), preferred.end(), id) != preferred.end();
    const bool log_reaches_back = it.heartbeat && it.heartbeat->known_since <= at;
    const std::tuple rank{!log_reaches_back, !is_preferred, last_pull};
    if (!best || rank < best_rank) {
      best = id;
      best_rank = rank;
    }
  }
  return best;
}

} // namespace nutmegspur
