// The stored origins of streams, and their encoding.
#include "msgpack_array.h"

#include <nutmegspur/bounded_unpack.h>
#include <nutmegspur/origin_record.h>

#include <algorithm>

namespace nutmegspur {

namespace {

constexpr std::size_t possible_elements = 3;
constexpr std::size_t batch_elements = 3;
/// Later times are no times; they would not fit the clock's type.
constexpr std::int64_t max_unix_millis = 32'503'680'000'000;

/// Decodes an array of arrays of `count` elements.
template <class T, class Reader>
result<std::vector<T>>
unpack_rows(std::string_view bytes, std::size_t count, Reader read) {
  // msgpack reports malformed bytes by exceptions; convert them to an error.
  try {
    const msgpack::object_handle handle = unpack_bounded(bytes);
    std::vector<T> rows;
    for (const auto& row : handle.get().as<std::vector<std::vector<msgpack::object>>>()) {
      if (row.size() != count) {
        return fail({error_code::invalid_argument, step::platform_call, "store",
                     "origins of streams: wrong element count"});
      }
      rows.push_back(read(row));
    }
    return rows;
  } catch (const std::exception& ec) {
    return fail({error_code::invalid_argument, step::platform_call, "store",
                 std::string{"origins of streams: "} + ec.what()});
  }
}

std::int64_t
unix_millis(wall_time at) {
  return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

} // namespace

std::string
origin_batch_key(const instance_id& instance, std::int64_t started_ms) {
  return std::string{origin_prefix} + "of/" + instance.value + "/" + std::to_string(started_ms);
}

bool
origin_record::add(const stream_origin& origin) {
  const auto it = std::find_if(entries_.begin(), entries_.end(),
                               [&](const auto& row) { return row.origin == origin; });
  if (it == entries_.end()) {
    entries_.push_back({origin, std::nullopt});
    return true;
  }
  return std::exchange(it->gone, std::nullopt).has_value();
}

bool
origin_record::retire(wall_time now, const std::set<stream_origin>& in_service) {
  bool changed = false;
  for (auto& it : entries_) {
    if (!it.gone && !in_service.contains(it.origin)) {
      it.gone = now;
      changed = true;
    }
  }
  const auto forgotten = std::erase_if(
      entries_, [&](const auto& it) { return it.gone && now - *it.gone >= retention; });
  return changed || forgotten > 0;
}

bool
origin_record::lists(const stream_origin& origin) const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [&](const auto& it) { return it.origin == origin && !it.gone; });
}

std::vector<stream_origin>
origin_record::possible(wall_time now, milliseconds window) const {
  std::vector<stream_origin> origins;
  for (const auto& it : entries_) {
    if (!it.gone || now - *it.gone < window) {
      origins.push_back(it.origin);
    }
  }
  return origins;
}

std::string
origin_record::pack() const {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  out.pack_array(static_cast<std::uint32_t>(entries_.size()));
  for (const auto& it : entries_) {
    out.pack_array(possible_elements);
    out.pack(it.origin.service.value);
    out.pack(it.origin.software_version);
    out.pack(it.gone ? unix_millis(*it.gone) : std::int64_t{0});
  }
  return {buf.data(), buf.size()};
}

result<origin_record>
origin_record::unpack(std::string_view bytes) {
  auto rows = unpack_rows<possible_origin>(bytes, possible_elements, [](const auto& row) {
    possible_origin it;
    it.origin = {service_id{row.at(0).template as<std::string>()},
                 row.at(1).template as<std::string>()};
    const auto gone_ms = row.at(2).template as<std::int64_t>();
    if (gone_ms != 0) {
      it.gone = wall_time{milliseconds{std::clamp<std::int64_t>(gone_ms, 0, max_unix_millis)}};
    }
    return it;
  });
  if (!rows) {
    return fail(rows.error());
  }
  origin_record record;
  record.entries_ = std::move(*rows);
  return record;
}

std::string
pack_origin_batch(const std::vector<stream_origin_notice>& streams) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  out.pack_array(static_cast<std::uint32_t>(streams.size()));
  for (const auto& it : streams) {
    out.pack_array(batch_elements);
    out.pack(it.request);
    out.pack(it.origin.service.value);
    out.pack(it.origin.software_version);
  }
  return {buf.data(), buf.size()};
}

result<std::vector<stream_origin_notice>>
unpack_origin_batch(std::string_view bytes) {
  return unpack_rows<stream_origin_notice>(bytes, batch_elements, [](const auto& row) {
    return stream_origin_notice{
        row.at(0).template as<std::string>(),
        {service_id{row.at(1).template as<std::string>()}, row.at(2).template as<std::string>()}};
  });
}

} // namespace nutmegspur
