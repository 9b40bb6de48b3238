/// \file ctl_output.h
/// What the operators' client prints: tables for people.
#pragma once

#include <QtCore/QJsonArray>
#include <QtCore/QJsonObject>

#include <string>
#include <vector>

namespace nutmegspur {

/// Rows of equal length, the first one the heads; each column as wide as its widest cell.
std::string format_table(const std::vector<std::vector<std::string>>& rows);

/// A table of resources: kind, name, revision, and the spec's fields.
std::string resource_table(const QJsonArray& resources);

/// Name and value of each field, a line each; nested objects with a dot between the names.
std::string field_list(const QJsonObject& object);

} // namespace nutmegspur
