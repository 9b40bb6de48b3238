// Remembers where streams began, and which versions served.
#include "msgpack_array.h"

#include <nutmegspur/member_ring.h>
#include <nutmegspur/stream_origins.h>

namespace nutmegspur {

namespace {

constexpr std::size_t question_elements = 1;
constexpr std::size_t origin_elements = 2;

} // namespace

std::vector<instance_id>
origin_keepers(std::string_view request, const std::vector<instance_id>& instances,
               std::size_t count) {
  return rendezvous_top(request, instances, count);
}

void
stream_origins::add(const moment& now, const std::string& request, const stream_origin& origin) {
  if (request.empty() || request.size() > max_request_bytes) {
    return;
  }
  expire(now);
  records_.insert_or_assign(request, record{origin, now.boot});
  order_.emplace_back(now.boot, request);
}

void
stream_origins::expire(const moment& now) {
  while (!order_.empty() &&
         (now.boot - order_.front().first >= retention || order_.size() >= max_records)) {
    const auto it = records_.find(order_.front().second);
    if (it != records_.end() && it->second.added == order_.front().first) {
      records_.erase(it);
    }
    order_.pop_front();
  }
}

std::optional<stream_origin>
stream_origins::find(const moment& now, const std::string& request) const {
  const auto it = records_.find(request);
  if (it == records_.end() || now.boot - it->second.added >= retention) {
    return std::nullopt;
  }
  return it->second.origin;
}

std::vector<stream_origin_notice>
stream_origins::recent(const moment& now, milliseconds period) const {
  std::vector<stream_origin_notice> found;
  for (auto row = order_.rbegin(); row != order_.rend() && now.boot - row->first < period; ++row) {
    const auto it = records_.find(row->second);
    if (it != records_.end() && it->second.added == row->first) {
      found.push_back({row->second, it->second.origin});
    }
  }
  return found;
}

void
version_history::observe(const moment& now, const upstream_list& list, bool followed) {
  if (!followed) {
    followed_since_ = {};
  } else if (followed_since_ == time_point{} || now.boot - last_observed_ > max_gap) {
    followed_since_ = now.boot;
  }
  last_observed_ = now.boot;
  for (const auto* it : list.all()) {
    last_listed_[it->service][it->software_version] = now.boot;
  }
  for (auto& [service, versions] : last_listed_) {
    std::erase_if(versions, [&](const auto& row) {
      return now.boot - row.second >= stream_origins::retention;
    });
  }
}

bool
version_history::listed(const stream_origin& origin) const {
  const auto versions = last_listed_.find(origin.service);
  return versions != last_listed_.end() && versions->second.contains(origin.software_version);
}

std::optional<std::string>
version_history::only_version(const moment& now, const service_id& service,
                              milliseconds window) const {
  const auto versions = last_listed_.find(service);
  if (versions == last_listed_.end() || followed_since_ == time_point{} ||
      now.boot - followed_since_ < window || now.boot - last_observed_ > max_gap) {
    return std::nullopt;
  }
  std::optional<std::string> only;
  for (const auto& [version, listed] : versions->second) {
    if (now.boot - listed > window) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = version;
  }
  return only;
}

void
origin_votes::add(const std::optional<std::optional<stream_origin>>& answer) {
  open_ -= open_ > 0 ? 1 : 0;
  all_answered_ = all_answered_ && answer.has_value();
  if (answer && *answer && !found_) {
    found_ = *answer;
  }
}

std::optional<stream_origin>
origin_votes::origin(const std::optional<stream_origin>& only) const {
  if (found_) {
    return found_;
  }
  return open_ == 0 && all_answered_ ? only : std::nullopt;
}

std::string
pack_origin_question(std::string_view request) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  out.pack_array(question_elements);
  out.pack(request);
  return {buf.data(), buf.size()};
}

result<std::string>
unpack_origin_question(std::string_view bytes) {
  auto read = pvt::unpack_array<std::string>(bytes, question_elements, [](const auto& row) {
    return row.at(0).template as<std::string>();
  });
  if (read && read->size() > stream_origins::max_request_bytes) {
    return fail(
        {error_code::invalid_argument, step::peer_call, "", "the request's id is too long"});
  }
  return read;
}

std::string
pack_origin_answer(const std::optional<stream_origin>& it) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  const stream_origin origin = it.value_or(stream_origin{});
  out.pack_array(origin_elements);
  out.pack(origin.service.value);
  out.pack(origin.software_version);
  return {buf.data(), buf.size()};
}

result<std::optional<stream_origin>>
unpack_origin_answer(std::string_view bytes) {
  return pvt::unpack_array<std::optional<stream_origin>>(
      bytes, origin_elements, [](const auto& row) -> std::optional<stream_origin> {
        stream_origin it{service_id{row.at(0).template as<std::string>()},
                         row.at(1).template as<std::string>()};
        return it.service.empty() ? std::nullopt : std::optional{std::move(it)};
      });
}

} // namespace nutmegspur
