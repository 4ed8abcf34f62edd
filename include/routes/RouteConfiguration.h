#pragma once

#include "include/base/Error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::routes {

// Determines whether a request may be retried: a safe one may, an unsafe one may not, and
// a stream may be resumed only if its route allows it.
enum class RequestKind {
    Safe,
    Unsafe,
    Streaming,
};

// One target of a traffic split.
struct WeightedService {
    std::string service;
    double weight = 0;
};

struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    // The maximum time that a caller waits.
    std::chrono::milliseconds timeout { 0 };
    // The latency objective for the answer, or for the first event of a stream.
    std::chrono::milliseconds firstResponseObjective { 0 };
    // 0 is the highest priority.
    int priority = 0;
    std::vector<WeightedService> weightedServices;
    // The maximum number of upstreams that one request may run on.
    int maxAttempts = 1;
    // Callers need no API key.
    bool isPublic = false;
    // Whether an interrupted stream may resume on another upstream.
    bool mayResume = false;
};

// The properties of one kind of accelerator. Factors are relative to the reference times of
// the model.
struct AcceleratorKind {
    std::string name;
    double megabytes = 0;
    // Multiplies the time of a decoding step, including its context time.
    double stepTimeFactor = 1;
    // Multiplies the prefill time of a prompt.
    double prefillTimeFactor = 1;
};

// The network delay from one data centre to another.
struct DataCentreDelay {
    std::string from;
    std::string target;
    std::chrono::duration<double, std::milli> oneWay { 0 };
};

// The cost model of a service whose engines each hold a range of a model's layers.
struct LayeredModel {
    int layers = 0;
    double layerMegabytes = 0;
    double cacheBytesPerToken = 0;
    double stepMilliseconds = 0;
    double perSequenceMilliseconds = 0;
    double contextMillisecondsPerThousandTokens = 0;
    double prefillTokensPerSecond = 0;
    double activationBytesPerToken = 0;
    double crossDataCentreMegabitsPerSecond = 0;
    // The number of tokens in one event of a stream.
    int tokensPerEvent = 1;
    // The number of concurrent requests on the first engine of a path.
    int slots = 0;
    // The time to load all layers.
    std::chrono::milliseconds fullLoadTime { 0 };
    // The number of loads that can run concurrently without slowing down.
    int maxConcurrentLoads = 1;
    double typicalPromptTokens = 0;
    double typicalAnswerTokens = 0;
    std::vector<AcceleratorKind> acceleratorKinds;
    std::vector<DataCentreDelay> dataCentreDelays;

    // Returns null if the kind is unknown.
    const AcceleratorKind* findAcceleratorKind(const std::string& name) const;
    // Returns the one-way delay, 0 within a data centre. If only the opposite direction is
    // listed, its delay applies; nullopt if neither is.
    std::optional<std::chrono::duration<double, std::milli>> delayBetween(const std::string& from, const std::string& target) const;
    // Whether any delay from or to the data centre is listed.
    bool hasDelays(const std::string& dataCentre) const;
};

struct Service {
    std::string name;
    std::string healthPath;
    int maxConnections = 0;
    // Present for model engines that hold ranges of layers.
    std::optional<LayeredModel> model;
};

struct CallerLimits {
    std::uint32_t headBytes = 16 << 10;
    std::uint64_t bodyBytes = std::uint64_t { 4 } << 20;
    std::chrono::milliseconds headTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

struct Team {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;
};

// A complete route configuration. The sender assigns the version, and the highest version is
// in force.
struct RouteConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    // If empty, no caller needs an API key.
    std::vector<Team> teams;
};

// Fails with SheetInvalid, naming the first invalid item.
base::Result<void> validate(const RouteConfiguration&);

} // namespace arbutus::routes
