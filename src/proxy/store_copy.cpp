// Updates of the replica for peers, as msgpack arrays.
#include "store_copy.h"

#include <nutmegspur/bounded_unpack.h>

#include <QtCore/QUrlQuery>

#include <msgpack.hpp>

namespace nutmegspur::proxy {

namespace {

/// First element of each message; must change with the layout of the message.
constexpr int layout_version = 2;
constexpr std::size_t element_count = 7;

using packer = msgpack::packer<msgpack::sbuffer>;
using object_list = std::vector<msgpack::object>;

void
pack_values(packer& out, const stored_values& values) {
  out.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const auto& [key, held] : values) {
    out.pack_array(3);
    out.pack(key);
    out.pack(held.value);
    out.pack(held.modified.value);
  }
}

stored_values
unpack_values(const msgpack::object& from) {
  stored_values values;
  for (const auto& it : from.as<object_list>()) {
    const auto row = it.as<object_list>();
    values.emplace(
        row.at(0).as<std::string>(),
        stored_value{row.at(1).as<std::string>(), revision{row.at(2).as<std::int64_t>()}});
  }
  return values;
}

} // namespace

std::string
pack_store_update(const store_update& update) {
  msgpack::sbuffer buf;
  packer out{buf};
  out.pack_array(element_count);
  out.pack(layout_version);
  out.pack(update.replica.base.value);
  out.pack(update.replica.store.value);
  pack_values(out, update.replica.written);
  out.pack_map(static_cast<std::uint32_t>(update.replica.removed.size()));
  for (const auto& [key, at] : update.replica.removed) {
    out.pack(key);
    out.pack(at.value);
  }
  out.pack(update.config);
  out.pack(update.final_through.value);
  return {buf.data(), buf.size()};
}

std::string
pack_earlier_update(const store_replica& replica, revision base, const std::string& config,
                    std::string_view upstream_prefix, std::string_view instance_prefix,
                    const std::string& duties_holder) {
  constexpr int earlier_layout = 1;
  constexpr std::size_t earlier_elements = 8;
  std::map<std::string_view, stored_values> changed;
  std::map<std::string_view, std::vector<std::string>> keys;
  for (const auto& [key, it] : replica.values()) {
    for (const auto prefix : {upstream_prefix, instance_prefix}) {
      if (!key.starts_with(prefix)) {
        continue;
      }
      // Instances are named without their prefix.
      const std::string name = prefix == instance_prefix ? key.substr(prefix.size()) : key;
      keys[prefix].push_back(name);
      if (it.modified > base) {
        changed[prefix].emplace(name, it);
      }
    }
  }
  msgpack::sbuffer buf;
  packer out{buf};
  out.pack_array(earlier_elements);
  out.pack(earlier_layout);
  out.pack(replica.position().value);
  out.pack(config);
  pack_values(out, changed[upstream_prefix]);
  pack_values(out, changed[instance_prefix]);
  out.pack(keys[upstream_prefix]);
  out.pack(keys[instance_prefix]);
  out.pack(duties_holder);
  return {buf.data(), buf.size()};
}

result<store_update>
unpack_store_update(std::string_view bytes) {
  // msgpack reports malformed bytes by exceptions; convert them to an error.
  try {
    const msgpack::object_handle handle = unpack_bounded(bytes);
    const auto top = handle.get().as<object_list>();
    if (top.size() != element_count || top[0].as<int>() != layout_version) {
      return fail({error_code::invalid_argument, step::peer_call, "",
                   "store update has an unknown layout version or element count"});
    }
    store_update update;
    update.replica.base = revision{top[1].as<std::int64_t>()};
    update.replica.store = revision{top[2].as<std::int64_t>()};
    update.replica.written = unpack_values(top[3]);
    for (const auto& [key, at] : top[4].as<std::map<std::string, std::int64_t>>()) {
      update.replica.removed.emplace(key, revision{at});
    }
    update.config = top[5].as<std::string>();
    update.final_through = revision{top[6].as<std::int64_t>()};
    return update;
  } catch (const std::exception& ec) {
    return fail({error_code::invalid_argument, step::peer_call, "", ec.what()});
  }
}

std::string
update_target(const copy_position& position) {
  return std::string{update_path} + "?store=" + std::to_string(position.store.value) +
         "&config=" + std::to_string(position.config_version);
}

copy_position
parse_update_target(std::string_view target) {
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  const auto text = target.substr(mark + 1);
  const QUrlQuery query{QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()))};
  // A missing or malformed position reads as 0, so that everything is sent.
  return {revision{query.queryItemValue("store").toLongLong()},
          query.queryItemValue("config").toLongLong()};
}

} // namespace nutmegspur::proxy
