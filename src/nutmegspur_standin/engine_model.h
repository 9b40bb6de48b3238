/// \file engine_model.h
/// Timing model of a model engine: continuous batching with chunked prefill, a KV block cache with
/// prefix reuse, delayed load reports, cache events with gaps, and orders that take time.
///
/// The caller passes the time in; the model reads no clock. It runs in steps: each step prefills at
/// most a chunk of prompt tokens and generates one token for each sequence whose prefill is done.
/// The role sets chunk and batch size: a prefill engine uses large chunks, which stall its decodes;
/// a decode engine uses small chunks and a large batch.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/platform.h>
#include <nutmegspur/request.h>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegspur::standin {

/// Configuration of an engine.
struct engine_options {
  std::string name;
  std::string zone;
  engine_state state;
  double prefill_rate = 8000;  ///< Prompt tokens a second.
  double decode_rate = 40;     ///< Output tokens a second for one sequence alone.
  double batch_penalty = 0.02; ///< Share of a step's base time that each decoding sequence adds.
  std::uint32_t slots = 32;    ///< Batch slots in the mixed role.
  std::uint32_t blocks = 4096;
  std::uint32_t block_tokens = 16;
  std::uint32_t event_gap_in = 20; ///< One in this many cache events is lost on average; 0: none.
  milliseconds report_lag{500};
  milliseconds event_lag{700};
  milliseconds role_change_time{6000};
  milliseconds load_time{15'000};
  bool checks_fence = false;
  std::uint64_t seed = 1;
};

/// A completion request as the engine sees it.
struct engine_job {
  std::uint64_t id = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0; ///< Output tokens in all, including those resumed.
  std::uint32_t resume_from = 0;   ///< Output tokens that the caller already has.
  std::int32_t priority = 0;       ///< Jobs with a greater value run first.
  std::vector<std::uint64_t> prefix_blocks;
};

/// An event of a job during `advance`.
struct engine_output {
  enum class kind { token, finished, aborted };

  kind what = kind::token;
  std::uint64_t job = 0;
  std::uint32_t index = 0; ///< Of the output token, from 0.
  time_point at;
  std::uint32_t cached_tokens = 0; ///< Prompt tokens served from the cache.
};

/// The result of an order to change the engine's state.
enum class order_result { accepted, stale_fence, stale_sequence, changing };

/// A cache event as published.
struct published_event {
  std::uint64_t number = 0;
  time_point visible;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> removed;
};

/// The load that a report shows: as it was `report_lag` before the call.
struct lagged_report {
  engine_load load;
  time_point measured;
};

/// The engine. The times passed to its calls must not decrease.
class engine_model {
 public:
  explicit engine_model(engine_options options);

  /// Queues a job. Returns false while a change of state is in progress.
  bool submit(const engine_job& job, time_point now);
  /// Removes a job without further output. Unknown jobs are ignored.
  void cancel(std::uint64_t job, time_point now);
  /// Runs the model until `now` and appends the jobs' events in order.
  void advance(time_point now, std::vector<engine_output>& out);
  /// When the step or change in progress ends, if there is one.
  [[nodiscard]] std::optional<time_point> next_due() const;

  /// Accepts or rejects an order. An accepted order that changes the state aborts all jobs.
  order_result order(fence authority, std::uint64_t order_sequence, const engine_state& target,
                     time_point now, std::vector<engine_output>& out);

  [[nodiscard]] lagged_report report(time_point now);
  /// Events numbered above `after` that are visible at `now`.
  [[nodiscard]] std::vector<published_event> events_after(std::uint64_t after,
                                                          time_point now) const;
  /// The prefix blocks of a running job that are in the cache.
  [[nodiscard]] std::vector<std::uint64_t> export_blocks(std::uint64_t job) const;
  /// Adds blocks exported by another engine to the cache, as far as there is room.
  void import_blocks(const std::vector<std::uint64_t>& blocks, time_point now);

  [[nodiscard]] const engine_state& state() const { return state_; }

  [[nodiscard]] const engine_options& options() const { return options_; }

  [[nodiscard]] fence highest_fence() const { return highest_fence_; }

  [[nodiscard]] std::uint64_t last_sequence() const { return last_sequence_; }

  [[nodiscard]] bool changing() const { return change_ends_.has_value(); }

  [[nodiscard]] engine_load load_now() const;

 private:
  struct sequence {
    engine_job job;
    std::uint32_t to_prefill = 0; ///< Tokens still to prefill.
    std::uint32_t cached = 0;     ///< Prompt tokens found in the cache.
    std::uint32_t produced = 0;   ///< Output tokens generated, including those resumed.
    std::uint32_t pinned = 0;     ///< Leading prefix blocks pinned in the cache.
    std::uint32_t reserved = 0;   ///< Blocks reserved for it that are not in the cache.
    std::uint32_t planned = 0;    ///< Prefill tokens in the current step.
    bool decoding = false;        ///< Generates a token in the current step.
  };

  struct cached_block {
    std::uint32_t pins = 0;
    std::list<std::uint64_t>::iterator lru_position;
  };

  void begin_step(time_point at);
  void finish_step(time_point at, std::vector<engine_output>& out);
  void finish_sequence(sequence& it, time_point at, std::vector<engine_output>& out);
  void admit_waiting(time_point at);
  bool try_admit(sequence it, time_point at);
  void plan_prefill();
  void finish_prefill(sequence& it, time_point at);
  void release(const sequence& it);
  bool make_room(std::uint32_t blocks, time_point at);
  void store_block(std::uint64_t block, std::uint32_t pins);
  void publish(std::vector<std::uint64_t> stored, std::vector<std::uint64_t> removed,
               time_point at);
  void record_load(time_point at);
  void abort_all(time_point at, std::vector<engine_output>& out);
  [[nodiscard]] std::uint32_t used_blocks() const;
  [[nodiscard]] std::uint32_t current_slots() const;
  [[nodiscard]] std::uint32_t current_chunk() const;

  engine_options options_;
  engine_state state_;
  engine_state next_state_; ///< Valid while a change is in progress.
  std::optional<time_point> change_ends_;
  fence highest_fence_;
  std::uint64_t last_sequence_ = 0;
  std::mt19937_64 random_;

  std::deque<sequence> waiting_; ///< By priority, then arrival.
  std::list<sequence> running_;
  std::optional<time_point> step_ends_;

  // Invariant: reserved_ is the sum of `reserved` over running_;
  // reserved_ + cache_.size() <= options_.blocks; unpinned_lru_ holds the unpinned blocks of
  // cache_.
  std::uint32_t reserved_ = 0;
  std::unordered_map<std::uint64_t, cached_block> cache_;
  std::list<std::uint64_t> unpinned_lru_; ///< Least recently used first.

  std::deque<published_event> events_;
  std::uint64_t last_event_ = 0;
  std::deque<lagged_report> reports_;
};

} // namespace nutmegspur::standin
