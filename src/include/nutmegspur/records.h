/// \file records.h
/// The records in the platform's key-value store, their keys, and their JSON form.
///
/// Configuration has one key for each resource, `cfg/<kind>/<name>`, so that no value grows with
/// the number of teams and a change is a delta. Coordination records are under `lease/`, `intent/`,
/// `usage/`, `usage-mark/`, `order/` and `claim/`. Each record is an aggregate with a parse
/// function. Invalid JSON gives an error that names the field, and nothing of it is applied.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegspur {

// ---------------------------------------------------------------------------------------------
// Configuration resources

/// The kinds of configuration resource.
enum class resource_kind { team, key, model, adapter, version, offer, route, drain, upstream };

template <> struct enum_names<resource_kind> {
  static constexpr std::array<enum_name<resource_kind>, 9> table{{
      {resource_kind::team, "team"},
      {resource_kind::key, "key"},
      {resource_kind::model, "model"},
      {resource_kind::adapter, "adapter"},
      {resource_kind::version, "version"},
      {resource_kind::offer, "offer"},
      {resource_kind::route, "route"},
      {resource_kind::drain, "drain"},
      {resource_kind::upstream, "upstream"},
  }};
};

/// A team: the unit of authorization, fair sharing and billing.
struct team_spec {
  /// Relative share of capacity under contention; at least 1.
  std::uint32_t weight = 1;
  /// Limit on the team's running and queued requests at one instance; 0 means no limit for the
  /// team.
  std::uint32_t max_in_flight = 0;
  /// How long the team's keys are accepted while the configuration is not confirmed to be current.
  /// Empty means without limit.
  std::optional<seconds> stale_key_limit = std::nullopt;

  bool operator==(const team_spec&) const = default;
};

/// What a key may be used for.
enum class key_role { caller, operators };

template <> struct enum_names<key_role> {
  static constexpr std::array<enum_name<key_role>, 2> table{{
      {key_role::caller, "caller"},
      {key_role::operators, "operator"},
  }};
};

/// A credential. Only the SHA-256 digest of its secret is stored.
struct key_spec {
  team_id team; ///< Empty for operators' keys.
  key_role role = key_role::caller;
  std::string secret_sha256; ///< 64 lower-case hexadecimal digits.
  bool withdrawn = false;    ///< Cannot become false again.

  bool operator==(const key_spec&) const = default;
};

/// A model, with the properties that routing and accounting need.
struct model_spec {
  std::string current_version; ///< Name of a `version` resource; may be empty.
  std::uint32_t context_tokens = 8192;
  /// Relative price of a prompt token and of an output token, in thousandths.
  std::uint32_t prompt_cost_milli = 250;
  std::uint32_t output_cost_milli = 1000;

  bool operator==(const model_spec&) const = default;
};

/// A fine-tuned adapter of a model.
struct adapter_spec {
  model_id model;
  std::string weights; ///< Name in the weight store.

  bool operator==(const adapter_spec&) const = default;
};

/// One version of a model's weights.
struct version_spec {
  model_id model;
  std::string weights; ///< Name in the weight store.
  std::uint64_t bytes = 0;

  bool operator==(const version_spec&) const = default;
};

/// Permission for teams to use a model in certain zones.
struct offer_spec {
  model_id model;
  std::vector<team_id> teams; ///< If empty and not `open_to_all`, nobody may use the model.
  bool open_to_all = false;   ///< Calls without a key are allowed too.
  std::vector<zone_id> zones; ///< Empty means every zone.

  bool operator==(const offer_spec&) const = default;
};

/// A path prefix of a service under /services/, and how its calls are handled.
struct route_spec {
  service_id service;
  std::string path_prefix = "/"; ///< Within the service; the longest matching prefix applies.
  /// Whether a call may run more than once. If not, it is never retried after a byte was sent.
  bool repeatable = false;
  bool open_to_all = false;
  std::vector<team_id> teams;
  milliseconds timeout{30'000};

  bool operator==(const route_spec&) const = default;
};

/// An operator's request that an upstream take no new work.
struct drain_spec {
  upstream_id upstream;
  std::string reason;

  bool operator==(const drain_spec&) const = default;
};

/// Properties of an upstream that operators configure, in addition to those in the instance list.
struct upstream_spec {
  bool checks_fence = false;        ///< Whether it refuses orders with an outdated fencing token.
  bool reclaimable = false;         ///< Cheaper, but may be taken away at a few seconds' notice.
  std::uint32_t price_milli = 1000; ///< Price per hour, in thousandths of a currency unit.

