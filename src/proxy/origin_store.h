/// \file origin_store.h
/// Keeps the origins of streams in the store (origin_record.h): records the possible origins before
/// streams begin there, writes those of this instance's streams while there are several, and reads
/// them for a caller whose stream no instance remembers.
///
/// Invariant: no stream begins here at an origin that the store does not list as possible, unless
/// the store cannot be written while other instances, which hold to the same, are live.
#pragma once

#include "peer_group.h"
#include "proxy_state.h"
#include "store_link.h"

#include <nutmegspur/cas_record.h>
#include <nutmegspur/origin_record.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegspur::proxy {

class origin_store {
 public:
  using handler = std::function<void(const std::optional<stream_origin>&)>;

  origin_store(proxy_state& state, store_link& store, const peer_group& peers,
               std::int64_t started_ms)
      : state_(state), store_(store), peers_(peers),
        batch_(origin_batch_key(state.settings.instance, started_ms)) {
    batch_.assume_absent();
  }

  void start();

  /// Whether streams may begin at every listed upstream, or could once: a version that is new later
  /// concerns only the streams that would begin there.
  [[nodiscard]] bool ready() const { return ready_; }

  /// Whether streams may begin at this service and version.
  [[nodiscard]] bool may_begin(const service_id& service, const std::string& version) const;
  /// A stream began at `origin`, or goes on there.
  void on_began(const std::string& request, const stream_origin& origin);

  /// A stream is complete: it will not be resumed.
  void on_completed(const std::string& request) { own_.erase(request); }

  /// Reads the store for where the stream of `request` began, at most `window` ago. Calls `on_end`
  /// once; empty if that is not known.
  void find(const std::string& request, milliseconds window, handler on_end);

 private:
  struct own_stream {
    stream_origin origin;
    time_point began{};
  };

  struct question {
    std::string request;
    milliseconds window{0};
    handler on_end;
  };

  void step(const moment& now);
  void observe(const moment& now);
  /// Whether an upstream was listed with `origin` a moment ago.
  [[nodiscard]] bool in_use(const moment& now, const stream_origin& origin) const;
  [[nodiscard]] bool record_is_due(const moment& now) const;
  void update_record();
  void on_record_read(const kv_range_reply& reply);
  void write_record(origin_record record, revision modified);
  void end_update(bool done);

  void write_batch(const moment& now);
  void read_batch();
  void put_batch();
  void grant_lease();

  /// Starts a read for all questions that wait. One that arrives later waits for the next read: its
  /// stream may have begun after the store executed this one.
  void read_for_questions();
  void read_page(const std::string& from);
  void on_page(const kv_range_reply& reply);
  void end_read(bool complete);
  [[nodiscard]] std::optional<stream_origin> found(const question& it) const;

  proxy_state& state_;
  store_link& store_;
  const peer_group& peers_;

  std::map<stream_origin, time_point> listed_; ///< When an upstream was listed with it last.
  origin_record record_;                       ///< As last read or written.
  std::set<stream_origin> recorded_;           ///< Listed upstreams' origins in the store.
  bool updating_ = false;
  bool ready_ = false;
  time_point next_update_{};
  time_point failing_since_{}; ///< Zero unless updates fail.

  std::map<std::string, own_stream> own_; ///< Streams that may have to be resumed.
  bool own_changed_ = false;
  cas_record batch_; ///< The origins of this instance's streams in the store.
  bool writing_ = false;
  double write_tokens_ = 0;
  time_point tokens_at_{};
  lease_id lease_;
  time_point lease_renewed_{};

  std::vector<question> questions_; ///< To be answered by the next read.
  std::vector<question> being_read_;
};

} // namespace nutmegspur::proxy
