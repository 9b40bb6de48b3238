// Encodes and decodes peer notices as msgpack arrays.
#include <nutmegspur/bounded_unpack.h>
#include <nutmegspur/peer_notice.h>

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace nutmegspur {

namespace {

/// First element of each datagram; increased when the layout changes.
constexpr int layout_version = 2;
constexpr std::size_t element_count = 19;
/// Instances of earlier versions neither send nor accept the elements after these. They are left
/// out, the last ones first, while there is nothing to tell.
constexpr std::size_t quarantine_at = element_count;
constexpr std::size_t limits_at = quarantine_at + 1;
constexpr std::size_t blame_at = limits_at + 1;
constexpr std::size_t origins_at = blame_at + 1;
/// Elements of a removal's row among those of the withheld upstreams.
constexpr std::size_t removal_elements = 5;
/// In place of the start of a process.
constexpr std::int64_t no_process = -1;
/// Suspects of each kind other than parts that are left in a notice which is too long.
constexpr std::size_t suspects_to_fit = 8;

const quarantine_notice&
of_kind(const peer_notice& it, blame_kind kind) {
  return it.blame[static_cast<std::size_t>(kind)];
}

quarantine_notice&
of_kind(peer_notice& it, blame_kind kind) {
  return it.blame[static_cast<std::size_t>(kind)];
}

/// The number of elements that `it` needs.
std::size_t
elements_of(const peer_notice& it) {
  if (!it.origins.empty()) {
    return origins_at + 1;
  }
  if (!of_kind(it, blame_kind::session).empty() || !of_kind(it, blame_kind::request).empty()) {
    return blame_at + 1;
  }
  if (!it.limits.empty()) {
    return limits_at + 1;
  }
  return of_kind(it, blame_kind::part).empty() ? element_count : quarantine_at + 1;
}

template <class Packer>
void
pack_usage(Packer& out, const std::vector<usage_window>& windows) {
  out.pack_array(static_cast<std::uint32_t>(windows.size()));
  for (const auto& it : windows) {
    out.pack_array(2);
    out.pack(it.number);
    out.pack_map(static_cast<std::uint32_t>(it.counts.size()));
    for (const auto& [team, n] : it.counts) {
      out.pack(team.value);
      out.pack(n);
    }
  }
}

usage_window
read_usage(const msgpack::object& from) {
  const auto row = from.as<std::vector<msgpack::object>>();
  usage_window window;
  window.number = row.at(0).as<std::int64_t>();
  for (const auto& [team, n] : row.at(1).as<std::map<std::string, std::uint64_t>>()) {
    window.counts.emplace(team_id{team}, n);
  }
  return window;
}

upstream_load_notice
read_load(const msgpack::object& from) {
  const auto row = from.as<std::vector<msgpack::object>>();
  return {upstream_id{row.at(0).as<std::string>()},
          {row.at(1).as<std::uint32_t>(), static_cast<double>(row.at(2).as<std::uint32_t>())}};
}

/// Packs parts grouped by upstream, each as two numbers. Grouping saves space, because the name of
/// an upstream is as long as a part.
template <class Packer>
void
pack_placed(Packer& out, const std::vector<cached_part_notice>& placed) {
  std::map<upstream_id, std::vector<chained_part>> by_upstream;
  for (const auto& it : placed) {
    by_upstream[it.upstream].push_back(it.part);
  }
  out.pack_map(static_cast<std::uint32_t>(by_upstream.size()));
  for (const auto& [upstream, parts] : by_upstream) {
    out.pack(upstream.value);
    out.pack_array(static_cast<std::uint32_t>(2 * parts.size()));
    for (const auto& it : parts) {
      out.pack(it.chain);
      out.pack(it.tokens);
    }
  }
}

void
read_placed(const msgpack::object& from, std::vector<cached_part_notice>& parts_out) {
  for (const auto& [upstream, parts] : from.as<std::map<std::string, msgpack::object>>()) {
    const auto numbers = parts.as<std::vector<std::uint64_t>>();
    for (std::size_t n = 0; n + 1 < numbers.size(); n += 2) {
      parts_out.push_back(
          {upstream_id{upstream}, {numbers[n], static_cast<std::uint32_t>(numbers[n + 1])}});
    }
  }
}

std::int64_t
to_micros(wall_time t) {
  return t.time_since_epoch().count();
}

wall_time
read_time(const msgpack::object& from) {
  return wall_time{microseconds{from.as<std::int64_t>()}};
}

/// Packs withheld upstreams `[upstream, stage, until, leaving process]`, without the process if
/// there is none, and removals `[upstream, stage none, until, no process, revision]`. To an
/// instance of an earlier version, which reads four elements, a removal concerns no process.
template <class Packer>
void
pack_withheld(Packer& out, const std::vector<withheld_notice>& withheld,
              const std::vector<removal_notice>& removals) {
  out.pack_array(static_cast<std::uint32_t>(withheld.size() + removals.size()));
  for (const auto& it : withheld) {
    out.pack_array(it.leaving_process ? 4 : 3);
    out.pack(it.upstream.value);
    out.pack(std::string{to_name(it.until_stage)});
    out.pack(to_micros(it.until));
    if (it.leaving_process) {
      out.pack(*it.leaving_process);
    }
  }
  for (const auto& it : removals) {
    out.pack_array(removal_elements);
    out.pack(it.upstream.value);
    out.pack(std::string{to_name(engine_stage::none)});
    out.pack(to_micros(it.until));
    out.pack(no_process);
    out.pack(it.at.value);
  }
}

removal_notice
read_removal(const std::vector<msgpack::object>& row) {
  return {upstream_id{row.at(0).as<std::string>()}, revision{row.at(4).as<std::int64_t>()},
          read_time(row.at(2))};
}

withheld_notice
read_withheld(const std::vector<msgpack::object>& row) {
  const auto stage = from_name<engine_stage>(row.at(1).as<std::string>());
  withheld_notice it{upstream_id{row.at(0).as<std::string>()}, stage.value_or(engine_stage::none),
                     wall_time{microseconds{row.at(2).as<std::int64_t>()}}, std::nullopt};
  // Instances of earlier versions send rows without it.
  if (constexpr std::size_t leaving_process_at = 3; row.size() > leaving_process_at) {
    it.leaving_process = row[leaving_process_at].as<std::int64_t>();
  }
  return it;
}

/// Packs suspects `[part, cleared, [[process, time]...]]` and groups `[[part...], since, until,
/// times]`.
template <class Packer>
void
pack_quarantine(Packer& out, const quarantine_notice& notice) {
  out.pack_array(2);
  out.pack_array(static_cast<std::uint32_t>(notice.suspects.size()));
  for (const auto& it : notice.suspects) {
    out.pack_array(3);
    out.pack(it.part);
    out.pack(to_micros(it.cleared));
    out.pack_array(static_cast<std::uint32_t>(it.crashes.size()));
    for (const auto& crash : it.crashes) {
      out.pack_array(2);
      out.pack(crash.process);
      out.pack(to_micros(crash.at));
    }
  }
  out.pack_array(static_cast<std::uint32_t>(notice.groups.size()));
  for (const auto& it : notice.groups) {
    out.pack_array(4);
    out.pack(it.parts);
    out.pack(to_micros(it.since));
    out.pack(to_micros(it.until));
    out.pack(it.times);
  }
}

quarantine_notice
read_quarantine(const msgpack::object& from) {
  const auto lists = from.as<std::vector<msgpack::object>>();
  quarantine_notice notice;
  for (const auto& row : lists.at(0).as<std::vector<std::vector<msgpack::object>>>()) {
    suspect_notice& it = notice.suspects.emplace_back();
    it.part = row.at(0).as<std::uint64_t>();
    it.cleared = read_time(row.at(1));
    for (const auto& crash : row.at(2).as<std::vector<std::vector<msgpack::object>>>()) {
      it.crashes.push_back({crash.at(0).as<std::uint64_t>(), read_time(crash.at(1))});
    }
  }
  for (const auto& row : lists.at(1).as<std::vector<std::vector<msgpack::object>>>()) {
    notice.groups.push_back({row.at(0).as<part_ids>(), read_time(row.at(1)), read_time(row.at(2)),
                             row.at(3).as<unsigned>()});
  }
  return notice;
}

/// Packs rows `[upstream, process, time, rate]`, without the rate if there is none.
template <class Packer>
void
pack_limits(Packer& out, const std::vector<limit_notice>& limits) {
  out.pack_array(static_cast<std::uint32_t>(limits.size()));
  for (const auto& it : limits) {
    out.pack_array(it.per_second ? 4 : 3);
    out.pack(it.upstream.value);
    out.pack(it.process);
    out.pack(to_micros(it.stated));
    if (it.per_second) {
      out.pack(*it.per_second);
    }
  }
}

limit_notice
read_limit(const std::vector<msgpack::object>& row) {
  limit_notice it{upstream_id{row.at(0).as<std::string>()}, row.at(1).as<std::int64_t>(),
                  std::nullopt, read_time(row.at(2))};
  if (constexpr std::size_t rate_at = 3; row.size() > rate_at) {
    it.per_second = row[rate_at].as<double>();
  }
  return it;
}

/// Packs rows `[request, service, version]`.
template <class Packer>
void
pack_origins(Packer& out, const std::vector<stream_origin_notice>& origins) {
  out.pack_array(static_cast<std::uint32_t>(origins.size()));
  for (const auto& it : origins) {
    out.pack_array(3);
    out.pack(it.request);
    out.pack(it.origin.service.value);
    out.pack(it.origin.software_version);
  }
}

stream_origin_notice
read_origin(const std::vector<std::string>& row) {
  return {row.at(0), {service_id{row.at(1)}, row.at(2)}};
}

peer_notice
read_notice(const msgpack::object& from) {
  const auto row = from.as<std::vector<msgpack::object>>();
  peer_notice it;
  it.sender = instance_id{row.at(1).as<std::string>()};
  it.started_ms = row.at(2).as<std::int64_t>();
  it.sequence = row.at(3).as<std::uint64_t>();
  it.config_version = row.at(4).as<std::int64_t>();
  it.store = revision{row.at(5).as<std::int64_t>()};
  it.store_reachable = row.at(6).as<bool>();
  it.wall = wall_time{microseconds{row.at(7).as<std::int64_t>()}};
  const auto scope = from_name<notice_scope>(row.at(8).as<std::string>());
  if (!scope) {
    throw std::invalid_argument("unknown notice scope");
  }
  it.scope = *scope;
  it.content_hash = row.at(9).as<std::uint64_t>();
  it.instances = row.at(10).as<std::uint32_t>();
  it.lifetime = milliseconds{row.at(11).as<std::uint32_t>()};
  it.sealed = row.at(12).as<std::int64_t>();
  it.partial = row.at(16).as<bool>();
  it.zone = zone_id{row.at(17).as<std::string>()};
  for (const auto& withheld : row.at(18).as<std::vector<std::vector<msgpack::object>>>()) {
    if (withheld.size() >= removal_elements) {
      it.removals.push_back(read_removal(withheld));
    } else {
      it.withheld.push_back(read_withheld(withheld));
    }
  }
  for (const auto& load : row.at(13).as<std::vector<msgpack::object>>()) {
    it.loads.push_back(read_load(load));
  }
  read_placed(row.at(14), it.placed);
  for (const auto& window : row.at(15).as<std::vector<msgpack::object>>()) {
    it.usage.push_back(read_usage(window));
  }
  if (row.size() > quarantine_at) {
    of_kind(it, blame_kind::part) = read_quarantine(row[quarantine_at]);
  }
  if (row.size() > limits_at) {
    for (const auto& limit : row[limits_at].as<std::vector<std::vector<msgpack::object>>>()) {
      it.limits.push_back(read_limit(limit));
    }
  }
  if (row.size() > blame_at) {
    const auto kinds = row[blame_at].as<std::vector<msgpack::object>>();
    of_kind(it, blame_kind::session) = read_quarantine(kinds.at(0));
    of_kind(it, blame_kind::request) = read_quarantine(kinds.at(1));
  }
  if (row.size() > origins_at) {
    for (const auto& origin : row[origins_at].as<std::vector<std::vector<std::string>>>()) {
      it.origins.push_back(read_origin(origin));
    }
  }
  return it;
}

} // namespace

std::string
pack_notice(const peer_notice& it) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  const std::size_t elements = elements_of(it);
  out.pack_array(static_cast<std::uint32_t>(elements));
  out.pack(layout_version);
  out.pack(it.sender.value);
  out.pack(it.started_ms);
  out.pack(it.sequence);
  out.pack(it.config_version);
  out.pack(it.store.value);
  out.pack(it.store_reachable);
  out.pack(it.wall.time_since_epoch().count());
  out.pack(std::string{to_name(it.scope)});
  out.pack(it.content_hash);
  out.pack(it.instances);
  out.pack(static_cast<std::uint32_t>(it.lifetime.count()));
  out.pack(it.sealed);
  out.pack_array(static_cast<std::uint32_t>(it.loads.size()));
  for (const auto& load : it.loads) {
    out.pack_array(3);
    out.pack(load.upstream.value);
    out.pack(load.load.open);
    out.pack(static_cast<std::uint32_t>(std::lround(std::max(load.load.backlog_millis, 0.0))));
  }
  pack_placed(out, it.placed);
  pack_usage(out, it.usage);
  out.pack(it.partial);
  out.pack(it.zone.value);
  pack_withheld(out, it.withheld, it.removals);
  if (elements > quarantine_at) {
    pack_quarantine(out, of_kind(it, blame_kind::part));
  }
  if (elements > limits_at) {
    pack_limits(out, it.limits);
  }
  if (elements > blame_at) {
    out.pack_array(2);
    pack_quarantine(out, of_kind(it, blame_kind::session));
    pack_quarantine(out, of_kind(it, blame_kind::request));
  }
  if (elements > origins_at) {
    pack_origins(out, it.origins);
  }
  return {buf.data(), buf.size()};
}

