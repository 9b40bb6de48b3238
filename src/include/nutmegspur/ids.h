/// \file ids.h
/// Identifiers. Each kind has its own type, so that one cannot be passed in place of another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace nutmegspur {

/// A text identifier of kind `Tag`. Empty means "none".
template <class Tag> struct text_id {
  std::string value;

  text_id() = default;

  explicit text_id(std::string text) : value(std::move(text)) {}

  [[nodiscard]] bool empty() const { return value.empty(); }

  auto operator<=>(const text_id&) const = default;
};

/// A numeric identifier of kind `Tag`. Zero means "none".
template <class Tag> struct number_id {
  std::uint64_t value = 0;

  [[nodiscard]] bool empty() const { return value == 0; }

  auto operator<=>(const number_id&) const = default;
};

/// A customer organization: the unit of authorization, fairness and billing.
using team_id = text_id<struct team_tag>;
/// The public name of a caller's or operator's key (never the secret).
using key_id = text_id<struct key_tag>;
/// The name that callers use for a served model.
using model_id = text_id<struct model_tag>;
/// A back end: a model engine or a plain service worker.
using upstream_id = text_id<struct upstream_tag>;
/// A running entry process. A restarted process has a new id.
using instance_id = text_id<struct instance_tag>;
/// An availability zone.
using zone_id = text_id<struct zone_tag>;
/// The name of a plain service, as in the path of its URL.
using service_id = text_id<struct service_tag>;

/// A request; unique within the entry instance that accepted it.
using request_id = number_id<struct request_tag>;

/// An attempt to run a request at an upstream. Numbers start at 1 within a request.
struct attempt_id {
  request_id request;
  std::uint32_t number = 0;

  auto operator<=>(const attempt_id&) const = default;
};

/// A revision of the key-value service. Revisions only increase; zero precedes all of them.
struct revision {
  std::int64_t value = 0;

  auto operator<=>(const revision&) const = default;
};

/// A fencing token: the revision at which a lease was acquired. Each later holder's token is
/// greater.
struct fence {
  std::int64_t value = 0;

  auto operator<=>(const fence&) const = default;
};

} // namespace nutmegspur

template <class Tag> struct std::hash<nutmegspur::text_id<Tag>> {
  std::size_t operator()(const nutmegspur::text_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};

template <class Tag> struct std::hash<nutmegspur::number_id<Tag>> {
  std::size_t operator()(const nutmegspur::number_id<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

template <> struct std::hash<nutmegspur::attempt_id> {
  std::size_t operator()(const nutmegspur::attempt_id& id) const noexcept {
    constexpr std::uint64_t odd_multiplier = 0x9E3779B97F4A7C15ULL;
    return std::hash<std::uint64_t>{}(id.request.value * odd_multiplier + id.number);
  }
};
