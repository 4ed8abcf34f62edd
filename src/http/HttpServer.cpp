#include "include/http/HttpServer.h"

#include <boost/asio/ssl.hpp>
#include <fmt/format.h>

namespace arbutus::http {

using base::ErrorKind;
using base::makeError;
using base::Result;
using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

static http_listener_config tlsConfig(const TlsFiles& tls)
{
    http_listener_config config;
    config.set_ssl_context_callback([tls](boost::asio::ssl::context& context) {
        context.set_options(boost::asio::ssl::context::default_workarounds | boost::asio::ssl::context::no_sslv2
            | boost::asio::ssl::context::no_sslv3 | boost::asio::ssl::context::no_tlsv1 | boost::asio::ssl::context::no_tlsv1_1);
        context.use_certificate_chain_file(tls.certificateFile);
        context.use_private_key_file(tls.keyFile, boost::asio::ssl::context::pem);
    });
    return config;
}

// The library reads the files only when a client connects. Reading them here makes a
// bad file fail at startup.
static Result<void> checkTlsFiles(const TlsFiles& tls)
{
    try {
        boost::asio::ssl::context context(boost::asio::ssl::context::tls_server);
        context.use_certificate_chain_file(tls.certificateFile);
        context.use_private_key_file(tls.keyFile, boost::asio::ssl::context::pem);
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::InvalidSetting, fmt::format("the TLS certificate or key cannot be used: {}", exception.what()));
    }
    return base::outcome::success();
}

HttpServer::HttpServer(std::unique_ptr<http_listener> listener)
    : listener_(std::move(listener))
{
}

Result<std::unique_ptr<HttpServer>> HttpServer::Make(const std::string& address, int port, const TlsFiles& tls, Handler handler)
{
    bool usesTls = !tls.certificateFile.empty() || !tls.keyFile.empty();
    if (usesTls) {
        if (auto checked = checkTlsFiles(tls); !checked)
            return checked.error();
    }
    try {
        web::uri uri(fmt::format("{}://{}:{}/", usesTls ? "https" : "http", address, port));
        auto listener = std::make_unique<http_listener>(uri, usesTls ? tlsConfig(tls) : http_listener_config());
        listener->support([handler = std::move(handler)](web::http::http_request request) { handler(request); });
        listener->open().wait();
        return std::unique_ptr<HttpServer>(new HttpServer(std::move(listener)));
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::InvalidSetting, fmt::format("{}:{} cannot be bound: {}", address, port, exception.what()));
    }
}

void HttpServer::close()
{
    if (!listener_)
        return;
    try {
        listener_->close().wait();
    } catch (const std::exception&) {
        // The listener is destroyed in any case.
    }
    listener_.reset();
}

HttpServer::~HttpServer() { close(); }

} // namespace arbutus::http
