#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/WorkerPool.h"
#include "include/serving/CompletionService.h"
#include "src/entry/HttpAnswer.h"
#include "src/entry/ServiceClient.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace arbutus::entry {

// The HTTP API for callers. Assigns each request an id, authenticates its team by
// bearer token and validates the request before forwarding it.
class CallerApi {
public:
    struct Options {
        std::string vm;
        std::uint64_t incarnation = 0;
        std::chrono::nanoseconds requestTimeout = std::chrono::seconds(60);
        std::chrono::nanoseconds orderTimeout = std::chrono::seconds(10);
        // Maps each bearer token to its team.
        std::map<std::string, std::string> teams;
    };

    // Callbacks that decide on admission and record refusals.
    struct AdmissionHooks {
        // Returns the current configuration, or ShuttingDown or StaleConfiguration if
        // the process must not admit new requests.
        std::function<base::Result<serving::ConfigurationPointer>()> admit;
        std::function<void(const std::string& team, const std::string& service, const std::string& key, const base::Error&)> onOrderRefused;
        std::function<void(const std::string& team, base::ErrorKind)> onRequestRefused;
    };

    CallerApi(const base::Clock&, base::Timeline&, const Options&, serving::CompletionService&, ServiceClient&, base::WorkerPool&, AdmissionHooks);

    // Handles the request if its method and path belong to this API. Otherwise
    // returns false and leaves the request unanswered.
    bool handle(const http::ServerRequest&);

    // Returns the number of requests that are not fully answered.
    std::size_t openCount() const;

private:
    using Handler = void (CallerApi::*)(const http::ServerRequest&, const std::string& team);
    struct Route;

    static const Route* findRoute(const std::string& method, const std::string& path);
    base::Result<std::string> teamOf(const http::ServerRequest&) const;
    std::string nextRequestId();

    void listModels(const http::ServerRequest&, const std::string& team);
    void completeText(const http::ServerRequest&, const std::string& team);
    void completeChat(const http::ServerRequest&, const std::string& team);
    void callService(const http::ServerRequest&, const std::string& team);

    void complete(const http::ServerRequest&, const std::string& team, const AnswerFormat&, std::string (*promptOf)(const web::json::value&));
    void runServiceCall(const http::ServerRequest&, const std::string& team, const std::string& requestId, std::string body, base::TimePoint deadline);
    void refuse(const http::ServerRequest&, const std::string& requestId, const std::string& team, const base::Error&);

    const base::Clock& clock_;
    base::Timeline& timeline_;
    const Options options_;
    serving::CompletionService& completions_;
    ServiceClient& serviceClient_;
    base::WorkerPool& workers_;
    const AdmissionHooks hooks_;
    std::atomic<std::uint64_t> nextRequest_ { 1 };
    std::atomic<std::size_t> openServiceCalls_ { 0 };
    std::atomic<std::size_t> openHandlerCalls_ { 0 };
    http::ReplyTracker replies_;
};

} // namespace arbutus::entry
