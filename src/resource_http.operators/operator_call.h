/// \file operator_call.h
/// Reads a call of the operators' API and writes its answers' bodies, apart from any socket.
#pragma once

#include <nutmegspur/decision.h>

#include <QtCore/QByteArray>
#include <QtCore/QString>
#include <QtCore/QUrlQuery>

#include <string>

namespace nutmegspur::operators {

/// What came over HTTP.
struct operator_call {
  std::string method; ///< In capitals.
  QString path;
  QUrlQuery query;
  QByteArray authorization;
  QByteArray if_match;
  QByteArray if_none_match;
  QByteArray body;
};

/// A call, ready for the core.
struct operator_call_read {
  resource_request request; ///< Without its id.
  std::string new_secret;   ///< For a key to be issued; shown once, in the answer.
};

/// Draws a new key's secret from the system's generator.
std::string draw_secret();

/// SHA-256 as lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// Reads the call. Errors say what is wrong with which part.
result<operator_call_read> read_call(const operator_call& it);

/// The body of an error.
QByteArray error_body(const error& ec, request_id request);

/// The answer to an issued key, with its secret.
std::string with_secret(const std::string& json, const std::string& secret);

/// The revision of the one resource in `json`, as an entity tag; empty if there is none.
QByteArray entity_tag(const std::string& json);

} // namespace nutmegspur::operators
