// Usage accounting on every instance: counting, closing parts, keeping copies and resending.
#include <nutmegspur/usage_ledger.h>

#include <algorithm>

namespace nutmegspur {

namespace {

constexpr seconds max_resend_delay{60};

bool
is_other_instance(const std::optional<instance_id>& peer, const instance_id& self) {
  return peer.has_value() && *peer != self && !peer->empty();
}

} // namespace

usage_ledger::usage_ledger(usage_settings config, usage_hooks hooks, const authority_source& source)
    : config_(config), hooks_(std::move(hooks)), sealer_(std::move(config), source) {}

void
usage_ledger::count(const moment& now, const usage_line& line, action_list& out) {
  if (open_lines_.empty()) {
    open_since_ = now.boot;
  }
  usage_line& sum = open_lines_[{line.team, line.subject}];
  sum.team = line.team;
  sum.subject = line.subject;
  sum.requests += line.requests;
  sum.prompt_tokens += line.prompt_tokens;
  sum.output_tokens += line.output_tokens;
  if (now.boot >= open_since_ + config_.part_period) {
    close_part(now, out);
  }
}

void
usage_ledger::flush(const moment& now, action_list& out) {
  close_part(now, out);
}

bool
usage_ledger::handed_over() const {
  const auto is_held_elsewhere = [](const auto& it) { return it.second.held_elsewhere; };
  return open_lines_.empty() &&
         std::all_of(own_parts_.begin(), own_parts_.end(), is_held_elsewhere) &&
         std::all_of(copies_.begin(), copies_.end(), is_held_elsewhere);
}

void
usage_ledger::step(const moment& now, const event& ev, action_list& out) {
  sealer_.step(now, ev, out);
  acknowledge_sealed(out);
  if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
    return;
  }
  if (std::holds_alternative<stop_requested>(ev)) {
    on_stop(now, out);
    return;
  }
  if (const auto* lost = std::get_if<peer_disconnected>(&ev)) {
    for (auto& [key, it] : copies_) {
      if (key.first == lost->peer) {
        it.next_send = now.boot; // The source may be lost permanently.
      }
    }
    return;
  }
  const auto* received = std::get_if<peer_received>(&ev);
  if (received == nullptr) {
    return;
  }
  if (const auto* part = std::get_if<usage_part>(&received->message)) {
    on_part(now, received->peer, *part, out);
  }
  if (const auto* ack = std::get_if<usage_part_ack>(&received->message)) {
    on_ack(received->peer, *ack, out);
  }
}

void
usage_ledger::on_tick(const moment& now, action_list& out) {
  if (!open_lines_.empty() && now.boot >= open_since_ + config_.part_period) {
    close_part(now, out);
  }
  // Passing a part to this instance's sealer may show that it is sealed, which erases it from the
  // map.
  std::vector<std::uint64_t> due;
  for (const auto& [sequence, it] : own_parts_) {
    if (now.boot >= it.next_send) {
      due.push_back(sequence);
    }
  }
  for (const auto sequence : due) {
    send_own(now, own_parts_.at(sequence), out);
  }
  std::vector<usage_part_key> due_copies;
  for (const auto& [key, it] : copies_) {
    if (now.boot >= it.next_send) {
      due_copies.push_back(key);
    }
  }
  for (const auto& key : due_copies) {
    forward_copy(now, copies_.at(key), out);
  }
}

void
usage_ledger::close_part(const moment& now, action_list& out) {
  if (open_lines_.empty() || own_parts_.size() >= max_own_parts) {
    return;
  }
  own_part it;
  it.part.source = config_.self;
  it.part.sequence = ++last_sequence_;
  const auto wall = std::chrono::floor<seconds>(now.wall.time_since_epoch());
  it.part.window_start = wall.count() / config_.window.count() * config_.window.count();
  for (auto& [key, line] : open_lines_) {
    it.part.lines.push_back(std::move(line));
  }
  open_lines_.clear();
  const auto placed = own_parts_.emplace(last_sequence_, std::move(it)).first;
  send_own(now, placed->second, out);
}

void
usage_ledger::send_own(const moment& now, own_part& it, action_list& out) {
  it.backoff = std::clamp<duration>(it.backoff * 2, config_.resend_delay, max_resend_delay);
  it.next_send = now.boot + it.backoff;
  if (hooks_.copy_peer) {
    const auto copy = hooks_.copy_peer();
    if (is_other_instance(copy, config_.self)) {
      it.copied_to = copy;
      out.emplace_back(send_to_peer{*copy, it.part});
    }
  }
  const auto holder = hooks_.holder ? hooks_.holder() : std::nullopt;
  if (holder == config_.self) {
    if (sealer_.accept(now, it.part, config_.self) == part_status::sealed) {
      release(it.part.sequence, out);
    }
    return;
  }
  if (is_other_instance(holder, config_.self) && holder != it.copied_to) {
    out.emplace_back(send_to_peer{*holder, it.part});
  }
}

