/// \file operator_call.h
/// Parses calls of the operators' API and writes response bodies, without I/O.
#pragma once

#include <nutmegspur/decision.h>

#include <QtCore/QByteArray>
#include <QtCore/QString>
#include <QtCore/QUrlQuery>

#include <string>

namespace nutmegspur::operators {

/// An HTTP request to the operators' API.
struct operator_call {
  std::string method; ///< Upper case.
  QString path;
  QUrlQuery query;
  QByteArray authorization;
  QByteArray if_match;
  QByteArray if_none_match;
  QByteArray body;
};

/// A parsed call.
struct parsed_operator_call {
  resource_request request; ///< Without the request id.
  std::string new_secret;   ///< Secret of a key to be issued; shown only once, in the response.
};

/// Generates the secret of a new key with the system's random number generator.
std::string generate_secret();

/// SHA-256 as lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// Parses and validates the call. Error messages name the invalid part.
result<parsed_operator_call> parse_call(const operator_call& it);

/// The JSON body of an error response.
QByteArray error_body(const error& ec, request_id request);

/// The response to an issued key, with its secret inserted.
std::string with_secret(const std::string& json, const std::string& secret);

/// The revision of the resource in `json` as an entity tag; empty if `json` is no single resource.
QByteArray entity_tag(const std::string& json);

} // namespace nutmegspur::operators
