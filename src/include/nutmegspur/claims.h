/// \file claims.h
/// Claims make a non-repeatable call run at most once: before its first byte is sent to an
/// upstream, a claim record is created by compare-and-swap in the key-value service, under the
/// caller's idempotency key.
///
/// A stored claim in phase `claimed` means that the call may have been sent. It becomes `recorded`
/// with the answer, or `released` once it is certain that no byte was sent. Each record carries a
/// writer token: after a lost answer the writer reads the record back to see whether its write took
/// effect.
#pragma once

#include <nutmegspur/decision.h>
#include <nutmegspur/rotating_lease.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace nutmegspur {

/// A non-repeatable call that is to be claimed before it is sent.
struct claim_request {
  request_id request;
  team_id team;
  std::string idempotency_key;
  std::string request_sha256; ///< Of method, service, path and body.
  time_point deadline;
};

/// What the claim allows for the call.
enum class claim_decision {
  proceed, ///< This request holds the claim; send the call, once.
  replay,  ///< The call already ran; answer with `record`.
  refuse,  ///< Do not send; answer with the error `why`.
};

/// Result of trying to claim a call.
struct claim_result {
  request_id request;
  claim_decision decision = claim_decision::refuse;
  claim_record record;
  error why;
};

/// Outcome of a call that was sent.
struct claimed_call_outcome {
  outcome ran = outcome::unknown;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Settings of a claim manager.
struct claim_options {
  instance_id instance;
  std::uint64_t seed = 1;        ///< Distinguishes the writer tokens from those of others.
  milliseconds retry_pause{100}; ///< Delay before a store operation is retried.
  /// A claim that is not decided within this time is refused: as `not_run`, unless another call may
  /// hold the key.
  milliseconds decision_limit{2000};
  /// How long the write of a call's outcome is retried while the store is unavailable.
  seconds record_limit{300};
  /// Minimum time that a claim is kept; zero keeps it for ever.
  seconds lifetime{0};
};

/// Manages the claims of one instance.
class claim_manager {
 public:
  using listener = std::function<void(const moment&, const claim_result&, action_list&)>;

  explicit claim_manager(claim_options options);

  /// Sets the function that receives results. Call it once, before the first `step`.
  void set_listener(listener callback);
  /// Starts to claim a call. The listener receives exactly one result, unless `abandon` is called
  /// first.
  void begin(const moment& now, const claim_request& it, action_list& out);
  /// Reports the outcome of a call whose claim is held; `not_run` releases the claim.
  void finish(const moment& now, request_id request, const claimed_call_outcome& what,
              action_list& out);
  /// The caller disconnected before the result, so the call will not be sent.
  void abandon(const moment& now, request_id request, action_list& out);
  void step(const moment& now, const event& ev, action_list& out);
  /// Number of claims that have no result yet or whose outcome is not yet stored. A shutdown waits
  /// for them.
  [[nodiscard]] std::size_t unfinished() const;

 private:
  enum class phase {
    writing_claim,   ///< The claim is being written, or the write is to be retried.
    reading_claim,   ///< The stored claim is being read back.
    held,            ///< This request holds the claim and may send the call.
    writing_outcome, ///< The outcome is being written, or the write is to be retried.
    reading_outcome, ///< The record is being read back to see whether the outcome was written.
  };

  struct tracked_claim {
    claim_request what;
    std::string key;
    claim_record record; ///< As last written, or being written.
    revision modified;   ///< Required by the next write; zero: no record.
    phase at = phase::writing_claim;
    std::uint64_t call = 0; ///< Store call in progress; 0 if none.
    time_point started;  ///< Start of the claim, or of writing its outcome; limits count from it.
    time_point next_try; ///< When to retry, while `call` is 0.
    bool may_be_stored = false; ///< The answer to a claim write was lost; the claim may be stored.
    bool key_taken = false;     ///< A claim write found the key in use.
    bool decision_delivered = false; ///< The result was delivered, or is not needed.
  };

  void write(const moment& now, tracked_claim& it, action_list& out);
  void read(const moment& now, tracked_claim& it, action_list& out);
  void call(const moment& now, tracked_claim& it, platform_request what, action_list& out);
  void release_unsent(const moment& now, tracked_claim& it, action_list& out);
  void mark_held(const moment& now, tracked_claim& it, revision modified, action_list& out);
  void advance(const moment& now, tracked_claim& it, action_list& out);
  void on_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_claim_written(const moment& now, tracked_claim& it, const platform_reply& reply,
                        action_list& out);
  void on_claim_read(const moment& now, tracked_claim& it, const platform_reply& reply,
                     action_list& out);
  void on_outcome_written(const moment& now, tracked_claim& it, const platform_reply& reply,
                          action_list& out);
  void on_outcome_read(const moment& now, tracked_claim& it, const platform_reply& reply,
                       action_list& out);
  void resolve_existing(const moment& now, tracked_claim& it, const kv_pair& pair,
                        action_list& out);
  void on_tick(const moment& now, action_list& out);
  void request_lease(const moment& now, action_list& out);
  void refuse_on_timeout(const moment& now, tracked_claim& it, action_list& out);
  void deliver_decision(const moment& now, tracked_claim& it, const claim_result& claim,
                        action_list& out);
  void write_outcome(const moment& now, tracked_claim& it, claim_record record, action_list& out);

  claim_options options_;
  listener listener_;
  rotating_lease lease_; ///< Every claim record is attached to it and expires with it.
  std::uint64_t last_call_ = 0;
  std::uint64_t last_token_ = 0;
  // A claim is removed when nothing more has to be stored for it, or when storing is abandoned.
  std::map<request_id, tracked_claim> entries_;
  // Invariant: one element for each tracked claim whose `call` is not 0.
  std::map<std::uint64_t, request_id> calls_;
};

} // namespace nutmegspur
