#pragma once

#include "include/base/Timeline.h"
#include "include/rpc/JsonRpc.h"

#include <cpprest/json.h>

namespace arbutus::http {

web::json::value toJson(const rpc::Parameters&);

// Converts members that are not strings to their JSON text. Throws
// web::json::json_exception if the value is not an object.
rpc::Parameters parametersFromJson(const web::json::value&);

web::json::value toJson(const base::Event&);
// Throws web::json::json_exception if the value is not an event.
base::Event eventFromJson(const web::json::value&);

} // namespace arbutus::http
