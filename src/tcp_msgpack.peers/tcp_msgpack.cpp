// Connections to other instances: dialling, keep-alive and replacement of silent connections.
#include "tcp_msgpack.h"

#include <nutmegspur/event_log.h>

#include <algorithm>

namespace nutmegspur::tcp_msgpack {

namespace {

constexpr milliseconds tick_period{100};

const bool registered = worker_registry::instance().add(
    "peers/tcp_msgpack", [](const worker_context& context) -> std::unique_ptr<duty_worker> {
      return std::make_unique<peer_worker>(context);
    });

} // namespace

result<void>
peer_worker::start(event_sink sink) {
  outbox_.set_sink(std::move(sink));
  server_ = std::make_unique<QTcpServer>();
  const QHostAddress address(QString::fromStdString(context_.config.bind_address));
  if (!server_->listen(address, context_.config.peer_port)) {
    return fail({error_code::unavailable, step::peer_call, "",
                 "cannot listen for peers on " + context_.config.bind_address + ":" +
                     std::to_string(context_.config.peer_port) + ": " +
                     server_->errorString().toStdString()});
  }
  QObject::connect(server_.get(), &QTcpServer::newConnection, server_.get(), [this] {
    while (QTcpSocket* socket = server_->nextPendingConnection()) {
      add_link(socket, {});
    }
  });
  timer_ = std::make_unique<QTimer>();
  QObject::connect(timer_.get(), &QTimer::timeout, timer_.get(), [this] { tick(); });
  timer_->start(tick_period);
  return {};
}

void
peer_worker::stop() {
  timer_.reset();
  for (auto& it : links_) {
    it.link->drop();
  }
  links_.clear();
  server_.reset();
}

std::uint16_t
peer_worker::port() const {
  return server_ ? server_->serverPort() : 0;
}

void
peer_worker::carry_out(const action& what) {
  if (const auto* message = std::get_if<send_to_peer>(&what)) {
    send(*message);
  } else if (const auto* peers = std::get_if<set_peers>(&what)) {
    set_targets(*peers);
  }
}

void
peer_worker::set_targets(const set_peers& peers) {
  std::map<instance_id, set_peers::target> targets;
  for (const auto& it : peers.targets) {
    targets[it.peer] = it;
  }
  std::vector<peer_link*> obsolete;
  for (const auto& it : links_) {
    const auto target = targets.find(it.dialled);
    if (!it.dialled.empty() &&
        (target == targets.end() || target->second != targets_[it.dialled])) {
      obsolete.push_back(it.link.get());
    }
  }
  targets_ = std::move(targets);
  for (peer_link* it : obsolete) {
    it->drop();
    remove(*it);
  }
  if (timer_) {
    dial_targets(boot_clock::now());
  }
}

void
peer_worker::send(const send_to_peer& what) {
  peer_link* link = newest_link(what.peer);
  if (link == nullptr) {
    return;
  }
  const std::string payload = encode(what.message);
  get_counter("nutmegspur_peer_messages_sent_total").add();
  get_counter("nutmegspur_peer_bytes_sent_total").add(payload.size());
  link->send(payload);
}

void
peer_worker::add_link(QTcpSocket* socket, const instance_id& dialled) {
  if (links_.size() >= max_connections) {
    get_counter("nutmegspur_peer_refused_total").add();
    socket->abort();
    socket->deleteLater();
    return;
  }
  peer_link::callbacks handlers;
  handlers.ready = [this](peer_link& link) { on_ready(link); };
  handlers.received = [this](peer_link& link, peer_message&& message) {
    on_received(link, std::move(message));
  };
  handlers.closed = [this](peer_link& link, const error& why) { on_closed(link, why); };
  const peer_hello own{context_.config.instance, context_.config.zone, {}};
  links_.push_back(
      {std::make_unique<peer_link>(socket, context_.config.peer_secret, own, std::move(handlers)),
       dialled});
}

void
peer_worker::on_ready(peer_link& link) {
  const auto& peer = link.peer();
  const auto entry = std::find_if(links_.begin(), links_.end(),
                                  [&link](const link_entry& it) { return it.link.get() == &link; });
  if (!entry->dialled.empty() && entry->dialled != peer.sender) {
    log(log_event::peer_rejected, {{"peer", peer.sender.value}, {"wanted", entry->dialled.value}});
    link.drop();
    return remove(link);
  }
  const auto link_count =
      std::count_if(links_.begin(), links_.end(), [&peer](const link_entry& it) {
        return it.link->is_ready() && it.link->peer().sender == peer.sender;
      });
  if (link_count == 1) {
    log(log_event::peer_connected, {{"peer", peer.sender.value}, {"zone", peer.zone.value}});
    outbox_.post(peer_connected{peer.sender, peer.zone});
  }
}

void
peer_worker::on_received(peer_link& link, peer_message&& message) {
  get_counter("nutmegspur_peer_messages_received_total").add();
  if (outbox_.size() >= max_held_events) {
    get_counter("nutmegspur_peer_dropped_total").add();
    return;
  }
  outbox_.post(peer_received{link.peer().sender, std::move(message)});
}

void
peer_worker::on_closed(peer_link& link, const error& why) {
  if (why.code == error_code::unauthenticated) {
    log(log_event::peer_rejected, why);
  }
  if (why.code == error_code::overloaded) {
    get_counter("nutmegspur_peer_full_total").add();
  }
  remove(link);
}

void
peer_worker::remove(peer_link& link) {
  const auto it = std::find_if(links_.begin(), links_.end(), [&link](const link_entry& entry) {
    return entry.link.get() == &link;
  });
  if (it == links_.end()) {
    return;
  }
  if (!it->dialled.empty()) {
    next_dial_[it->dialled] = boot_clock::now() + redial_delay;
  }
  get_counter("nutmegspur_peer_bytes_received_total").add(link.bytes_received());
  // The caller may be a callback of the link: delete it from the event loop.
  it->link.release()->deleteLater();
  links_.erase(it);
  if (link.is_ready() && newest_link(link.peer().sender) == nullptr) {
    log(log_event::peer_lost, {{"peer", link.peer().sender.value}});
    outbox_.post(peer_disconnected{link.peer().sender});
  }
}

peer_link*
peer_worker::newest_link(const instance_id& peer) const {
  const auto it = std::find_if(links_.rbegin(), links_.rend(), [&peer](const link_entry& entry) {
    return entry.link->is_ready() && entry.link->peer().sender == peer;
  });
  return it == links_.rend() ? nullptr : it->link.get();
}

bool
peer_worker::is_dialling(const instance_id& peer) const {
  return std::any_of(links_.begin(), links_.end(), [&peer](const link_entry& it) {
    return it.dialled == peer && !it.link->is_ready();
  });
}

void
peer_worker::tick() {
  const time_point now = boot_clock::now();
  outbox_.flush();
  close_silent_links(now);
  dial_targets(now);
  for (std::size_t n = 0; n < links_.size(); ++n) {
    if (links_[n].link->is_ready() && now - links_[n].link->last_sent() >= keep_alive_period) {
      links_[n].link->keep_alive();
    }
  }
}

void
peer_worker::dial_targets(time_point now) {
  for (const auto& [peer, target] : targets_) {
    const peer_link* link = newest_link(peer);
    const bool alive = link != nullptr && now - link->last_received() < silence_timeout;
    if (alive || is_dialling(peer) || now < next_dial_[peer]) {
      continue;
    }
    next_dial_[peer] = now + redial_delay;
    auto* socket = new QTcpSocket;
    socket->connectToHost(QHostAddress(QString::fromStdString(target.address)), target.port);
    add_link(socket, peer);
  }
}

void
peer_worker::close_silent_links(time_point now) {
  std::vector<peer_link*> silent;
  for (const auto& it : links_) {
    const duration silence = now - it.link->last_received();
    const bool replaced =
        it.link->is_ready() && newest_link(it.link->peer().sender) != it.link.get();
    if (silence >= close_timeout || (replaced && silence >= silence_timeout)) {
      silent.push_back(it.link.get());
    }
  }
  for (peer_link* it : silent) {
    get_counter("nutmegspur_peer_silent_total").add();
    it->drop();
    remove(*it);
  }
}

} // namespace nutmegspur::tcp_msgpack
