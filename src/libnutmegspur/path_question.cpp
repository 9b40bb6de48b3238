// Packs and unpacks questions about paths.
#include "msgpack_array.h"

#include <nutmegspur/path_question.h>

namespace nutmegspur {

namespace {

constexpr std::size_t question_elements = 2;

} // namespace

std::string
pack_path_question(const path_question& it) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  out.pack_array(question_elements);
  out.pack(it.upstream.value);
  out.pack(it.started_ms);
  return {buf.data(), buf.size()};
}

result<path_question>
unpack_path_question(std::string_view bytes) {
  return pvt::unpack_array<path_question>(bytes, question_elements, [](const auto& row) {
    return path_question{upstream_id{row.at(0).template as<std::string>()},
                         row.at(1).template as<std::int64_t>()};
  });
}

path_answer
read_path_answer(std::string_view bytes) {
  return from_name<path_answer>(bytes).value_or(path_answer::unknown);
}

} // namespace nutmegspur
