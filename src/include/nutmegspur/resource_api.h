/// \file resource_api.h
/// The operators' API as a part of the decision core: reads from the configuration in force here,
/// conditional writes to the store, and watches.
#pragma once

#include <nutmegspur/config_replica.h>
#include <nutmegspur/resource_write.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// Who this instance is, and the key that lets the first operator in.
struct resource_api_options {
  instance_id instance;
  zone_id zone;
  std::string bootstrap_operator_key_sha256; ///< Honoured while no live operator key is held.
};

/// One line of the status page beside what the API itself knows.
struct status_entry {
  std::string name;
  std::string value;
};

/// The part of `duty::resources`. Feed it each event after the replica has had it.
class resource_api {
 public:
  using status_hook = std::function<std::vector<status_entry>()>;

  /// `more` adds other parts' lines to the status; it may be empty.
  resource_api(resource_api_options options, const config_replica& replica, status_hook more = {});

  resource_api(const resource_api&) = delete;
  resource_api& operator=(const resource_api&) = delete;
  ~resource_api() = default;

  void step(const moment& now, const event& ev, action_list& out);

 private:
  /// A write that is not answered yet.
  struct open_write {
    resource_write state;
    bool single = false; ///< Answered with the one resource instead of a list.
    /// Set once the store has accepted it: it is answered when it is in force here.
    std::optional<resource_change_result> accepted;
    time_point answer_by;
  };

  /// An open watch.
  struct open_watch {
    std::optional<resource_kind> kind;
    revision sent;
    time_point last_line;
  };

  void on_request(const moment& now, const resource_request& it, action_list& out);
  result<void> authorize(const resource_request& it) const;
  void get(const resource_request& it, action_list& out) const;
  void list(const resource_request& it, action_list& out) const;
  void status(const moment& now, const resource_request& it, action_list& out) const;
  void watch(const moment& now, const resource_request& it, action_list& out);
  void write(const moment& now, const resource_request& it, action_list& out);
  void on_reply(const moment& now, const platform_reply& reply, action_list& out);
  void on_tick(const moment& now, action_list& out);
  void took(const moment& now, request_id id, open_write& it,
            std::optional<result<resource_change_result>> ending, action_list& out);
  void answer_accepted(const moment& now, action_list& out);
  void feed_watches(const moment& now, action_list& out);
  bool feed_watch(const moment& now, request_id id, open_watch& it, action_list& out) const;
  void answer(request_id id, result<std::string> json, action_list& out, bool last = true) const;

  resource_api_options options_;
  const config_replica& replica_;
  status_hook more_;
  call_id_generator numbers_{duty::resources};
  std::map<request_id, open_write> writes_;
  std::map<request_id, open_watch> watches_;
};

static_assert(decision_part<resource_api>);

} // namespace nutmegspur
