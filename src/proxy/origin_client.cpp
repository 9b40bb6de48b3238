// Records where streams began, and asks peers for it.
#include "origin_client.h"

#include <nutmegspur/hashing.h>

#include <algorithm>

namespace nutmegspur::proxy {

namespace {

constexpr milliseconds observation_period{250};
/// Longer than the round trip to another region and a new connection take.
constexpr milliseconds answer_limit{150};
/// The list of upstreams is up to date if the store, or the peer that it is followed through,
/// responded within this time. Heartbeats change the list all the time.
constexpr milliseconds max_list_age{3'000};
/// A caller's tries end with its deadline, which may exceed the timeout of one try.
constexpr int tries_in_window = 2;

std::uint64_t
hash_of_routing(const proxy_config& config) {
  std::uint64_t hash = fnv_basis;
  const auto add_field = [&](std::string_view text) {
    hash = fnv1a(fnv1a(hash, text), std::string_view{"\0", 1});
  };
  for (const auto& it : config.routes) {
    add_field(it.host);
    add_field(it.path_prefix);
    for (const auto& service : services_in_use(it)) {
      add_field(service.value);
    }
  }
  return hash;
}

} // namespace

void
origin_client::start() {
  state_.loop.every(observation_period, [this](const moment& now) { observe(now); });
  stored_.start();
}

void
origin_client::observe(const moment& now) {
  const bool followed =
      state_.upstreams_known && store_.reachable() && store_.age(now) < max_list_age;
  versions_.observe(now, state_.upstreams, followed);
  observe_config(now);
  const bool sharing = !every_origin_is_clear(now);
  if (sharing && !sharing_) {
    peers_.send_origins(state_.origins.recent(now, window_));
  }
  sharing_ = sharing;
}

void
origin_client::observe_config(const moment& now) {
  if (state_.config == config_) {
    return;
  }
  config_ = state_.config;
  const std::uint64_t hash = hash_of_routing(config_->config());
  if (hash != routing_hash_) {
    routing_hash_ = hash;
    routing_since_ = now.boot;
  }
  milliseconds longest{0};
  for (const auto& it : config_->config().routes) {
    longest = std::max(longest, it.timeout);
  }
  window_ = std::min(longest * tries_in_window, stream_origins::retention);
}

bool
origin_client::every_origin_is_clear(const moment& now) const {
  if (config_ == nullptr) {
    return false;
  }
  const auto& routes = config_->config().routes;
  return std::all_of(routes.begin(), routes.end(), [&](const proxy_route& it) {
    return it.kind != route_kind::stream || only_origin(now, it).has_value();
  });
}

std::optional<stream_origin>
origin_client::only_origin(const moment& now, const proxy_route& route) const {
  if (now.boot - routing_since_ < window_) {
    return std::nullopt;
  }
  const auto services = services_in_use(route);
  if (services.size() != 1) {
    return std::nullopt;
  }
  const auto version = versions_.only_version(now, services.front(), window_);
  return version ? std::optional{stream_origin{services.front(), *version}} : std::nullopt;
}

void
origin_client::on_stream_began(const std::string& request, const stream_origin& origin) {
  const moment now = http1::event_loop::now();
  state_.origins.add(now, request, origin);
  if (sharing_) {
    peers_.send_origins({{request, origin}});
  }
  stored_.on_began(request, origin);
}

void
origin_client::find(const std::string& request, const proxy_route& route, const handler& on_end) {
  const moment now = http1::event_loop::now();
  if (const auto own = state_.origins.find(now, request)) {
    on_end(own);
    return;
  }

  if (!peers_.any_known()) {
    if (const auto only = only_origin(now, route)) {
      on_end(only); // No other instance could have begun the stream.
      return;
    }
  }
  // An unnamed stream must have begun at the only origin that the store lists.
  const bool named = !request.empty() && request.size() <= stream_origins::max_request_bytes;
  const auto read_store = [this, request, notify = on_end] {
    stored_.find(request, window_, notify);
  };
  if (!named) {
    read_store();
    return;
  }
  ask_keepers(request, route, [read_store, notify = on_end](const auto& origin) {
    if (origin) {
      notify(origin);
    } else {
      read_store();
    }
  });
}

void
origin_client::ask_keepers(const std::string& request, const proxy_route& route, handler on_end) {
  const auto keepers = peers_.origin_keepers(request, origin_keeper_count + 1);
  if (keepers.empty()) {
    on_end(std::nullopt);
    return;
  }

  struct search {
    origin_votes votes;
    handler on_end; ///< Empty once it was called.
  };

  const auto state =
      std::make_shared<search>(search{origin_votes{keepers.size()}, std::move(on_end)});
  for (const auto& at : keepers) {
    calls_.send(at, {"POST", std::string{origin_path}, {}, pack_origin_question(request)},
                {answer_limit}, [this, route, state](const call_outcome& outcome) {
                  std::optional<std::optional<stream_origin>> answer;
                  constexpr int ok = 200;
                  if (outcome.complete() && outcome.status == ok) {
                    if (const auto read = unpack_origin_answer(outcome.body)) {
                      answer = *read;
                    }
                  }
                  state->votes.add(answer);
                  if (state->on_end && state->votes.decided()) {
                    const auto only = only_origin(http1::event_loop::now(), route);
                    std::exchange(state->on_end, {})(state->votes.origin(only));
                  }
                });
  }
}

result<std::string>
origin_client::answer(std::string_view question) const {
  const auto request = unpack_origin_question(question);
  if (!request) {
    return fail(request.error());
  }
  return pack_origin_answer(state_.origins.find(http1::event_loop::now(), *request));
}

} // namespace nutmegspur::proxy
