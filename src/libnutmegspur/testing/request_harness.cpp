// Implementation of the request harness.
#include "testing/request_harness.h"

#include "request_rules.h"

#include <algorithm>

namespace nutmegspur::testing {
namespace {

constexpr seconds request_timeout{30};

resource
make_resource(const std::string& name, resource_spec spec) {
  return {name, revision{1}, std::move(spec)};
}

void
add_key(config_snapshot& to, const std::string& name, const std::string& team) {
  key_spec spec;
  spec.team = team_id{team};
  spec.secret_sha256 = request_harness::digest(name);
  to.put(make_resource(name, spec));
}

void
add_route(config_snapshot& to, const std::string& service, bool repeatable) {
  route_spec spec;
  spec.service = service_id{service};
  spec.repeatable = repeatable;
  spec.teams = {team_id{"a"}, team_id{"b"}};
  to.put(make_resource(service, spec));
}

config_snapshot
sample_config() {
  config_snapshot it;
  it.at = revision{1};
  it.put(make_resource("a", team_spec{}));
  it.put(make_resource("b", team_spec{}));
  add_key(it, "key-a", "a");
  add_key(it, "key-b", "b");
  it.put(make_resource("m", model_spec{}));
  offer_spec offer;
  offer.model = model_id{"m"};
  offer.teams = {team_id{"a"}};
  it.put(make_resource("m-offer", offer));
  add_route(it, "pay", false);
  add_route(it, "read", true);
  return it;
}

upstream_state
make_upstream(const std::string& name, instance_kind kind, const std::string& service) {
  upstream_state it;
  it.listed.name = name;
  it.listed.kind = kind;
  it.listed.zone = zone_id{"z"};
  it.listed.region = "r";
  it.listed.address = "127.0.0.1";
  it.listed.port = 1;
  it.listed.service = service;
  it.state.model = model_id{"m"};
  it.load.total_blocks = 1000;
  it.load.free_blocks = 1000;
  return it;
}

upstream_map
sample_upstreams() {
  upstream_map all;
  for (const auto* name : {"e1", "e2", "e3"}) {
    all[upstream_id{name}] = make_upstream(name, instance_kind::engine, "");
  }
  for (const auto* name : {"pay-1", "pay-2"}) {
    all[upstream_id{name}] = make_upstream(name, instance_kind::service, "pay");
  }
  all[upstream_id{"read-1"}] = make_upstream("read-1", instance_kind::service, "read");
  all[upstream_id{"read-2"}] = make_upstream("read-2", instance_kind::service, "read");
  return all;
}

} // namespace

std::string
request_harness::digest(const std::string& key) {
  return sha256_hex(key);
}

std::string
request_harness::tokens(std::uint64_t n) {
  std::string text;
  for (std::uint64_t i = 0; i < n; ++i) {
    text += token(i);
  }
  return text;
}

request_harness::instance_parts::instance_parts(request_harness& harness, std::size_t number)
    : claims(claim_options{instance_id{"i" + std::to_string(number)}, harness.started_processes_}),
      admission(std::move(*admission_registry::instance().make("first_come", {}))),
      routing(std::move(*routing_registry::instance().make("round_robin", {}))),
      upstreams(sample_upstreams()),
      table({instance_id{"i" + std::to_string(number)}, zone_id{"z"}, "r",
             harness.started_processes_},
            {[&harness] { return harness.config_; }, upstreams, *routing, *admission, claims,
             [&harness](const moment&, const usage_line& line, action_list&) {
               harness.usage.push_back(line);
             },
             [&harness](const moment&) { return harness.config_age; }}) {}

request_harness::request_harness(std::size_t instances)
    : config_(std::make_shared<const config_snapshot>(sample_config())), instances_(instances),
      current_process_(instances) {
  store.lost_answer_timeout = seconds{1};
  for (std::size_t i = 0; i < instances; ++i) {
    restart(i);
  }
}

void
request_harness::restart(std::size_t instance_number) {
  current_process_[instance_number] = ++started_processes_;
  instances_[instance_number] = std::make_unique<instance_parts>(*this, instance_number);
}

void
request_harness::kill(std::size_t instance_number) {
  instances_[instance_number].reset();
  store.forget("i" + std::to_string(instance_number));
  std::erase_if(open, [instance_number](const open_call& it) {
    return it.instance == instance_number && it.what.streaming;
  });
}

void
request_harness::configure(const std::function<void(config_snapshot&)>& change) {
  config_snapshot next = *config_;
  ++next.at.value;
  change(next);
  config_ = std::make_shared<const config_snapshot>(std::move(next));
}

request_handle
request_harness::arrive(std::size_t instance_number, request_arrived what) {
  what.request = request_id{++last_request_};
  what.deadline = clock.now().boot + request_timeout;
  const request_handle handle{instance_number, what.request};
  views_[handle];
  feed(instance_number, what);
  return handle;
}

request_handle
request_harness::call_model(std::size_t instance_number, const std::string& key,
                            std::uint32_t max_tokens) {
  request_arrived what;
  what.secret_sha256 = key.empty() ? "" : digest(key);
  inference_call call;
  call.model = model_id{"m"};
  call.stream = true;
  call.prompt_tokens = 4;
  call.max_tokens = max_tokens;
  call.prefix_blocks = {7, 8};
  what.call = call;
  what.body = std::make_shared<const std::string>("{}");
  return arrive(instance_number, what);
}

request_handle
request_harness::call_service(std::size_t instance_number, const std::string& service,
                              const std::string& idempotency_key, const std::string& body,
                              const std::string& key) {
  request_arrived what;
  what.secret_sha256 = digest(key);
  service_call call;
  call.service = service_id{service};
  call.method = "POST";
  call.path = "/charge";
  call.idempotency_key = idempotency_key;
  what.call = call;
  what.body = std::make_shared<const std::string>(body);
  return arrive(instance_number, what);
}

void
request_harness::feed(std::size_t instance_number, const event& ev) {
  if (!alive(instance_number)) {
    return;
  }
  action_list out;
  instances_[instance_number]->claims.step(clock.now(), ev, out);
  instances_[instance_number]->table.step(clock.now(), ev, out);
  for (const auto& it : out) {
    execute(instance_number, it);
  }
}

void
request_harness::count_final(const request_handle& of) {
  observed_response& it = views_[of];
  ++it.final_count;
}

void
request_harness::execute(std::size_t from, const action& what) {
  if (const auto* call = std::get_if<call_platform>(&what)) {
    store.submit(clock.now(), "i" + std::to_string(from), *call);
  } else if (const auto* opened = std::get_if<open_attempt>(&what)) {
    open.push_back({from, current_process_[from], *opened});
  } else if (const auto* cancel = std::get_if<cancel_attempt>(&what)) {
    cancelled.push_back(cancel->attempt);
  } else if (const auto* start = std::get_if<start_response>(&what)) {
    observed_response& it = views_[{from, start->request}];
    it.after_final = it.after_final || it.final_count > 0 || it.started;
    it.started = true;
    it.status = start->status;
    it.headers = start->headers;
  } else if (const auto* text = std::get_if<send_chunk>(&what)) {
    observed_response& it = views_[{from, text->request}];
    it.after_final = it.after_final || it.final_count > 0;
    it.text += text->text;
  } else if (const auto* end = std::get_if<end_response>(&what)) {
    count_final({from, end->request});
    views_[{from, end->request}].ended = true;
    views_[{from, end->request}].usage = end->usage;
  } else if (const auto* refuse = std::get_if<fail_request>(&what)) {
    count_final({from, refuse->request});
    views_[{from, refuse->request}].refused = refuse->why;
  }
}

void
request_harness::pass(duration period) {
  clock.advance(period);
  for (const auto& it : store.take_due(clock.now())) {
    feed(static_cast<std::size_t>(it.client.back() - '0'), it.what);
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    feed(i, tick{});
  }
}

void
request_harness::advance_in_ticks(duration period) {
  for (duration passed{0}; passed < period; passed += tick_period) {
    pass(tick_period);
  }
}

void
request_harness::end_call(const open_call& it, call_ending ending) {
  const attempt_id id = it.what.attempt;
  const std::string body = *it.what.body;
  if (ending != call_ending::refused) {
    reached_upstream.insert({it.instance, id.request});
  }
  if (ending == call_ending::answered || ending == call_ending::lost_after_run) {
    ++runs[body];
  }
  if (it.process != current_process_[it.instance]) {
    return; // Its connection closed when the process that opened it was killed.
  }
  if (ending == call_ending::answered) {
    feed(it.instance, attempt_opened{id, 200, {{"content-type", "text/plain"}}});
    const std::string response = "done " + body;
    feed(it.instance, attempt_chunk{id, 0, static_cast<std::uint32_t>(response.size()), response});
    feed(it.instance, attempt_ended{id, {}, {}, "", response.size()});
    return;
  }
  error why{error_code::upstream_failed, step::attempt_open, it.what.upstream.value, "broke",
            ending == call_ending::refused ? outcome::not_run : outcome::unknown};
  feed(it.instance, attempt_ended{id, why, {}, "", 0});
}

void
request_harness::answer_all_calls() {
  while (!open.empty()) {
    const open_call it = open.front();
    open.pop_front();
    end_call(it, call_ending::answered);
  }
}

} // namespace nutmegspur::testing
