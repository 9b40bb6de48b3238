/// \file wire_binding.h
/// The wire format of proxied traffic and of the platform's services: the only interface that an
/// adapter has to implement. An adapter translates names and formats and makes no decisions.
///
/// An adapter registers itself by name in `wire_registry`.
#pragma once

#include <nutmegspur/fleet_size.h>
#include <nutmegspur/http_message.h>
#include <nutmegspur/platform.h>
#include <nutmegspur/plugin.h>
#include <nutmegspur/prompt_cache_view.h>
#include <nutmegspur/proxy_config.h>
#include <nutmegspur/retry_budget.h>
#include <nutmegspur/upstream_list.h>
#include <nutmegspur/usage_windows.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// An IP address and a port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// "address:port".
std::string to_text(const endpoint& it);
/// Parses "address:port". Empty if `text` has another form or port 0.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Settings of an instance that proxies: its identity, its addresses, its platform and its limits.
struct proxy_settings {
  instance_id instance;
  zone_id zone;
  std::string region;
  std::map<zone_id, std::string> regions; ///< Region of each availability zone.
  endpoint caller_listen;
  endpoint ready_listen;
  endpoint peer_listen; ///< TCP and UDP.
  std::vector<endpoint> seeds;
  endpoint store;
  endpoint platform_interface; ///< Receives usage reports and upstream orders.
  bool reports_usage = false;
  bool orders_upstreams = false;
  milliseconds shutdown_limit{8'000};   ///< From SIGTERM to the exit of the process.
  milliseconds min_handover_gap{3'000}; ///< A new lease holder makes no calls for this long.
  milliseconds usage_window{5'000};
  milliseconds usage_report_limit{10'000}; ///< Longest time from a window's end to its report.
  shared_retry_bound retries;
  std::uint32_t max_descriptors = 1024;
  std::uint32_t max_store_value_bytes = 1024U * 1024;
  double store_writes_per_second = 400; ///< Of all instances together.
};

/// A caller's request, as described by its header fields.
struct caller_request {
  std::string id;
  std::string key;
  std::optional<milliseconds> wait_limit; ///< How long the caller waits for a response.
  std::string model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::vector<prompt_part> parts;
  std::string last_event_id; ///< The caller resumes a stream after this event.
  /// The id of the caller's request whose response brought the first event of that stream.
  std::string resumes;
};

/// The KV cache of a prompt that an engine has prefilled and holds for another engine, which may
/// fetch it once.
struct prompt_handle {
  endpoint at; ///< The engine that holds it.
  std::string id;
};

/// What the proxy itself adds to the request that it sends to an upstream.
struct forward_fields {
  upstream_id expected; ///< Any other process at this address must refuse the request.
  team_id team;         ///< Empty on routes that are open to all callers.
  milliseconds wait_limit{0};
  std::string last_event_id;         ///< Resume after this event; empty for a new stream.
  std::optional<int> priority;       ///< From 0 (most urgent) to 9 (least urgent).
  bool prefill_only = false;         ///< Only prefill the prompt, and hold it for another engine.
  std::optional<prompt_handle> from; ///< Start from this KV cache.
};

/// What the head of an upstream's response says about the request.
struct response_metadata {
  bool not_run = false;             ///< The upstream states that it did not run the request.
  bool stamped_by_upstream = false; ///< The response carries an upstream stamp.
  std::string request_id;
  std::optional<int> weights_version;
  bool leaving = false;              ///< The upstream is about to stop and takes no new requests.
  std::optional<milliseconds> pause; ///< It rejected the request and wants none for this long.
  /// Requests a second that it takes from all instances together, for as long as it says so.
  std::optional<double> rate_limit;
};

/// Whether a response is to the request with the id `own_id`. Upstreams name the request; a
/// response that names none may be an earlier one that was written once more, unless its connection
/// has carried no other call.
[[nodiscard]] inline bool
is_response_to(const response_metadata& marks, std::string_view own_id, bool reused) {
  return marks.request_id.empty() ? !reused : marks.request_id == own_id;
}

/// A call to the store, the platform or an upstream.
struct wire_call {
  std::string method;
  std::string target;
  http_fields fields;
  std::string body;
};

/// The reply to a long-polling watch call.
struct watch_result {
  std::vector<kv_change> changes;
  revision store;
  bool compacted = false; ///< The changes to report were compacted; read all keys again.
};

/// An order to an engine to change its stage.
struct stage_order {
  upstream_id upstream;
  engine_stage stage = engine_stage::decode;
  instance_id holder;
  fence authority;
  /// Orders that the engine must have accepted before this one. One that is carried out late, after
  /// another holder's, is refused by it.
  std::int64_t accepted_before = 0;
};

/// An adapter. Functions named `..._call` build a call; functions named `parse_...` parse what the
/// process has read or received: settings, stored values, requests and replies.
class wire_binding {
 public:
  wire_binding() = default;
  wire_binding(const wire_binding&) = delete;
  wire_binding& operator=(const wire_binding&) = delete;
  virtual ~wire_binding() = default;

  // Settings.
  /// The environment variable that holds the path of the settings file.
  [[nodiscard]] virtual std::string settings_variable() const = 0;
  [[nodiscard]] virtual result<proxy_settings> parse_settings(std::string_view text) const = 0;

  // Key-value service.
  [[nodiscard]] virtual wire_call store_call(const platform_request& request) const = 0;
  [[nodiscard]] virtual result<platform_answer>
  parse_store_reply(const platform_request& request, int status, std::string_view body) const = 0;
  [[nodiscard]] virtual wire_call watch_call(std::string_view prefix, revision after,
                                             milliseconds wait) const = 0;
  [[nodiscard]] virtual result<watch_result> parse_watch_reply(int status,
                                                               std::string_view body) const = 0;

  /// How often the store has been restored from a copy, as a reply of it states in its head. Empty
  /// if the reply does not state it.
  [[nodiscard]] virtual std::optional<std::int64_t> store_era(const http_fields& fields) const = 0;

  // What operators and upstreams write to the key-value service.
  [[nodiscard]] virtual std::string config_key() const = 0;
  [[nodiscard]] virtual result<proxy_config> parse_config(std::string_view value) const = 0;
  /// Prefix of the upstreams' keys; the rest of a key is the upstream's id.
  [[nodiscard]] virtual std::string upstream_prefix() const = 0;
  [[nodiscard]] virtual result<listed_upstream> parse_upstream(std::string_view key,
                                                               std::string_view value) const = 0;

  // Requests and responses.
  [[nodiscard]] virtual result<caller_request>
  parse_request_head(const http_request_head& head) const = 0;
  /// The header fields sent to an upstream: the caller's from `head`, except those that only the
  /// proxy may set, and the proxy's own.
  [[nodiscard]] virtual http_fields forwarded_fields(const http_request_head& head,
                                                     const forward_fields& own) const = 0;
  [[nodiscard]] virtual response_metadata
  parse_response_head(const http_response_head& head) const = 0;
  /// Header fields of a response that the proxy itself gives to request `id`. `retry_after` is set
  /// only if the request was not run.
  [[nodiscard]] virtual http_fields
  own_response_fields(std::string_view id, std::optional<milliseconds> retry_after) const = 0;

  /// The id of the prompt handle in the response of an engine that has prefilled a prompt.
  [[nodiscard]] virtual result<std::string> parse_handle(std::string_view body) const = 0;
  /// Tells an engine to free the KV cache of a handle that no engine will fetch.
  [[nodiscard]] virtual wire_call release_call(const prompt_handle& handle) const = 0;

  /// Asks an upstream of `service` whether it runs; takes none of an engine's slots. Another
  /// process at its address responds with status 421. `service` may be null.
  [[nodiscard]] virtual wire_call running_check_call(const upstream_id& upstream,
                                                     const proxy_service* service) const = 0;

  /// The number of orders that an engine has accepted, in its response to running_check_call().
  [[nodiscard]] virtual result<std::int64_t> parse_order_count(std::string_view body) const = 0;

  // Duties.
  [[nodiscard]] virtual wire_call usage_call(const usage_window& window, const instance_id& holder,
                                             fence authority) const = 0;
  [[nodiscard]] virtual wire_call fleet_call(const fleet_order& order, const instance_id& holder,
                                             fence authority) const = 0;
  [[nodiscard]] virtual order_result parse_fleet_reply(int status) const = 0;
  [[nodiscard]] virtual wire_call stage_call(const stage_order& order) const = 0;
};

using wire_registry = plugin_registry<wire_binding>;

} // namespace nutmegspur
