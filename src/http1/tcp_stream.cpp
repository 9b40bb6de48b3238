// TCP and UDP sockets on libuv.
#include "tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace nutmegspur::http1 {

namespace {

template <class H>
uv_handle_t*
as_handle(H* it) {
  return reinterpret_cast<uv_handle_t*>(it);
}

result<sockaddr_in>
socket_address(const endpoint& at) {
  sockaddr_in address{};
  if (const int rc = uv_ip4_addr(at.address.c_str(), at.port, &address); rc != 0) {
    return fail({error_code::invalid_argument, step::platform_call, to_text(at), uv_strerror(rc)});
  }
  return address;
}

tl::unexpected<error>
listen_error(const endpoint& at, int rc) {
  return fail({error_code::unavailable, step::settings_parse, to_text(at),
               std::string{"cannot listen: "} + uv_strerror(rc)});
}

/// Whether the peer closed cleanly. libuv reports end of file as soon as a poll reports a hang-up
/// after a partial read, even if the hang-up is a reset; only another read tells the two apart.
bool
is_clean_eof(uv_stream_t* stream) {
  int fd = -1;
  if (uv_fileno(as_handle(stream), &fd) != 0) {
    return false;
  }
  char byte = 0;
  return recv(fd, &byte, 1, MSG_DONTWAIT) == 0;
}

/// A write that the kernel did not accept at once.
struct queued_write {
  uv_write_t request{};
  std::string bytes;
};

} // namespace

/// Lives until libuv has closed it, which may be after the destruction of its stream.
struct tcp_stream::handle {
  uv_tcp_t tcp{};
  tcp_stream* owner = nullptr;
  uv_connect_t connect_request{};
  uv_shutdown_t shutdown_request{};
};

tcp_stream::tcp_stream(event_loop& loop) : loop_(loop), handle_(new handle) {
  uv_tcp_init(loop.handle(), &handle_->tcp);
  handle_->tcp.data = handle_;
  handle_->owner = this;
}

tcp_stream::~tcp_stream() {
  if (handle_ == nullptr) {
    return;
  }
  handle_->owner = nullptr;
  if (unsent() == 0) {
    close_handle(handle_);
    return;
  }
  // Closing drops queued writes, so the queue is flushed first.
  const auto on_shutdown = [](uv_shutdown_t* done, int) {
    close_handle(static_cast<handle*>(done->handle->data));
  };
  if (uv_shutdown(&handle_->shutdown_request, reinterpret_cast<uv_stream_t*>(&handle_->tcp),
                  on_shutdown) != 0) {
    close_handle(handle_);
  }
}

void
tcp_stream::close_handle(handle* it) {
  if (uv_is_closing(as_handle(&it->tcp)) == 0) {
    uv_close(as_handle(&it->tcp),
             [](uv_handle_t* closed) { delete static_cast<handle*>(closed->data); });
  }
}

void
tcp_stream::set_options() {
  uv_tcp_nodelay(&handle_->tcp, 1);
  constexpr unsigned keep_alive_seconds = 2;
  uv_tcp_keepalive(&handle_->tcp, 1, keep_alive_seconds);
  int fd = -1;
  if (uv_fileno(as_handle(&handle_->tcp), &fd) == 0) {
    const auto millis = static_cast<unsigned>(user_timeout.count());
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis);
  }
}

void
tcp_stream::connect(const endpoint& to) {
  const auto address = socket_address(to);
  const auto on_connect = [](uv_connect_t* request, int status) {
    auto* it = static_cast<handle*>(request->handle->data);
    if (it->owner == nullptr) {
      return;
    }
    if (status != 0) {
      it->owner->end(stream_end::reset);
      return;
    }
    it->owner->set_options();
    it->owner->start_reading();
    it->owner->events_.on_connected();
  };
  if (!address || uv_tcp_connect(&handle_->connect_request, &handle_->tcp,
                                 reinterpret_cast<const sockaddr*>(&*address), on_connect) != 0) {
    // Reported on a later loop iteration, so that connect() does not call back its caller.
    loop_.once(duration{0}, [it = handle_](const moment&) {
      if (it->owner != nullptr) {
        it->owner->end(stream_end::reset);
      }
    });
  }
}

