#pragma once

#include "include/rpc/JsonRpc.h"

#include <jsonrpccpp/common/jsonparser.h>

namespace arbutus {
namespace rpc {

Json::Value toJson(const Parameters& parameters);

// Members that are not strings are left out.
Parameters fromJson(const Json::Value& value);

} // namespace rpc
} // namespace arbutus
