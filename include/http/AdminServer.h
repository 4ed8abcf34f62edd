#pragma once

#include "include/base/Error.h"
#include "include/base/Timeline.h"
#include "include/http/ServerRequest.h"

#include <functional>
#include <map>
#include <string>

namespace arbutus::http {

// Serves health checks and metrics without authentication and, protected by the
// operators' token, the timeline and the endpoints that the process adds.
class AdminServer {
public:
    using EndpointHandler = std::function<void(ServerRequest)>;
    struct Probes {
        // Returns an empty string if the process is ready, otherwise the reason why not.
        std::function<std::string()> notReadyReason;
        // Returns the metrics in Prometheus text format.
        std::function<std::string()> metrics;
    };

    AdminServer(base::Timeline&, std::string adminToken, Probes);

    // Adds an endpoint below /admin/v1/. A `path` that ends in a slash matches as a
    // prefix.
    void addEndpoint(const std::string& method, const std::string& path, EndpointHandler);

    // Returns false and leaves the request unanswered if this server does not serve its
    // path.
    bool handle(const ServerRequest&);

private:
    bool isAuthorized(const ServerRequest&) const;
    void handleTimeline(const ServerRequest&);

    base::Timeline& timeline_;
    const std::string adminToken_;
    const Probes probes_;
    // Handlers by method and path.
    std::map<std::pair<std::string, std::string>, EndpointHandler> endpoints_;
};

} // namespace arbutus::http