bool
tcp_stream::accept(uv_stream_t* listener) {
  if (uv_accept(listener, reinterpret_cast<uv_stream_t*>(&handle_->tcp)) != 0) {
    return false;
  }
  set_options();
  return true;
}

void
tcp_stream::start_reading() {
  if (handle_ == nullptr) {
    return;
  }
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&handle_->tcp),
      [](uv_handle_t* it, std::size_t, uv_buf_t* buf) {
        const auto* held = static_cast<handle*>(it->data);
        *buf = held->owner != nullptr ? held->owner->loop_.stream_read_buffer()
                                      : uv_buf_init(nullptr, 0);
      },
      &tcp_stream::on_read);
}

void
tcp_stream::stop_reading() {
  if (handle_ == nullptr) {
    return;
  }
  uv_read_stop(reinterpret_cast<uv_stream_t*>(&handle_->tcp));
}

void
tcp_stream::on_read(uv_stream_t* stream, ssize_t n, const uv_buf_t* buf) {
  const auto* it = static_cast<handle*>(stream->data);
  if (it->owner == nullptr || n == 0) {
    return;
  }
  if (n < 0) {
    it->owner->end(n == UV_EOF && is_clean_eof(stream) ? stream_end::closed : stream_end::reset);
    return;
  }
  it->owner->events_.on_data({buf->base, static_cast<std::size_t>(n)});
}

void
tcp_stream::end(stream_end how) {
  if (ended_) {
    return;
  }
  ended_ = true;
  stop_reading();
  if (events_.on_end) {
    events_.on_end(how);
  }
}

void
tcp_stream::write(std::string_view bytes) {
  if (ended_ || handle_ == nullptr) {
    return;
  }
  auto* stream = reinterpret_cast<uv_stream_t*>(&handle_->tcp);
  if (unsent() == 0) {
    const uv_buf_t buf = uv_buf_init(const_cast<char*>(bytes.data()), bytes.size());
    const int n = uv_try_write(stream, &buf, 1);
    if (n > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    if (bytes.empty()) {
      return;
    }
  }
  auto* queued = new queued_write{{}, std::string{bytes}};
  queued->request.data = queued;
  const uv_buf_t buf = uv_buf_init(queued->bytes.data(), queued->bytes.size());
  const auto on_written = [](uv_write_t* request, int status) {
    const std::unique_ptr<queued_write> done{static_cast<queued_write*>(request->data)};
    const auto* it = static_cast<handle*>(request->handle->data);
    if (status != 0 && status != UV_ECANCELED && it->owner != nullptr) {
      it->owner->end(stream_end::reset);
    }
  };
  if (uv_write(&queued->request, stream, &buf, 1, on_written) != 0) {
    delete queued;
  }
}

void
tcp_stream::abort() {
  ended_ = true;
  if (handle_ == nullptr) {
    return;
  }
  handle_->owner = nullptr;
  const auto on_closed = [](uv_handle_t* closed) { delete static_cast<handle*>(closed->data); };
  if (uv_tcp_close_reset(&handle_->tcp, on_closed) != 0) {
    close_handle(handle_);
  }
  handle_ = nullptr;
}

void
tcp_stream::set_reset_at_exit(bool reset) {
  int fd = -1;
  if (handle_ == nullptr || uv_fileno(as_handle(&handle_->tcp), &fd) != 0) {
    return;
  }
  // The kernel closes what a process leaves open as the process would, with this option.
  const linger how{reset ? 1 : 0, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &how, sizeof how);
}

response_tail
tcp_stream::peek() const {
  int fd = -1;
  if (handle_ == nullptr || uv_fileno(as_handle(&handle_->tcp), &fd) != 0) {
    return response_tail::reset;
  }
  constexpr std::size_t enough_bytes = 64;
  std::array<char, enough_bytes> buf{};
  const ssize_t n = recv(fd, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return classify_tail({buf.data(), static_cast<std::size_t>(n)});
  }
  if (n == 0) {
    return response_tail::closed;
  }
  return errno == EAGAIN ? response_tail::nothing : response_tail::reset;
}

std::size_t
tcp_stream::unsent() const {
  return handle_ == nullptr
             ? 0
             : uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(&handle_->tcp));
}

