#pragma once

#include "include/base/Error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::routes {

// What may be repeated. A stream may be resumed only where its route says so.
enum class RequestKind {
    Safe,
    Unsafe,
    Streaming,
};

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
    // The longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout { 0 };
    // The time to the answer, or to a stream's first event, within which it is on time.
    std::chrono::milliseconds firstResponseObjective { 0 };
    // Zero is the most urgent.
    int priority = 0;
    std::vector<WeightedService> weightedServices;
    // The most upstreams that one request may run on.
    int maxAttempts = 1;
    // Callers need no key.
    bool isPublic = false;
    bool mayResume = false;
};

// One kind of accelerator, relative to the engine's reference figures.
struct AcceleratorKind {
    std::string name;
    double megabytes = 0;
    // Factor on the time of a step and its context.
    double stepTimeFactor = 1;
    // Factor on the time of reading a prompt.
    double prefillTimeFactor = 1;
};

// The model that the engines of a service hold in parts, and its costs.
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
    // Tokens in one event of a stream.
    int tokensPerEvent = 1;
    // Requests at once at the first engine of a path.
    int slots = 0;
    // The time to load all layers, and how many loads run at once without slowing down.
    std::chrono::milliseconds fullLoadTime { 0 };
    int maxConcurrentLoads = 1;
    double typicalPromptTokens = 0;
    double typicalAnswerTokens = 0;
    std::vector<AcceleratorKind> acceleratorKinds;

    const AcceleratorKind* findAcceleratorKind(const std::string& name) const;
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

// A whole configuration under the sender's version. The highest version is in force.
struct RouteConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    // Without teams no caller needs a key.
    std::vector<Team> teams;
};

// Fails with SheetInvalid, naming the first fault.
base::Result<void> validate(const RouteConfiguration&);

} // namespace arbutus::routes
