#pragma once

#include "include/forwarding/ReverseProxy.h"

#include <string>

namespace arbutus::forwarding {

// Takes the requests that other entry VMs hand over, on an address of its own, and passes them
// to the proxy. Declines them while this VM cannot serve them.
class HandoverHandler final : public http1::RequestHandler {
public:
    // `key` is the key of the deployment.
    HandoverHandler(ReverseProxy& proxy, const HeaderCodec& headerCodec, std::string key)
        : proxy_(proxy)
        , headerCodec_(headerCodec)
        , key_(std::move(key))
    {
    }

private:
    std::shared_ptr<http1::ActiveRequest> onRequest(const std::shared_ptr<http1::ServerConnection>&, http1::Request) override;
    http1::ServerLimits onLimits() const override { return proxy_.limits(); }
    bool onIsStopping() const override { return proxy_.isStopping(); }
    // Logs, at a bounded rate, that a stranger has sent a request.
    void reportStranger(const base::Error&);

    ReverseProxy& proxy_;
    const HeaderCodec& headerCodec_;
    const std::string key_;
    // Since the last log line about them.
    std::size_t strangers_ = 0;
    base::TimePoint nextStrangerLogAt_;
};

} // namespace arbutus::forwarding
