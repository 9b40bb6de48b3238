// Which holders of bytes read on, wait, or end.
#include <nutmegspur/held_bytes.h>

#include <set>
#include <string_view>

namespace nutmegspur {

holder_id
held_bytes::open(std::string source) {
  sources_[source].holders++;
  holders_.emplace(++last_id_, holder_state{std::move(source)});
  return last_id_;
}

void
held_bytes::set(holder_id holder, std::size_t bytes, bool at_fault) {
  const auto it = holders_.find(holder);
  if (it == holders_.end()) {
    return;
  }
  holder_state& row = it->second;
  std::size_t& of_source = sources_[row.source].bytes;
  of_source = of_source - row.bytes + bytes;
  total_ = total_ - row.bytes + bytes;
  row.bytes = bytes;
  row.at_fault = row.at_fault || at_fault;
}

void
held_bytes::set_complete(holder_id holder) {
  if (const auto it = holders_.find(holder); it != holders_.end()) {
    it->second.complete = true;
  }
}

void
held_bytes::close(holder_id holder) {
  const auto it = holders_.find(holder);
  if (it == holders_.end()) {
    return;
  }
  set(holder, 0, false);
  waiting_ -= it->second.waits ? 1 : 0;
  const auto source = sources_.find(it->second.source);
  if (--source->second.holders == 0) {
    sources_.erase(source);
  }
  holders_.erase(it);
}

void
held_bytes::blame(const std::string& source) {
  if (const auto it = sources_.find(source); it != sources_.end()) {
    it->second.at_fault = true;
  }
}

template <class Predicate>
void
held_bytes::end_largest(Predicate may_end, std::size_t down_to, std::vector<hold_change>& changes) {
  while (total_ > down_to) {
    holder_id found = 0;
    std::size_t most = 0;
    for (const auto& [id, it] : holders_) {
      if (it.bytes > most && may_end(it)) {
        found = id;
        most = it.bytes;
      }
    }
    if (found == 0) {
      return;
    }
    changes.push_back({found, hold_order::end, at_fault(holders_.at(found))});
    close(found);
  }
}

std::vector<hold_change>
held_bytes::take_changes() {
  std::vector<hold_change> changes;
  if (total_ <= limits_.share && waiting_ == 0) {
    return changes; // No source is above its share either.
  }
  end_largest([this](const holder_state& it) { return at_fault(it); }, limits_.turns, changes);
  end_largest([](const holder_state& it) { return !it.complete; }, limits_.budget, changes);
  end_largest([](const holder_state&) { return true; }, limits_.budget, changes);
  std::set<std::string_view> seen; // Sources whose oldest counted holder was met.
  for (auto& [id, it] : holders_) {
    const bool counted = it.bytes > limits_.unheeded && !it.complete;
    const bool oldest = counted && seen.empty();
    const bool first_of_source = counted && seen.insert(it.source).second;
    const bool room = total_ <= limits_.calm && sources_[it.source].bytes <= limits_.share;
    const bool turn = oldest || (first_of_source && total_ <= limits_.turns);
    const bool waits = counted && !room && !turn;
    if (waits != it.waits) {
      it.waits = waits;
      waiting_ = waits ? waiting_ + 1 : waiting_ - 1;
      changes.push_back({id, waits ? hold_order::wait : hold_order::read, false});
    }
  }
  return changes;
}

} // namespace nutmegspur