  bool operator==(const upstream_spec&) const = default;
};

using resource_spec = std::variant<team_spec, key_spec, model_spec, adapter_spec, version_spec,
                                   offer_spec, route_spec, drain_spec, upstream_spec>;

/// The kind that `spec` holds; the variant's alternatives are in the order of `resource_kind`.
resource_kind kind_of(const resource_spec& spec);

/// A named configuration resource at the revision of its last change.
struct resource {
  std::string name; ///< 1 to 128 characters of [a-z0-9._-], unique within the kind.
  revision changed;
  resource_spec spec;

  bool operator==(const resource&) const = default;
};

/// Checks the length and the characters of a resource's name.
result<void> check_resource_name(std::string_view name);
/// Parses `{"kind":..., "name":..., "spec":{...}}`, with an optional `revision`. Unknown fields are
/// errors.
result<resource> parse_resource(std::string_view json);
/// Parses only the spec, for a kind and name that are known from a path or key.
result<resource_spec> parse_spec(resource_kind kind, std::string_view json);
/// Only the spec, as compact JSON. This is the form in the store.
std::string spec_json(const resource_spec& spec);
/// The whole resource as compact JSON, with its revision.
std::string resource_json(const resource& it);

// ---------------------------------------------------------------------------------------------
// Store keys

/// Prefix of every configuration key. Keys sort by kind, then by name.
inline constexpr std::string_view config_prefix = "cfg/";

/// `cfg/<kind>/<name>`.
std::string config_key(resource_kind kind, std::string_view name);

/// The parts of a configuration key.
struct config_key_parts {
  resource_kind kind;
  std::string name;
};

/// Parses a configuration key; empty if it is not a valid one.
std::optional<config_key_parts> parse_config_key(std::string_view key);

/// `lease/zone/<zone>`: the instance that holds a zone's duties.
std::string zone_lease_key(const zone_id& zone);
/// `intent/<upstream>`: the pending or last order to an engine.
std::string intent_key(const upstream_id& upstream);
/// `usage/<zone>/<window start, seconds, 12 digits>/<shard>`: a sealed usage window.
std::string usage_key(const zone_id& zone, std::int64_t window_start, std::uint32_t shard);
/// `usage-mark/<zone>`: how far a zone's usage has been sealed.
std::string usage_mark_key(const zone_id& zone);
/// `order/<zone>/<kind>`: a zone's pending or last order to the upstream interface.
std::string upstream_order_key(const zone_id& zone, std::string_view kind);
/// `claim/<team>/<digest>`: a call that must run at most once.
std::string claim_key(const team_id& team, std::string_view digest);

// ---------------------------------------------------------------------------------------------
// Coordination records

/// The instance that holds a zone's duties. The fencing token is the record's creation revision in
/// the store.
struct zone_lease_record {
  instance_id holder;
  std::string writer; ///< Unique for each write: shows after a lost answer whether it took effect.

  bool operator==(const zone_lease_record&) const = default;
};

/// Which serving stages an engine runs: prefill, decode or both (mixed).
enum class engine_role { mixed, prefill, decode };

template <> struct enum_names<engine_role> {
  static constexpr std::array<enum_name<engine_role>, 3> table{{
      {engine_role::mixed, "mixed"},
      {engine_role::prefill, "prefill"},
      {engine_role::decode, "decode"},
  }};
};

/// Wanted state of an engine: the content of an order.
struct engine_state {
  engine_role role = engine_role::mixed;
  model_id model;
  std::string version;
  std::vector<std::string> adapters;

  bool operator==(const engine_state&) const = default;
};

/// Progress of an intent.
enum class intent_phase { written, sent, answered, failed, undeliverable };

template <> struct enum_names<intent_phase> {
  static constexpr std::array<enum_name<intent_phase>, 5> table{{
      {intent_phase::written, "written"},
      {intent_phase::sent, "sent"},
      {intent_phase::answered, "answered"},
      {intent_phase::failed, "failed"},
      {intent_phase::undeliverable, "undeliverable"},
  }};
};

/// An order to an engine. Written to the store before the order is sent.
struct intent_record {
  fence authority;            ///< Of the holder that wrote it.
  std::uint64_t sequence = 0; ///< Increases by one with each order to this engine.
  engine_state wanted;
  intent_phase phase = intent_phase::written;
  instance_id holder;
  std::string writer;
  wall_time written_at{};

