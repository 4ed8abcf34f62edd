#pragma once

#include "include/http1/Message.h"
#include "include/routing/LayerPathSelector.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::forwarding {

// Request metadata that the proxy reads from a caller's header fields.
struct RequestMetadata {
    std::string requestId;
    std::string host;
    std::optional<std::string> apiKey;
    // How long the caller waits for the response.
    std::optional<std::chrono::milliseconds> callerTimeout;
    std::optional<routing::StreamSize> size;
    std::optional<std::string> lastEventId;
    // The parts of a model's prompt that other requests may contain as well, in order.
    std::vector<std::string> sharedPromptParts;
};

// Response metadata that the proxy reads from an upstream's header fields.
struct ResponseMetadata {
    std::optional<std::string> requestId;
    bool isSigned = false;
    // The upstream states that it has not run the request and will not run it.
    bool isNotRun = false;
    // The body has a content encoding, so it is not the upstream's original bytes.
    bool isEncoded = false;
    // Address of the engine that caused the failure, if the response names one.
    std::optional<std::string> faultyEngineAddress;
    std::optional<std::chrono::seconds> keepAlive;
    // The upstream finishes its requests and accepts no new ones.
    bool isLeaving = false;
    // For how long the upstream, which has turned this request away, wants no other from this
    // VM. Above 0 and bounded.
    std::optional<std::chrono::milliseconds> pause;
    // How many requests a second the upstream accepts from all entry VMs together; nullopt
    // if it has no limit.
    std::optional<double> requestsPerSecond;
};

// Per-attempt data that the proxy adds to the header of an upstream request.
struct UpstreamCall {
    std::chrono::milliseconds remainingTime { 0 };
    std::string expectedUpstream;
    std::optional<std::string> team;
    // From 0 (first) to 9. Set if the routes of the service differ in priority.
    std::optional<int> priority;
    // The engines that run the model's layers. Empty for a service without a model.
    routing::LayerPath path;
    // Set when a stream resumes after the events that the caller already has.
    std::optional<std::string> lastEventId;
};

// Data that the proxy adds to the header of a request that it hands over to another entry VM.
struct HandoverCall {
    std::chrono::milliseconds remainingTime { 0 };
    // Set when a stream resumes after the events that the caller already has.
    std::optional<std::string> lastEventId;
};

// Maps header fields to metadata and back. Field names and formats differ between
// platforms.
class HeaderCodec {
public:
    virtual ~HeaderCodec() = default;

    RequestMetadata readRequest(const http1::RequestHead& head) const { return onReadRequest(head); }
    ResponseMetadata readResponse(const http1::ResponseHead& head) const { return onReadResponse(head); }
    // Returns whether appendCallFields() sets the field, so that the caller's value must
    // not be forwarded.
    bool isManagedField(std::string_view name) const { return onIsManagedField(name); }
    // Appends the header fields of `call` to the serialized request head.
    void appendCallFields(std::string& head, const UpstreamCall& call) const { onAppendCallFields(head, call); }
    // The same for a request that is handed over: all other fields stay as the caller sent
    // them, because the other VM reads them again.
    bool isHandoverField(std::string_view name) const { return onIsHandoverField(name); }
    void appendHandoverFields(std::string& head, const HandoverCall& call) const { onAppendHandoverFields(head, call); }

private:
    virtual RequestMetadata onReadRequest(const http1::RequestHead&) const = 0;
    virtual ResponseMetadata onReadResponse(const http1::ResponseHead&) const = 0;
    virtual bool onIsManagedField(std::string_view name) const = 0;
    virtual void onAppendCallFields(std::string& head, const UpstreamCall&) const = 0;
    virtual bool onIsHandoverField(std::string_view name) const = 0;
    virtual void onAppendHandoverFields(std::string& head, const HandoverCall&) const = 0;
};

} // namespace arbutus::forwarding
