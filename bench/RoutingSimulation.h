#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"
#include "include/routing/AdmissionController.h"
#include "include/routing/PipelineSelector.h"

#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

// Simulates request routing in virtual time: 30 engines with continuous batching
// in 3 data centres, each engine with one of 3 layer ranges, 3 entry VMs and 10
// teams. Two of the teams send 35% of the requests each. Arrivals are an
// open-loop Poisson process.
class RoutingSimulation {
public:
    enum class Policy {
        // Round robin over the engines of each layer range; one FIFO queue per VM.
        Baseline,
        Routing,
    };

    struct Scenario {
        Policy policy = Policy::Routing;
        // Offered load as a fraction of maxStreamsPerSecond().
        double load = 0.8;
        // See PipelineSelector::Options::stageSumWeight.
        double stageSumWeight = 0;
        std::size_t slotsPerVm = 700;
        // Multiplies the step time of engine 0 from 25 s to 35 s.
        double slowdown = 1;
        // Engine 0 crashes at 25 s.
        bool hasEngineCrash = false;
        std::uint64_t seed = 1;
    };

    struct Report {
        // Fraction of the maximum token rate, from 20 s to 60 s.
        double throughput = 0;
        // Measured from the request's arrival.
        std::vector<double> firstTokenMs;
        std::vector<double> interTokenMs;
        std::vector<double> smallTeamFirstTokenMs;
        double smallTeamOffered = 0;
        double smallTeamFinished = 0;
        std::size_t refused = 0;
        std::size_t expired = 0;
        std::size_t offered = 0;
        std::size_t finishedLate = 0;
        // Longest time between two tokens of each stream whose engine crashed.
        std::vector<double> resumeGapsMs;
    };

    explicit RoutingSimulation(const Scenario&);
    Report run();

    // Returns the streams per second that the engines can serve with full batches
    // and the configured step times.
    static double maxStreamsPerSecond();

private:
    struct Engine {
        std::size_t range = 0;
        std::size_t dataCentre = 0;
        std::size_t kind = 0;
        double slowdown = 1;
        bool hasCrashed = false;
        bool isBusy = false;
        std::size_t residentStreams = 0;
        std::deque<std::size_t> waiting;
        std::vector<std::size_t> batch;
        std::string id;
    };
    struct Stream {
        std::size_t team;
        std::size_t vm;
        std::size_t prompt;
        std::size_t output;
        arbutus::base::TimePoint arrivedAt;
        arbutus::base::TimePoint startedAt;
        arbutus::base::TimePoint lastTokenAt;
        arbutus::base::TimePoint sentAt;
        std::size_t produced = 0;
        std::size_t stage = 0;
        std::uint32_t attempt = 0;
        bool isPrefill = true;
        bool wasInterrupted = false;
        double longestGapMs = 0;
        std::array<std::size_t, 3> engines {};
    };
    struct Vm {
        std::unique_ptr<arbutus::routing::PipelineSelector> selector;
        std::unique_ptr<arbutus::routing::AdmissionController> admission;
        std::deque<std::size_t> fifo;
        std::size_t running = 0;
        std::array<std::size_t, 3> nextEngine {};
    };
    enum class EventKind {
        Arrival,
        StepReceived,
        BatchDone,
        ResultReceived,
        Resume,
        FaultBegins,
        FaultEnds,
    };
    struct Event {
        arbutus::base::TimePoint at;
        std::uint64_t sequence;
        EventKind kind;
        std::size_t subject;
        std::uint32_t attempt;

        friend bool operator>(const Event& left, const Event& right)
        {
            return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
        }
    };

    void schedule(arbutus::base::TimePoint, EventKind, std::size_t subject = 0, std::uint32_t attempt = 0);
    void handleArrival();
    void startQueued(std::size_t vm);
    void startAttempt(std::size_t stream);
    void sendStep(std::size_t stream);
    void startBatch(std::size_t engine);
    void handleBatchDone(std::size_t engine);
    void handleResult(std::size_t stream);
    void handleToken(std::size_t stream);
    void releaseEngines(Stream&);
    void crashEngine(std::size_t engine);
    std::chrono::nanoseconds oneWayLatency(std::size_t vm, std::size_t engine) const;

    Scenario scenario_;
    arbutus::base::Random random_;
    arbutus::base::TimePoint start_;
    arbutus::base::TimePoint now_;
    std::uint64_t nextSequence_ = 0;
    std::vector<Engine> engines_;
    std::vector<Vm> vms_;
    std::vector<Stream> streams_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::size_t tokensInWindow_ = 0;
    Report report_;
};
