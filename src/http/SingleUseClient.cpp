#include "include/http/SingleUseClient.h"

#include <chrono>
#include <cstring>
#include <system_error>

namespace arbutus::http {

using web::http::client::http_client;
using web::http::client::http_client_config;

// The library reports a refused connection with the same error code as a broken pipe
// during the header write. Only the message distinguishes them.
static bool isRefusedConnection(const web::http::http_exception& exception)
{
    return std::strstr(exception.what(), "Failed to connect to any resolved endpoint") != nullptr
        && exception.error_code() == std::errc::host_unreachable;
}

ExchangeResult sendOnNewConnection(const std::string& url, web::http::http_request request, base::TimePoint deadline)
{
    auto timeout = deadline - std::chrono::steady_clock::now();
    if (timeout <= std::chrono::nanoseconds(0))
        return ExchangeInterrupted { "the deadline has passed" };
    http_client_config config;
    config.set_timeout(std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    try {
        http_client client(url, config);
        request.headers().add("Connection", "close");
        auto response = client.request(request).get();
        ExchangeResponse result;
        result.status = response.status_code();
        result.contentType = response.headers().content_type();
        if (auto it = response.headers().find("X-Arbutus-Time"); it != response.headers().end())
            result.time = it->second;
        auto bytes = response.extract_vector().get();
        result.body.assign(bytes.begin(), bytes.end());
        return result;
    } catch (const web::http::http_exception& exception) {
        if (isRefusedConnection(exception))
            return ConnectionRefused {};
        return ExchangeInterrupted { exception.what() };
    } catch (const std::exception& exception) {
        return ExchangeInterrupted { exception.what() };
    }
}

} // namespace arbutus::http
