// HTTP calls and the pool of persistent connections.
#include "http_client.h"

#include <algorithm>
#include <charconv>

namespace nutmegspur::http1 {

namespace {

/// Maximum number of responses on a connection that are skipped before that of a call: interim ones
/// and late ones to earlier requests.
constexpr int max_skipped = 16;
/// Body bytes of these; more than any of them has.
constexpr std::size_t max_skipped_bytes = 64UL * 1024;

} // namespace

/// A connection of the pool; serves one call at a time (no pipelining).
class client_connection {
 public:
  client_connection(http_client& client, const endpoint& to)
      : client_(client), to_(to), stream_(client.loop_),
        reader_(message_reader::kind::response,
                {[this] { on_head(); }, [this](std::string_view bytes) { on_body(bytes); },
                 [this] { complete_ = true; }}) {
    stream_.set_events({[this] { on_connected(); },
                        [this](std::string_view bytes) { on_data(bytes); },
                        [this](stream_end how) { on_end(how); }});
  }

  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;

  ~client_connection() { client_.loop_.cancel(connect_timer_); }

  void connect(milliseconds timeout) {
    connect_timer_ = client_.loop_.once(timeout, [this](const moment&) {
      if (!connected_) {
        fail_call(call_end::unreachable);
      }
    });
    stream_.connect(to_);
  }

  void assign(client_call& call) {
    call_ = &call;
    calls_++;
    call.connection_ = this;
    complete_ = false;
    accepted_ = true;
    skipped_ = 0;
    skipped_bytes_ = 0;
    body_bytes_ = 0;
    reader_.expect_no_body(call.no_body_);
    if (connected_) {
      send();
    }
  }

  /// The call was cancelled or timed out; the connection is reset and not reused.
  void abandon_call() {
    call_ = nullptr;
    closed_ = true;
    stream_.abort();
    client_.remove(this);
  }

  /// Reads as its call says; without one it reads, so that it notices when the server closes.
  void update_reading() {
    const bool reads = call_ == nullptr || call_->reads_;
    if (closed_ || reads == reading_) {
      return;
    }
    reading_ = reads;
    if (reads) {
      stream_.start_reading();
    } else {
      stream_.stop_reading();
    }
  }

  [[nodiscard]] bool idle() const { return call_ == nullptr && connected_ && !closed_; }

  [[nodiscard]] bool usable(time_point now) const { return idle() && now < idle_until_; }

  [[nodiscard]] bool closed() const { return closed_; }

  [[nodiscard]] const endpoint& to() const { return to_; }

  void close() {
    closed_ = true;
    client_.remove(this);
  }

 private:
  void send() {
    call_->sent_ = true;
    if (call_->events_.on_sent) {
      call_->events_.on_sent();
    }
    if (call_ != nullptr) {
      stream_.write(call_->bytes_);
    }
  }

  void on_connected() {
    connected_ = true;
    client_.loop_.cancel(connect_timer_);
    if (call_ != nullptr && call_->expired()) {
      fail_call(call_end::unreachable);
    } else if (call_ != nullptr) {
      send();
    }
  }

  void on_head() {
    const http_response_head& head = reader_.response();
    constexpr int first_final_status = 200;
    const auto& accepts_response = call_->options_.accepts_response;
    accepted_ = head.status >= first_final_status &&
                (!accepts_response || accepts_response(head, calls_ > 1));
    if (!accepted_) {
      // Skipped: an interim response, or a late response to an earlier request.
      reusable_ = reusable_ && head.status < first_final_status;
      skipped_++;
      return;
    }
    update_keep_alive(head);
    if (call_->events_.on_head) {
      call_->events_.on_head(head);
    }
  }

  void on_body(std::string_view bytes) {
    (accepted_ ? body_bytes_ : skipped_bytes_) += bytes.size();
    if (call_ != nullptr && accepted_ && call_->events_.on_body && !too_long()) {
      call_->events_.on_body(bytes);
    }
  }

