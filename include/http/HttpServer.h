#pragma once

#include "include/base/Error.h"

#include <cpprest/http_listener.h>

#include <functional>
#include <memory>
#include <string>

namespace arbutus::http {

// PEM files with the certificate chain and private key of a listener. The server uses
// plain HTTP if both are empty.
struct TlsFiles {
    std::string certificateFile;
    std::string keyFile;
};

// An HTTP or HTTPS server on one address. The handler runs on the library's thread
// pool and may keep the request to reply later.
class HttpServer {
public:
    using Handler = std::function<void(web::http::http_request)>;

    // Binds `address` (an IP address) and `port`. Returns InvalidSetting if the address
    // cannot be bound or a TLS file cannot be read.
    static base::Result<std::unique_ptr<HttpServer>> Make(const std::string& address, int port, const TlsFiles&, Handler);

    ~HttpServer();

    // Stops accepting connections. All requests must have been answered before.
    void close();

private:
    explicit HttpServer(std::unique_ptr<web::http::experimental::listener::http_listener>);

    std::unique_ptr<web::http::experimental::listener::http_listener> listener_;
};

} // namespace arbutus::http
