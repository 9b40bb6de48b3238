// Requests that a peer sends to upstreams in this instance's place.
#include "forward_client.h"

#include <algorithm>

namespace nutmegspur::proxy {

namespace {

/// Longer than a connection to another region takes.
constexpr milliseconds connect_limit{300};
/// A peer sends the request within this time or not at all: what the request says of the time that
/// is left is true for as long.
constexpr milliseconds forward_slack{250};
/// How long a peer that refused is not asked; doubled each time.
constexpr milliseconds first_avoided_period{500};
constexpr milliseconds max_avoided_period{4'000};
/// Peers that one call asks.
constexpr std::size_t max_peers = 6;
constexpr std::size_t connections_to_peer = 256;

} // namespace

forwarded_call::forwarded_call(forward_client& owner, forward_request request,
                               http1::call_events events, std::vector<forward_peer> peers)
    : owner_(owner), request_(std::move(request)), events_(std::move(events)),
      peers_(std::move(peers)) {
  std::reverse(peers_.begin(), peers_.end());
}

forwarded_call::~forwarded_call() {
  cancel();
}

void
forwarded_call::start() {
  timer_ = owner_.state_.loop.once(request_.limit, [this](const moment&) {
    end(sent() ? http1::call_end::timed_out : http1::call_end::unreachable);
  });
  ask_next();
}

void
forwarded_call::cancel() {
  ended_ = true;
  owner_.state_.loop.cancel(timer_);
  http1::discard(owner_.state_.loop, std::move(call_));
}

void
forwarded_call::set_reading(bool reads) {
  if (call_ != nullptr) {
    call_->set_reading(reads);
  }
}

void
forwarded_call::ask_next() {
  http1::discard(owner_.state_.loop, std::move(call_));
  asked_ = false;
  accepted_ = false;
  reader_ = std::make_unique<forward_reader>();
  if (peers_.empty()) {
    no_peer_ = true;
    // Reported on a later loop iteration, when the owner holds the call.
    owner_.state_.loop.cancel(timer_);
    timer_ = owner_.state_.loop.once(duration{0},
                                     [this](const moment&) { end(http1::call_end::unreachable); });
    return;
  }
  const forward_peer peer = peers_.back();
  peers_.pop_back();
  peer_ = peer.name;
  const moment now = http1::event_loop::now();
  request_.not_after = owner_.state_.clock.agreed(now).wall + forward_slack;
  http_fields fields;
  fields.add("Host", to_text(peer.at));
  fields.add(std::string{reads_tail_field}, "1");
  http1::call_options options;
  options.connect_timeout = connect_limit;
  options.timeout = request_.limit;
  options.not_after = now.boot + forward_slack;
  call_ = owner_.client_.start(
      peer.at, format_request("POST", forward_path, fields, pack_forward_request(request_)),
      {[this] { asked_ = true; },
       [this](const http_response_head& head) {
         constexpr int ok = 200;
         accepted_ = head.status == ok;
         if (accepted_) {
           owner_.trust(peer_);
         }
       },
       [this](std::string_view bytes) { on_reply(bytes); },
       [this](http1::call_end how) { on_call_end(how); }},
      options);
}

void
forwarded_call::on_reply(std::string_view bytes) {
  if (!accepted_) {
    return;
  }
  reader_->add(bytes);
  while (!ended_ && accepted_) {
    const auto event = reader_->next();
    if (!event) {
      log(log_event::peer_rejected, event.error(), {{"peer", peer_.value}});
      mark_sent();
      end(http1::call_end::broken);
      return;
    }
    if (!event->has_value()) {
      return;
    }
    on_event(**event);
  }
}

void
forwarded_call::on_event(const forward_event& event) {
  switch (event.step) {
  case forward_step::sent:
    mark_sent();
    break;
  case forward_step::head:
    if (events_.on_head) {
      events_.on_head(event.head);
    }
    break;
  case forward_step::body:
    if (events_.on_body) {
      events_.on_body(event.bytes);
    }
    break;
  case forward_step::end: {
    const auto how = from_name<http1::call_end>(event.bytes).value_or(http1::call_end::broken);
    if (how == http1::call_end::unreachable && !sent_ && !event.path_known) {
      owner_.avoid(peer_);
      ask_next();
      break;
    }
    path_known_ = event.path_known;
    tail_ = event.tail;
    end(how);
    break;
  }
  }
}

void
forwarded_call::on_call_end(http1::call_end how) {
  const bool refused = how == http1::call_end::completed && !accepted_;
  if (refused || how == http1::call_end::unreachable) {
    owner_.avoid(peer_);
    ask_next();
    return;
  }
  // The peer ended or was cut off: whether it has sent the request is not known.
  mark_sent();
  end(how == http1::call_end::timed_out ? how : http1::call_end::broken);
}

void
forwarded_call::mark_sent() {
  if (!std::exchange(sent_, true) && !ended_ && events_.on_sent) {
    events_.on_sent();
  }
}

void
forwarded_call::end(http1::call_end how) {
  if (ended_) {
    return;
  }
  ended_ = true;
  owner_.state_.loop.cancel(timer_);
  // The owner may destroy this call in the callback.
  const auto callback = std::move(events_.on_end);
  http1::discard(owner_.state_.loop, std::move(call_));
  if (callback) {
    callback(how);
  }
}

forward_client::forward_client(proxy_state& state, const peer_group& peers)
    : state_(state), peers_(peers), client_(state.loop, {connections_to_peer}) {}

void
forward_client::avoid(const instance_id& peer) {
  avoidance& it = avoided_[peer];
  it.span = std::clamp(it.span * 2, first_avoided_period, max_avoided_period);
  it.until = http1::event_loop::now().boot + it.span;
}

bool
forward_client::has_peers() const {
  return !peers_.forwarders(http1::event_loop::now(), {}).empty();
}

std::vector<forward_peer>
forward_client::usable_peers(const moment& now, const zone_id& zone) {
  auto peers = peers_.forwarders(now, zone);
  std::erase_if(peers, [&](const auto& it) {
    const auto row = avoided_.find(it.name);
    return row != avoided_.end() && now.boot < row->second.until;
  });
  // Spreads calls over equally near peers.
  started_++;
  for (auto first = peers.begin(); first != peers.end();) {
    const auto last = std::find_if(first, peers.end(),
                                   [&](const auto& it) { return it.nearness != first->nearness; });
    const auto shift = static_cast<std::ptrdiff_t>(
        started_ % static_cast<std::uint64_t>(std::distance(first, last)));
    std::rotate(first, first + shift, last);
    first = last;
  }
  peers.resize(std::min(peers.size(), max_peers));
  return peers;
}

std::unique_ptr<forwarded_call>
forward_client::start(const listed_upstream& to, forward_request request,
                      http1::call_events events) {
  request.upstream = to.id;
  request.started_ms = to.started_ms;
  auto call = std::make_unique<forwarded_call>(*this, std::move(request), std::move(events),
                                               usable_peers(http1::event_loop::now(), to.zone));
  call->start();
  return call;
}

} // namespace nutmegspur::proxy
