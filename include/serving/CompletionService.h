#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/RankedMutex.h"
#include "include/base/Timeline.h"
#include "include/routing/AdmissionController.h"
#include "include/routing/CrashSuspectTracker.h"
#include "include/routing/PipelineSelector.h"
#include "include/serving/EngineLinks.h"
#include "include/serving/ResponseSink.h"
#include "include/state/Configuration.h"
#include "include/streams/StreamSession.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::serving {

using ConfigurationPointer = std::shared_ptr<const state::Configuration>;

struct CompletionRequest {
    std::string id;
    std::string team;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    base::TimePoint deadline;
};

// Runs completion requests on pipelines of engines: admits requests, selects
// pipelines, relays activations between stages, resumes streams after engine
// failures and isolates crash suspects. Thread-safe; one mutex guards all state.
class CompletionService {
public:
    struct Options {
        std::string vm;
        std::string dataCentre;
        // Maximum number of running requests. The engines' capacity may lower it.
        std::size_t slots = 256;
        std::size_t maxQueued = 4096;
        // Lower bound of a step's timeout. After a timeout the stream resumes on a
        // pipeline without the engine, if there is one.
        std::chrono::nanoseconds minStepTimeout = std::chrono::milliseconds(1000);
        std::uint64_t seed = 1;
    };

    // Event callbacks. They are called with the mutex held, so they must not block
    // and must not call the service.
    struct Callbacks {
        std::function<void(const std::string& fingerprint, const DescriptorPointer& engine, bool wasSoleRequest)> onEngineCrash;
        std::function<void(const std::string& fingerprint, const DescriptorPointer& engine)> onCrashCleared;
        std::function<void(const std::string& team, base::ErrorKind)> onRefusal;
    };

    struct Counters {
        std::uint64_t requests = 0;
        std::uint64_t finished = 0;
        std::uint64_t failed = 0;
        std::uint64_t refused = 0;
        std::uint64_t tokens = 0;
        std::uint64_t resumes = 0;
        std::uint64_t droppedResults = 0;
        std::uint64_t engineCrashes = 0;
    };

    CompletionService(const base::Clock&, base::Timeline&, const Options&, EngineLinks&, Callbacks);
    CompletionService(const CompletionService&) = delete;
    CompletionService& operator=(const CompletionService&) = delete;

    void setConfiguration(ConfigurationPointer);
    // Sets the usable engines, replacing the previous set. Engines not listed get no
    // new streams. `entryVms` is the number of entry VMs that share the engines,
    // including this one.
    void setEngines(const std::vector<DescriptorPointer>&, std::size_t entryVms);

    // Queues the request under the given configuration, which must be current.
    // Calls `makeSink` once, with a function that the sink must call when the caller
    // disconnects. Every sink receives finish() or fail(), also if the request is refused.
    using MakeSink = std::function<std::unique_ptr<ResponseSink>(std::function<void()> onDisconnect)>;
    void submit(const CompletionRequest&, const ConfigurationPointer&, const MakeSink& makeSink);

    // Starts queued requests and due resumes, and handles expired deadlines and
    // steps. Call every 10 ms.
    void tick();

    // Events of the engine links: a link is established, a link is lost, a message was received.
    void engineReady(const DescriptorPointer&);
    void engineLost(const std::string& engine);
    void engineMessage(const std::string& engine, const streams::ChannelMessage&);

    std::size_t openRequestCount() const;
    Counters counters() const;

private:
    // A request that is queued or running.
    struct ActiveStream {
        ActiveStream(streams::StreamSession streamSession, CompletionRequest completionRequest)
            : session(std::move(streamSession))
            , request(std::move(completionRequest))
        {
        }

        streams::StreamSession session;
        CompletionRequest request;
        std::unique_ptr<ResponseSink> sink;
        std::uint64_t admissionId = 0;
        std::string fingerprint;
        std::string upstreamClass;
        std::size_t promptTokens = 0;
        bool isAdmitted = false;
        // True once a step was sent, so that an engine may have run the request.
        bool wasDispatched = false;
        bool isAwaitingIsolation = false;
        std::optional<base::TimePoint> resumeAt;
        base::TimePoint stepSentAt;
        // Start of the current attempt. Its in-flight load on each engine is counted from then.
        base::TimePoint attemptStartedAt;
        std::vector<std::string> avoidedEngines;
        // The engine whose crash counts against the request until it is cleared.
        DescriptorPointer crashedEngine;
    };
    using StreamMap = std::unordered_map<std::string, std::unique_ptr<ActiveStream>>;

    // An engine that was listed as usable or has had a link.
    struct Engine {
        DescriptorPointer descriptor;
        bool isReady = false;
        // True if the last setEngines() call listed the engine.
        bool isUsable = true;
        // True if the engine reported over its link that it is leaving.
        bool hasReportedLeaving = false;
        std::set<std::string> streams;
        std::size_t reportedRunning = 0;
        // Fingerprint of the crash suspect that the engine is reserved for; empty if none.
        std::string reservedFor;
    };

    base::Result<std::unique_ptr<ActiveStream>> enqueue(const CompletionRequest&, const state::Configuration&);
    void refuse(ResponseSink&, const CompletionRequest&, const base::Error&);
    void startAdmitted();
    void startAttempt(ActiveStream&);
    base::Result<streams::Pipeline> choosePipeline(ActiveStream&, bool requiresIdleEngines);
    bool startOnPipeline(ActiveStream&, streams::Pipeline);
    void dispatch(ActiveStream&, const streams::Dispatch&);
    void scheduleResume(ActiveStream&, const std::vector<std::string>& avoided, const std::string& reason);
    void startIsolatedRuns();
    void startDueResumes();
    void expireSteps();
    void clearCountedCrash(ActiveStream&, bool didComplete);
    void releasePipeline(ActiveStream&);
    void sendCancellations(ActiveStream&);
    void fail(ActiveStream&, const base::Error&);
    void finish(ActiveStream&, streams::FinishReason);
    void endRequest(ActiveStream&, bool didComplete);

    void receiveResult(const std::string& engine, const streams::StageResult&);
    void updateEngineLoad(const std::string& engine, const streams::EngineLoad&);
    void updateSelector(Engine&);
    void callerDisconnected(const std::string& stream);
    base::TimePoint stepDeadline(const std::string& engine, std::size_t prefillTokens);
    std::vector<std::string> enginesOfOtherClass(const std::string& upstreamClass) const;
    std::vector<std::string> busyEngines(const std::string& fingerprint) const;

    const base::Clock& clock_;
    base::Timeline& timeline_;
    const Options options_;
    EngineLinks& links_;
    const Callbacks callbacks_;
    mutable base::RankedMutex mutex_;
    ConfigurationPointer configuration_;
    routing::AdmissionController admission_;
    routing::PipelineSelector selector_;
    routing::CrashSuspectTracker suspects_;
    StreamMap streams_;
    std::unordered_map<std::uint64_t, std::string> streamByAdmission_;
    std::map<std::string, Engine> engines_;
    std::uint64_t nextAdmissionId_ = 1;
    Counters counters_;
};

} // namespace arbutus::serving
