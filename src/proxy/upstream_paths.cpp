// Probes of upstreams over new connections, and questions to peers about them.
#include "upstream_paths.h"

#include <nutmegspur/member_ring.h>

namespace nutmegspur::proxy {

namespace {

constexpr milliseconds step_period{100};
/// Peers that are asked at once, and in all: most instances may have lost the same paths.
constexpr std::size_t peers_per_question = 3;
constexpr std::size_t max_peers_asked = 12;
/// A peer may have to probe the upstream first.
constexpr milliseconds answer_limit = path_watch::probe_limit + milliseconds{150};
/// Longer than a connection to another region takes, several times over.
constexpr milliseconds connect_limit{300};

/// Connections that are not used again: a kept one may live on while new ones are refused.
http1::client_limits
single_use() {
  http1::client_limits limits;
  limits.idle_margin = std::chrono::hours{1};
  return limits;
}

} // namespace

upstream_paths::upstream_paths(proxy_state& state, http1::http_client& peer_client,
                               const peer_group& peers,
                               std::function<void(const listed_upstream&)> on_cut)
    : state_(state), peers_(peers), on_cut_(std::move(on_cut)), client_(state.loop, single_use()),
      probes_(state.loop, client_, state.held), questions_(state.loop, peer_client, state.held) {}

void
upstream_paths::start() {
  state_.loop.every(step_period, [this](const moment&) {
    step();
    log_changes();
  });
}

bool
upstream_paths::needs_peer(const upstream_id& id) const {
  const path_state it = watch_.state(id);
  return it == path_state::cut || it == path_state::unproved;
}

bool
upstream_paths::known_good(const upstream_id& id) const {
  return watch_.state(id) == path_state::clear && !watch_.counts().contains(path_state::cut);
}

std::uint64_t
upstream_paths::on_started(const upstream_id& id) {
  return watch_.on_started(http1::event_loop::now(), id);
}

void
upstream_paths::on_bytes(std::uint64_t attempt) {
  watch_.on_bytes(http1::event_loop::now(), attempt);
}

void
upstream_paths::hold(const upstream_id& id, path_watch::evidence apply) {
  watch_.hold(id, std::move(apply));
  step();
}

void
upstream_paths::step() {
  const moment now = http1::event_loop::now();
  std::vector<const listed_upstream*> listed;
  for (const auto* it : state_.upstreams.all()) {
    // Entries of services that are not configured may be anything.
    const bool configured =
        state_.config != nullptr && state_.config->find_service(it->service) != nullptr;
    if (configured && !it->leaving && state_.accepts_calls(now, *it)) {
      listed.push_back(it);
    }
  }
  for (const auto& id : watch_.step(now, listed)) {
    const listed_upstream it = *state_.upstreams.find(id);
    probe(it, [this, it](bool reached) { on_probe_end(it, reached); });
  }
}

void
upstream_paths::probe(const listed_upstream& it, std::function<void(bool)> on_end) {
  state_.metrics.get_counter("nutmegspur_path_probes_total", {}).add();
  const auto* service =
      state_.config == nullptr ? nullptr : state_.config->find_service(it.service);
  probes_.send(
      {it.address, it.port}, state_.wire.running_check_call(it.id, service),
      {path_watch::probe_limit, connect_limit},
      [notify = std::move(on_end)](const call_outcome& outcome) { notify(outcome.complete()); });
}

void
upstream_paths::on_probe_end(const listed_upstream& it, bool reached) {
  apply(it, watch_.on_probe_end(http1::event_loop::now(), it.id, reached));
}

void
upstream_paths::apply(const listed_upstream& it, path_watch::next_step step) {
  switch (step) {
  case path_watch::next_step::none:
    break;
  case path_watch::next_step::ask_peers:
    ask_peers(it);
    break;
  case path_watch::next_step::cut:
    newly_cut_++;
    last_changed_ = it.id;
    on_cut_(it);
    break;
  case path_watch::next_step::regained:
    newly_regained_++;
    last_changed_ = it.id;
    break;
  }
}

void
upstream_paths::ask_peers(const listed_upstream& it) {
  const auto inquired = std::make_shared<inquiry>();
  inquired->upstream = it;
  std::map<instance_id, endpoint> addresses;
  std::vector<instance_id> names;
  for (const auto& peer : peers_.forwarders(http1::event_loop::now(), it.zone)) {
    addresses[peer.name] = peer.at;
    names.push_back(peer.name);
  }
  // Others each time, in any zone: those nearby may have lost the same paths.
  const std::string key =
      it.id.value + state_.settings.instance.value + std::to_string(++inquiries_);
  for (const auto& name : rendezvous_top(key, names, max_peers_asked)) {
    inquired->left.push_back(addresses.at(name));
  }
  ask_next(inquired);
}

void
upstream_paths::ask_next(const std::shared_ptr<inquiry>& it) {
  if (it->left.empty()) {
    apply(it->upstream, watch_.on_peers_end(http1::event_loop::now(), it->upstream.id, false));
    return;
  }
  std::vector<endpoint> asked;
  while (!it->left.empty() && asked.size() < peers_per_question) {
    asked.push_back(it->left.back());
    it->left.pop_back();
  }
  it->open = asked.size();
  for (const auto& at : asked) {
    state_.metrics.get_counter("nutmegspur_path_questions_total", {}).add();
    const std::string question = pack_path_question({it->upstream.id, it->upstream.started_ms});
    questions_.send(at, {"POST", std::string{path_question_path}, {}, question},
                    {answer_limit, connect_limit}, [this, it](const call_outcome& outcome) {
                      constexpr int ok = 200;
                      const bool answered = outcome.complete() && outcome.status == ok;
                      on_answer(it,
                                answered ? read_path_answer(outcome.body) : path_answer::unknown);
                    });
  }
}

void
upstream_paths::on_answer(const std::shared_ptr<inquiry>& it, path_answer answer) {
  it->open--;
  if (it->reached) {
    return;
  }
  if (answer == path_answer::reached) {
    it->reached = true;
    apply(it->upstream, watch_.on_peers_end(http1::event_loop::now(), it->upstream.id, true));
    return;
  }
  if (answer == path_answer::not_reached) {
    it->left.clear(); // It fails for others, too.
  }
  if (it->open == 0) {
    ask_next(it);
  }
}

void
upstream_paths::answer(const http1::exchange_ptr& peer) {
  constexpr int ok = 200;
  const auto reply = [](const http1::exchange_ptr& to, path_answer it) {
    to->reply(ok, "", {}, std::string{to_name(it)});
  };
  const auto question = unpack_path_question(peer->body());
  if (!question) {
    constexpr int bad_request = 400;
    log(log_event::peer_rejected, question.error());
    peer->reply(bad_request, "", {}, "");
    return;
  }
  const upstream_id& id = question->upstream;
  const auto* listed = state_.upstreams.find(id);
  if (listed == nullptr || listed->started_ms != question->started_ms ||
      watch_.state(id) != path_state::clear) {
    reply(peer, path_answer::unknown);
    return;
  }
  // What was heard before the question may have been before a crash.
  auto& waiting = waiting_[id];
  waiting.push_back(peer);
  if (waiting.size() > 1) {
    return;
  }
  probe(*listed, [this, id, reply](bool reached) {
    if (reached) {
      watch_.on_heard(http1::event_loop::now(), id);
    }
    const auto all = std::exchange(waiting_[id], {});
    waiting_.erase(id);
    for (const auto& it : all) {
      reply(it, reached ? path_answer::reached : path_answer::not_reached);
    }
  });
}

void
upstream_paths::log_changes() {
  if (newly_cut_ == 0 && newly_regained_ == 0) {
    return;
  }
  const auto counts = watch_.counts();
  const auto count_of = [&](path_state it) {
    const auto row = counts.find(it);
    return std::to_string(row == counts.end() ? 0 : row->second);
  };
  const auto write = [&](log_event event, std::size_t changed) {
    if (changed != 0) {
      log(event, {{"upstream", last_changed_.value},
                  {"changed", std::to_string(changed)},
                  {"cut", count_of(path_state::cut)},
                  {"unproved", count_of(path_state::unproved)},
                  {"clear", count_of(path_state::clear)}});
    }
  };
  write(log_event::paths_lost, std::exchange(newly_cut_, 0));
  write(log_event::paths_regained, std::exchange(newly_regained_, 0));
}

} // namespace nutmegspur::proxy
