#pragma once

#include "include/base/Error.h"

#include <cpprest/http_listener.h>

#include <functional>
#include <memory>
#include <string>

namespace arbutus::http {

// Certificate chain and private key of a listener, both PEM files. Both empty: plain HTTP.
struct TlsFiles {
    std::string certificateFile;
    std::string keyFile;
};

// A listener on one address. Handlers run on the library's thread pool and may
// keep the request to answer it later.
class HttpServer {
public:
    using Handler = std::function<void(web::http::http_request)>;

    // Binds `address` (an IP number) and `port`. Fails with InvalidSetting when
    // the address cannot be bound or a TLS file cannot be read.
    static base::Result<std::unique_ptr<HttpServer>> Make(const std::string& address, int port, const TlsFiles&, Handler);

    ~HttpServer();

    // Takes no more connections. Requests that are being answered must be done before.
    void close();

private:
    explicit HttpServer(std::unique_ptr<web::http::experimental::listener::http_listener>);

    std::unique_ptr<web::http::experimental::listener::http_listener> listener_;
};

} // namespace arbutus::http