  bool operator==(const intent_record&) const = default;
};

/// Usage of a model or service by a team.
struct usage_line {
  team_id team;
  std::string subject; ///< Model or service name.
  std::uint64_t requests = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t output_tokens = 0;

  bool operator==(const usage_line&) const = default;
};

/// A sealed usage window. Its content is written once and is the same in every report of it.
struct usage_record {
  zone_id zone;
  std::int64_t window_start = 0; ///< Seconds since 1970, UTC.
  std::uint32_t window_seconds = 60;
  std::uint32_t shard = 0;
  std::vector<usage_line> lines; ///< Sorted by team, then subject.
  /// The usage parts added into it, as "instance:sequence", so that no part is counted twice.
  std::vector<std::string> parts;
  fence authority;
  std::string writer;
  bool confirmed = false; ///< The usage interface has accepted it.

  bool operator==(const usage_record&) const = default;
};

/// Progress of a call that must run at most once, identified by the caller's idempotency key.
enum class claim_phase { claimed, sent, recorded, released };

template <> struct enum_names<claim_phase> {
  static constexpr std::array<enum_name<claim_phase>, 4> table{{
      {claim_phase::claimed, "claimed"},
      {claim_phase::sent, "sent"},
      {claim_phase::recorded, "recorded"},
      {claim_phase::released, "released"},
  }};
};

/// The claim on a call that must run at most once and, once known, its recorded answer.
struct claim_record {
  claim_phase phase = claim_phase::claimed;
  instance_id holder;
  std::string writer;
  std::string
      request_sha256; ///< Of method, path and body; detects reuse of the key for another call.
  outcome ran = outcome::unknown;
  int status = 0;           ///< HTTP status of the recorded answer.
  std::string content_type; ///< Of the recorded answer.
  std::string body;         ///< Of the recorded answer; empty if longer than `max_recorded_body`.
  wall_time written_at{};

  bool operator==(const claim_record&) const = default;
};

/// Longest answer body stored in a claim, in bytes. A longer answer is recorded without its body.
inline constexpr std::size_t max_recorded_body = 64UL * 1024;

/// The usage parts of one source that are in sealed windows.
struct usage_source_mark {
  instance_id source;
  std::uint64_t upto = 0;           ///< All sequence numbers up to this one are sealed.
  std::vector<std::uint64_t> above; ///< Sealed sequence numbers above `upto`, ascending.
  std::int64_t last_window = 0;     ///< Window of its latest sealed part.

  bool operator==(const usage_source_mark&) const = default;
};

/// How far a zone's usage has been sealed and confirmed. Written in the same transaction as each
/// sealed window, so that no part is counted twice, whichever instance holds the zone's duties.
struct usage_mark_record {
  std::int64_t last_window = 0; ///< The latest sealed window; `last_shard` is its latest shard.
  std::uint32_t last_shard = 0;
  std::vector<usage_source_mark> sources; ///< Sorted by source.
  std::vector<std::string> open;          ///< Keys of sealed windows not yet confirmed.
  std::vector<std::string> kept; ///< Keys of confirmed windows that are still stored, oldest first.

  bool operator==(const usage_mark_record&) const = default;
};

/// An order to the upstream interface. Written to the store before the order is sent.
struct upstream_order_record {
  fence authority;         ///< Of the holder that wrote it.
  std::uint64_t order = 0; ///< Increases by one with each order of this zone and kind.
  std::string kind;
  std::uint32_t wanted = 0;
  bool accepted = false; ///< The upstream interface has accepted it.
  std::string writer;

  bool operator==(const upstream_order_record&) const = default;
};

std::string to_json(const zone_lease_record& record);
std::string to_json(const intent_record& record);
std::string to_json(const usage_record& record);
std::string to_json(const claim_record& record);
std::string to_json(const usage_mark_record& record);
std::string to_json(const upstream_order_record& record);

result<zone_lease_record> parse_zone_lease(std::string_view json);
result<intent_record> parse_intent(std::string_view json);
result<usage_record> parse_usage(std::string_view json);
result<claim_record> parse_claim(std::string_view json);
result<usage_mark_record> parse_usage_mark(std::string_view json);
result<upstream_order_record> parse_upstream_order(std::string_view json);

} // namespace nutmegspur
