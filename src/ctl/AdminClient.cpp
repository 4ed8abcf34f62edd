#include "src/ctl/AdminClient.h"

#include "include/http/SingleUseClient.h"

namespace arbutus::ctl {

using base::ErrorKind;
using base::makeError;
using base::Result;
using web::json::value;

static constexpr std::chrono::seconds timeout(10);

static base::Error errorFromProblem(int status, const value& body)
{
    std::string detail = "status " + std::to_string(status);
    if (body.is_object() && body.has_string_field("kind")) {
        std::string kind = body.at("kind").as_string();
        detail = kind + ": " + (body.has_string_field("detail") ? body.at("detail").as_string() : "");
        for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
            if (base::errorRule(static_cast<ErrorKind>(i)).name == kind)
                return makeError(static_cast<ErrorKind>(i), detail);
        }
    }
    return makeError(ErrorKind::Internal, detail);
}

Result<value> AdminClient::get(const std::string& path) const { return exchange("GET", path, nullptr); }

Result<value> AdminClient::post(const std::string& path, const value& body) const { return exchange("POST", path, &body); }

Result<value> AdminClient::exchange(const std::string& method, const std::string& path, const value* body) const
{
    http::ExchangeRequest request { method, "/admin/v1/" + path, {}, body ? body->serialize() : std::string() };
    request.fields.add("Authorization", "Bearer " + token_);
    auto result = http::sendOnNewConnection(url_, request, std::chrono::steady_clock::now() + timeout);
    const auto* response = std::get_if<http::ExchangeResponse>(&result);
    if (const auto* refused = std::get_if<http::ConnectionRefused>(&result))
        return makeError(ErrorKind::NoUpstream, url_ + ": " + refused->reason);
    if (!response)
        return makeError(ErrorKind::NoUpstream, url_ + " did not respond");
    std::error_code error;
    auto parsed = value::parse(response->body, error);
    if (response->status != http::okStatus)
        return errorFromProblem(response->status, parsed);
    if (error)
        return makeError(ErrorKind::Internal, url_ + " returned a response that is not JSON");
    return parsed;
}

} // namespace arbutus::ctl
