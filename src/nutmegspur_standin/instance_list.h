/// \file instance_list.h
/// The instance list of the platform stand-in, in the published EndpointSliceList form.
#pragma once

#include <QtCore/QByteArray>
#include <QtCore/QJsonObject>

namespace nutmegspur::standin {

/// Reads `[{"name","kind","zone","region","address","port","service","leaving"}]` and gives the
/// list as `GET /apis/discovery.k8s.io/v1/endpointslices` shows it: one slice for each instance.
QJsonObject endpoint_slices(const QByteArray& instances);

} // namespace nutmegspur::standin
