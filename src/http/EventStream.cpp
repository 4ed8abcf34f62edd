#include "include/http/EventStream.h"

namespace arbutus::http {

// Limits the memory used for a caller that does not read.
static constexpr std::size_t maxPendingBytes = std::size_t { 1 } << 20;

pplx::task<void> EventStream::start(const ServerRequest& request)
{
    web::http::http_response response(web::http::status_codes::OK);
    response.set_body(body_.stream(), "text/event-stream");
    response.headers().add("Cache-Control", "no-store");
    return request.reply(response);
}

bool EventStream::send(const web::json::value& record)
{
    return body_.write("data: " + record.serialize() + "\n\n", maxPendingBytes);
}

void EventStream::finish()
{
    body_.write("data: [DONE]\n\n", maxPendingBytes * 2);
    body_.close();
}

void EventStream::abort() { body_.close(); }

} // namespace arbutus::http
