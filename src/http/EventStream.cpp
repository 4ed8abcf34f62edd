#include "include/http/EventStream.h"

namespace arbutus::http {

// A caller that does not read costs at most this much memory.
static constexpr std::size_t maximumPendingBytes = std::size_t { 1 } << 20;

void EventStream::start(web::http::http_request request, std::function<void(bool)> onReplied)
{
    web::http::http_response response(web::http::status_codes::OK);
    response.set_body(body_.stream(), "text/event-stream");
    response.headers().add("Cache-Control", "no-store");
    request.reply(response).then([onReplied = std::move(onReplied)](pplx::task<void> task) {
        bool didReply = true;
        try {
            task.get();
        } catch (const std::exception&) {
            didReply = false;
        }
        onReplied(didReply);
    });
}

bool EventStream::send(const web::json::value& record)
{
    return body_.write("data: " + record.serialize() + "\n\n", maximumPendingBytes);
}

void EventStream::finish()
{
    body_.write("data: [DONE]\n\n", maximumPendingBytes * 2);
    body_.close();
}

void EventStream::cut() { body_.close(); }

} // namespace arbutus::http
