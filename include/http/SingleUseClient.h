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
    // The hybrid time that another process of the deployment sent along.
    std::string time;
};

// The connection was refused; no byte of the request left this process.
struct ConnectionRefused {
};
// The exchange broke off after it may have begun.
struct ExchangeInterrupted {
    std::string reason;
};
using ExchangeResult = std::variant<ExchangeResponse, ConnectionRefused, ExchangeInterrupted>;

// Sends `request` over a connection of its own and waits for the answer until
// `deadline` at the latest. A fresh connection is needed because cpprestsdk
// sends a request a second time, on its own account, when a reused connection
// closes before the answer.
ExchangeResult sendOnNewConnection(const std::string& url, web::http::http_request request, base::TimePoint deadline);

} // namespace arbutus::http
