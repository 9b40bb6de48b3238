// Requests of peers, sent over this instance's paths.
#include "forward_server.h"

#include "forward_client.h"

namespace nutmegspur::proxy {

namespace {

/// Requests of peers in progress, at most: this instance also serves callers of its own.
constexpr std::size_t max_open = 512;
/// Bytes of a response that a peer may leave unread before it is given up.
constexpr std::size_t max_unsent_bytes = 4UL * 1024 * 1024;
/// Bytes beyond which the response is not read, and how often it is looked whether they were taken.
constexpr std::size_t max_behind_bytes = 64UL * 1024;
constexpr milliseconds behind_poll{20};

} // namespace

void
forward_server::refuse(const http1::exchange_ptr& peer, std::string_view why) {
  constexpr int unavailable = 503;
  state_.metrics.get_counter("nutmegspur_forward_refused_total", {{"why", std::string{why}}}).add();
  peer->reply(unavailable, "", {}, "");
}

void
forward_server::handle(const http1::exchange_ptr& peer) {
  auto request = unpack_forward_request(peer->body());
  if (!request) {
    constexpr int bad_request = 400;
    log(log_event::peer_rejected, request.error());
    peer->reply(bad_request, "", {}, "");
    return;
  }
  const moment now = http1::event_loop::now();
  const auto* upstream = state_.upstreams.usable(request->upstream);
  if (state_.stopping) {
    refuse(peer, "stopping");
  } else if (upstream != nullptr && paths_.state(upstream->id) != path_state::clear) {
    refuse(peer, "cut off");
  } else if (open_.size() >= max_open) {
    refuse(peer, "busy");
  } else if (state_.clock.agreed(now).wall > request->not_after) {
    refuse(peer, "late");
  } else if (upstream == nullptr || upstream->started_ms != request->started_ms ||
             !state_.accepts_calls(now, *upstream)) {
    refuse(peer, "upstream");
  } else {
    send(peer, *upstream, std::move(*request));
  }
}

void
forward_server::send(const http1::exchange_ptr& peer, const listed_upstream& upstream,
                     forward_request request) {
  const std::uint64_t number = ++last_number_;
  const moment now = http1::event_loop::now();
  http1::call_options options;
  options.timeout = request.limit;
  options.connect_timeout = upstream_connect_limit;
  options.not_after = now.boot + (request.not_after - state_.clock.agreed(now).wall);
  options.examine_tail = true;
  options.accepts_response = [this, id = request.request_id](const http_response_head& head,
                                                             bool reused) {
    return is_response_to(state_.wire.parse_response_head(head), id, reused);
  };
  forwarding& it = open_[number];
  it.peer = peer;
  it.upstream = upstream;
  it.request = std::move(request);
  it.path_attempt = paths_.on_started(upstream.id);
  peer->set_on_disconnect([this, number] { close(number); });
  constexpr int ok = 200;
  peer->begin(ok, "", {});
  it.call = client_.start({upstream.address, upstream.port}, it.request.bytes,
                          {[this, number] {
                             write(number, {forward_step::sent, {}, {}, false});
                           },
                           [this, number](const http_response_head& head) {
                             paths_.on_bytes(open_.at(number).path_attempt);
                             write(number, {forward_step::head, head, {}, false});
                           },
                           [this, number](std::string_view bytes) {
                             paths_.on_bytes(open_.at(number).path_attempt);
                             write(number, {forward_step::body, {}, std::string{bytes}, false});
                           },
                           [this, number](http1::call_end how) { on_end(number, how); }},
                          options, it.request.no_body);
}

void
forward_server::write(std::uint64_t number, const forward_event& event) {
  const http1::exchange_ptr peer = open_.at(number).peer;
  peer->write(pack_forward_event(event));
  if (peer->unsent() > max_unsent_bytes) {
    peer->abort();
    close(number);
  } else if (!open_.at(number).peer_behind) {
    wait_for_peer(number);
  }
}

void
forward_server::wait_for_peer(std::uint64_t number) {
  const auto row = open_.find(number);
  if (row == open_.end()) {
    return;
  }
  forwarding& it = row->second;
  it.peer_behind = it.peer->unsent() > max_behind_bytes;
  if (it.call != nullptr) {
    it.call->set_reading(!it.peer_behind);
  }
  if (it.peer_behind) {
    state_.loop.once(behind_poll, [this, number](const moment&) { wait_for_peer(number); });
  }
}

void
forward_server::on_end(std::uint64_t number, http1::call_end how) {
  forwarding& it = open_.at(number);
  const bool known = how == http1::call_end::completed || paths_.known_good(it.upstream.id);
  state_.metrics.get_counter("nutmegspur_forwarded_total", {{"how", std::string{to_name(how)}}})
      .add();
  if (how == http1::call_end::broken && it.request.counts_as_run) {
    crashes_.on_attempt_broken(it.upstream, it.request.suspects);
  }
  if (how == http1::call_end::unreachable || how == http1::call_end::broken) {
    paths_.hold(it.upstream.id, [this_state = &state_, id = it.upstream.id, how] {
      this_state->record_result(http1::event_loop::now(), id,
                                how == http1::call_end::broken ? attempt_result::failed
                                                               : attempt_result::unreachable);
    });
  }
  forward_event end{forward_step::end, {}, std::string{to_name(how)}, known};
  if (it.peer->head().fields.has(reads_tail_field)) {
    end.tail = it.call->tail();
  }
  it.peer->write(pack_forward_event(end));
  it.peer->finish();
  close(number);
}

void
forward_server::end_all() {
  while (!open_.empty()) {
    const auto& [number, it] = *open_.begin();
    // Nothing is recorded against the upstream, nor is the peer to do so: it is not at fault.
    const auto how = it.call->sent() ? http1::call_end::broken : http1::call_end::unreachable;
    it.peer->write(pack_forward_event({forward_step::end, {}, std::string{to_name(how)}, false}));
    it.peer->finish();
    close(number);
  }
}

void
forward_server::close(std::uint64_t number) {
  const auto it = open_.find(number);
  if (it == open_.end()) {
    return;
  }
  paths_.on_ended(it->second.path_attempt);
  http1::discard(state_.loop, std::move(it->second.call));
  open_.erase(it);
}

} // namespace nutmegspur::proxy
