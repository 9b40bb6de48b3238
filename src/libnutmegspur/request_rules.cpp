// Authorization, cost and headers of requests.
#include "request_rules.h"

#include <nutmegspur/mechanisms.h>

#include <QtCore/QCryptographicHash>

#include <algorithm>
#include <array>

namespace nutmegspur {
namespace {

constexpr milliseconds stale_config_retry_after{1000};

error
make_error(error_code code, step at, std::string message) {
  return {code, at, "", std::move(message)};
}

result<team_id>
authenticate(const request_arrived& it, const config_snapshot& config, milliseconds config_age) {
  if (it.secret_sha256.empty()) {
    return team_id{};
  }
  if (auto ok = check_key(it.secret_sha256, config); !ok) {
    return fail(ok.error());
  }
  const team_id team = config.key(it.secret_sha256)->spec.team;
  const team_spec* limits = config.team(team);
  if (limits == nullptr) {
    return fail(make_error(error_code::permission_denied, step::authenticate,
                           "the key's team does not exist"));
  }
  if (limits->stale_key_limit && config_age > *limits->stale_key_limit) {
    error why = make_error(error_code::unavailable, step::authenticate,
                           "keys of this team are not accepted while the configuration is stale");
    why.retry_after = stale_config_retry_after;
    return fail(why);
  }
  return team;
}

error
access_denied(const team_id& team, const std::string& subject) {
  if (team.empty()) {
    return make_error(error_code::unauthenticated, step::authenticate, "an API key is required");
  }
  return make_error(error_code::permission_denied, step::authenticate,
                    "'" + subject + "' is not offered to this key's team here");
}

result<void>
check_inference(const inference_call& call, const team_id& team, const config_snapshot& config,
                const zone_id& zone) {
  const model_spec* model = config.model(call.model);
  const bool offered = config.offered(team, call.model, zone);
  if (!offered && enabled(mechanism::team_check)) {
    // With a key, a missing model is reported as not found. Without one, a missing model and one
    // that is not offered give the same error.
    if (model == nullptr && !team.empty()) {
      return fail(make_error(error_code::not_found, step::authenticate,
                             "model '" + call.model.value + "' does not exist"));
    }
    return fail(access_denied(team, call.model.value));
  }
  if (model == nullptr) {
    return fail(make_error(error_code::not_found, step::authenticate,
                           "model '" + call.model.value + "' does not exist"));
  }
  if (call.prompt_tokens + call.max_tokens > model->context_tokens) {
    return fail(make_error(error_code::too_large, step::admit,
                           "prompt and max_tokens exceed the model's context of " +
                               std::to_string(model->context_tokens) + " tokens"));
  }
  if (call.adapter.empty()) {
    return {};
  }
  const resource* adapter = config.find(resource_kind::adapter, call.adapter);
  if (adapter == nullptr || std::get<adapter_spec>(adapter->spec).model != call.model) {
    return fail(make_error(error_code::not_found, step::authenticate,
                           "the model has no adapter '" + call.adapter + "'"));
  }
  return {};
}

result<const route_spec*>
check_service(const service_call& call, const team_id& team, const config_snapshot& config) {
  const route_spec* route = config.route(call.service, call.path);
  if (route == nullptr) {
    return fail(make_error(error_code::not_found, step::route,
                           "no route matches this path of service '" + call.service.value + "'"));
  }
  const auto& teams = route->teams;
  const bool listed = !team.empty() && std::find(teams.begin(), teams.end(), team) != teams.end();
  if (!listed && !route->open_to_all && enabled(mechanism::team_check)) {
    return fail(access_denied(team, call.service.value));
  }
  return route;
}

// Request headers of plain services that are forwarded; all others are dropped.
constexpr std::array<std::string_view, 4> service_request_headers{
    "content-type", "accept", "accept-language", "idempotency-key"};
constexpr std::array<std::string_view, 5> service_response_headers{
    "content-type", "content-language", "cache-control", "etag", "location"};

template <std::size_t N>
bool
is_listed(const std::array<std::string_view, N>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

int
engine_priority(request_class priority) {
  return 2 - static_cast<int>(priority);
}

} // namespace

result<void>
check_key(const std::string& secret_sha256, const config_snapshot& config) {
  const named_key* key = config.key(secret_sha256);
  if (key == nullptr) {
    return fail(
        make_error(error_code::unauthenticated, step::authenticate, "the API key is unknown"));
  }
  if (key->spec.withdrawn) {
    return fail(make_error(error_code::key_withdrawn, step::authenticate, "the key was withdrawn"));
  }
  if (key->spec.role != key_role::caller) {
    return fail(make_error(error_code::permission_denied, step::authenticate,
                           "an operator's key is not valid here"));
  }
  return {};
}

result<access_grant>
authorize(const request_arrived& it, const config_snapshot& config, const zone_id& zone,
          milliseconds config_age) {
  const auto team = authenticate(it, config, config_age);
  if (!team) {
    return fail(team.error());
  }
  access_grant granted;
  granted.team = *team;
  if (const team_spec* limits = config.team(*team); limits != nullptr) {
    granted.limits = *limits;
  }
  if (const auto* call = std::get_if<inference_call>(&it.call)) {
    if (auto ok = check_inference(*call, *team, config, zone); !ok) {
      return fail(ok.error());
    }
    granted.subject = call->model.value;
  } else if (const auto* service = std::get_if<service_call>(&it.call)) {
    const auto route = check_service(*service, *team, config);
    if (!route) {
      return fail(route.error());
    }
    granted.repeatable = (*route)->repeatable;
    granted.timeout = (*route)->timeout;
    granted.subject = service->service.value;
  }
  granted.cost_milli = expected_cost_milli(it.call, config);
  return granted;
}

std::uint64_t
expected_cost_milli(const caller_call& call, const config_snapshot& config) {
  const auto* it = std::get_if<inference_call>(&call);
  if (it == nullptr) {
    return service_cost_milli;
  }
  const model_spec* model = config.model(it->model);
  const model_spec weights = model != nullptr ? *model : model_spec{};
  return std::uint64_t{it->prompt_tokens} * weights.prompt_cost_milli +
         std::uint64_t{it->max_tokens} * weights.output_cost_milli;
}

std::string
sha256_hex(const std::string& text) {
  const QByteArray digest = QCryptographicHash::hash(
      QByteArrayView{text.data(), static_cast<qsizetype>(text.size())}, QCryptographicHash::Sha256);
  return digest.toHex().toStdString();
}

std::string
cache_salt(const team_id& team, const std::string& secret) {
  constexpr std::size_t salt_digits = 32;
  return sha256_hex("cache salt\n" + secret + "\n" + team.value).substr(0, salt_digits);
}

std::string
call_digest(const service_call& call, const shared_body& body) {
  return sha256_hex(call.method + "\n" + call.service.value + "\n" + call.path + "\n" +
                    (body ? *body : std::string{}));
}

std::vector<header_field>
upstream_headers(const request_arrived& it, const attempt_header_values& values) {
  const auto* service = std::get_if<service_call>(&it.call);
  std::vector<header_field> headers;
  if (service != nullptr) {
    for (const auto& field : service->headers) {
      if (is_listed(service_request_headers, field.name) ||
          !enabled(mechanism::header_allow_list)) {
        headers.push_back(field);
      }
    }
  } else {
    headers.push_back({"content-type", "application/json"});
    headers.push_back({"accept", "text/event-stream"});
    headers.push_back({"x-priority", std::to_string(engine_priority(it.priority))});
    headers.push_back({"x-cache-salt", values.salt});
    if (values.resume_from > 0) {
      headers.push_back({"x-resume-from", std::to_string(values.resume_from)});
    }
  }
  headers.push_back(
      {"x-request-id", values.instance.value + "-" + std::to_string(values.attempt.request.value)});
  headers.push_back({"x-attempt", std::to_string(values.attempt.number)});
  return headers;
}

std::vector<header_field>
caller_headers(const std::vector<header_field>& from_upstream) {
  std::vector<header_field> headers;
  for (const auto& field : from_upstream) {
    if (is_listed(service_response_headers, field.name)) {
      headers.push_back(field);
    }
  }
  return headers;
}

} // namespace nutmegspur
