// A simulated cluster of configuration replicas.
#include "testing/config_cluster.h"

#include <algorithm>

namespace nutmegspur::testing {

namespace {

constexpr milliseconds step_interval{20};
constexpr std::uint64_t steps_per_tick = 5;
constexpr std::uint32_t page_limit = 1'000'000;

std::string
content_of(const config_snapshot& in) {
  std::set<std::string> lines;
  for (const auto& row : enum_names<resource_kind>::table) {
    for (const auto& [name, it] : in.all_of(row.value)) {
      lines.insert(config_key(row.value, name) + "@" + std::to_string(it.changed.value) + " " +
                   spec_json(it.spec) + "\n");
    }
  }
  std::string out;
  for (const auto& it : lines) {
    out += it;
  }
  return out;
}

} // namespace

std::string
operator_digest() {
  return std::string(64, '0');
}

config_cluster::config_cluster(std::uint64_t /*seed*/) {
  store.progress_interval = seconds{1};
  network = [](const std::string&, const std::string&) { return message_delivery{}; };
}

// -----------------------------------------------------------------------------------------------
// Instances and links

bool
config_cluster::linked(const config_member& a, const config_member& b) const {
  const bool wanted = a.zone == b.zone ? a.relay || b.relay : a.relay && b.relay;
  const bool cut = partitions_.contains(std::minmax(a.name, b.name));
  return a.name != b.name && a.up && b.up && wanted && !cut;
}

std::vector<instance_id>
config_cluster::sync_peers_of(const std::string& name) const {
  std::vector<instance_id> out;
  const auto self = members_.find(name);
  for (const auto& [other, it] : members_) {
    if (self != members_.end() && linked(*self->second, *it)) {
      out.emplace_back(other);
    }
  }
  return out;
}

void
config_cluster::start(const std::string& name, const std::string& zone, bool relay) {
  auto created = std::make_unique<config_member>();
  config_member& it = *created;
  it.name = name;
  it.zone = zone;
  it.relay = relay;
  const config_replica_options options{instance_id{name}, zone_id{zone}};
  it.replica = std::make_unique<config_replica>(
      options, config_replica_hooks{[&it] { return it.relay; },
                                    [this, name] { return sync_peers_of(name); }});
  it.api = std::make_unique<resource_api>(
      resource_api_options{options.instance, options.zone, operator_digest()}, *it.replica);
  members_[name] = std::move(created);
  for (const auto& peer : sync_peers_of(name)) {
    config_member& other = at(peer.value);
    dispatch(it, peer_connected{peer, zone_id{other.zone}});
    dispatch(other, peer_connected{instance_id{name}, zone_id{zone}});
  }
}

void
config_cluster::kill(const std::string& name) {
  for (const auto& peer : sync_peers_of(name)) {
    dispatch(at(peer.value), peer_disconnected{instance_id{name}});
  }
  at(name).up = false;
  store.forget(name);
}

void
config_cluster::pause(const std::string& name) {
  at(name).paused = true;
}

void
config_cluster::resume(const std::string& name) {
  config_member& it = at(name);
  it.paused = false;
  for (const auto& ev : std::exchange(it.inbox, {})) {
    step(it, ev);
  }
}

void
config_cluster::partition(const std::string& a, const std::string& b) {
  if (linked(at(a), at(b))) {
    dispatch(at(a), peer_disconnected{instance_id{b}});
    dispatch(at(b), peer_disconnected{instance_id{a}});
  }
  partitions_.insert(std::minmax(a, b));
}

void
config_cluster::heal_all() {
  for (const auto& [a, b] : std::exchange(partitions_, {})) {
    if (linked(at(a), at(b))) {
      dispatch(at(a), peer_connected{instance_id{b}, zone_id{at(b).zone}});
      dispatch(at(b), peer_connected{instance_id{a}, zone_id{at(a).zone}});
    }
  }
}

// -----------------------------------------------------------------------------------------------
// Events

void
config_cluster::dispatch(config_member& to, const event& ev) {
  if (!to.up) {
    return;
  }
  if (to.paused) {
    to.inbox.push_back(ev);
    return;
  }
  step(to, ev);
}

void
config_cluster::step(config_member& to, const event& ev) {
  action_list out;
  to.replica->step(clock.now(), ev, out);
  for (const auto& it : to.replica->withdrawn()) {
    to.withdrawn.insert(it.value);
  }
  to.api->step(clock.now(), ev, out);
  check_invariants(to);
  for (const auto& it : out) {
    execute(to, it);
  }
}

void
config_cluster::execute(config_member& from, const action& what) {
  if (const auto* call = std::get_if<call_platform>(&what)) {
    store.submit(clock.now(), from.name, *call);
  } else if (const auto* answer = std::get_if<resource_response>(&what)) {
    from.answers[answer->request.value] = *answer;
  } else if (const auto* sent = std::get_if<send_to_peer>(&what)) {
    const auto to = members_.find(sent->peer.value);
    if (to == members_.end() || !linked(from, *to->second)) {
      return;
    }
    const message_delivery delivery = network(from.name, to->first);
    for (int n = 1; n <= delivery.copies; ++n) {
      messages_.push_back(
          {clock.now().boot + delivery.delay * n, from.name, to->first, sent->message});
    }
  }
}

void
config_cluster::deliver() {
  for (int round = 0; round < 10; ++round) {
    const auto due = store.take_due(clock.now());
    for (const auto& it : due) {
      const auto to = members_.find(it.client);
      if (to == members_.end()) {
        continue;
      }
      dispatch(*to->second, it.what);
      if (to->second->duplicate_batches && std::holds_alternative<watch_batch>(it.what)) {
        dispatch(*to->second, it.what);
      }
    }
    const auto first_not_due =
        std::stable_partition(messages_.begin(), messages_.end(),
                              [&](const message& it) { return it.due <= clock.now().boot; });
    std::vector<message> now(std::make_move_iterator(messages_.begin()),
                             std::make_move_iterator(first_not_due));
    messages_.erase(messages_.begin(), first_not_due);
    std::stable_sort(now.begin(), now.end(),
                     [](const message& a, const message& b) { return a.due < b.due; });
    for (auto& it : now) {
      if (linked(at(it.from), at(it.to))) {
        dispatch(at(it.to), peer_received{instance_id{it.from}, std::move(it.what)});
      }
    }
    if (due.empty() && now.empty()) {
      return;
    }
  }
}

void
config_cluster::advance() {
  clock.advance(step_interval);
  deliver();
  if (++steps_ % steps_per_tick != 0) {
    return;
  }
  for (const auto& [name, it] : members_) {
    if (!it->paused) {
      dispatch(*it, tick{});
    }
  }
}

void
config_cluster::run(duration span) {
  run_until([] { return false; }, span);
}

bool
config_cluster::run_until(const std::function<bool()>& done, duration limit) {
  const time_point end = clock.now().boot + limit;
  while (!done() && clock.now().boot < end) {
    advance();
  }
  return done();
}

// -----------------------------------------------------------------------------------------------
// Operators

std::uint64_t
config_cluster::request(const std::string& name, resource_request what) {
  what.request = request_id{++last_request_};
  what.secret_sha256 = operator_digest();
  dispatch(at(name), what);
  return last_request_;
}

std::uint64_t
config_cluster::put(const std::string& name, const resource& it,
                    std::optional<revision> if_revision) {
  resource_request what;
  what.verb = resource_verb::put;
  what.kind = kind_of(it.spec);
  what.name = it.name;
  what.resources = {it};
  what.if_revision = if_revision;
  return request(name, what);
}

const resource_response*
config_cluster::answer(const std::string& name, std::uint64_t id) const {
  const auto& answers = members_.at(name)->answers;
  const auto it = answers.find(id);
  return it == answers.end() ? nullptr : &it->second;
}

std::vector<std::string>
config_cluster::names() const {
  std::vector<std::string> out;
  for (const auto& [name, it] : members_) {
    out.push_back(name);
  }
  return out;
}

std::vector<std::string>
config_cluster::behind(revision wanted) const {
  std::vector<std::string> out;
  for (const auto& [name, it] : members_) {
    if (it->up && !it->paused && it->replica->at() < wanted) {
      out.push_back(name);
    }
  }
  return out;
}

// -----------------------------------------------------------------------------------------------
// Invariants

void
config_cluster::report_violation(const config_member& it, const std::string& what) {
  if (violation_.empty()) {
    violation_ = it.name + " " + what + ", revision " + std::to_string(it.replica->at().value);
  }
}

void
config_cluster::check_invariants(config_member& it) {
  const config_view now = it.replica->view();
  const revision revision_now = it.replica->at();
  if (now == it.last_view && revision_now == it.last_revision) {
    return;
  }
  if (revision_now < it.last_revision || (it.last_view && now->at < it.last_view->at)) {
    report_violation(it, "went back from revision " + std::to_string(it.last_revision.value));
  }
  it.last_view = now;
  it.last_revision = revision_now;
  if (it.replica->at() == revision{}) {
    return;
  }
  // The replica's content must equal the store's content at the replica's revision.
  const call_platform read{{},
                           kv_range{std::string{config_prefix}, prefix_end(config_prefix),
                                    page_limit, it.replica->at()}};
  const auto reply = store.answer_now(clock.now(), "", read);
  if (!reply.answer) {
    return; // The store has compacted that revision.
  }
  config_snapshot expected;
  for (const auto& pair : std::get<kv_range_reply>(*reply.answer).pairs) {
    const auto parts = parse_config_key(pair.key);
    expected.put({parts->name, pair.modified, *parse_spec(parts->kind, pair.value)});
  }
  if (content_of(expected) != content_of(*now)) {
    report_violation(it, "holds a configuration that the store never held:\n" + content_of(*now) +
                             "instead of\n" + content_of(expected));
  }
}

} // namespace nutmegspur::testing
