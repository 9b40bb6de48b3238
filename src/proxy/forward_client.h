/// \file forward_client.h
/// Calls to upstreams by way of a peer, for an instance that does not reach them itself
/// (forward_frame.h).
#pragma once

#include "http_client.h"
#include "peer_group.h"
#include "proxy_state.h"

#include <nutmegspur/forward_frame.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace nutmegspur::proxy {

/// Path of the peers' interface for forwarded requests.
inline constexpr std::string_view forward_path = "/forward";

/// Field of such a request: its sender reads messages with a tail. Earlier builds do not.
inline constexpr std::string_view reads_tail_field = "Reads-Tail";

class forward_client;

/// A call by way of a peer. At most one peer gets the request as a whole and may send it; others
/// are asked only after one that has certainly not sent it.
class forwarded_call : public http1::open_call {
 public:
  forwarded_call(forward_client& owner, forward_request request, http1::call_events events,
                 std::vector<forward_peer> peers);
  forwarded_call(const forwarded_call&) = delete;
  forwarded_call& operator=(const forwarded_call&) = delete;
  ~forwarded_call() override;

  /// Asks the first peer; called once, by the owner.
  void start();

  /// Whether the upstream may have received the request.
  [[nodiscard]] bool sent() const override { return sent_ || asked_; }

  [[nodiscard]] response_tail tail() const override { return tail_; }

  void cancel() override;
  void set_reading(bool reads) override;

  /// No peer was able to forward the request.
  [[nodiscard]] bool no_peer() const { return no_peer_; }

  /// The call failed although the peer reaches upstreams: the upstream is at fault.
  [[nodiscard]] bool path_known() const { return path_known_; }

  /// The peer that has forwarded the request, or was asked last.
  [[nodiscard]] const instance_id& peer() const { return peer_; }

 private:
  void ask_next();
  void on_reply(std::string_view bytes);
  void on_event(const forward_event& event);
  void on_call_end(http1::call_end how);
  /// Tells the owner that the request has been sent, or may have been.
  void mark_sent();
  void end(http1::call_end how);

  forward_client& owner_;
  forward_request request_;
  http1::call_events events_;
  std::vector<forward_peer> peers_; ///< Not yet asked, the next one last.
  instance_id peer_;
  std::unique_ptr<http1::client_call> call_;
  std::unique_ptr<forward_reader> reader_; ///< Of the reply to the current question.
  timer_id timer_;
  bool asked_ = false;    ///< The question was sent to a peer that has not refused it.
  bool accepted_ = false; ///< The peer forwards the request.
  bool sent_ = false;
  bool ended_ = false;
  bool no_peer_ = false;
  bool path_known_ = false;
  response_tail tail_ = response_tail::nothing;
};

class forward_client {
 public:
  forward_client(proxy_state& state, const peer_group& peers);

  /// Whether there is any other instance.
  [[nodiscard]] bool has_peers() const;

  /// Sends `bytes` to `to` by way of a peer. `events` are those of http1::http_client; `on_end`
  /// runs within `limit`, in a later iteration of the loop.
  std::unique_ptr<forwarded_call> start(const listed_upstream& to, forward_request request,
                                        http1::call_events events);

 private:
  friend class forwarded_call;

  [[nodiscard]] std::vector<forward_peer> usable_peers(const moment& now, const zone_id& zone);
  /// The peer has refused, or was not reached: others are asked for a while, longer each time.
  void avoid(const instance_id& peer);

  /// The peer forwards requests.
  void trust(const instance_id& peer) { avoided_.erase(peer); }

  proxy_state& state_;
  const peer_group& peers_;
  http1::http_client client_;

  struct avoidance {
    time_point until{};
    milliseconds span{0};
  };

  std::map<instance_id, avoidance> avoided_;
  std::uint64_t started_ = 0;
};

} // namespace nutmegspur::proxy
