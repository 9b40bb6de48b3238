// Reading requests of one caller's connection, with time and size limits.
#include "server_connection.h"

#include <algorithm>

namespace nutmegspur::http1 {

namespace {

/// Bytes of later requests that are buffered while one is processed. Beyond it reading stops, and
/// the rest stays in the kernel's buffer.
constexpr std::size_t max_unread_bytes = 128UL * 1024;

/// How often it is looked whether a caller has taken its response, and after what time without
/// progress it is at fault.
constexpr milliseconds unsent_poll{50};
constexpr milliseconds max_standstill{1'000};

} // namespace

server_connection::server_connection(http_server& server, std::unique_ptr<tcp_stream> stream)
    : server_(server), stream_(std::move(stream)),
      reader_(message_reader::kind::request,
              {{},
               [this](std::string_view bytes) { body_.append(bytes); },
               [this] { complete_ = true; }}) {
  stream_->set_events(
      {{}, [this](std::string_view bytes) { on_data(bytes); }, [this](stream_end) { on_end(); }});
  if (server_.hooks_.budget != nullptr) {
    input_.start(*server_.hooks_.budget, server_.hooks_.source,
                 {[this](bool reads) {
                    held_back_ = !reads;
                    update_reading();
                  },
                  [this](bool) { give_up_input(); }});
    output_.start(*server_.hooks_.budget, server_.hooks_.source + ", unread",
                  {[](bool) {}, [this](bool) { give_up_output(); }});
  }
  stream_->start_reading();
  start_timer(server_.hooks_.limits().idle_timeout);
}

server_connection::~server_connection() {
  server_.loop_.cancel(timer_);
  server_.loop_.cancel(unsent_timer_);
  if (current_exchange_ != nullptr) {
    current_exchange_->connection_ = nullptr;
  }
  if (reset_at_end_) {
    stream_->abort();
  }
}

void
server_connection::start_timer(milliseconds timeout) {
  server_.loop_.cancel(timer_);
  timer_ = server_.loop_.once(timeout, [this](const moment&) { on_timeout(); });
}

void
server_connection::on_timeout() {
  switch (phase_) {
  case phase::idle:
    close();
    break;
  case phase::head:
  case phase::body:
    if (held_back_) {
      reject(503, "there was no room for the request in time");
    } else {
      reject(408, "the request was not received in time");
    }
    break;
  default:
    break;
  }
}

void
server_connection::on_data(std::string_view bytes) {
  unread_.append(bytes);
  if (phase_ == phase::responding && unread_.size() > max_unread_bytes) {
    receiving_ = false;
    update_reading();
  }
  process_input();
  update_input();
}

void
server_connection::update_input() {
  if (phase_ != phase::closed) {
    const std::size_t body = phase_ == phase::responding ? dispatched_bytes_ : body_.capacity();
    input_.update(unread_.size() + body, false);
  }
}

void
server_connection::update_reading() {
  if (phase_ == phase::closed) {
    return;
  }
  if (receiving_ && !held_back_) {
    stream_->start_reading();
  } else {
    stream_->stop_reading();
  }
  if (phase_ != phase::head && phase_ != phase::body) {
    return;
  }
  const milliseconds longest = server_.hooks_.limits().header_timeout;
  if (!held_back_) {
    start_timer(longest);
    return;
  }
  // It waits no longer in all, however often it is its turn in between.
  const time_point now = event_loop::now().boot;
  first_held_back_ = first_held_back_ == time_point{} ? now : first_held_back_;
  const auto left =
      std::chrono::ceil<milliseconds>(std::max(first_held_back_ + longest - now, duration{0}));
  start_timer(left);
}

void
server_connection::give_up_input() {
  constexpr int unavailable = 503;
  if (phase_ == phase::head || phase_ == phase::body) {
    reject(unavailable, "there is no room for the request");
  } else if (phase_ != phase::closed) {
    stream_->abort();
    on_end();
  }
}

void
server_connection::watch_unsent() {
  const std::size_t n = stream_->unsent();
  const byte_budget* budget = server_.hooks_.budget;
  if (budget == nullptr || n <= budget->unheeded()) {
    last_unsent_ = 0;
    output_.release();
    if (phase_ == phase::closed) {
      remove_later();
    }
    return;
  }
  const time_point now = event_loop::now().boot;
  if (last_unsent_ == 0 || n < last_unsent_) {
    last_taken_ = now;
  }
  last_unsent_ = n;
  const duration standstill = now - last_taken_;
  if (phase_ == phase::closed && standstill > tcp_stream::user_timeout + max_standstill) {
    give_up_output(); // The connection is dead.
    return;
  }
  output_.update(n, standstill >= max_standstill);
  output_.set_complete();
  server_.loop_.cancel(unsent_timer_);
  unsent_timer_ = server_.loop_.once(unsent_poll, [this](const moment&) { watch_unsent(); });
}

void
server_connection::give_up_output() {
  stream_->abort();
  server_.loop_.cancel(unsent_timer_);
  if (phase_ == phase::closed) {
    remove_later();
  } else {
    on_end();
  }
}

void
server_connection::on_end() {
  if (current_exchange_ != nullptr) {
    const exchange_ptr closed_exchange = std::move(current_exchange_);
    closed_exchange->connection_ = nullptr;
    if (closed_exchange->on_disconnect_) {
      closed_exchange->on_disconnect_();
    }
  }
  close();
}

bool
server_connection::end_if_closed() {
  const response_tail next = stream_->peek();
  const bool closed = next == response_tail::closed || next == response_tail::reset;
  if (closed) {
    on_end();
  }
  return closed;
}

void
server_connection::process_input() {
  if (phase_ == phase::idle && !unread_.empty()) {
    phase_ = phase::head;
    first_byte_at_ = event_loop::now().boot;
    start_timer(server_.hooks_.limits().header_timeout);
  }
  if (phase_ == phase::head) {
    read_head();
  }
  if (phase_ == phase::body) {
    read_body();
  }
}

void
server_connection::read_head() {
  const caller_limits limits = server_.hooks_.limits();
  const auto end = find_head_end(unread_);
  if (end.value_or(unread_.size()) > limits.max_header_bytes) {
    reject(431, "the request head exceeds the size limit");
    return;
  }
  if (!end) {
    return;
  }
  if (const auto violation = find_head_violation(std::string_view{unread_}.substr(0, *end))) {
    reject(400, *violation);
    return;
  }
  body_.clear();
  complete_ = false;
  const auto progress = reader_.feed(std::string_view{unread_}.substr(0, *end));
  if (!progress.violation.empty()) {
    reject(400, progress.violation);
    return;
  }
  unread_.erase(0, *end);
  phase_ = phase::body;
  // The header timeout also limits the time between reads of the body; a slower caller gets a 408.
  start_timer(limits.header_timeout);
  if (!complete_ && same_field_name(reader_.request().fields.get("Expect"), "100-continue")) {
    stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void
server_connection::read_body() {
  if (!complete_ && !unread_.empty()) {
    const auto progress = reader_.feed(unread_);
    if (!progress.violation.empty()) {
      reject(400, progress.violation);
      return;
    }
    unread_.erase(0, progress.consumed);
    start_timer(server_.hooks_.limits().header_timeout);
  }
  if (body_.size() > server_.hooks_.limits().max_body_bytes) {
    reject(413, "the request body exceeds the size limit");
    return;
  }
  if (complete_) {
    dispatch();
  }
}

void
server_connection::dispatch() {
  server_.loop_.cancel(timer_);
  phase_ = phase::responding;
  dispatched_bytes_ = body_.capacity();
  close_after_response_ = !reader_.request().keep_alive;
  auto request = std::make_shared<exchange>(*this, std::move(reader_.request()), std::move(body_),
                                            event_loop::now(), first_byte_at_);
  body_ = {};
  input_.update(unread_.size() + dispatched_bytes_, false);
  input_.set_complete();
  current_exchange_ = request;
  server_.hooks_.on_request(std::move(request));
}

void
server_connection::reject(int status, const std::string& why, const http_fields& fields) {
  server_.hooks_.on_rejected(status, why);
  stream_->write(format_head(status, {}, fields) +
                 "Content-Length: 0\r\nConnection: close\r\n\r\n");
  close();
}

void
server_connection::begin_response_without_framing() {
  close_after_response_ = true;
  reset_at_end_ = true;
  stream_->set_reset_at_exit(true);
}

void
server_connection::finish_response(bool keep_alive) {
  current_exchange_.reset();
  if (std::exchange(reset_at_end_, false)) {
    stream_->set_reset_at_exit(false);
  }
  input_.release();
  if (!keep_alive || closing()) {
    close();
    return;
  }
  phase_ = phase::idle;
  receiving_ = true;
  held_back_ = false;
  first_held_back_ = {};
  update_reading();
  start_timer(server_.hooks_.limits().idle_timeout);
  if (!unread_.empty()) {
    // On a later loop iteration, so that requests that are answered at once do not recurse.
    server_.loop_.cancel(timer_);
    timer_ = server_.loop_.once(duration{0}, [this](const moment&) { process_input(); });
  }
}

void
server_connection::abort_response() {
  current_exchange_.reset();
  // A plain close of a chunked response: the missing last chunk already shows that the response is
  // incomplete, and a reset would discard what the caller has not read yet.
  close();
}

void
server_connection::drain() {
  if (phase_ == phase::idle) {
    close();
  }
}

void
server_connection::stop_receiving(const http_fields& refusal_fields) {
  constexpr int unavailable = 503;
  receiving_ = false;
  update_reading();
  if (receiving()) {
    reject(unavailable, "stopping", refusal_fields);
  } else if (!busy()) {
    close();
  }
}

void
server_connection::close() {
  if (phase_ == phase::closed) {
    return;
  }
  phase_ = phase::closed;
  if (std::exchange(reset_at_end_, false)) {
    stream_->abort();
  }
  stream_->stop_reading();
  server_.loop_.cancel(timer_);
  input_.release();
  watch_unsent();
}

void
server_connection::remove_later() {
  if (std::exchange(removing_, true)) {
    return;
  }
  server_.loop_.once(duration{0},
                     [this, &server = server_](const moment&) { server.remove(this); });
}

} // namespace nutmegspur::http1
