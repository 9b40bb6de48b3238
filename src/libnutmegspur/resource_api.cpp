// The operators' resource API: authorization, reads, writes and watches.
#include <nutmegspur/json_reader.h>
#include <nutmegspur/resource_api.h>

#include <algorithm>
#include <set>

namespace nutmegspur {

namespace {

constexpr std::size_t max_writes = 64;
constexpr std::size_t max_watches = 64;
constexpr seconds write_deadline{8};
// An accepted write is answered after this long even if it is not yet in force here.
constexpr seconds apply_wait{2};
constexpr seconds progress_interval{5};
constexpr milliseconds retry_delay{1000};

error
api_error(error_code code, std::string message) {
  return {code, step::config_write, "", std::move(message)};
}

error
retryable_error(error_code code, std::string message) {
  error ec = api_error(code, std::move(message));
  ec.retry_after = retry_delay;
  return ec;
}

/// The kinds that a request covers: `kind`, or all of them.
std::vector<resource_kind>
kinds_of(const std::optional<resource_kind>& kind) {
  if (kind) {
    return {*kind};
  }
  std::vector<resource_kind> all;
  all.reserve(enum_names<resource_kind>::table.size());
  for (const auto& row : enum_names<resource_kind>::table) {
    all.push_back(row.value);
  }
  return all;
}

/// The resources of `kind`, ordered by name.
std::vector<const resource*>
sorted(const config_snapshot& in, resource_kind kind) {
  std::vector<const resource*> out;
  for (const auto& [name, it] : in.all_of(kind)) {
    out.push_back(&it);
  }
  std::sort(out.begin(), out.end(),
            [](const resource* a, const resource* b) { return a->name < b->name; });
  return out;
}

std::string
list_json(revision at, const std::vector<std::string>& items) {
  std::string out = "{\"revision\":" + std::to_string(at.value) + ",\"items\":[";
  bool first = true;
  for (const auto& it : items) {
    out += first ? "" : ",";
    out += it;
    first = false;
  }
  return out + "]}";
}

/// A line of a watch: the resource in its current state, or null if it was deleted.
std::string
change_line(const config_key_parts& what, revision at, const resource* now) {
  QJsonObject line;
  line.insert(QLatin1String("revision"), static_cast<qint64>(at.value));
  line.insert(QLatin1String("kind"), to_qt(to_name(what.kind)));
  line.insert(QLatin1String("name"), to_qt(what.name));
  line.insert(QLatin1String("resource"), QJsonValue::Null);
  if (now != nullptr) {
    if (const auto object = parse_json_object(resource_json(*now), "resource")) {
      line.insert(QLatin1String("resource"), *object);
    }
  }
  return compact_json(line);
}

} // namespace

resource_api::resource_api(resource_api_options options, const config_replica& replica,
                           status_hook extra_status)
    : options_(std::move(options)), replica_(replica), extra_status_(std::move(extra_status)) {}

void
resource_api::step(const moment& now, const event& ev, action_list& out) {
  if (const auto* request = std::get_if<resource_request>(&ev)) {
    on_request(now, *request, out);
  } else if (const auto* reply = std::get_if<platform_reply>(&ev)) {
    on_reply(now, *reply, out);
  } else if (const auto* gone = std::get_if<caller_disconnected>(&ev)) {
    watches_.erase(gone->request);
  } else if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
  }
  answer_accepted(now, out);
  update_watches(now, out);
}

void
resource_api::answer(request_id id, result<std::string> json, action_list& out, bool last) const {
  out.push_back(resource_response{id, std::move(json), replica_.view()->at, last});
}

// -----------------------------------------------------------------------------------------------
// Authorization

result<void>
resource_api::authorize(const resource_request& it) const {
  if (!replica_.view() || replica_.at() == revision{}) {
    return fail(retryable_error(error_code::unavailable, "no configuration is held yet"));
  }
  const auto rejected = [](const char* why) {
    error ec = api_error(error_code::unauthenticated, why);
    ec.at = step::authenticate;
    return fail(std::move(ec));
  };
  if (it.secret_sha256.empty()) {
    return rejected("an operator key is required");
  }
  const config_snapshot& in = *replica_.view();
  const named_key* key = in.key(it.secret_sha256);
  if (key != nullptr && key->spec.withdrawn) {
    error ec = api_error(error_code::key_withdrawn, "the key was withdrawn");
    ec.at = step::authenticate;
    return fail(std::move(ec));
  }
  if (key != nullptr) {
    if (key->spec.role == key_role::operators) {
      return {};
    }
    error ec = api_error(error_code::permission_denied, "the key is not an operator key");
    ec.at = step::authenticate;
    return fail(std::move(ec));
  }
  const auto& map = in.all_of(resource_kind::key);
  const bool has_operator = std::any_of(map.begin(), map.end(), [](const auto& entry) {
    const auto& spec = std::get<key_spec>(entry.second.spec);
    return spec.role == key_role::operators && !spec.withdrawn;
  });
  if (!has_operator && it.secret_sha256 == options_.bootstrap_operator_key_sha256) {
    return {};
  }
  return rejected("the key is not known");
}

