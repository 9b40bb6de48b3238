// Eras of the store, and the conversion between its revision numbers and positions.
#include <nutmegspur/store_era.h>

namespace nutmegspur {

void
add_era(platform_answer& answer, std::int64_t era) {
  const auto convert = [&](revision& it) { it = store_position(era, it.value); };
  if (auto* range = std::get_if<kv_range_reply>(&answer)) {
    convert(range->store);
    for (auto& pair : range->pairs) {
      convert(pair.created);
      convert(pair.modified);
    }
  } else if (auto* txn = std::get_if<kv_txn_reply>(&answer)) {
    convert(txn->store);
  }
}

void
remove_era(platform_request& request) {
  if (auto* txn = std::get_if<kv_txn>(&request)) {
    for (auto& row : txn->conditions) {
      row.modified = revision{number_of(row.modified)};
    }
  }
}

store_era::verdict
store_era::on_reply(std::optional<std::int64_t> sent_in, std::optional<std::int64_t> stated) {
  if (!current_) {
    current_ = stated.value_or(0);
    return verdict::usable;
  }
  const std::int64_t era = stated.value_or(*current_);
  if (era > *current_) {
    current_ = era;
    return verdict::restored;
  }
  const bool earlier_call = sent_in && *sent_in < *current_;
  return era < *current_ || earlier_call ? verdict::outdated : verdict::usable;
}

bool
store_era::on_peer(std::int64_t era) {
  if (!current_ || era <= *current_) {
    return false;
  }
  current_ = era;
  return true;
}

} // namespace nutmegspur
