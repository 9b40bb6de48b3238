/// \file tcp_msgpack.h
/// The worker "peers/tcp_msgpack": TCP connections to other instances.
///
/// It listens on the peer port and dials the targets of `set_peers`. If nothing is received on a
/// connection for `silence_timeout`, a second one is dialled. The first is closed when the second
/// is ready, or after `close_timeout` of silence.
#pragma once

#include "peer_link.h"

#include <nutmegspur/event_outbox.h>

#include <QtCore/QTimer>
#include <QtNetwork/QTcpServer>

#include <map>
#include <memory>
#include <vector>

namespace nutmegspur::tcp_msgpack {

/// An empty frame is sent on a connection that has sent nothing for this time.
inline constexpr milliseconds keep_alive_period{1'000};
/// Silence after which a second connection is dialled.
inline constexpr milliseconds silence_timeout{3'000};
/// Silence after which a connection is closed, whether or not its hello was received.
inline constexpr milliseconds close_timeout{6'000};
/// Delay before a peer is dialled again.
inline constexpr milliseconds redial_delay{500};
/// Maximum number of connections; further ones are closed on arrival.
inline constexpr std::size_t max_connections = 1024;
/// Limit of events held while the event ring of the decision thread is full; further messages are
/// dropped.
inline constexpr std::size_t max_held_events = 4096;

/// The worker. Lives on one thread with a Qt event loop.
class peer_worker final : public duty_worker {
 public:
  explicit peer_worker(const worker_context& context) : context_(context) {}

  ~peer_worker() override { stop(); }

  peer_worker(const peer_worker&) = delete;
  peer_worker& operator=(const peer_worker&) = delete;

  result<void> start(event_sink sink) override;
  void carry_out(const action& what) override;
  void stop() override;

  /// The port that the worker listens on.
  [[nodiscard]] std::uint16_t port() const;

 private:
  struct link_entry {
    std::unique_ptr<peer_link> link;
    instance_id dialled; ///< The peer that was dialled; empty for an accepted connection.
  };

  void set_targets(const set_peers& peers);
  void send(const send_to_peer& what);
  void add_link(QTcpSocket* socket, const instance_id& dialled);
  void on_ready(peer_link& link);
  void on_received(peer_link& link, peer_message&& message);
  void on_closed(peer_link& link, const error& why);
  void remove(peer_link& link);
  void tick();
  void dial_targets(time_point now);
  void close_silent_links(time_point now);
  [[nodiscard]] peer_link* newest_link(const instance_id& peer) const;
  [[nodiscard]] bool is_dialling(const instance_id& peer) const;

  counter& get_counter(std::string_view name) { return context_.metrics.get_counter(name); }

  const worker_context context_;
  event_outbox outbox_;
  std::unique_ptr<QTcpServer> server_;
  std::unique_ptr<QTimer> timer_;
  std::map<instance_id, set_peers::target> targets_;
  std::map<instance_id, time_point> next_dial_;
  // In the order in which they were opened.
  std::vector<link_entry> links_;
};

} // namespace nutmegspur::tcp_msgpack
