// Updates of the store copy for peers, as msgpack arrays.
#include "store_copy.h"

#include <QtCore/QUrlQuery>

#include <msgpack.hpp>

namespace nutmegspur::proxy {

namespace {

/// First element of each message; must change with the layout of the message.
constexpr int layout_version = 1;
constexpr std::size_t element_count = 8;

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

void
collect_changes(const stored_values& all, revision after, stored_values& changed,
                std::vector<std::string>& keys) {
  for (const auto& [key, held] : all) {
    keys.push_back(key);
    if (held.modified > after) {
      changed.emplace(key, held);
    }
  }
}

} // namespace

store_update
update_since(const store_copy& copy, const copy_position& position) {
  store_update update;
  update.store = copy.store;
  update.config = copy.config_version > position.config_version ? copy.config : "";
  update.duties_holder = copy.duties_holder;
  collect_changes(copy.upstreams, position.store, update.upstreams, update.upstream_keys);
  collect_changes(copy.instances, position.store, update.instances, update.instance_names);
  return update;
}

std::string
pack_store_update(const store_update& update) {
  msgpack::sbuffer buf;
  packer out{buf};
  out.pack_array(element_count);
  out.pack(layout_version);
  out.pack(update.store.value);
  out.pack(update.config);
  pack_values(out, update.upstreams);
  pack_values(out, update.instances);
  out.pack(update.upstream_keys);
  out.pack(update.instance_names);
  out.pack(update.duties_holder ? update.duties_holder->value : std::string{});
  return {buf.data(), buf.size()};
}

result<store_update>
unpack_store_update(std::string_view bytes) {
  // msgpack reports malformed bytes by exceptions; convert them to an error.
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    const auto top = handle.get().as<object_list>();
    if (top.size() != element_count || top[0].as<int>() != layout_version) {
      return fail({error_code::invalid_argument, step::peer_call, "",
                   "store update has an unknown layout version or element count"});
    }
    store_update update;
    update.store = revision{top[1].as<std::int64_t>()};
    update.config = top[2].as<std::string>();
    update.upstreams = unpack_values(top[3]);
    update.instances = unpack_values(top[4]);
    update.upstream_keys = top[5].as<std::vector<std::string>>();
    update.instance_names = top[6].as<std::vector<std::string>>();
    if (const auto holder = top[7].as<std::string>(); !holder.empty()) {
      update.duties_holder = instance_id{holder};
    }
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
