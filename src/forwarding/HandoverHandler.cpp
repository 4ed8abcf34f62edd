#include "include/forwarding/HandoverHandler.h"

#include "include/base/Logger.h"
#include "include/forwarding/HandoverMark.h"

#include <utility>

namespace arbutus::forwarding {

static constexpr base::Logger logger("gate");

static constexpr std::chrono::seconds strangerLogInterval(1);

std::shared_ptr<http1::ActiveRequest> HandoverHandler::onRequest(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request request)
{
    auto mark = decodeHandoverMark(key_, request.head, headerCodec_.readRequest(request.head).requestId);
    if (!mark) {
        reportStranger(mark.error());
        connection->send(problemResponse(mark.error(), std::nullopt));
        return nullptr;
    }
    if (!proxy_.acceptsHandovers()) {
        auto response = problemResponse(base::makeError(base::ErrorKind::NoUpstream, "this VM takes no requests of others now"), std::nullopt);
        response.fields.add(HandoverMark::fieldName, HandoverMark::declined);
        connection->send(response);
        return nullptr;
    }
    return proxy_.takeHandover(connection, std::move(request), mark.value());
}

void HandoverHandler::reportStranger(const base::Error& error)
{
    ++strangers_;
    auto now = base::TimePoint(std::chrono::steady_clock::now());
    if (now < nextStrangerLogAt_)
        return;
    nextStrangerLogAt_ = now + strangerLogInterval;
    logger.warning("Rejected requests that no entry VM of this deployment has handed over.", { { "count", std::exchange(strangers_, 0) }, { "reason", error.detail } });
}

} // namespace arbutus::forwarding
