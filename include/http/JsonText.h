#pragma once

#include "include/base/Timeline.h"
#include "include/rpc/JsonRpc.h"

#include <cpprest/json.h>

namespace arbutus::http {

web::json::value toJson(const rpc::Parameters&);

// Members that are not strings are taken by their JSON text. Throws
// web::json::json_exception for a value that is not an object.
rpc::Parameters parametersFromJson(const web::json::value&);

web::json::value toJson(const base::Event&);
// Fails by web::json::json_exception for an object that is not an event.
base::Event eventFromJson(const web::json::value&);

} // namespace arbutus::http
