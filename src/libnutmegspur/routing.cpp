/// \file routing.cpp
/// Decides whether an upstream can serve a request at all.

#include <nutmegspur/mechanisms.h>
#include <nutmegspur/policy.h>

#include <algorithm>

namespace nutmegspur {

namespace {

bool
serves_model(const upstream_state& it, const inference_call& call) {
  if (it.listed.kind != instance_kind::engine || it.state.model != call.model) {
    return false;
  }
  const auto& adapters = it.state.adapters;
  return call.adapter.empty() ||
         std::find(adapters.begin(), adapters.end(), call.adapter) != adapters.end();
}

bool
serves_service(const upstream_state& it, const service_id& service) {
  return it.listed.kind == instance_kind::service && it.listed.service == service.value;
}

bool
takes_work(const upstream_state& it, time_point now) {
  if constexpr (enabled(mechanism::leaving_takes_no_work)) {
    return it.takes_work(now);
  }
  return !it.changing;
}

} // namespace

bool
can_serve(const upstream_state& it, const route_query& query, time_point now) {
  if (!takes_work(it, now)) {
    return false;
  }
  const auto matches = [&](const upstream_id& id) { return id.value == it.listed.name; };
  if (std::any_of(query.excluded.begin(), query.excluded.end(), matches)) {
    return false;
  }
  return query.inference != nullptr ? serves_model(it, *query.inference)
                                    : serves_service(it, query.service);
}

} // namespace nutmegspur
