/// \file resource_api.h
/// The operators' resource API. Part of the decision core.
///
/// Reads are answered from the configuration in force on this instance. Writes are conditional
/// transactions in the store. Watches stream the changes as they come into force here.
#pragma once

#include <nutmegspur/config_replica.h>
#include <nutmegspur/resource_write.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// Identity of this instance, and the key with which the first operator key can be created.
struct resource_api_options {
  instance_id instance;
  zone_id zone;
  std::string bootstrap_operator_key_sha256; ///< Valid while no operator key exists.
};

/// A field that another component adds to the status report.
struct status_entry {
  std::string name;
  std::string value;
};

/// The part of the decision core for `duty::resources`. Each event must be passed to `step` after
/// the replica has processed it.
class resource_api {
 public:
  using status_hook = std::function<std::vector<status_entry>()>;

  /// `extra_status` gives the status fields of other components; it may be empty.
  resource_api(resource_api_options options, const config_replica& replica,
               status_hook extra_status = {});

  resource_api(const resource_api&) = delete;
  resource_api& operator=(const resource_api&) = delete;
  ~resource_api() = default;

  void step(const moment& now, const event& ev, action_list& out);

 private:
  /// A write that has not been answered yet.
  struct pending_write {
    resource_write state;
    bool single = false; ///< Answered with one resource instead of a list.
    /// Set once the store has accepted the write, which is answered when it is in force here.
    std::optional<resource_change_result> accepted;
    time_point answer_deadline; ///< An accepted write is answered by then in any case.
  };

  /// An open watch.
  struct open_watch {
    std::optional<resource_kind> kind;
    revision sent_upto; ///< Changes up to here have been sent.
    time_point last_sent;
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
  void on_write_progress(const moment& now, request_id id, pending_write& it,
                         std::optional<result<resource_change_result>> completion,
                         action_list& out);
  void answer_accepted(const moment& now, action_list& out);
  void update_watches(const moment& now, action_list& out);
  bool update_watch(const moment& now, request_id id, open_watch& it, action_list& out) const;
  void answer(request_id id, result<std::string> json, action_list& out, bool last = true) const;

  resource_api_options options_;
  const config_replica& replica_;
  status_hook extra_status_;
  call_id_generator numbers_{duty::resources};
  std::map<request_id, pending_write> writes_;
  std::map<request_id, open_watch> watches_;
};

static_assert(decision_part<resource_api>);

} // namespace nutmegspur