  /// Whether the server has sent more than any response to the call has.
  [[nodiscard]] bool too_long() const {
    return skipped_ > max_skipped || skipped_bytes_ > max_skipped_bytes ||
           (call_ != nullptr && body_bytes_ > call_->options_.max_body_bytes);
  }

  void update_keep_alive(const http_response_head& head) {
    reusable_ = reusable_ && head.keep_alive;
    idle_timeout_ = client_.limits_.default_idle_timeout;
    const std::string_view field = head.fields.get("Keep-Alive");
    const auto at = field.find("timeout=");
    if (at == std::string_view::npos) {
      return;
    }
    constexpr std::size_t prefix_bytes = 8;
    int stated = 0;
    const std::string_view digits = field.substr(at + prefix_bytes);
    if (std::from_chars(digits.data(), digits.data() + digits.size(), stated).ec == std::errc{}) {
      idle_timeout_ = seconds{stated};
    }
  }

  void on_data(std::string_view bytes) {
    if (call_ == nullptr) {
      // Unsolicited bytes: the connection cannot be reused.
      close();
      return;
    }
    while (!bytes.empty() && call_ != nullptr) {
      const auto progress = reader_.feed(bytes);
      if (closed_) {
        return;
      }
      if (!progress.violation.empty() || too_long()) {
        fail_call(call_end::malformed);
        return;
      }
      bytes.remove_prefix(std::min(progress.consumed, bytes.size()));
      if (complete_) {
        finish_message(bytes);
        if (closed_) {
          return;
        }
      }
    }
    update_reading();
  }

  /// `rest` are the bytes that were read behind the message.
  void finish_message(std::string_view rest) {
    complete_ = false;
    if (!accepted_) {
      return;
    }
    // Unsent bytes of this request would be read by the server as part of the next one.
    if (call_->options_.examine_tail) {
      call_->tail_ = rest.empty() ? stream_.peek() : classify_tail(rest);
    }
    const bool clean = reusable_ && rest.empty() && stream_.unsent() == 0 &&
                       call_->tail_ == response_tail::nothing;
    client_call* call = std::exchange(call_, nullptr);
    call->connection_ = nullptr;
    if (clean) {
      idle_until_ = event_loop::now().boot + idle_timeout_ - client_.limits_.idle_margin;
    } else {
      closed_ = true;
      client_.remove(this);
    }
    call->end(call_end::completed);
  }

  void on_end(stream_end how) {
    if (call_ != nullptr && how == stream_end::closed && accepted_ && reader_.feed_end() &&
        complete_) {
      reusable_ = false;
      finish_message({});
      return;
    }
    fail_call(connected_ ? call_end::broken : call_end::unreachable);
  }

  void fail_call(call_end how) {
    closed_ = true;
    stream_.abort();
    client_.remove(this);
    if (client_call* call = std::exchange(call_, nullptr)) {
      call->connection_ = nullptr;
      call->end(call->sent_ ? how : call_end::unreachable);
    }
  }

