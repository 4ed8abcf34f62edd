#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"

#include <cpprest/http_msg.h>

#include <string>

namespace arbutus::http {

// Returns the body of application/problem+json for `error`: type, title, status,
// kind, detail, notRun, mayResend and the request's id.
web::json::value problemBody(const base::Error& error, const std::string& requestId);

// Returns the whole response, with Retry-After in whole seconds (rounded up)
// where a wait helps.
web::http::http_response problemResponse(const base::Error& error, const std::string& requestId, base::TimePoint now);

} // namespace arbutus::http
