// News of the store for peers, as msgpack arrays.
#include "store_copy.h"

#include <QtCore/QUrlQuery>

#include <msgpack.hpp>

namespace nutmegspur::proxy {

namespace {

/// First element of each message; a new layout gets a new number.
constexpr int layout = 1;
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
read_values(const msgpack::object& from) {
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
take_changed(const stored_values& all, revision after, stored_values& changed,
             std::vector<std::string>& keys) {
  for (const auto& [key, held] : all) {
    keys.push_back(key);
    if (held.modified > after) {
      changed.emplace(key, held);
    }
  }
}

} // namespace

store_news
news_since(const store_copy& copy, const copy_position& position) {
  store_news news;
  news.store = copy.store;
  news.config = copy.config_version > position.config_version ? copy.config : "";
  news.duties_holder = copy.duties_holder;
  take_changed(copy.upstreams, position.store, news.upstreams, news.upstream_keys);
  take_changed(copy.instances, position.store, news.instances, news.instance_names);
  return news;
}

std::string
pack_news(const store_news& news) {
  msgpack::sbuffer buf;
  packer out{buf};
  out.pack_array(element_count);
  out.pack(layout);
  out.pack(news.store.value);
  out.pack(news.config);
  pack_values(out, news.upstreams);
  pack_values(out, news.instances);
  out.pack(news.upstream_keys);
  out.pack(news.instance_names);
  out.pack(news.duties_holder ? news.duties_holder->value : std::string{});
  return {buf.data(), buf.size()};
}

result<store_news>
unpack_news(std::string_view bytes) {
  // The library throws; nothing leaves this function but a result.
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    const auto top = handle.get().as<object_list>();
    if (top.size() != element_count || top[0].as<int>() != layout) {
      return fail({error_code::invalid_argument, step::peer_call, "", "unknown layout of news"});
    }
    store_news news;
    news.store = revision{top[1].as<std::int64_t>()};
    news.config = top[2].as<std::string>();
    news.upstreams = read_values(top[3]);
    news.instances = read_values(top[4]);
    news.upstream_keys = top[5].as<std::vector<std::string>>();
    news.instance_names = top[6].as<std::vector<std::string>>();
    if (const auto holder = top[7].as<std::string>(); !holder.empty()) {
      news.duties_holder = instance_id{holder};
    }
    return news;
  } catch (const std::exception& ec) {
    return fail({error_code::invalid_argument, step::peer_call, "", ec.what()});
  }
}

std::string
news_target(const copy_position& position) {
  return std::string{news_path} + "?store=" + std::to_string(position.store.value) +
         "&config=" + std::to_string(position.config_version);
}

copy_position
parse_news_target(std::string_view target) {
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  const auto text = target.substr(mark + 1);
  const QUrlQuery query{QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()))};
  // What is missing or no number reads as 0: everything is sent.
  return {revision{query.queryItemValue("store").toLongLong()},
          query.queryItemValue("config").toLongLong()};
}

} // namespace nutmegspur::proxy
