/// \file request.h
/// Events and actions of requests: from callers, to and from upstreams, and back to callers.
///
/// Also the typed requests of the operators' resource API. Bodies are shared, never copied.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/records.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace nutmegspur {

/// A body shared between attempts and threads.
using shared_body = std::shared_ptr<const std::string>;

/// One header that may reach an upstream or a caller. Names are lower case.
struct header_field {
  std::string name;
  std::string value;

  bool operator==(const header_field&) const = default;
};

// ---------------------------------------------------------------------------------------------
// From callers

/// The API format of the request, which its response also uses.
enum class api_format { chat_completions, completions };

template <> struct enum_names<api_format> {
  static constexpr std::array<enum_name<api_format>, 2> table{{
      {api_format::chat_completions, "chat_completions"},
      {api_format::completions, "completions"},
  }};
};

/// How urgent a request is. Each class has its own queue and default deadline.
enum class request_class { interactive, standard, batch };

template <> struct enum_names<request_class> {
  static constexpr std::array<enum_name<request_class>, 3> table{{
      {request_class::interactive, "interactive"},
      {request_class::standard, "standard"},
      {request_class::batch, "batch"},
  }};
};

/// A request for model output.
struct inference_call {
  api_format format = api_format::chat_completions;
  model_id model;
  std::string adapter;
  bool stream = false;
  std::uint32_t prompt_tokens = 0; ///< Estimated from the text until an engine reports it.
  std::uint32_t max_tokens = 0;
  /// Chained hashes of the prompt's cache blocks, the first block first.
  std::vector<std::uint64_t> prefix_blocks;
};

/// A call of a plain service.
struct service_call {
  service_id service;
  std::string method; ///< Upper case.
  std::string path;   ///< Within the service, with its query; starts with '/'.
  std::vector<header_field> headers;
  std::string idempotency_key; ///< Empty if the caller gave none.
};

/// The list of models that the key may use.
struct list_models_call {};

using caller_call = std::variant<inference_call, service_call, list_models_call>;

/// A caller's request, complete and well formed. `secret_sha256` is the digest of its key, empty
/// if it sent none; the key itself does not leave the thread that read it.
struct request_arrived {
  request_id request;
  std::string secret_sha256;
  request_class priority = request_class::standard;
  time_point deadline;
  caller_call call;
  shared_body body;
};

/// The caller's connection closed before its response was complete.
struct caller_disconnected {
  request_id request;
};

// ---------------------------------------------------------------------------------------------
// To upstreams

/// Start an attempt at an upstream. A repeatable request may be sent again by the retry rules; a
/// one-shot attempt is sent on a connection of its own and is not resent by the transport.
struct open_attempt {
  attempt_id attempt;
  upstream_id upstream;
  std::string address;
  std::uint16_t port = 0;
  std::string method = "POST";
  std::string path;
  std::vector<header_field> headers; ///< Built from the allow-list; never the caller's key.
  shared_body body;
  bool streaming = false; ///< Expect server-sent events.
  bool one_shot = false;
  std::uint32_t resume_from = 0; ///< Output tokens already delivered by earlier attempts.
  time_point deadline;
  /// The attempt fails and its connection is closed after this time without progress.
  milliseconds progress_limit{10'000};
};

/// Stop an attempt; the upstream's stream is cancelled. Its further events are ignored.
struct cancel_attempt {
  attempt_id attempt;
  upstream_id upstream;
};

/// The upstream accepted the attempt: status and headers of its response.
struct attempt_opened {
  attempt_id attempt;
  int status = 0;
  std::vector<header_field> headers;
};

/// A part of the response. For inference, `offset` counts output tokens before this chunk and
/// `tokens` those in it; for services, both count bytes.
struct attempt_chunk {
  attempt_id attempt;
  std::uint64_t offset = 0;
  std::uint32_t tokens = 0;
  std::string text;
};

/// Token counts that an engine reported.
struct token_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t cached_tokens = 0;

  bool operator==(const token_usage&) const = default;
};

/// The end of an attempt. Without a failure the response was complete.
struct attempt_ended {
  attempt_id attempt;
  std::optional<error> failure; ///< Its `ran` says whether the work may have run.
  token_usage usage;
  std::string finish_reason; ///< "stop" or "length", for inference.
  /// Offset after the last chunk that was read. Larger than the delivered offset if a chunk was
  /// lost.
  std::uint64_t end_offset = 0;
};

// ---------------------------------------------------------------------------------------------
// Back to callers

/// Start the response: status and headers.
struct start_response {
  request_id request;
  int status = 200;
  std::vector<header_field> headers;
  team_id team; ///< Whose request it is, for metrics.
};

/// A part of the response body, in order and without gaps.
struct send_chunk {
  request_id request;
  std::string text;
};

/// The response is complete.
struct end_response {
  request_id request;
  token_usage usage;
  std::string finish_reason;
};

/// The final response is an error: before `start_response` as an HTTP error, after it as an error
/// event in the stream.
struct fail_request {
  request_id request;
  error why;
};

// ---------------------------------------------------------------------------------------------
// Load of engines

/// An engine's load figures.
struct engine_load {
  std::uint32_t running = 0;        ///< Sequences in the batch.
  std::uint32_t waiting = 0;        ///< Sequences queued in the engine.
  std::uint32_t waiting_tokens = 0; ///< Prompt tokens not yet prefilled.
  std::uint32_t free_blocks = 0;    ///< Free KV cache blocks.
  std::uint32_t total_blocks = 0;

  bool operator==(const engine_load&) const = default;
};

// ---------------------------------------------------------------------------------------------
// Operators' resource API

enum class resource_verb { get, list, put, remove, watch, issue_key, status };

template <> struct enum_names<resource_verb> {
  static constexpr std::array<enum_name<resource_verb>, 7> table{{
      {resource_verb::get, "get"},
      {resource_verb::list, "list"},
      {resource_verb::put, "put"},
      {resource_verb::remove, "remove"},
      {resource_verb::watch, "watch"},
      {resource_verb::issue_key, "issue_key"},
      {resource_verb::status, "status"},
  }};
};

/// One call of the operators' API, complete and well formed.
struct resource_request {
  request_id request;
  std::string secret_sha256;
  resource_verb verb = resource_verb::get;
  std::optional<resource_kind> kind; ///< If empty, all kinds are listed or watched.
  std::string name;
  /// For `put`: resources that are written together or not at all. For `issue_key`: one key
  /// without its digest.
  std::vector<resource> resources;
  /// Write only if the resource is at this revision (zero: absent); empty: unconditional.
  std::optional<revision> if_revision;
  revision since; ///< For `watch`: changes after this one.
};

/// Response of the operators' API. For `watch`, `last` is false until the watch ends.
struct resource_response {
  request_id request;
  result<std::string> json; ///< The body, or the error.
  revision at;
  bool last = true;
};

} // namespace nutmegspur
