/// \file upstream_paths.h
/// Watches this instance's paths to upstreams (path_watch.h): sends the probes, asks peers whether
/// they reach an upstream that does not respond here, and answers the same question.
#pragma once

#include "call_set.h"
#include "http_server.h"
#include "peer_group.h"
#include "proxy_state.h"

#include <nutmegspur/path_question.h>
#include <nutmegspur/path_watch.h>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace nutmegspur::proxy {

/// Path of the peers' interface for questions about paths.
inline constexpr std::string_view path_question_path = "/path";

class upstream_paths {
 public:
  /// Questions to peers go through `peer_client`. `on_cut` is called with each upstream whose path
  /// is found cut.
  upstream_paths(proxy_state& state, http1::http_client& peer_client, const peer_group& peers,
                 std::function<void(const listed_upstream&)> on_cut);

  void start();

  [[nodiscard]] path_state state(const upstream_id& id) const { return watch_.state(id); }

  /// Whether requests to `id` should go by way of a peer.
  [[nodiscard]] bool needs_peer(const upstream_id& id) const;

  [[nodiscard]] path_counts counts() const { return watch_.counts(); }

  /// Whether a failure at `id` is not the path's: its path is clear, as are all others.
  [[nodiscard]] bool known_good(const upstream_id& id) const;

  // See path_watch.
  std::uint64_t on_started(const upstream_id& id);
  void on_bytes(std::uint64_t attempt);

  void on_ended(std::uint64_t attempt) { watch_.on_ended(attempt); }

  /// Applies evidence against `id` once its path is known not to be at fault; see path_watch::hold.
  void hold(const upstream_id& id, path_watch::evidence apply);

  /// Answers a peer's question whether this instance reaches an upstream.
  void answer(const http1::exchange_ptr& peer);

 private:
  /// A question to peers that is under way.
  struct inquiry {
    listed_upstream upstream;
    std::vector<endpoint> left; ///< Peers not yet asked, the next one last.
    std::size_t open = 0;       ///< Answers that are awaited.
    bool reached = false;
  };

  void step();
  void probe(const listed_upstream& it, std::function<void(bool)> on_end);
  void on_probe_end(const listed_upstream& it, bool reached);
  void apply(const listed_upstream& it, path_watch::next_step step);
  void ask_peers(const listed_upstream& it);
  void ask_next(const std::shared_ptr<inquiry>& it);
  void on_answer(const std::shared_ptr<inquiry>& it, path_answer answer);
  void log_changes();

  proxy_state& state_;
  const peer_group& peers_;
  std::function<void(const listed_upstream&)> on_cut_;
  http1::http_client client_; ///< Opens a connection for each probe.
  call_set probes_;
  call_set questions_;
  path_watch watch_;
  /// Peers that wait for the result of a probe.
  std::map<upstream_id, std::vector<http1::exchange_ptr>> waiting_;
  std::uint64_t inquiries_ = 0;
  std::size_t newly_cut_ = 0; ///< Since the last log event.
  std::size_t newly_regained_ = 0;
  upstream_id last_changed_;
};

} // namespace nutmegspur::proxy
