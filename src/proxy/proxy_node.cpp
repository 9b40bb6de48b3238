// Connects the parts of an instance: servers, clients, store, peers, duties and requests.
#include "proxy_node.h"

#include "metrics_page.h"

#include <algorithm>
#include <map>

namespace nutmegspur::proxy {

namespace {

/// Maximum number of connections to one upstream; the upstream's limit is shared by all instances.
constexpr std::size_t upstream_connections = 48;
constexpr std::size_t platform_connections = 32;
/// Part of the stop limit that is reserved for the exit itself.
constexpr milliseconds stop_margin{900};
constexpr milliseconds stop_poll{50};
/// Time for requests that have arrived when the work ends, to be refused.
constexpr milliseconds last_look{50};
/// Time after the balancer has noticed in which requests that it sent before still arrive.
constexpr milliseconds last_arrivals{400};

std::int64_t
unix_millis(const moment& now) {
  return std::chrono::duration_cast<milliseconds>(now.wall.time_since_epoch()).count();
}

caller_limits
internal_limits() {
  return {};
}

/// Peers send whole requests of callers.
caller_limits
peer_limits(const proxy_state& state) {
  constexpr std::uint32_t envelope_bytes = 65'536;
  caller_limits limits;
  if (state.config != nullptr) {
    const auto& callers = state.config->config().limits;
    limits.max_body_bytes = std::max(limits.max_body_bytes, callers.max_body_bytes) +
                            callers.max_header_bytes + envelope_bytes;
  }
  return limits;
}

} // namespace

proxy_node::proxy_node(http1::event_loop& loop, const wire_binding& wire, proxy_settings settings,
                       proxy_options options)
    : loop_(loop), started_ms_(unix_millis(http1::event_loop::now())),
      state_(loop, wire, std::move(settings), options),
      upstream_client_(loop, {upstream_connections}),
      platform_client_(loop, {platform_connections}),
      background_calls_(loop, upstream_client_, state_.held),
      store_(state_, platform_client_,
             {[this](const registered_instance& entry, bool present) {
                peers_.on_instance(entry, present);
              },
              [this](const std::optional<instance_id>& holder) { peers_.set_usage_holder(holder); },
              [this] { duties_.on_store_restored(); }},
             started_ms_),
      peers_(state_, platform_client_, store_, started_ms_),
      paths_(state_, platform_client_, peers_,
             [this](const listed_upstream& it) { on_path_cut(it); }),
      crashes_(state_, platform_client_, paths_), forwards_(state_, peers_),
      forwarded_(state_, upstream_client_, crashes_, paths_),
      permits_(state_, platform_client_, peers_),
      origins_(state_, platform_client_, peers_, store_, started_ms_),
      duties_(state_, platform_client_, store_, peers_),
      caller_server_(
          loop,
          {[this](http1::exchange_ptr it) { on_request(std::move(it)); },
           [this] {
             return state_.config == nullptr ? caller_limits{} : state_.config->config().limits;
           },
           [](int status, const std::string& why) {
             log(log_event::request_refused, {{"status", std::to_string(status)}, {"why", why}});
           },
           &state_.held, "callers"}),
      ready_server_(loop, {[this](const http1::exchange_ptr& it) { on_probe(it); }, internal_limits,
                           [](int, const std::string&) {}}),
      peer_server_(loop, {[this](const http1::exchange_ptr& it) { on_peer_request(it); },
                          [this] { return peer_limits(state_); }, [](int, const std::string&) {},
                          &state_.held, "peers"}) {}

proxy_node::~proxy_node() = default;

result<void>
proxy_node::start() {
  const auto& settings = state_.settings;
  for (auto* it : servers()) {
    const endpoint& at = it == &caller_server_  ? settings.caller_listen
                         : it == &ready_server_ ? settings.ready_listen
                                                : settings.peer_listen;
    if (auto listening = it->listen(at); !listening) {
      return listening;
    }
  }
  if (auto started = peers_.start(); !started) {
    return started;
  }
  origins_.start();
  paths_.start();
  store_.start();
  duties_.start();
  return {};
}

bool
proxy_node::ready() const {
  return state_.config != nullptr && state_.upstreams_known && origins_.ready() && !state_.stopping;
}

void
proxy_node::on_request(http1::exchange_ptr caller) {
  auto flow = std::make_unique<request_flow>(
      state_, upstream_client_, background_calls_, crashes_, permits_, origins_, paths_, forwards_,
      std::move(caller), [this](request_flow* done) {
        // Deferred to a later iteration of the loop, since `done` is still on the call stack.
        loop_.once(duration{0}, [this, done](const moment&) { flows_.erase(done); });
      });
  auto* key = flow.get();
  flows_.emplace(key, std::move(flow));
  key->start();
}

void
proxy_node::on_probe(const http1::exchange_ptr& caller) {
  constexpr int ok = 200;
  constexpr int unavailable = 503;
  const bool now_ready = ready();
  if (now_ready && !was_ready_) {
    log(log_event::process_ready, {{"config", std::to_string(state_.config->config().version)}});
  }
  was_ready_ = now_ready;
  caller->reply(now_ready ? ok : unavailable, "", {}, "");
}

void
proxy_node::on_peer_request(const http1::exchange_ptr& caller) {
  constexpr int ok = 200;
  constexpr int bad_request = 400;
  constexpr int not_found = 404;
  http_fields fields;
  if (caller->head().path() == update_path) {
    fields.add("Content-Type", "application/msgpack");
    const auto position = parse_update_target(caller->head().target);
    caller->reply(ok, "", fields, pack_store_update(store_.update_since(position)));
  } else if (caller->head().path() == config_path) {
    fields.add("Content-Type", "application/msgpack");
    const auto held = parse_update_target(caller->head().target).config_version;
    caller->reply(ok, "", fields, store_.config_copy(held));
  } else if (caller->head().path() == earlier_update_path) {
    fields.add("Content-Type", "application/msgpack");
    const auto position = parse_update_target(caller->head().target);
    caller->reply(ok, "", fields, store_.earlier_update_since(position));
  } else if (caller->head().path() == permit_path) {
    const auto answer = permits_.answer(caller->body());
    fields.add("Content-Type", "application/msgpack");
    caller->reply(answer ? ok : bad_request, "", fields, answer.value_or(""));
  } else if (caller->head().path() == origin_path) {
    const auto answer = origins_.answer(caller->body());
    fields.add("Content-Type", "application/msgpack");
    caller->reply(answer ? ok : bad_request, "", fields, answer.value_or(""));
  } else if (caller->head().path() == forward_path) {
    forwarded_.handle(caller);
  } else if (caller->head().path() == path_question_path) {
    paths_.answer(caller);
  } else if (caller->head().path() == "/metrics") {
    set_path_gauges();
    state_.metrics.get_gauge("nutmegspur_requests_open")
        .set(static_cast<std::int64_t>(flows_.size()));
    state_.metrics.get_gauge("nutmegspur_upstream_connections_opened")
        .set(static_cast<std::int64_t>(upstream_client_.opened()));
    fields.add("Content-Type", "text/plain; version=0.0.4");
    const moment now = http1::event_loop::now();
    caller->reply(ok, "", fields,
                  render_metrics(now, state_, store_, peers_, duties_, permits_.totals()));
  } else {
    caller->reply(not_found, "", {}, "");
  }
}

void
proxy_node::set_path_gauges() {
  auto counts = paths_.counts();
  for (const auto& [state, name] : enum_names<path_state>::table) {
    state_.metrics.get_gauge("nutmegspur_paths", {{"state", std::string{name}}})
        .set(static_cast<std::int64_t>(counts[state]));
  }
  const bool reaches_none = counts[path_state::cut] != 0 && counts[path_state::clear] == 0;
  state_.metrics.get_gauge("nutmegspur_cut_off").set(reaches_none ? 1 : 0);
}

void
proxy_node::on_path_cut(const listed_upstream& upstream) {
  // Kept connections may be dead without a sign of it.
  upstream_client_.forget({upstream.address, upstream.port});
  for (auto* it : open_flows()) {
    it->on_path_cut(upstream.id);
  }
}

std::vector<request_flow*>
proxy_node::open_flows() const {
  std::vector<request_flow*> open;
  open.reserve(flows_.size());
  for (const auto& [key, flow] : flows_) {
    open.push_back(key);
  }
  return open;
}

void
proxy_node::stop() {
  if (state_.stopping) {
    return;
  }
  state_.stopping =
      begin_stop(http1::event_loop::now(), state_.settings.shutdown_limit, stop_margin);
  log(log_event::process_stopping, {{"requests", std::to_string(flows_.size())}});
  duties_.stop();
  store_.unregister();
  // Until the balancer has noticed, callers on idle connections may still send; each response tells
  // its caller that the connection ends.
  caller_server_.close_after_responses();
  loop_.once(balancer_notice, [this](const moment&) { caller_server_.drain(); });
  stop_timer_ = loop_.every(stop_poll, [this](const moment&) { finish_stop(); });
}

void
proxy_node::finish_stop() {
  const moment now = http1::event_loop::now();
  const stop_window& stop = *state_.stopping;
  const bool idle = flows_.empty() && caller_server_.busy() == 0 &&
                    caller_server_.receiving() == 0 && forwarded_.open() == 0;
  const bool noticed = now.boot - stop.begun >= balancer_notice + last_arrivals;
  if ((idle && noticed) || now.boot >= stop.end) {
    end_work(now);
  }
}

void
proxy_node::end_work(const moment& now) {
  loop_.cancel(stop_timer_);
  // What is read from now on is refused, whatever its deadline.
  state_.stopping->end = now.boot;
  log_stopped();
  for (auto* it : servers()) {
    it->stop_listening();
  }
  for (auto* it : open_flows()) {
    it->on_instance_end();
  }
  forwarded_.end_all();
  loop_.once(last_look, [this](const moment& at) { end_process(at); });
}

void
proxy_node::end_process(const moment& now) {
  const http_fields refusal = state_.wire.own_response_fields({}, retry_after_stopping);
  for (auto* it : servers()) {
    it->stop_receiving(refusal);
  }
  peers_.send_final_notices(now);
  loop_.stop();
}

void
proxy_node::log_stopped() const {
  std::map<request_progress, std::size_t> left;
  for (const auto& [key, flow] : flows_) {
    left[flow->progress()]++;
  }
  std::vector<log_field> fields{{"requests", std::to_string(flows_.size())}};
  for (const auto& [value, name] : enum_names<request_progress>::table) {
    fields.push_back({name, std::to_string(left[value])});
  }
  fields.push_back({"receiving", std::to_string(caller_server_.receiving())});
  fields.push_back({"for_peers", std::to_string(forwarded_.open())});
  log(log_event::process_stopped, fields);
}

void
proxy_node::reload(const proxy_settings& settings) {
  state_.settings.retries = settings.retries;
  state_.settings.shutdown_limit = settings.shutdown_limit;
  state_.settings.seeds = settings.seeds;
  state_.settings.regions = settings.regions;
  state_.update_retry_allowances();
  log(log_event::settings_reloaded, {{"instance", settings.instance.value}});
}

} // namespace nutmegspur::proxy
