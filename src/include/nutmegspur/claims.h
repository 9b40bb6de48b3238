/// \file claims.h
/// Claims: a call that may not be repeated is claimed in the key-value service, by compare-and-swap
/// under the caller's idempotency key, before its first byte goes to an upstream.
///
/// A claim in the store means "may have been sent". It becomes `recorded` with the answer, or
/// `released` when it is proved that no byte left. Each write carries a writer token; after a lost
/// answer the writer reads back before it decides.
#pragma once

#include <nutmegspur/decision.h>
#include <nutmegspur/rotating_lease.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace nutmegspur {

/// A call to be claimed.
struct claim_request {
  request_id request;
  team_id team;
  std::string idempotency_key;
  std::string request_sha256; ///< Of method, service, path and body.
  time_point deadline;
};

/// What may be done with the call.
enum class claim_decision {
  proceed, ///< The claim stands and is this request's; send the call, once.
  replay,  ///< It ran before: answer with `record`.
  refuse,  ///< Do not send; `why` is the final answer.
};

/// The end of a claim's first phase.
struct claim_result {
  request_id request;
  claim_decision decision = claim_decision::refuse;
  claim_record record;
  error why;
};

/// What a call that was sent came to.
struct claimed_call_outcome {
  outcome ran = outcome::unknown;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Settings of a claim book.
struct claim_options {
  instance_id instance;
  std::uint64_t seed = 1;        ///< Tells this instance's writer tokens from those of others.
  milliseconds retry_pause{100}; ///< Between two tries of the same store operation.
  /// A claim that has not been decided by then is refused as `not_run`.
  milliseconds decision_limit{2000};
  /// How long a recording or release is tried again while the store is out.
  seconds record_limit{300};
  /// How long a claim is kept at least; zero keeps it for ever.
  seconds lifetime{0};
};

/// All claims of one instance.
class claim_manager {
 public:
  using listener = std::function<void(const moment&, const claim_result&, action_list&)>;

  explicit claim_manager(claim_options options);

  /// Who hears verdicts. Set once, before the first step.
  void set_listener(listener callback);
  /// Begins a claim; exactly one verdict follows unless `abandon` is called before.
  void begin(const moment& now, const claim_request& it, action_list& out);
  /// The call of a claim that stands came to an end; `not_run` releases the claim.
  void finish(const moment& now, request_id request, const claimed_call_outcome& what,
              action_list& out);
  /// The caller has gone before the verdict: nothing will be sent.
  void abandon(const moment& now, request_id request, action_list& out);
  void step(const moment& now, const event& ev, action_list& out);
  /// Claims whose end is not yet safe in the store. A shutdown waits for them.
  [[nodiscard]] std::size_t unfinished() const;

 private:
  enum class phase {
    writing_claim, ///< The claim's write is under way or to be tried again.
    reading_claim, ///< Reading back what the store holds.
    held,          ///< The claim is ours; the call is at an upstream.
    writing_end,   ///< The end is being written.
    reading_end,   ///< Reading back whether the end was written.
  };

  struct tracked_claim {
    claim_request what;
    std::string key;
    claim_record record; ///< As we wrote it, or are writing it.
    revision modified;   ///< Condition of the next write; zero: absent.
    phase at = phase::writing_claim;
    std::uint64_t call = 0;     ///< The store operation under way, 0 if none.
    time_point started;         ///< When this phase began; limits count from here.
    time_point next_try;        ///< When `call` is 0.
    bool may_be_stored = false; ///< A claim write's answer was lost: it may stand in the store.
    bool key_taken = false;     ///< A claim write found the key taken.
    bool decision_delivered = false; ///< The verdict was given, or nobody waits for one.
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
  void on_end_written(const moment& now, tracked_claim& it, const platform_reply& reply,
                      action_list& out);
  void on_end_read(const moment& now, tracked_claim& it, const platform_reply& reply,
                   action_list& out);
  void resolve_existing(const moment& now, tracked_claim& it, const kv_pair& pair,
                        action_list& out);
  void on_tick(const moment& now, action_list& out);
  void request_lease(const moment& now, action_list& out);
  void refuse_on_timeout(const moment& now, tracked_claim& it, action_list& out);
  void deliver_decision(const moment& now, tracked_claim& it, const claim_result& verdict,
                        action_list& out);
  void write_end(const moment& now, tracked_claim& it, claim_record record, action_list& out);

  claim_options options_;
  listener listener_;
  rotating_lease lease_; ///< Every claim is attached to it, so that claims do not pile up.
  std::uint64_t last_call_ = 0;
  std::uint64_t last_token_ = 0;
  // Entries leave when their end is safe in the store or given up.
  std::map<request_id, tracked_claim> entries_;
  // Invariant: one row for each tracked_claim whose `call` is not 0.
  std::map<std::uint64_t, request_id> calls_;
};

} // namespace nutmegspur
