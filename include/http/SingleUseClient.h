#pragma once

#include "include/base/Time.h"
#include "include/http1/Message.h"

#include <string>
#include <variant>

namespace arbutus::http {

// The status of a response with all that was asked for.
constexpr int okStatus = 200;

struct ExchangeRequest {
    std::string method = "GET";
    // The path and the query, as they are sent.
    std::string target = "/";
    // Besides those that the framing and the content type need.
    http1::Fields fields;
    std::string body;
    // Of the body.
    std::string contentType = "application/json";
};

struct ExchangeResponse {
    // From 200 to 599.
    int status = 0;
    std::string contentType;
    std::string body;
    // Hybrid time sent by another process of the deployment; empty if there is none.
    std::string time;
};

// No connection was established, or the URL or the request is invalid. No byte of the request
// left this process.
struct ConnectionRefused {
    std::string reason;
};
// The exchange failed, or the response is malformed. The peer may or may not have executed the
// request.
struct ExchangeInterrupted {
    std::string reason;
};
using ExchangeResult = std::variant<ExchangeResponse, ConnectionRefused, ExchangeInterrupted>;

// Sends `request` to the host of `url` (http or https) on a new connection and blocks until the
// response has arrived or `deadline` passes. The request is sent once at most.
ExchangeResult sendOnNewConnection(const std::string& url, const ExchangeRequest& request, base::TimePoint deadline);

} // namespace arbutus::http
