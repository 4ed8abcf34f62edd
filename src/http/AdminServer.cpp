#include "include/http/AdminServer.h"

#include "include/base/Digest.h"
#include "include/http/JsonText.h"
#include "include/http/Problem.h"

namespace arbutus::http {

using base::ErrorKind;
using base::makeError;
using web::http::status_codes;
using web::json::value;

static const std::string adminPrefix = "/admin/v1/";

AdminServer::AdminServer(base::Timeline& timeline, std::string adminToken, Probes probes)
    : timeline_(timeline)
    , adminToken_(std::move(adminToken))
    , probes_(std::move(probes))
{
    addEndpoint("GET", "timeline", [this](const ServerRequest& request) { handleTimeline(request); });
}

void AdminServer::addEndpoint(const std::string& method, const std::string& path, EndpointHandler handler)
{
    endpoints_[{ method, adminPrefix + path }] = std::move(handler);
}

bool AdminServer::isAuthorized(const ServerRequest& request) const
{
    auto it = request.headers().find("Authorization");
    return it != request.headers().end() && base::isEqualConstantTime(it->second, "Bearer " + adminToken_);
}

bool AdminServer::handle(const ServerRequest& request)
{
    std::string path = request.uri().path();
    if (path == "/healthz") {
        request.reply(status_codes::OK, "alive\n");
        return true;
    }
    if (path == "/readyz") {
        std::string reason = probes_.notReadyReason();
        if (reason.empty())
            request.reply(status_codes::OK, "ready\n");
        else
            request.reply(status_codes::ServiceUnavailable, reason + "\n");
        return true;
    }
    if (path == "/metrics") {
        request.reply(status_codes::OK, probes_.metrics(), "text/plain; version=0.0.4");
        return true;
    }
    if (path.compare(0, adminPrefix.size(), adminPrefix) != 0)
        return false;
    if (!isAuthorized(request)) {
        request.reply(problemResponse(makeError(ErrorKind::Unauthorized, "the operators' token is missing or wrong"), "", {}));
        return true;
    }
    for (const auto& [key, handler] : endpoints_) {
        const auto& [method, endpointPath] = key;
        bool isPrefix = endpointPath.back() == '/';
        bool matches = isPrefix ? path.compare(0, endpointPath.size(), endpointPath) == 0 : path == endpointPath;
        if (matches && request.method() == method) {
            handler(request);
            return true;
        }
    }
    request.reply(problemResponse(makeError(ErrorKind::NotFound, "there is no endpoint " + path), "", {}));
    return true;
}

void AdminServer::handleTimeline(const ServerRequest& request)
{
    auto query = web::uri::split_query(request.uri().query());
    auto events = timeline_.events(web::uri::decode(query["field"]), web::uri::decode(query["value"]));
    std::vector<value> list;
    list.reserve(events.size());
    for (const auto& event : events)
        list.push_back(toJson(event));
    value body = value::object();
    body["events"] = value::array(list);
    body["dropped"] = value::number(timeline_.droppedCount());
    request.reply(status_codes::OK, body);
}

} // namespace arbutus::http
