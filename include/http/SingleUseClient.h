#pragma once

#include "include/base/Time.h"

#include <cpprest/http_client.h>

#include <string>
#include <variant>

namespace arbutus::http {

struct ExchangeResponse {
    int status = 0;
    std::string contentType;
    std::string body;
    // Hybrid time sent by another process of the deployment; empty if there is none.
    std::string time;
};

// The connection was refused. No byte of the request left this process.
struct ConnectionRefused {
};
// The exchange failed. The peer may or may not have executed the request.
struct ExchangeInterrupted {
    std::string reason;
};
using ExchangeResult = std::variant<ExchangeResponse, ConnectionRefused, ExchangeInterrupted>;

// Sends `request` on a new connection and blocks until the response has arrived or
// `deadline` passes. Connections are not reused because cpprestsdk silently resends a
// request when a reused connection closes before the response.
ExchangeResult sendOnNewConnection(const std::string& url, web::http::http_request request, base::TimePoint deadline);

} // namespace arbutus::http
