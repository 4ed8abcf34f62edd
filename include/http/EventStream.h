#pragma once

#include "include/http/BodyWriter.h"
#include "include/http/ServerRequest.h"

#include <string>

namespace arbutus::http {

// A response sent as server-sent events. The event `[DONE]` marks a complete response;
// a stream that ends without it was aborted.
class EventStream {
public:
    // Starts the response to `request`. The returned task completes once the whole
    // response is written and throws if the caller disconnected before that.
    pplx::task<void> start(const ServerRequest&);

    // Returns false if the caller has disconnected or reads too slowly: at most 1 MiB
    // may be pending.
    bool send(const web::json::value& record);

    // Sends `[DONE]` and ends the response.
    void finish();

    // Ends the response without `[DONE]`.
    void abort();

private:
    BodyWriter body_;
};

} // namespace arbutus::http
