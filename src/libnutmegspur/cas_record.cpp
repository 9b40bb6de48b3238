// Conditional writes of one key, and the revision that they are conditional on.
#include <nutmegspur/cas_record.h>

namespace nutmegspur {

const std::string*
cas_record::on_read(const kv_range_reply& reply) {
  if (reply.pairs.empty()) {
    revision_ = revision{};
    return nullptr;
  }
  revision_ = reply.pairs.front().modified;
  return &reply.pairs.front().value;
}

kv_txn
cas_record::write(std::string value, lease_id lease) const {
  kv_txn txn;
  txn.conditions.push_back({key_, current()});
  txn.writes.push_back({key_, std::move(value), lease});
  return txn;
}

cas_result
cas_record::on_written(const platform_reply& reply) {
  const auto* txn = reply.answer ? std::get_if<kv_txn_reply>(&*reply.answer) : nullptr;
  if (txn != nullptr && txn->applied) {
    revision_ = txn->store;
    return cas_result::applied;
  }
  forget();
  return txn != nullptr ? cas_result::replaced : cas_result::unknown;
}

} // namespace nutmegspur