void
usage_ledger::on_stop(const moment& now, action_list& out) {
  stopping_ = true;
  flush(now, out);
  for (auto& [key, it] : copies_) {
    it.next_send = now.boot;
    it.backoff = duration{0};
  }
}

void
usage_ledger::forward_copy(const moment& now, copied_part& it, action_list& out) {
  it.backoff = std::clamp<duration>(it.backoff * 2, config_.resend_delay, max_resend_delay);
  it.next_send = now.boot + it.backoff;
  const auto holder = hooks_.holder ? hooks_.holder() : std::nullopt;
  const auto peer = stopping_ && hooks_.copy_peer ? hooks_.copy_peer() : std::nullopt;
  if (is_other_instance(peer, config_.self) && peer != holder) {
    out.emplace_back(send_to_peer{*peer, it.part});
  }
  if (is_other_instance(holder, config_.self)) {
    out.emplace_back(send_to_peer{*holder, it.part});
  }
  if (holder == config_.self && sealer_.accept(now, it.part, config_.self) == part_status::sealed) {
    copies_.erase({it.part.source, it.part.sequence});
  }
}

void
usage_ledger::on_part(const moment& now, const instance_id& from, const usage_part& part,
                      action_list& out) {
  if (part.source == config_.self) {
    // A copy of this instance's own part. A part that is no longer kept here was sealed.
    const bool sealed = own_parts_.count(part.sequence) == 0;
    out.emplace_back(send_to_peer{from, usage_part_ack{part.source, part.sequence, sealed}});
    return;
  }
  const part_status status = sealer_.accept(now, part, from);
  if (status == part_status::sealed) {
    out.emplace_back(send_to_peer{from, usage_part_ack{part.source, part.sequence, true}});
    return;
  }
  // A part that this instance's sealer accepted is kept too until it is sealed: the lease may be
  // lost before that.
  const usage_part_key key{part.source, part.sequence};
  if (copies_.size() >= max_copies && copies_.count(key) == 0) {
    return;
  }
  const duration forward_delay = stopping_ ? duration{0} : config_.copy_forward_delay;
  copies_.try_emplace(key, copied_part{part, now.boot + forward_delay});
  out.emplace_back(send_to_peer{from, usage_part_ack{part.source, part.sequence, false}});
  // A source that does not know the holder sends its part to a peer that does. Only parts that come
  // directly from their source are forwarded, so that two instances that take each other for the
  // holder do not forward a part back and forth.
  const auto holder = hooks_.holder ? hooks_.holder() : std::nullopt;
  if (status == part_status::refused && from == part.source &&
      is_other_instance(holder, config_.self) && holder != from) {
    out.emplace_back(send_to_peer{*holder, part});
  }
}

void
usage_ledger::on_ack(const instance_id& from, const usage_part_ack& ack, action_list& out) {
  if (ack.source != config_.self) {
    if (ack.sealed && from != ack.source) {
      // The holder acknowledges to the sender of the part, which may not be its source.
      out.emplace_back(send_to_peer{ack.source, ack});
    }
    const auto copy = copies_.find({ack.source, ack.sequence});
    if (copy == copies_.end()) {
      return;
    }
    copy->second.held_elsewhere = true;
    if (ack.sealed) {
      copies_.erase(copy);
    }
    return;
  }
  if (ack.sealed) {
    release(ack.sequence, out);
    return;
  }
  const auto it = own_parts_.find(ack.sequence);
  if (it != own_parts_.end()) {
    it->second.held_elsewhere = true;
  }
}

void
usage_ledger::release(std::uint64_t sequence, action_list& out) {
  const auto it = own_parts_.find(sequence);
  if (it == own_parts_.end()) {
    return;
  }
  if (it->second.copied_to) {
    out.emplace_back(
        send_to_peer{*it->second.copied_to, usage_part_ack{config_.self, sequence, true}});
  }
  own_parts_.erase(it);
}

void
usage_ledger::acknowledge_sealed(action_list& out) {
  for (const auto& it : sealer_.take_sealed()) {
    const auto& [source, sequence] = it.key;
    if (source == config_.self) {
      release(sequence, out);
    }
    copies_.erase(it.key);
    for (const auto& sender : it.senders) {
      if (sender != config_.self) {
        out.emplace_back(send_to_peer{sender, usage_part_ack{source, sequence, true}});
      }
    }
  }
}

} // namespace nutmegspur
