#pragma once

#include "include/base/Error.h"

#include <cpprest/http_listener.h>

#include <functional>
#include <memory>
#include <string>

namespace arbutus::fakes {

// A plain HTTP server on one address, for the stand-ins of upstreams. It accepts bodies
// that are sent while they are processed, and limits nothing, so it is for trusted callers
// only. The handler runs on the library's thread pool and may keep the request to reply
// later.
class ListenerServer {
public:
    using Handler = std::function<void(web::http::http_request)>;

    // Binds `address` (an IP address) and `port`. Returns InvalidSetting if they cannot be
    // bound.
    static base::Result<std::unique_ptr<ListenerServer>> Make(const std::string& address, int port, Handler);

    ~ListenerServer();

    // Stops accepting connections. All requests must have been answered before.
    void close();

private:
    explicit ListenerServer(std::unique_ptr<web::http::experimental::listener::http_listener>);

    std::unique_ptr<web::http::experimental::listener::http_listener> listener_;
};

} // namespace arbutus::fakes