void
resource_api::on_request(const moment& now, const resource_request& it, action_list& out) {
  if (const auto ok = authorize(it); !ok) {
    answer(it.request, fail(ok.error()), out);
    return;
  }
  switch (it.verb) {
  case resource_verb::get:
    return get(it, out);
  case resource_verb::list:
    return list(it, out);
  case resource_verb::status:
    return status(now, it, out);
  case resource_verb::watch:
    return watch(now, it, out);
  case resource_verb::put:
  case resource_verb::remove:
  case resource_verb::issue_key:
    return write(now, it, out);
  }
}

// -----------------------------------------------------------------------------------------------
// Reads

void
resource_api::get(const resource_request& it, action_list& out) const {
  const resource* found = it.kind ? replica_.view()->find(*it.kind, it.name) : nullptr;
  if (found == nullptr) {
    answer(it.request,
           fail(api_error(error_code::not_found, "resource '" + it.name + "' does not exist")),
           out);
    return;
  }
  answer(it.request, resource_json(*found), out);
}

void
resource_api::list(const resource_request& it, action_list& out) const {
  std::vector<std::string> items;
  for (const resource_kind kind : kinds_of(it.kind)) {
    for (const resource* found : sorted(*replica_.view(), kind)) {
      items.push_back(resource_json(*found));
    }
  }
  answer(it.request, list_json(replica_.at(), items), out);
}

void
resource_api::status(const moment& now, const resource_request& it, action_list& out) const {
  QJsonObject json;
  json.insert(QLatin1String("instance"), to_qt(options_.instance.value));
  json.insert(QLatin1String("zone"), to_qt(options_.zone.value));
  json.insert(QLatin1String("ready"), replica_.ready());
  json.insert(QLatin1String("revision"), static_cast<qint64>(replica_.at().value));
  const auto age = std::chrono::duration_cast<milliseconds>(now.boot - replica_.last_confirmed());
  json.insert(QLatin1String("news_age_ms"), static_cast<qint64>(age.count()));
  const config_counts& counts = replica_.counts();
  const auto put = [&](const char* name, std::uint64_t n) {
    json.insert(QLatin1String(name), static_cast<qint64>(n));
  };
  put("changes_applied", counts.changes_applied);
  put("changes_refused", counts.changes_refused);
  put("whole_readings", counts.full_reads);
  put("stale_reads", counts.stale_reads);
  QJsonObject held;
  for (const resource_kind kind : kinds_of({})) {
    held.insert(to_qt(to_name(kind)), static_cast<qint64>(replica_.view()->all_of(kind).size()));
  }
  json.insert(QLatin1String("resources"), held);
  if (extra_status_) {
    for (const auto& entry : extra_status_()) {
      json.insert(to_qt(entry.name), to_qt(entry.value));
    }
  }
  answer(it.request, compact_json(json), out);
}

// -----------------------------------------------------------------------------------------------
// Writes

void
resource_api::write(const moment& now, const resource_request& it, action_list& out) {
  resource_change change{it.resources, {}, it.if_revision};
  if (it.verb == resource_verb::remove && it.kind) {
    change = {{}, {{*it.kind, it.name}}, it.if_revision};
  }
  if (it.verb == resource_verb::issue_key) {
    change.if_revision = revision{};
  }
  const std::size_t n = change.puts.size() + change.removes.size();
  if (n == 0 || (change.if_revision && n != 1)) {
    answer(it.request,
           fail(api_error(
               error_code::invalid_argument,
               n == 0 ? "the request contains no changes"
                      : "a revision condition is allowed only for a change of one resource")),
           out);
    return;
  }
  if (writes_.size() >= max_writes) {
    answer(it.request, fail(retryable_error(error_code::overloaded, "too many concurrent changes")),
           out);
    return;
  }
  const bool single = !it.name.empty() || it.verb == resource_verb::issue_key;
  auto& open =
      writes_
          .emplace(it.request,
                   pending_write{resource_write{std::move(change), now.boot + write_deadline},
                                 single,
                                 std::nullopt,
                                 {}})
          .first->second;
  auto completion = open.state.start(*replica_.view(), numbers_, out);
  on_write_progress(now, it.request, open, std::move(completion), out);
}

