#include "include/http/Problem.h"

#include <algorithm>
#include <array>

namespace arbutus::http {

using base::ExecutionStatus;

static web::json::value notRunValue(ExecutionStatus statement)
{
    if (statement == ExecutionStatus::Unknown)
        return web::json::value::string("unknown");
    return web::json::value::boolean(statement == ExecutionStatus::NotRun);
}

web::json::value problemBody(const base::Error& error, const std::string& requestId)
{
    const auto& rule = base::errorRule(error.kind);
    web::json::value body = web::json::value::object();
    body["type"] = web::json::value::string("urn:arbutus:problem:" + std::string(rule.name));
    body["title"] = web::json::value::string(std::string(rule.title));
    body["status"] = web::json::value::number(rule.httpStatus);
    body["kind"] = web::json::value::string(std::string(rule.name));
    body["detail"] = web::json::value::string(error.detail);
    body["notRun"] = notRunValue(rule.executionStatus);
    body["mayResend"] = web::json::value::boolean(rule.mayResend);
    body["request"] = web::json::value::string(requestId);
    return body;
}

// Returns true for errors that usually resolve within about a second: during an
// election, before an engine's announcement or a configuration poll, or while an order
// is running.
static bool isTransient(base::ErrorKind kind)
{
    using base::ErrorKind;
    static constexpr std::array kinds { ErrorKind::NoUpstream, ErrorKind::NoQuorum, ErrorKind::ClaimUnconfirmed, ErrorKind::CommandUnconfirmed, ErrorKind::StaleConfiguration, ErrorKind::ShuttingDown, ErrorKind::OrderInProgress };
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

web::http::http_response problemResponse(const base::Error& error, const std::string& requestId, base::TimePoint now)
{
    web::http::http_response response(static_cast<web::http::status_code>(base::errorRule(error.kind).httpStatus));
    response.set_body(problemBody(error, requestId).serialize(), "application/problem+json");
    if (error.retryAt) {
        auto wait = std::chrono::ceil<std::chrono::seconds>(*error.retryAt - now);
        response.headers().add("Retry-After", std::to_string(std::max<std::int64_t>(wait.count(), 1)));
    } else if (isTransient(error.kind))
        response.headers().add("Retry-After", "1");
    return response;
}

} // namespace arbutus::http
