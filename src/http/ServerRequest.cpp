#include "include/http/ServerRequest.h"

#include "include/http/ReplyTracker.h"

#include <stdexcept>

namespace arbutus::http {

using web::http::http_response;

ServerRequest::Content::Content(std::string requestMethod, web::uri requestUri, web::http::http_headers requestHeaders, std::string requestBody, Responder requestResponder)
    : method(std::move(requestMethod))
    , uri(std::move(requestUri))
    , headers(std::move(requestHeaders))
    , body(std::move(requestBody))
    , responder(std::move(requestResponder))
{
}

ServerRequest::Content::~Content()
{
    if (!isAnswered)
        respond(http_response(web::http::status_codes::InternalError));
}

pplx::task<void> ServerRequest::Content::respond(const http_response& response)
{
    if (isAnswered.exchange(true))
        return pplx::task_from_exception<void>(std::logic_error("the request has been answered already"));
    auto written = responder(response);
    observeFailure(written);
    return written;
}

ServerRequest::ServerRequest(std::string method, web::uri uri, web::http::http_headers headers, std::string body, Responder responder)
    : content_(std::make_shared<Content>(std::move(method), std::move(uri), std::move(headers), std::move(body), std::move(responder)))
{
}

pplx::task<void> ServerRequest::reply(const http_response& response) const { return content_->respond(response); }

pplx::task<void> ServerRequest::reply(web::http::status_code status, const web::json::value& body) const
{
    http_response response(status);
    response.set_body(body);
    return reply(response);
}

pplx::task<void> ServerRequest::reply(web::http::status_code status, const std::string& text, const std::string& contentType) const
{
    http_response response(status);
    response.set_body(text, contentType);
    return reply(response);
}

} // namespace arbutus::http
