/// \file stream_evidence.h
/// What an attempt saw of a stream of events (WHATWG HTML, "Server-sent events"): the order of its
/// events, and what surrounded the end of its response.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/http_message.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/names.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

/// What ends the body of a response.
enum class body_framing {
  chunks,     ///< Its last chunk.
  length,     ///< Its stated length.
  connection, ///< The end of its connection.
};

template <> struct enum_names<body_framing> {
  static constexpr std::array<enum_name<body_framing>, 3> table{{
      {body_framing::chunks, "chunks"},
      {body_framing::length, "length"},
      {body_framing::connection, "connection"},
  }};
};

body_framing framing_of(const http_response_head& head);

/// What had arrived on a connection behind a complete response when its end was read.
enum class response_tail {
  nothing,
  closed,   ///< The upstream has closed the connection.
  reset,    ///< The upstream has reset it.
  response, ///< The start of another response, which belongs to no request.
  body,     ///< More of the same body, such as a chunk or a field of an event.
  other,    ///< Bytes of another kind.
};

template <> struct enum_names<response_tail> {
  static constexpr std::array<enum_name<response_tail>, 6> table{{
      {response_tail::nothing, "nothing"},
      {response_tail::closed, "closed"},
      {response_tail::reset, "reset"},
      {response_tail::response, "response"},
      {response_tail::body, "body"},
      {response_tail::other, "other"},
  }};
};

/// What the first bytes behind a response are; `bytes` must not be empty.
response_tail classify_tail(std::string_view bytes);

/// The place of an event among those that its caller has.
enum class event_place {
  next,       ///< The event after the last one, or the first one.
  repeated,   ///< The caller has it from an earlier attempt, or it is the last one once more.
  ahead,      ///< Ids between the last event and this one are missing.
  misplaced,  ///< Its id does not come after the last one, and it is not a repeated one.
  unnumbered, ///< It has no id, or one that is not a number.
  comment,    ///< It has neither an id nor data.
};

/// Counts of the events of an attempt, and its ids.
struct event_counts {
  std::uint32_t events = 0; ///< All but comments.
  std::uint32_t repeated = 0;
  std::uint32_t ahead = 0;
  std::uint32_t misplaced = 0;
  std::uint32_t unnumbered = 0;
  std::string first_id;
  std::string last_id;
};

/// Follows the ids of the events of one attempt.
///
/// Ids of the attempt are compared with each other, and with the last one that the caller got from
/// earlier attempts.
class event_sequence {
 public:
  event_sequence() = default;

  /// `after`: the id of the last event that the caller has from earlier attempts; empty if none.
  explicit event_sequence(std::string_view after);

  /// Takes the next event that the upstream sent. `digest` is a hash of its text; 0 if not known.
  event_place add(std::string_view id, bool has_data, std::size_t digest = 0);

  [[nodiscard]] const event_counts& counts() const { return counts_; }

  /// Whether a stream may go on after the last event that the caller has: none of its ids is wrong.
  [[nodiscard]] bool can_go_on() const { return !missing_found_ && counts_.ahead == 0; }

  /// Whether the run began anew and has not come to where the caller is.
  [[nodiscard]] bool behind() const { return counts_.repeated > 0 && highest_ < after_; }

  /// Whether there are events that the caller had not got from earlier attempts.
  [[nodiscard]] bool has_new_events() const { return counts_.events > counts_.repeated; }

 private:
  /// Ids that were passed over, both ends excluded.
  struct gap {
    std::int64_t from = 0;
    std::int64_t to = 0;
  };

  [[nodiscard]] bool inside_gap(std::int64_t n) const;
  /// The place of an id that is not higher than the last one.
  event_place place_again(std::int64_t n, std::size_t digest);

  std::optional<std::int64_t> after_;   ///< The last id of earlier attempts.
  std::optional<std::int64_t> last_;    ///< The highest id that the caller has.
  std::optional<std::int64_t> highest_; ///< The highest id of this attempt.
  std::size_t last_digest_ = 0;         ///< Of this attempt's last event.
  bool missing_found_ = false;          ///< An event came whose id had been passed over.
  std::vector<gap> gaps_; ///< In order of their ids; cover all ids that were passed over.
  event_counts counts_;
};

/// How the upstreams of one version of a service send their streams, learned from these.
class stream_habits {
 public:
  /// A stream has ended, in whichever way. `resumed`: it did not begin with its first event.
  void on_stream(const event_counts& seen, bool resumed, body_framing framing);

  /// Whether an event that skips an id, or has none, shows that events are missing.
  [[nodiscard]] bool consecutive() const { return other_share_ < majority; }

  /// Whether a stream that begins with event `id` lacks its first events.
  [[nodiscard]] bool begins_late(std::string_view id) const {
    return consecutive() && first_share_ > clear_majority && id != first_id_;
  }

  /// Whether the end of a connection alone is unusual as the end of a stream.
  [[nodiscard]] bool frames() const { return unframed_share_ < majority; }

 private:
  static constexpr double majority = 0.5;
  static constexpr double clear_majority = 0.6;

  // Moving averages of the streams.
  double other_share_ = 1;    ///< With other ids than consecutive ones.
  double unframed_share_ = 0; ///< That ended with their connection.
  double first_share_ = 0;    ///< That began with `first_id_`.
  std::string first_id_;
};

/// Upstreams that have spoiled or broken off answers lately.
class spoiled_answers {
 public:
  /// How long an upstream is doubtful after such an answer.
  static constexpr milliseconds doubtful_period{3'000};

  void on_spoiled(const moment& now, const upstream_id& id) { last_[id] = now.boot; }

  /// Forgets an upstream that is gone or has restarted.
  void forget(const upstream_id& id) { last_.erase(id); }

  [[nodiscard]] bool doubtful(const moment& now, const upstream_id& id) const;

 private:
  std::unordered_map<upstream_id, time_point> last_;
};

} // namespace nutmegspur
