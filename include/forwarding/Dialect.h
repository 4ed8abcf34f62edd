#pragma once

#include "include/http1/Message.h"
#include "include/routing/LayerPathSelector.h"

#include <chrono>
#include <optional>
#include <string>

namespace arbutus::forwarding {

// What the forwarding reads from a caller's request besides method and path.
struct RequestMetadata {
    std::string requestId;
    std::string host;
    std::optional<std::string> apiKey;
    // How long the caller waits.
    std::optional<std::chrono::milliseconds> callerTimeout;
    std::optional<routing::StreamSize> size;
    std::optional<std::string> lastEventId;
};

// What an upstream's response says besides its status.
struct ResponseMetadata {
    std::optional<std::string> requestId;
    bool isSigned = false;
    // The upstream states that the request has not run and will not.
    bool isNotRun = false;
    // The body is not the upstream's own bytes.
    bool isEncoded = false;
    // The address of the engine at fault, where the response names one.
    std::optional<std::string> faultyEngineAddress;
    std::optional<std::chrono::seconds> keepAlive;
};

// What the forwarding adds to a request that it sends to an upstream.
struct UpstreamCall {
    std::chrono::milliseconds remainingTime { 0 };
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

    RequestMetadata readRequest(const http1::RequestHead& head) const { return onReadRequest(head); }
    ResponseMetadata readResponse(const http1::ResponseHead& head) const { return onReadResponse(head); }
    // Whether a caller's field is left out because the call sets it itself.
    bool isManagedField(std::string_view name) const { return onIsManagedField(name); }
    void appendCallFields(std::string& head, const UpstreamCall& call) const { onAppendCallFields(head, call); }

private:
    virtual RequestMetadata onReadRequest(const http1::RequestHead&) const = 0;
    virtual ResponseMetadata onReadResponse(const http1::ResponseHead&) const = 0;
    virtual bool onIsManagedField(std::string_view name) const = 0;
    virtual void onAppendCallFields(std::string& head, const UpstreamCall&) const = 0;
};

} // namespace arbutus::forwarding
