#pragma once

#include "include/http/BodyWriter.h"

#include <cpprest/http_msg.h>

#include <string>

namespace arbutus::http {

// An answer as server-sent events. The caller knows it is whole by the record
// `[DONE]`; a connection that ends without it was cut.
class EventStream {
public:
    // Starts the response to `request`. The task ends when the response has been
    // written, and throws if the caller went away before.
    pplx::task<void> start(web::http::http_request request);

    // Returns false when the caller is gone or does not read fast enough: at most
    // 1 MiB waits for it.
    bool send(const web::json::value& record);

    // Sends `[DONE]` and ends the response.
    void finish();

    // Ends the response without `[DONE]`.
    void abort();

private:
    BodyWriter body_;
};

} // namespace arbutus::http