  http_client& client_;
  endpoint to_;
  tcp_stream stream_;
  message_reader reader_;
  client_call* call_ = nullptr;
  std::uint64_t calls_ = 0; ///< Assigned so far.
  timer_id connect_timer_;
  milliseconds idle_timeout_{0};
  time_point idle_until_{};
  bool connected_ = false;
  bool reusable_ = true;
  bool complete_ = false;
  bool accepted_ = true;
  bool closed_ = false;
  bool reading_ = true;
  int skipped_ = 0;               ///< Responses skipped since the call was assigned.
  std::size_t skipped_bytes_ = 0; ///< Of their bodies.
  std::size_t body_bytes_ = 0;    ///< Of the response to the call.
};

client_call::client_call(event_loop& loop, call_events events, call_options options,
                         std::string bytes, bool no_body)
    : loop_(loop), events_(std::move(events)), options_(std::move(options)),
      bytes_(std::move(bytes)), no_body_(no_body) {
  options_.not_after = std::min(options_.not_after, event_loop::now().boot + options_.timeout);
  timer_ = loop_.once(options_.timeout, [this](const moment&) {
    if (connection_ != nullptr) {
      std::exchange(connection_, nullptr)->abandon_call();
    }
    end(sent_ ? call_end::timed_out : call_end::unreachable);
  });
}

client_call::~client_call() {
  cancel();
}

void
client_call::cancel() {
  ended_ = true;
  loop_.cancel(timer_);
  if (connection_ != nullptr) {
    std::exchange(connection_, nullptr)->abandon_call();
  }
}

void
client_call::set_reading(bool reads) {
  reads_ = reads;
  if (connection_ != nullptr) {
    connection_->update_reading();
  }
}

void
discard(event_loop& loop, std::unique_ptr<open_call> call) {
  if (call == nullptr) {
    return;
  }
  call->cancel();
  loop.once(duration{0}, [held = std::shared_ptr<open_call>{std::move(call)}](const moment&) {});
}

void
client_call::end(call_end how) {
  if (ended_) {
    return;
  }
  ended_ = true;
  loop_.cancel(timer_);
  // Moved out, because the owner may destroy this call in the callback.
  const auto callback = std::move(events_.on_end);
  if (callback) {
    callback(how);
  }
}

http_client::http_client(event_loop& loop, client_limits limits) : loop_(loop), limits_(limits) {
  constexpr milliseconds sweep_period{500};
  sweep_timer_ = loop_.every(sweep_period, [this](const moment& now) { sweep(now); });
}

http_client::~http_client() {
  loop_.cancel(sweep_timer_);
}

client_connection*
http_client::take_idle(const endpoint& to) {
  const auto it = connections_.find(to);
  if (it == connections_.end()) {
    return nullptr;
  }
  const time_point now = event_loop::now().boot;
  // Newest connection first: it is the least likely to be closed by the server.
  for (auto row = it->second.rbegin(); row != it->second.rend(); ++row) {
    if ((*row)->usable(now)) {
      return row->get();
    }
  }
  return nullptr;
}

std::unique_ptr<client_call>
http_client::start(const endpoint& to, std::string bytes, call_events events, call_options options,
                   bool no_body) {
  const bool force_new = options.new_connection;
  const milliseconds connect_timeout = std::min(options.connect_timeout, options.timeout);
  auto call = std::make_unique<client_call>(loop_, std::move(events), std::move(options),
                                            std::move(bytes), no_body);
  client_connection* idle = force_new ? nullptr : take_idle(to);
  if (idle != nullptr && !call->expired()) {
    idle->assign(*call);
    return call;
  }
  auto& all = connections_[to];
  if (call->expired() || all.size() >= limits_.connections_per_endpoint) {
    // Reported on a later loop iteration, when the owner holds the call.
    loop_.cancel(call->timer_);
    call->timer_ = loop_.once(duration{0},
                              [it = call.get()](const moment&) { it->end(call_end::unreachable); });
    return call;
  }
  all.push_back(std::make_unique<client_connection>(*this, to));
  opened_++;
  client_connection* connection = all.back().get();
  connection->assign(*call);
  connection->connect(connect_timeout);
  return call;
}

void
http_client::forget(const endpoint& to) {
  const auto it = connections_.find(to);
  if (it == connections_.end()) {
    return;
  }
  for (auto& connection : it->second) {
    if (connection->idle()) {
      connection->close();
    }
  }
}

void
http_client::remove(client_connection* connection) {
  // On a later loop iteration: a member function of the connection may still be on the stack.
  loop_.once(duration{0}, [this, connection, to = connection->to()](const moment&) {
    const auto it = connections_.find(to);
    if (it == connections_.end()) {
      return;
    }
    std::erase_if(it->second,
                  [&](const auto& row) { return row.get() == connection && row->closed(); });
    if (it->second.empty()) {
      connections_.erase(it);
    }
  });
}

void
http_client::sweep(const moment& now) {
  for (auto& [to, all] : connections_) {
    for (auto& connection : all) {
      if (connection->idle() && !connection->usable(now.boot)) {
        connection->close();
      }
    }
  }
}

} // namespace nutmegspur::http1
