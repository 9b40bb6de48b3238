/// \file first_come_policy.cpp
/// Baseline admission: one queue in order of arrival; refuses requests only when it is full.

#include <nutmegspur/policy.h>

#include <algorithm>
#include <deque>

namespace nutmegspur {

namespace {

constexpr milliseconds retry_after_full{1000};

class first_come_policy final : public admission_policy {
 public:
  explicit first_come_policy(const admission_options& options) : options_(options) {}

  result<void> enqueue(const waiting_request& it, const capacity_estimate& /*capacity*/,
                       const moment& /*now*/) override {
    if (queue_.size() >= options_.max_waiting) {
      return fail({error_code::overloaded, step::admit, "", "admission queue is full",
                   outcome::not_run, retry_after_full});
    }
    queue_.push_back(it);
    return {};
  }

  std::optional<waiting_request> peek(const moment& /*now*/) override {
    return queue_.empty() ? std::nullopt : std::optional{queue_.front()};
  }

  void remove(request_id request, bool /*placed*/) override {
    std::erase_if(queue_, [&](const waiting_request& it) { return it.request == request; });
  }

  std::vector<waiting_request> expire(const capacity_estimate& /*capacity*/,
                                      const moment& now) override {
    std::vector<waiting_request> expired;
    std::copy_if(queue_.begin(), queue_.end(), std::back_inserter(expired),
                 [&](const waiting_request& it) { return it.deadline <= now.boot; });
    std::erase_if(queue_, [&](const waiting_request& it) { return it.deadline <= now.boot; });
    return expired;
  }

  void settle(const team_id& /*team*/, std::uint64_t /*expected_milli*/,
              std::uint64_t /*actual_milli*/) override {}

  void add_remote_service(const team_id& /*team*/, std::uint64_t /*cost_milli*/) override {}

  std::vector<team_service_entry> take_local_service() override { return {}; }

  [[nodiscard]] std::size_t waiting() const override { return queue_.size(); }

 private:
  admission_options options_;
  std::deque<waiting_request> queue_;
};

[[maybe_unused]] const bool registered =
    admission_registry::instance().add("first_come", [](const admission_options& options) {
      return std::make_unique<first_come_policy>(options);
    });

} // namespace

} // namespace nutmegspur
