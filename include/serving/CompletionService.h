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

// Runs callers' streams over pipelines of engines: admission, choice of a
// pipeline, relay between stages, resume, crash suspects. Safe to use from
// several threads; one mutex guards all its tables.
class CompletionService {
public:
    struct Options {
        std::string vm;
        std::string dataCentre;
        // Upper bound of the requests that run at a time; the engines' capacity may set a lower one.
        std::size_t slots = 256;
        std::size_t maxQueued = 4096;
        // A step that takes longer is given up, and its stage left out.
        std::chrono::nanoseconds minStepTimeout = std::chrono::milliseconds(1000);
        std::uint64_t seed = 1;
    };

    // Reports to the rest of the process; called with the mutex held, so
    // the functions only queue.
    struct Callbacks {
        std::function<void(const std::string& fingerprint, const FactsPointer& engine, bool wasSoleRequest)> onEngineCrash;
        std::function<void(const std::string& fingerprint, const FactsPointer& engine)> onCrashCleared;
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
    // States the engines that may be used, and where the fleet's other facts say
    // that one is leaving.
    // `entryVms` counts the entry VMs that share the engines, this one included.
    void setEngines(const std::vector<FactsPointer>&, std::size_t entryVms);

    // Takes the request under the given sheet, which the caller has found to be
    // current. `makeAnswer` is called once, with a function to call
    // when the caller goes away; the answer is ended in every case.
    using MakeSink = std::function<std::unique_ptr<ResponseSink>(std::function<void()> onDisconnect)>;
    void submit(const CompletionRequest&, const ConfigurationPointer&, const MakeSink& makeSink);

    // Starts what is due: queued requests, resumes, expired steps. Call it every 10 ms.
    void tick();

    // What the links report: an engine may be used, is lost, has sent a message.
    void engineReady(const FactsPointer&);
    void engineLost(const std::string& engine);
    void engineMessage(const std::string& engine, const streams::ChannelMessage&);

    std::size_t openRequestCount() const;
    Counters counters() const;

private:
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
        // At least one step may have reached an engine.
        bool wasDispatched = false;
        bool isAwaitingIsolation = false;
        std::optional<base::TimePoint> resumeAt;
        base::TimePoint stepSentAt;
        // When the stream started on each engine of its pipeline.
        base::TimePoint attemptStartedAt;
        std::vector<std::string> avoidedEngines;
        // The engine whose death counts against the request until it is cleared.
        FactsPointer crashedEngine;
    };
    using StreamMap = std::unordered_map<std::string, std::unique_ptr<ActiveStream>>;

    struct Engine {
        FactsPointer facts;
        bool isReady = false;
        // The fleet's facts name it as usable for new work.
        bool isUsable = true;
        // The engine itself said over its link that it is leaving.
        bool hasReportedLeaving = false;
        std::set<std::string> streams;
        std::size_t reportedRunning = 0;
        // Kept for one crash suspect.
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
