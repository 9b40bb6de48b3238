// Writes and renews this instance's registration.
#include "instance_registration.h"

#include <nutmegspur/json_reader.h>

namespace nutmegspur::proxy {

namespace {

/// A registration expires this long after the last renewal.
constexpr seconds registration_ttl{10};
/// Allows three renewals within the time to live.
constexpr milliseconds renewal_period{3'000};
/// All instances write their registrations again within this time.
constexpr milliseconds rewrite_spread{1'500};

std::string
registration_record(const proxy_settings& settings, std::int64_t started_ms) {
  return compact_json({{"peer", to_qt(to_text(settings.peer_listen))},
                       {"zone", to_qt(settings.zone.value)},
                       {"started_ms", qint64{started_ms}}});
}

} // namespace

void
instance_registration::start() {
  state_.loop.every(renewal_period, [this](const moment&) { renew(); });
  write();
}

void
instance_registration::write() {
  if (write_pending_ || state_.stopping) {
    return;
  }
  write_pending_ = true;
  if (!record_.known()) {
    read();
    return;
  }
  call_(lease_grant{registration_ttl}, [this](const platform_reply& reply) {
    if (reply.answer) {
      put(std::get<lease_reply>(*reply.answer).lease);
    } else {
      write_pending_ = false;
    }
  });
}

void
instance_registration::read() {
  call_(record_.read(), [this](const platform_reply& reply) {
    write_pending_ = false;
    if (reply.answer) {
      record_.on_read(std::get<kv_range_reply>(*reply.answer));
      write();
    }
  });
}

void
instance_registration::put(lease_id lease) {
  const kv_txn txn = record_.write(registration_record(state_.settings, started_ms_), lease);
  call_(txn, [this, lease](const platform_reply& reply) {
    write_pending_ = false;
    switch (record_.on_written(reply)) {
    case cas_result::applied:
      lease_ = lease;
      break;
    case cas_result::replaced: // By an earlier process, or by a late write.
      call_(lease_revoke{lease}, {});
      write();
      break;
    case cas_result::unknown: // The next renewal tries again.
      break;
    }
  });
}

void
instance_registration::on_restored() {
  lease_ = lease_id{};
  record_.forget();
  // Spreads the writes of all instances.
  const auto slot = std::hash<std::string>{}(state_.settings.instance.value) %
                    static_cast<std::size_t>(rewrite_spread.count());
  state_.loop.once(milliseconds{static_cast<std::int64_t>(slot)}, [this](const moment&) {
    if (lease_.empty()) {
      write();
    }
  });
}

void
instance_registration::renew() {
  if (state_.stopping) {
    return;
  }
  if (lease_.empty()) {
    write();
    return;
  }
  call_(lease_keep_alive{lease_}, [this](const platform_reply& reply) {
    if (reply.answer && std::get<lease_reply>(*reply.answer).ttl == seconds{0}) {
      lease_ = lease_id{};
      record_.forget();
      write();
    }
  });
}

void
instance_registration::unregister() {
  if (!lease_.empty()) {
    call_(lease_revoke{lease_}, {});
    lease_ = lease_id{};
  }
}

} // namespace nutmegspur::proxy
