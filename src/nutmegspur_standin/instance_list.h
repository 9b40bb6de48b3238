/// \file instance_list.h
/// Instance list of the platform stand-in as a Kubernetes EndpointSliceList.
#pragma once

#include <QtCore/QByteArray>
#include <QtCore/QJsonObject>

namespace nutmegspur::standin {

/// Parses `[{"name","kind","zone","region","address","port","service","leaving"}]` and returns the
/// list as `GET /apis/discovery.k8s.io/v1/endpointslices` does: one slice for each instance.
QJsonObject endpoint_slices(const QByteArray& instances);

} // namespace nutmegspur::standin
