#pragma once

#include "include/rpc/JsonRpc.h"

#include <jsonrpccpp/common/jsonparser.h>

namespace arbutus {
namespace rpc {

Json::Value toJson(const Parameters& parameters);

// Ignores members whose value is not a string. Returns an empty map if `value` is not an object.
Parameters fromJson(const Json::Value& value);

} // namespace rpc
} // namespace arbutus
