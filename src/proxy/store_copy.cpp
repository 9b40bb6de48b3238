// Updates of the replica for peers, as msgpack arrays.
#include "store_copy.h"

#include "call_set.h"

#include <nutmegspur/bounded_unpack.h>

#include <QtCore/QByteArray>
#include <QtCore/QUrlQuery>
#include <QtCore/QtEndian>

#include <msgpack.hpp>

namespace nutmegspur::proxy {

namespace {

/// First element of each message; must change with the layout of the message.
constexpr int layout_version = 2;
constexpr std::size_t element_count = 7;

/// The same of the message with the configuration.
constexpr int config_layout_version = 1;
constexpr std::size_t config_element_count = 2;
/// Fastest: the text repeats itself so much that more effort saves little.
constexpr int compression_level = 1;

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
pack_config_copy(std::string_view config) {
  const QByteArray compressed = qCompress(reinterpret_cast<const uchar*>(config.data()),
                                          static_cast<qsizetype>(config.size()), compression_level);
  msgpack::sbuffer buf;
  packer out{buf};
  out.pack_array(config_element_count);
  out.pack(config_layout_version);
  out.pack_bin(static_cast<std::uint32_t>(compressed.size()));
  out.pack_bin_body(compressed.constData(), static_cast<std::uint32_t>(compressed.size()));
  return {buf.data(), buf.size()};
}

result<std::string>
unpack_config_copy(std::string_view bytes) {
  const auto bad = [](const std::string& why) {
    return fail({error_code::invalid_argument, step::peer_call, "", "configuration copy: " + why});
  };
  try {
    const msgpack::object_handle handle = unpack_bounded(bytes);
    const auto top = handle.get().as<object_list>();
    if (top.size() != config_element_count || top[0].as<int>() != config_layout_version) {
      return bad("unknown layout version or element count");
    }
    const auto compressed = top[1].as<std::vector<char>>();
    // The text's length comes first and is allocated before anything is decompressed.
    std::uint32_t length = 0;
    if (compressed.size() < sizeof length) {
      return bad("too short");
    }
    length = qFromBigEndian<std::uint32_t>(compressed.data());
    if (length > max_store_reply_bytes) {
      return bad("too long");
    }
    const QByteArray text = qUncompress(reinterpret_cast<const uchar*>(compressed.data()),
                                        static_cast<qsizetype>(compressed.size()));
    if (text.size() != static_cast<qsizetype>(length)) {
      return bad("damaged");
    }
    return text.toStdString();
  } catch (const std::exception& ec) {
    return bad(ec.what());
  }
}

std::string
config_target(std::int64_t held) {
  return std::string{config_path} + "?config=" + std::to_string(held);
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
