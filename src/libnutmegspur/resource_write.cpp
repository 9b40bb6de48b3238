// Writes a change of the configuration to the store.
#include <nutmegspur/resource_write.h>

#include <algorithm>
#include <set>
#include <utility>

namespace nutmegspur {

namespace {

constexpr std::uint32_t max_attempts = 8;
constexpr std::size_t max_value_bytes = 64UL * 1024;
// Limit of the conditions, and of the writes, in one transaction; etcd accepts 128 operations.
constexpr std::size_t max_operations = 120;
constexpr milliseconds retry_delay{1000};

error
write_error(error_code code, std::string message) {
  return {code, step::config_write, "", std::move(message)};
}

std::string
key_of(const resource& it) {
  return config_key(kind_of(it.spec), it.name);
}

std::string
key_of(const resource_reference& it) {
  return config_key(it.kind, it.name);
}

} // namespace

resource_write::resource_write(resource_change change, time_point deadline)
    : change_(std::move(change)), deadline_(deadline) {}

std::vector<std::string>
resource_write::own_keys() const {
  std::vector<std::string> keys;
  for (const auto& it : change_.puts) {
    keys.push_back(key_of(it));
  }
  for (const auto& it : change_.removes) {
    keys.push_back(key_of(it));
  }
  return keys;
}

// -----------------------------------------------------------------------------------------------
// Known state of the store

resource_write::stored
resource_write::current(const std::string& key, const config_snapshot& in) const {
  if (const auto it = stored_.find(key); it != stored_.end()) {
    return it->second;
  }
  const auto parts = parse_config_key(key);
  const resource* held = parts ? in.find(parts->kind, parts->name) : nullptr;
  return held == nullptr ? stored{} : stored{held->changed, *held};
}

const resource*
resource_write::find(const resource_reference& what, const config_snapshot& in) const {
  for (const auto& it : change_.puts) {
    if (kind_of(it.spec) == what.kind && it.name == what.name) {
      return &it;
    }
  }
  if (const auto it = stored_.find(key_of(what)); it != stored_.end()) {
    return it->second.parsed ? &*it->second.parsed : nullptr;
  }
  return in.find(what.kind, what.name);
}

resource_write::completion
resource_write::read_keys(std::vector<std::string> keys, phase as, call_id_generator& numbers,
                          action_list& out) {
  phase_ = as;
  for (auto& it : keys) {
    const call_id call = numbers.next();
    out.push_back(call_platform{call, kv_range{it, "", 1, {}}});
    calls_.emplace(call, std::move(it));
  }
  return std::nullopt;
}

resource_write::completion
resource_write::start(const config_snapshot& in, call_id_generator& numbers, action_list& out) {
  std::set<std::string> distinct;
  for (const auto& it : own_keys()) {
    if (!distinct.insert(it).second) {
      return fail(write_error(error_code::invalid_argument,
                              "the list contains '" + it.substr(config_prefix.size()) + "' twice"));
    }
  }
  for (const auto& it : change_.puts) {
    if (spec_json(it.spec).size() > max_value_bytes) {
      return fail(write_error(error_code::too_large, "'" + it.name + "' is larger than 64 KiB"));
    }
  }
  // A resource unknown to this instance may still exist: another instance may have just written it.
  std::set<std::string> unknown;
  for (const auto& it : change_.puts) {
    for (const auto& referenced : references_of(it.spec)) {
      if (find(referenced, in) == nullptr) {
        unknown.insert(key_of(referenced));
      }
    }
  }
  for (const auto& it : change_.removes) {
    if (find(it, in) == nullptr) {
      unknown.insert(key_of(it));
    }
  }
  if (unknown.size() > max_operations) {
    return fail(
        write_error(error_code::too_large, "the list refers to too many unknown resources"));
  }
  if (!unknown.empty()) {
    return read_keys({unknown.begin(), unknown.end()}, phase::reading, numbers, out);
  }
  return write(in, numbers, out);
}

// -----------------------------------------------------------------------------------------------
// The transaction

result<void>
resource_write::check(const config_snapshot& in) const {
  const auto lookup = [&](const resource_reference& what) { return find(what, in); };
  for (const auto& it : change_.puts) {
    const stored now = current(key_of(it), in);
    if (now.modified.value != 0 && !now.parsed) {
      return fail(write_error(error_code::conflict, "the stored value of '" + it.name +
                                                        "' cannot be parsed; delete it first"));
    }
    if (auto ok = check_put(it, now.parsed ? &*now.parsed : nullptr, lookup); !ok) {
      return ok;
    }
    if (auto ok = check_digest_is_new(it, in); !ok) {
      return ok;
    }
  }
  for (const auto& it : change_.removes) {
    if (current(key_of(it), in).modified.value == 0) {
      return fail(
          write_error(error_code::not_found,
                      "there is no " + std::string{to_name(it.kind)} + " '" + it.name + "'"));
    }
    if (auto ok = check_remove(it, in); !ok) {
      return ok;
    }
  }
  return {};
}

result<void>
resource_write::check_snapshot_is_current(const config_snapshot& in) const {
  // The check for references to the resource uses the configuration of this instance. It is valid
  // only if this configuration includes the revision on which the deletion is conditional.
  for (const auto& it : change_.removes) {
    if (current(key_of(it), in).modified > in.at) {
      error ec = write_error(error_code::unavailable,
                             "this instance does not have the latest configuration yet");
      ec.retry_after = retry_delay;
      return fail(std::move(ec));
    }
  }
  return {};
}

error
resource_write::condition_failed(revision now) const {
  const std::string is =
      now.value == 0 ? "it does not exist" : "it is at revision " + std::to_string(now.value);
  const std::int64_t expected = change_.if_revision->value;
  const std::string condition = expected == 0
                                    ? "that it does not exist"
                                    : "that it is at revision " + std::to_string(expected);
  return write_error(error_code::conflict, "the condition was " + condition + ", but " + is);
}

void
resource_write::add_team_rewrites(kv_txn& txn, const config_snapshot& in) const {
  // The creation of a key also rewrites its team with the same value. The deletion of a team is
  // conditional on the team's revision, so only one of the two can succeed. Otherwise the key could
  // remain and be inherited by a later team of the same name.
  std::set<std::string> teams;
  for (const auto& it : change_.puts) {
    const auto* key = std::get_if<key_spec>(&it.spec);
    if (key != nullptr && !key->team.empty() && current(key_of(it), in).modified.value == 0) {
      teams.insert(config_key(resource_kind::team, key->team.value));
    }
  }
  for (const auto& it : change_.puts) {
    teams.erase(key_of(it));
  }
  for (const auto& it : teams) {
    const stored team = current(it, in);
    if (team.parsed) {
      txn.conditions.push_back({it, team.modified});
      txn.writes.push_back({it, spec_json(team.parsed->spec), {}});
    }
  }
}

kv_txn
resource_write::transaction(const config_snapshot& in) const {
  kv_txn txn;
  for (const auto& it : change_.puts) {
    const std::string key = key_of(it);
    const stored now = current(key, in);
    txn.conditions.push_back({key, now.modified});
    if (!now.parsed || now.parsed->spec != it.spec) {
      txn.writes.push_back({key, spec_json(it.spec), {}});
    }
  }
  for (const auto& it : change_.removes) {
    const std::string key = key_of(it);
    txn.conditions.push_back({key, current(key, in).modified});
    txn.writes.push_back({key, std::nullopt, {}});
  }
  add_team_rewrites(txn, in);
  return txn;
}

resource_write::completion
resource_write::write(const config_snapshot& in, call_id_generator& numbers, action_list& out) {
  const std::string first = own_keys().front();
  const revision now = current(first, in).modified;
  if (change_.if_revision && now != *change_.if_revision) {
    // The configuration of this instance may be outdated, so the store is read first.
    return stored_.contains(first) ? completion{fail(with_outcome(condition_failed(now)))}
                                   : read_keys(own_keys(), phase::reading, numbers, out);
  }
  if (const auto ok = check(in); !ok) {
    return fail(with_outcome(ok.error()));
  }
  if (const auto ok = check_snapshot_is_current(in); !ok) {
    return fail(with_outcome(ok.error()));
  }
  kv_txn txn = transaction(in);
  if (txn.conditions.size() > max_operations) {
    return fail(write_error(error_code::too_large,
                            "a change may contain at most 100 resources; send it in parts"));
  }
  if (++attempts_ > max_attempts) {
    return fail(with_outcome(write_error(error_code::conflict, "gave up after several attempts")));
  }
  conditions_ = txn.conditions;
  phase_ = phase::writing;
  const call_id call = numbers.next();
  calls_.emplace(call, "");
  out.push_back(call_platform{call, std::move(txn)});
  return std::nullopt;
}

resource_change_result
resource_write::make_result(revision at) const {
  resource_change_result done{at, change_.puts};
  for (auto& it : done.puts) {
    const auto read_back = stored_.find(key_of(it));
    it.changed = read_back == stored_.end() ? at : read_back->second.modified;
  }
  return done;
}

// -----------------------------------------------------------------------------------------------
// Replies

error
resource_write::with_outcome(error ec) const {
  ec.at = step::config_write;
  ec.ran = may_have_run_ ? outcome::unknown : outcome::not_run;
  return ec;
}

resource_write::completion
resource_write::on_reply(const platform_reply& reply, const config_snapshot& in,
                         call_id_generator& numbers, action_list& out) {
  if (phase_ == phase::writing) {
    return on_written(reply, in, numbers, out);
  }
  return on_read(reply, in, numbers, out);
}

resource_write::completion
resource_write::on_written(const platform_reply& reply, const config_snapshot& in,
                           call_id_generator& numbers, action_list& out) {
  calls_.erase(reply.call);
  if (!reply.answer) {
    error ec = reply.answer.error();
    if (ec.ran == outcome::not_run && !may_have_run_) {
      ec = with_outcome(std::move(ec));
      ec.retry_after = ec.retry_after.value_or(retry_delay);
      return fail(std::move(ec));
    }
    may_have_run_ = true;
    return read_conditions(numbers, out);
  }
  const auto* done = std::get_if<kv_txn_reply>(&*reply.answer);
  if (done == nullptr) {
    return fail(
        with_outcome(write_error(error_code::internal, "unexpected reply type for a transaction")));
  }
  if (!done->applied) {
    return read_conditions(numbers, out);
  }
  // Resources that already had the wanted value keep their revision.
  revision at = change_.removes.empty() ? revision{} : done->store;
  for (const auto& it : change_.puts) {
    const stored now = current(key_of(it), in);
    const bool written = !now.parsed || now.parsed->spec != it.spec;
    stored_[key_of(it)] = {written ? done->store : now.modified, it};
    at = std::max(at, stored_[key_of(it)].modified);
  }
  return make_result(at);
}

resource_write::completion
resource_write::on_read(const platform_reply& reply, const config_snapshot& in,
                        call_id_generator& numbers, action_list& out) {
  const std::string key = calls_.at(reply.call);
  calls_.erase(reply.call);
  if (!reply.answer) {
    if (!may_have_run_) {
      error ec = with_outcome(reply.answer.error());
      ec.retry_after = ec.retry_after.value_or(retry_delay);
      return fail(std::move(ec));
    }
    // The read shows whether the transaction with the lost answer took effect, so it is repeated
    // until the deadline.
    pending_reads_.push_back(key);
    return std::nullopt;
  }
  const auto* page = std::get_if<kv_range_reply>(&*reply.answer);
  if (page == nullptr) {
    return fail(
        with_outcome(write_error(error_code::internal, "unexpected reply type for a range read")));
  }
  record_read(key, *page);
  if (!calls_.empty() || !pending_reads_.empty()) {
    return std::nullopt;
  }
  return phase_ == phase::reading ? write(in, numbers, out) : after_read(in, numbers, out);
}

void
resource_write::record_read(const std::string& key, const kv_range_reply& page) {
  store_revision_ = std::max(store_revision_, page.store);
  stored& it = stored_[key];
  it = {};
  if (page.pairs.empty()) {
    return;
  }
  const kv_pair& pair = page.pairs.front();
  it.modified = pair.modified;
  const auto parts = parse_config_key(key);
  if (auto spec = parse_spec(parts->kind, pair.value)) {
    it.parsed = resource{parts->name, pair.modified, std::move(*spec)};
  }
}

bool
resource_write::is_in_place() const {
  const auto put_in_place = [&](const resource& it) {
    const stored& now = stored_.at(key_of(it));
    return now.parsed && now.parsed->spec == it.spec;
  };
  const auto removed = [&](const resource_reference& it) {
    return stored_.at(key_of(it)).modified.value == 0;
  };
  return std::all_of(change_.puts.begin(), change_.puts.end(), put_in_place) &&
         std::all_of(change_.removes.begin(), change_.removes.end(), removed);
}

resource_write::completion
resource_write::after_read(const config_snapshot& in, call_id_generator& numbers,
                           action_list& out) {
  if (!may_have_run_) {
    return write(in, numbers, out);
  }
  if (is_in_place()) {
    revision at = change_.removes.empty() ? revision{} : store_revision_;
    for (const auto& it : change_.puts) {
      at = std::max(at, stored_.at(key_of(it)).modified);
    }
    return make_result(at);
  }
  const auto unchanged = [&](const kv_compare& it) {
    return stored_.at(it.key).modified == it.modified;
  };
  if (std::all_of(conditions_.begin(), conditions_.end(), unchanged)) {
    // The transaction has not taken effect yet. If it does so later, the copy sent now fails its
    // conditions, and the next read finds the wanted values in place.
    return write(in, numbers, out);
  }
  return fail(with_outcome(
      write_error(error_code::conflict,
                  "another writer changed a resource before or after this change took effect")));
}

resource_write::completion
resource_write::read_conditions(call_id_generator& numbers, action_list& out) {
  std::vector<std::string> keys;
  for (const auto& it : conditions_) {
    keys.push_back(it.key);
  }
  return read_keys(std::move(keys), phase::resolving, numbers, out);
}

resource_write::completion
resource_write::on_tick(const moment& now, call_id_generator& numbers, action_list& out) {
  if (now.boot < deadline_) {
    return read_keys(std::exchange(pending_reads_, {}), phase_, numbers, out);
  }
  error ec = write_error(error_code::unavailable, "the store did not answer in time");
  ec.peer = "platform";
  ec.retry_after = retry_delay;
  ec.ran = may_have_run_ || phase_ == phase::writing ? outcome::unknown : outcome::not_run;
  return fail(std::move(ec));
}

} // namespace nutmegspur
