#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"

#include <cpprest/http_msg.h>

#include <string>

namespace arbutus::http {

// Returns the application/problem+json body for `error`: type, title, status, kind,
// detail, notRun, mayResend and the request id.
web::json::value problemBody(const base::Error& error, const std::string& requestId);

// Returns the complete response for `error`. Adds Retry-After, in seconds rounded up,
// if a later retry may succeed.
web::http::http_response problemResponse(const base::Error& error, const std::string& requestId, base::TimePoint now);

} // namespace arbutus::http
