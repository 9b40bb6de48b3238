// The order of a stream's events, and the bytes behind its end.
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/stream_evidence.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace nutmegspur {

namespace {

/// Gaps that are remembered one by one; beyond it the oldest two become one.
constexpr std::size_t max_gaps = 16;

std::optional<std::int64_t>
read_id(std::string_view text) {
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

bool
is_hex_digit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

/// Whether `bytes` begin with the size line of a chunk.
bool
begins_chunk(std::string_view bytes) {
  const std::string_view line = bytes.substr(0, bytes.find("\r\n"));
  return !line.empty() && line.size() < bytes.size() &&
         std::all_of(line.begin(), line.end(), is_hex_digit);
}

} // namespace

body_framing
framing_of(const http_response_head& head) {
  if (head.close_delimited) {
    return body_framing::connection;
  }
  return head.fields.has("Transfer-Encoding") ? body_framing::chunks : body_framing::length;
}

response_tail
classify_tail(std::string_view bytes) {
  constexpr std::string_view protocol = "HTTP/";
  const std::size_t n = std::min(bytes.size(), protocol.size());
  if (bytes.substr(0, n) == protocol.substr(0, n)) {
    return response_tail::response;
  }
  if (begins_chunk(bytes)) {
    return response_tail::body;
  }
  for (const std::string_view field : {"id:", "data:", "event:"}) {
    if (bytes.starts_with(field)) {
      return response_tail::body;
    }
  }
  return response_tail::other;
}

event_sequence::event_sequence(std::string_view after) : after_(read_id(after)), last_(after_) {}

bool
event_sequence::inside_gap(std::int64_t n) const {
  return std::any_of(gaps_.begin(), gaps_.end(),
                     [&](const gap& it) { return n > it.from && n < it.to; });
}

event_place
event_sequence::place_again(std::int64_t n, std::size_t digest) {
  const bool begins_anew = after_ && last_ == after_;
  const bool same_event = n == highest_ && digest != 0 && digest == last_digest_;
  if (begins_anew || same_event || !enabled(mechanism::stream_evidence)) {
    counts_.repeated++;
    return event_place::repeated;
  }
  counts_.misplaced++;
  missing_found_ = missing_found_ || inside_gap(n);
  return event_place::misplaced;
}

event_place
event_sequence::add(std::string_view id, bool has_data, std::size_t digest) {
  if (id.empty() && !has_data) {
    return event_place::comment;
  }
  counts_.events++;
  if (!id.empty()) {
    if (counts_.first_id.empty()) {
      counts_.first_id = id;
    }
    counts_.last_id = id;
  }
  const auto n = read_id(id);
  if (!n) {
    counts_.unnumbered++;
    return event_place::unnumbered;
  }
  const bool again = last_ && *n <= *last_;
  const event_place place = again ? place_again(*n, digest) : event_place::next;
  highest_ = std::max(highest_.value_or(*n), *n);
  last_digest_ = digest;
  if (again) {
    return place;
  }
  // Ids below the first one of a stream are passed over, too.
  const std::int64_t base = last_.value_or(std::numeric_limits<std::int64_t>::min());
  const bool ahead = last_ && static_cast<std::uint64_t>(*n) - static_cast<std::uint64_t>(base) > 1;
  if (ahead || !last_) {
    if (gaps_.size() == max_gaps) {
      gaps_[1].from = gaps_[0].from;
      gaps_.erase(gaps_.begin());
    }
    gaps_.push_back({base, *n});
  }
  counts_.ahead += ahead ? 1 : 0;
  last_ = n;
  return ahead ? event_place::ahead : event_place::next;
}

namespace {

/// Weight of the newest stream in the moving averages; one that departs from the habit weighs more.
constexpr double usual_weight = 0.05;
constexpr double unusual_weight = 0.1;

void
observe(double& share, bool yes, double weight) {
  share += weight * ((yes ? 1.0 : 0.0) - share);
}

} // namespace

void
stream_habits::on_stream(const event_counts& seen, bool resumed, body_framing framing) {
  if (seen.events > 0) {
    observe(unframed_share_, framing == body_framing::connection, usual_weight);
  }
  if (!resumed && !seen.first_id.empty()) {
    if (first_share_ <= usual_weight) {
      first_id_ = seen.first_id;
    }
    observe(first_share_, seen.first_id == first_id_, unusual_weight);
  }
  const bool other = seen.ahead > 0 || seen.unnumbered > 0;
  if (other || seen.events > 1) {
    observe(other_share_, other, other ? unusual_weight : usual_weight);
  }
}

bool
spoiled_answers::doubtful(const moment& now, const upstream_id& id) const {
  const auto it = last_.find(id);
  return it != last_.end() && now.boot - it->second < doubtful_period;
}

} // namespace nutmegspur
