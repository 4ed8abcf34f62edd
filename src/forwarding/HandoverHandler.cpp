#include "include/forwarding/HandoverHandler.h"

#include "include/base/Logger.h"
#include "include/forwarding/HandoverMark.h"

namespace arbutus::forwarding {

static constexpr base::Logger logger("gate");

std::shared_ptr<http1::ActiveRequest> HandoverHandler::onRequest(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request request)
{
    auto mark = decodeHandoverMark(key_, request.head, headerCodec_.readRequest(request.head).requestId);
    if (!mark) {
        logger.warning("Rejected a request that no entry VM of this deployment has handed over.", { { "reason", mark.error().detail } });
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

} // namespace arbutus::forwarding
