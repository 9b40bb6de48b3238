// Carries out the orders of the budget of held bytes.
#include "byte_budget.h"

namespace nutmegspur::http1 {

void
byte_hold::start(byte_budget& budget, std::string source, hold_events events) {
  release();
  budget_ = &budget;
  source_ = std::move(source);
  events_ = std::move(events);
}

void
byte_hold::update(std::size_t bytes, bool at_fault) {
  if (budget_ == nullptr) {
    return;
  }
  if (id_ == 0) {
    if (bytes <= budget_->held_.limits().unheeded) {
      return;
    }
    id_ = budget_->held_.open(source_);
    budget_->owners_[id_] = this;
  }
  budget_->held_.set(id_, bytes, at_fault);
  budget_->apply_changes();
}

void
byte_hold::set_complete() {
  if (id_ != 0) {
    budget_->held_.set_complete(id_);
  }
}

void
byte_hold::blame() {
  if (budget_ != nullptr) {
    budget_->held_.blame(source_);
  }
}

void
byte_hold::release() {
  if (id_ != 0) {
    budget_->owners_.erase(id_);
    budget_->held_.close(std::exchange(id_, 0));
    budget_->apply_changes();
  }
}

void
byte_budget::apply_changes() {
  loop_.set_small_reads(held_.pressed());
  for (const auto& [id, order, at_fault] : held_.take_changes()) {
    byte_hold& owner = *owners_.at(id);
    const bool reads = order == hold_order::read;
    owner.waited_ = owner.waited_ || !reads;
    owner.events_.set_reading(reads);
    if (order == hold_order::end) {
      loop_.once(duration{0}, [this, id = id, at_fault = at_fault](const moment&) {
        if (const auto it = owners_.find(id); it != owners_.end()) {
          it->second->events_.end(at_fault);
        }
      });
    }
  }
}

} // namespace nutmegspur::http1
