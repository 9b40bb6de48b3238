/// \file ctl_output.h
/// Human-readable output of the operators' client.
#pragma once

#include <QtCore/QJsonArray>
#include <QtCore/QJsonObject>

#include <string>
#include <vector>

namespace nutmegspur {

/// Formats rows as a table, the column headings first; each column is as wide as its widest cell.
std::string format_table(const std::vector<std::vector<std::string>>& rows);

/// Table of resources: kind, name, revision and the fields of the spec.
std::string resource_table(const QJsonArray& resources);

/// One line `name: value` for each field; names of nested fields are joined with dots.
std::string field_list(const QJsonObject& object);

} // namespace nutmegspur