tcp_listener::tcp_listener(event_loop& loop, accept_callback on_accept)
    : loop_(loop), handle_(new uv_tcp_t), on_accept_(std::move(on_accept)) {
  uv_tcp_init(loop.handle(), handle_);
  handle_->data = this;
}

tcp_listener::~tcp_listener() {
  close();
}

void
tcp_listener::close() {
  if (uv_tcp_t* handle = std::exchange(handle_, nullptr)) {
    uv_close(as_handle(handle), [](uv_handle_t* it) { delete reinterpret_cast<uv_tcp_t*>(it); });
  }
}

result<void>
tcp_listener::listen(const endpoint& at) {
  const auto address = socket_address(at);
  if (!address) {
    return tl::unexpected(address.error());
  }
  int rc = uv_tcp_bind(handle_, reinterpret_cast<const sockaddr*>(&*address), 0);
  if (rc == 0) {
    rc = uv_listen(reinterpret_cast<uv_stream_t*>(handle_), backlog,
                   [](uv_stream_t* listener, int status) {
                     auto* it = static_cast<tcp_listener*>(listener->data);
                     auto stream = std::make_unique<tcp_stream>(it->loop_);
                     if (status == 0 && stream->accept(listener)) {
                       it->on_accept_(std::move(stream));
                     }
                   });
  }
  return rc == 0 ? result<void>{} : listen_error(at, rc);
}

udp_socket::udp_socket(event_loop& loop, receive_callback on_receive)
    : loop_(loop), handle_(new uv_udp_t), on_receive_(std::move(on_receive)) {
  uv_udp_init(loop.handle(), handle_);
  handle_->data = this;
}

udp_socket::~udp_socket() {
  uv_close(as_handle(handle_), [](uv_handle_t* it) { delete reinterpret_cast<uv_udp_t*>(it); });
}

result<void>
udp_socket::bind(const endpoint& at) {
  const auto address = socket_address(at);
  if (!address) {
    return tl::unexpected(address.error());
  }
  int rc = uv_udp_bind(handle_, reinterpret_cast<const sockaddr*>(&*address), 0);
  if (rc == 0) {
    rc = uv_udp_recv_start(
        handle_,
        [](uv_handle_t* it, std::size_t, uv_buf_t* buf) {
          *buf = static_cast<udp_socket*>(it->data)->loop_.read_buffer();
        },
        [](uv_udp_t* it, ssize_t n, const uv_buf_t* buf, const sockaddr* from, unsigned) {
          if (n <= 0 || from == nullptr) {
            return;
          }
          const auto* peer = reinterpret_cast<const sockaddr_in*>(from);
          std::array<char, INET_ADDRSTRLEN> text{};
          uv_ip4_name(peer, text.data(), text.size());
          static_cast<udp_socket*>(it->data)->on_receive_({buf->base, static_cast<std::size_t>(n)},
                                                          {text.data(), ntohs(peer->sin_port)});
        });
  }
  return rc == 0 ? result<void>{} : listen_error(at, rc);
}

void
udp_socket::send(const endpoint& to, std::string_view bytes) {
  const auto address = socket_address(to);
  if (!address) {
    return;
  }
  const uv_buf_t buf = uv_buf_init(const_cast<char*>(bytes.data()), bytes.size());
  uv_udp_try_send(handle_, &buf, 1, reinterpret_cast<const sockaddr*>(&*address));
}

} // namespace nutmegspur::http1