result<std::string>
pack_notice_to_fit(peer_notice it) {
  std::string bytes = pack_notice(it);
  if (bytes.size() > max_notice_bytes) {
    it.placed.clear();
    bytes = pack_notice(it);
  }
  if (bytes.size() > max_notice_bytes) {
    for (const auto kind : {blame_kind::session, blame_kind::request}) {
      auto& suspects = of_kind(it, kind).suspects;
      suspects.resize(std::min(suspects.size(), suspects_to_fit));
    }
    bytes = pack_notice(it);
  }
  if (bytes.size() > max_notice_bytes) {
    return fail(
        {error_code::invalid_argument, step::peer_call, it.sender.value,
         "notice exceeds the maximum datagram size: " + std::to_string(bytes.size()) + " bytes"});
  }
  return bytes;
}

result<peer_notice>
unpack_notice(std::string_view bytes) {
  const auto bad = [](const std::string& why) {
    return fail({error_code::invalid_argument, step::peer_call, "", "invalid peer notice: " + why});
  };
  if (bytes.size() > max_notice_bytes) {
    return bad("exceeds the maximum datagram size");
  }
  // The msgpack library throws on malformed input; convert that to an error.
  try {
    const msgpack::object_handle handle = unpack_bounded(bytes);
    const msgpack::object& top = handle.get();
    const bool valid_size = top.type == msgpack::type::ARRAY &&
                            top.via.array.size >= element_count &&
                            top.via.array.size <= origins_at + 1;
    if (!valid_size || top.via.array.ptr[0].as<int>() != layout_version) {
      return bad("unknown layout version or wrong element count");
    }
    return read_notice(top);
  } catch (const std::exception& ec) {
    return bad(ec.what());
  }
}

} // namespace nutmegspur
