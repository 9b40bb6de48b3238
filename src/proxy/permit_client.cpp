// Asks the keepers of upstreams for permits, and answers peers that ask this instance.
#include "permit_client.h"

#include <algorithm>

namespace nutmegspur::proxy {

namespace {

/// Longer than the round trip to another region and a new connection take.
constexpr milliseconds answer_limit{150};
/// A keeper that does not answer is not asked for this long: until then others consider it gone.
constexpr milliseconds failed_keeper_period{1'500};
/// When to ask again an instance that does not consider itself the keeper.
constexpr milliseconds unsettled_period{250};
/// Instances without a permit ask again one after the other, at most at this interval.
constexpr milliseconds question_interval{10};
/// Questions of one instance that may be open for an upstream, in time of its rate.
constexpr milliseconds open_questions_time{250};
constexpr milliseconds expiry_period{10'000};

} // namespace

permit_answer
permit_client::take(const moment& now, const listed_upstream& it, const permit_request& request) {
  const auto rate = state_.limits.per_second(it);
  if (!rate) {
    return {true, milliseconds{0}};
  }
  // The sides of a partition together keep the rate: each takes its share of the instances.
  const double share = peers_.connected_share(now);
  const auto spread = question_interval * static_cast<std::int64_t>(state_.live_peers);
  return permits_.take(now, request, *rate * share, spread);
}

milliseconds
permit_client::time_left(const moment& now, const listed_upstream& it) const {
  const auto rate = state_.limits.per_second(it);
  const auto found = asked_.find({it.id, it.started_ms});
  if (!rate || found == asked_.end()) {
    return milliseconds{0};
  }
  const asked_keeper& row = found->second;
  const double in_time = *rate * std::chrono::duration<double>(open_questions_time).count();
  if (static_cast<double>(row.open) >= std::max(in_time, 1.0)) {
    return answer_limit;
  }
  return std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(row.not_before - now.boot));
}

void
permit_client::on_answer(const upstream_process& process, const permit_answer& answer) {
  if (!answer.granted) {
    time_point& not_before = asked_[process].not_before;
    not_before = std::max(not_before, http1::event_loop::now().boot + answer.wait);
  }
}

void
permit_client::acquire(const listed_upstream& it, std::uint64_t fingerprint,
                       milliseconds longest_wait, handler on_end) {
  const moment now = http1::event_loop::now();
  expire(now);
  const permit_request request{{it.id, it.started_ms}, fingerprint, longest_wait};
  const permit_keeper keeper = peers_.keeper_of(now, it);
  const auto failed = failed_keepers_.find(keeper.name);
  if (keeper.self || (failed != failed_keepers_.end() && now.boot < failed->second)) {
    const auto answer =
        keeper.self
            ? take(now, it, request)
            : permit_answer{false, std::chrono::ceil<milliseconds>(failed->second - now.boot)};
    on_answer(request.process, answer);
    on_end(answer);
    return;
  }
  asked_[request.process].open++;
  calls_.send(keeper.at, {"POST", std::string{permit_path}, {}, pack_permit_request(request)},
              {answer_limit},
              [this, process = request.process, name = keeper.name,
               notify = std::move(on_end)](const call_outcome& outcome) {
                asked_[process].open--;
                permit_answer answer{false, failed_keeper_period};
                const auto read = unpack_permit_answer(outcome.complete() ? outcome.body : "");
                if (read) {
                  answer = *read;
                } else {
                  failed_keepers_[name] = http1::event_loop::now().boot + failed_keeper_period;
                }
                on_answer(process, answer);
                notify(answer);
              });
}

result<std::string>
permit_client::answer(std::string_view question) {
  const auto request = unpack_permit_request(question);
  if (!request) {
    return fail(request.error());
  }
  const moment now = http1::event_loop::now();
  const listed_upstream* it = state_.upstreams.find(request->process.id);
  // Lists, limits and relays differ between instances for a moment.
  const bool settled = it != nullptr && it->started_ms == request->process.started_ms &&
                       needed(*it) && peers_.keeper_of(now, *it).self;
  return pack_permit_answer(settled ? take(now, *it, *request)
                                    : permit_answer{false, unsettled_period});
}

void
permit_client::expire(const moment& now) {
  if (now.boot - expired_ < expiry_period) {
    return;
  }
  expired_ = now.boot;
  std::erase_if(asked_, [&](const auto& row) {
    return row.second.open == 0 && now.boot >= row.second.not_before;
  });
  std::erase_if(failed_keepers_, [&](const auto& row) { return now.boot >= row.second; });
}

} // namespace nutmegspur::proxy
