// One change of the configuration on its way into the store.
#include <nutmegspur/resource_write.h>

#include <algorithm>
#include <set>
#include <utility>

namespace nutmegspur {

namespace {

constexpr std::uint32_t max_tries = 8;
constexpr std::size_t max_value_bytes = 64UL * 1024;
// The platform takes at most this many conditions, and as many writes, in a transaction.
constexpr std::size_t max_operations = 120;
constexpr milliseconds come_back{1000};

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
// What is known

resource_write::stored
resource_write::current(const std::string& key, const config_snapshot& in) const {
  if (const auto it = seen_.find(key); it != seen_.end()) {
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
  if (const auto it = seen_.find(key_of(what)); it != seen_.end()) {
    return it->second.parsed ? &*it->second.parsed : nullptr;
  }
  return in.find(what.kind, what.name);
}

resource_write::ending
resource_write::look(std::vector<std::string> keys, phase as, call_id_generator& numbers,
                     action_list& out) {
  phase_ = as;
  for (auto& it : keys) {
    const call_id call = numbers.next();
    out.push_back(call_platform{call, kv_range{it, "", 1, {}}});
    calls_.emplace(call, std::move(it));
  }
  return std::nullopt;
}

resource_write::ending
resource_write::start(const config_snapshot& in, call_id_generator& numbers, action_list& out) {
  std::set<std::string> once;
  for (const auto& it : own_keys()) {
    if (!once.insert(it).second) {
      return fail(write_error(error_code::invalid_argument,
                              "the list holds '" + it.substr(config_prefix.size()) + "' twice"));
    }
  }
  for (const auto& it : change_.puts) {
    if (spec_json(it.spec).size() > max_value_bytes) {
      return fail(write_error(error_code::too_large, "'" + it.name + "' is over 64 KiB"));
    }
  }
  // What this instance has not heard of may exist all the same: another instance took it just now.
  std::set<std::string> unknown;
  for (const auto& it : change_.puts) {
    for (const auto& named : references_of(it.spec)) {
      if (find(named, in) == nullptr) {
        unknown.insert(key_of(named));
      }
    }
  }
  for (const auto& it : change_.removes) {
    if (find(it, in) == nullptr) {
      unknown.insert(key_of(it));
    }
  }
  if (unknown.size() > max_operations) {
    return fail(write_error(error_code::too_large, "the list names too many unknown resources"));
  }
  if (!unknown.empty()) {
    return look({unknown.begin(), unknown.end()}, phase::looking, numbers, out);
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
      return fail(write_error(error_code::conflict, "what is stored as '" + it.name +
                                                        "' cannot be read; delete it first"));
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
resource_write::check_all_held(const config_snapshot& in) const {
  // Nothing refers to the resource in what this instance holds. That proves something only if it
  // holds everything up to the revision that the deletion is bound to.
  for (const auto& it : change_.removes) {
    if (current(key_of(it), in).modified > in.at) {
      error ec = write_error(error_code::unavailable,
                             "this instance does not hold the newest configuration yet");
      ec.retry_after = come_back;
      return fail(std::move(ec));
    }
  }
  return {};
}

error
resource_write::condition_failed(revision now) const {
  const std::string is =
      now.value == 0 ? "it does not exist" : "it is at revision " + std::to_string(now.value);
  const std::int64_t wanted = change_.if_revision->value;
  const std::string condition =
      wanted == 0 ? "that it does not exist" : "that it is at revision " + std::to_string(wanted);
  return write_error(error_code::conflict, "the condition was " + condition + ", but " + is);
}

void
resource_write::add_team_touches(kv_txn& txn, const config_snapshot& in) const {
  // A new key rewrites its team unchanged. A team's deletion is bound to the team's revision, so
  // the two cannot both pass: no key is left behind that a later team of that name would inherit.
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
  add_team_touches(txn, in);
  return txn;
}

resource_write::ending
resource_write::write(const config_snapshot& in, call_id_generator& numbers, action_list& out) {
  const std::string first = own_keys().front();
  const revision now = current(first, in).modified;
  if (change_.if_revision && now != *change_.if_revision) {
    // What this instance holds may be old: the store itself decides.
    return seen_.contains(first) ? ending{fail(ended_with(condition_failed(now)))}
                                 : look(own_keys(), phase::looking, numbers, out);
  }
  if (const auto ok = check(in); !ok) {
    return fail(ended_with(ok.error()));
  }
  if (const auto ok = check_all_held(in); !ok) {
    return fail(ended_with(ok.error()));
  }
  kv_txn txn = transaction(in);
  if (txn.conditions.size() > max_operations) {
    return fail(write_error(error_code::too_large,
                            "a change holds at most 100 resources; send it in parts"));
  }
  if (++tries_ > max_tries) {
    return fail(ended_with(write_error(error_code::conflict, "gave up after several tries")));
  }
  conditions_ = txn.conditions;
  phase_ = phase::writing;
  const call_id call = numbers.next();
  calls_.emplace(call, "");
  out.push_back(call_platform{call, std::move(txn)});
  return std::nullopt;
}

resource_change_result
resource_write::finished(revision at) const {
  resource_change_result done{at, change_.puts};
  for (auto& it : done.puts) {
    const auto seen = seen_.find(key_of(it));
    it.changed = seen == seen_.end() ? at : seen->second.modified;
  }
  return done;
}

// -----------------------------------------------------------------------------------------------
// Replies

error
resource_write::ended_with(error ec) const {
  ec.at = step::config_write;
  ec.ran = maybe_ran_ ? outcome::unknown : outcome::not_run;
  return ec;
}

resource_write::ending
resource_write::on_reply(const platform_reply& reply, const config_snapshot& in,
                         call_id_generator& numbers, action_list& out) {
  if (phase_ == phase::writing) {
    return on_written(reply, in, numbers, out);
  }
  return on_read(reply, in, numbers, out);
}

resource_write::ending
resource_write::on_written(const platform_reply& reply, const config_snapshot& in,
                           call_id_generator& numbers, action_list& out) {
  calls_.erase(reply.call);
  if (!reply.answer) {
    error ec = reply.answer.error();
    if (ec.ran == outcome::not_run && !maybe_ran_) {
      ec = ended_with(std::move(ec));
      ec.retry_after = ec.retry_after.value_or(come_back);
      return fail(std::move(ec));
    }
    maybe_ran_ = true;
    return look_at_conditions(numbers, out);
  }
  const auto* done = std::get_if<kv_txn_reply>(&*reply.answer);
  if (done == nullptr) {
    return fail(ended_with(write_error(error_code::internal, "not an answer to a transaction")));
  }
  if (!done->applied) {
    return look_at_conditions(numbers, out);
  }
  // Resources that were as wanted already keep the revision that they had.
  revision at = change_.removes.empty() ? revision{} : done->store;
  for (const auto& it : change_.puts) {
    const stored now = current(key_of(it), in);
    const bool written = !now.parsed || now.parsed->spec != it.spec;
    seen_[key_of(it)] = {written ? done->store : now.modified, it};
    at = std::max(at, seen_[key_of(it)].modified);
  }
  return finished(at);
}

resource_write::ending
resource_write::on_read(const platform_reply& reply, const config_snapshot& in,
                        call_id_generator& numbers, action_list& out) {
  const std::string key = calls_.at(reply.call);
  calls_.erase(reply.call);
  if (!reply.answer) {
    if (!maybe_ran_) {
      error ec = ended_with(reply.answer.error());
      ec.retry_after = ec.retry_after.value_or(come_back);
      return fail(std::move(ec));
    }
    // It must be known what became of the lost answer; the deadline ends the tries.
    unread_.push_back(key);
    return std::nullopt;
  }
  const auto* page = std::get_if<kv_range_reply>(&*reply.answer);
  if (page == nullptr) {
    return fail(ended_with(write_error(error_code::internal, "not an answer to a range")));
  }
  take_page(key, *page);
  if (!calls_.empty() || !unread_.empty()) {
    return std::nullopt;
  }
  return phase_ == phase::looking ? write(in, numbers, out) : after_check(in, numbers, out);
}

void
resource_write::take_page(const std::string& key, const kv_range_reply& page) {
  store_ = std::max(store_, page.store);
  stored& it = seen_[key];
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
resource_write::all_as_wanted() const {
  const auto put_stands = [&](const resource& it) {
    const stored& now = seen_.at(key_of(it));
    return now.parsed && now.parsed->spec == it.spec;
  };
  const auto removed = [&](const resource_reference& it) {
    return seen_.at(key_of(it)).modified.value == 0;
  };
  return std::all_of(change_.puts.begin(), change_.puts.end(), put_stands) &&
         std::all_of(change_.removes.begin(), change_.removes.end(), removed);
}

resource_write::ending
resource_write::after_check(const config_snapshot& in, call_id_generator& numbers,
                            action_list& out) {
  if (!maybe_ran_) {
    return write(in, numbers, out);
  }
  if (all_as_wanted()) {
    revision at = change_.removes.empty() ? revision{} : store_;
    for (const auto& it : change_.puts) {
      at = std::max(at, seen_.at(key_of(it)).modified);
    }
    return finished(at);
  }
  const auto unmoved = [&](const kv_compare& it) {
    return seen_.at(it.key).modified == it.modified;
  };
  if (std::all_of(conditions_.begin(), conditions_.end(), unmoved)) {
    // It has not taken effect. Should it still do so, the copy sent now finds its conditions
    // broken, and the next look finds everything as wanted.
    return write(in, numbers, out);
  }
  return fail(ended_with(write_error(
      error_code::conflict, "somebody else changed it, before or after this change took effect")));
}

resource_write::ending
resource_write::look_at_conditions(call_id_generator& numbers, action_list& out) {
  std::vector<std::string> keys;
  for (const auto& it : conditions_) {
    keys.push_back(it.key);
  }
  return look(std::move(keys), phase::checking, numbers, out);
}

resource_write::ending
resource_write::on_tick(const moment& now, call_id_generator& numbers, action_list& out) {
  if (now.boot < deadline_) {
    return look(std::exchange(unread_, {}), phase_, numbers, out);
  }
  error ec = write_error(error_code::unavailable, "the store did not answer in time");
  ec.peer = "platform";
  ec.retry_after = come_back;
  ec.ran = maybe_ran_ || phase_ == phase::writing ? outcome::unknown : outcome::not_run;
  return fail(std::move(ec));
}

} // namespace nutmegspur