void
resource_api::on_write_progress(const moment& now, request_id id, pending_write& it,
                                std::optional<result<resource_change_result>> completion,
                                action_list& out) {
  if (!completion) {
    return;
  }
  if (!*completion) {
    answer(id, fail(completion->error()), out);
    writes_.erase(id);
    return;
  }
  it.accepted = std::move(**completion);
  it.answer_deadline = now.boot + apply_wait;
}

void
resource_api::on_reply(const moment& now, const platform_reply& reply, action_list& out) {
  if (reply.call.owner != duty::resources) {
    return;
  }
  for (auto& [id, it] : writes_) {
    if (it.state.owns(reply.call)) {
      on_write_progress(now, id, it, it.state.on_reply(reply, *replica_.view(), numbers_, out),
                        out);
      return;
    }
  }
}

void
resource_api::on_tick(const moment& now, action_list& out) {
  std::vector<request_id> open;
  for (const auto& [id, it] : writes_) {
    if (!it.accepted) {
      open.push_back(id);
    }
  }
  for (const auto& id : open) {
    pending_write& it = writes_.at(id);
    on_write_progress(now, id, it, it.state.on_tick(now, numbers_, out), out);
  }
}

void
resource_api::answer_accepted(const moment& now, action_list& out) {
  for (auto it = writes_.begin(); it != writes_.end();) {
    const auto& [id, open] = *it;
    const bool ready_to_answer =
        open.accepted && (replica_.at() >= open.accepted->at || now.boot >= open.answer_deadline);
    if (!ready_to_answer) {
      ++it;
      continue;
    }
    std::vector<std::string> items;
    for (const auto& changed : open.accepted->puts) {
      items.push_back(resource_json(changed));
    }
    const bool one = open.single && items.size() == 1;
    std::string json = one ? items.front() : list_json(open.accepted->at, items);
    out.push_back(resource_response{id, std::move(json), open.accepted->at, true});
    it = writes_.erase(it);
  }
}

// -----------------------------------------------------------------------------------------------
// Watches

void
resource_api::watch(const moment& now, const resource_request& it, action_list& out) {
  if (watches_.size() >= max_watches) {
    answer(it.request, fail(retryable_error(error_code::overloaded, "too many open watches")), out);
    return;
  }
  open_watch open{it.kind, it.since, now.boot};
  if (it.since == revision{}) {
    // The watch starts with the current state of all resources.
    for (const resource_kind kind : kinds_of(it.kind)) {
      for (const resource* found : sorted(*replica_.view(), kind)) {
        answer(it.request, change_line({kind, found->name}, found->changed, found), out, false);
      }
    }
    open.sent_upto = replica_.at();
  }
  watches_.emplace(it.request, open);
}

void
resource_api::update_watches(const moment& now, action_list& out) {
  for (auto it = watches_.begin(); it != watches_.end();) {
    const bool still_open = update_watch(now, it->first, it->second, out);
    it = still_open ? std::next(it) : watches_.erase(it);
  }
}

bool
resource_api::update_watch(const moment& now, request_id id, open_watch& it,
                           action_list& out) const {
  const revision at = replica_.at();
  if (at > it.sent_upto) {
    const auto changes = replica_.changes_after(it.sent_upto);
    if (!changes) {
      answer(id,
             fail(api_error(
                 error_code::not_found,
                 "changes since revision " + std::to_string(it.sent_upto.value) +
                     " are no longer available; list again, then watch from the listed revision")),
             out);
      return false;
    }
    for (const auto& change : *changes) {
      const auto parts = parse_config_key(change.key);
      if (!parts || (it.kind && *it.kind != parts->kind)) {
        continue;
      }
      auto spec =
          change.value ? parse_spec(parts->kind, *change.value) : result<resource_spec>{fail({})};
      const resource current{parts->name, change.modified, spec ? *spec : resource_spec{}};
      if (!change.value || spec) {
        answer(id, change_line(*parts, change.modified, spec ? &current : nullptr), out, false);
        it.last_sent = now.boot;
      }
    }
    it.sent_upto = at;
  }
  if (now.boot - it.last_sent >= progress_interval) {
    answer(id, "{\"revision\":" + std::to_string(at.value) + ",\"progress\":true}", out, false);
    it.last_sent = now.boot;
  }
  return true;
}

} // namespace nutmegspur
