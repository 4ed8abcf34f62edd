#include "include/http/ReplyTracker.h"

namespace arbutus::http {

void observeFailure(const pplx::task<void>& reply)
{
    reply.then([](pplx::task<void> task) {
        try {
            task.get();
        } catch (const std::exception&) {
            // The caller has disconnected.
        }
    });
}

pplx::task<bool> ReplyTracker::track(const pplx::task<void>& reply)
{
    ++*count_;
    return reply.then([count = count_](pplx::task<void> task) {
        bool wasWritten = true;
        try {
            task.get();
        } catch (const std::exception&) {
            wasWritten = false;
        }
        --*count;
        return wasWritten;
    });
}

} // namespace arbutus::http
