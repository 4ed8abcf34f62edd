#pragma once

#include "include/base/Error.h"
#include "include/base/Timeline.h"

#include <cpprest/http_msg.h>

#include <functional>
#include <map>
#include <string>

namespace arbutus::http {

// What every process serves to operators and to the platform: health, metrics
// and, behind the operators' token, the time line and the process's own pages.
class AdminServer {
public:
    using EndpointHandler = std::function<void(web::http::http_request)>;
    struct Probes {
        // An empty text stands for ready; otherwise the reason.
        std::function<std::string()> notReadyReason;
        // The metrics in Prometheus text format.
        std::function<std::string()> metrics;
    };

    AdminServer(base::Timeline&, std::string adminToken, Probes);

    // Adds a page below /admin/v1/; `path` may end in a slash, which makes it a prefix.
    void addEndpoint(const std::string& method, const std::string& path, EndpointHandler);

    // Returns false, leaving the request alone, when the path is not one of its own.
    bool handle(const web::http::http_request&);

private:
    bool isAuthorized(const web::http::http_request&) const;
    void handleTimeline(const web::http::http_request&);

    base::Timeline& timeline_;
    const std::string adminToken_;
    const Probes probes_;
    // By method and path.
    std::map<std::pair<std::string, std::string>, EndpointHandler> endpoints_;
};

} // namespace arbutus::http
