#pragma once

#include <cpprest/http_msg.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace arbutus::http {

// A complete request of a caller. Copies refer to the same request, which may be kept to
// reply later. A request that is dropped without a reply is answered with status 500.
// Thread-safe but for releaseBody().
class ServerRequest {
public:
    // Sends a response. The returned task completes once it is written and throws if the
    // caller has disconnected before.
    using Responder = std::function<pplx::task<void>(const web::http::http_response&)>;

    ServerRequest(std::string method, web::uri, web::http::http_headers, std::string body, Responder);

    const std::string& method() const { return content_->method; }
    const web::uri& uri() const { return content_->uri; }
    const web::http::http_headers& headers() const { return content_->headers; }
    // Returns the body and forgets it; may be called once.
    std::string releaseBody() const { return std::move(content_->body); }

    // Only the first reply is sent; later ones fail.
    pplx::task<void> reply(const web::http::http_response&) const;
    pplx::task<void> reply(web::http::status_code, const web::json::value&) const;
    pplx::task<void> reply(web::http::status_code, const std::string& text, const std::string& contentType = "text/plain; charset=utf-8") const;

private:
    struct Content {
        Content(std::string method, web::uri, web::http::http_headers, std::string body, Responder);
        Content(const Content&) = delete;
        Content& operator=(const Content&) = delete;
        ~Content();

        pplx::task<void> respond(const web::http::http_response&);

        const std::string method;
        const web::uri uri;
        const web::http::http_headers headers;
        std::string body;
        const Responder responder;
        std::atomic<bool> isAnswered { false };
    };

    std::shared_ptr<Content> content_;
};

} // namespace arbutus::http
