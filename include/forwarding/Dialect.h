#pragma once

#include "include/http1/Message.h"
#include "include/routing/LayerPathSelector.h"

#include <chrono>
#include <optional>
#include <string>

namespace arbutus::forwarding {

// What the forwarding reads from a caller's request besides method and path.
struct RequestFacts {
    std::string requestId;
    std::string host;
    std::optional<std::string> key;
    // How long the caller waits.
    std::optional<std::chrono::milliseconds> patience;
    std::optional<routing::StreamSize> size;
    std::optional<std::string> lastEventId;
};

// What an upstream's response says besides its status.
struct ResponseFacts {
    std::optional<std::string> requestId;
    bool isSigned = false;
    // The upstream states that the request has not run and will not.
    bool isNotRun = false;
    // The body is not the upstream's own bytes.
    bool isEncoded = false;
    // The address of the engine at fault, where the response names one.
    std::optional<std::string> faultyAddress;
    std::optional<std::chrono::seconds> keepAlive;
};

// What the forwarding adds to a request that it sends to an upstream.
struct UpstreamCall {
    std::chrono::milliseconds timeLeft { 0 };
    std::string expectedUpstream;
    std::optional<std::string> team;
    // Empty for a plain service.
    routing::LayerPath path;
    // Set where a stream goes on behind the events that the caller has.
    std::optional<std::string> lastEventId;
};

// The names and formats of the header fields, which differ between platforms.
class Dialect {
public:
    virtual ~Dialect() = default;

    RequestFacts readRequest(const http1::RequestHead& head) const { return onReadRequest(head); }
    ResponseFacts readResponse(const http1::ResponseHead& head) const { return onReadResponse(head); }
    // Whether a caller's field is left out because the call sets it itself.
    bool isOwnField(std::string_view name) const { return onIsOwnField(name); }
    void appendCall(std::string& head, const UpstreamCall& call) const { onAppendCall(head, call); }

private:
    virtual RequestFacts onReadRequest(const http1::RequestHead&) const = 0;
    virtual ResponseFacts onReadResponse(const http1::ResponseHead&) const = 0;
    virtual bool onIsOwnField(std::string_view name) const = 0;
    virtual void onAppendCall(std::string& head, const UpstreamCall&) const = 0;
};

} // namespace arbutus::forwarding
