#pragma once

#include "include/base/Time.h"
#include "tools/load/AnswerCheck.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::load {

// The result of one request.
struct RequestRecord {
    Outcome outcome = Outcome::Unfinished;
    // The error kind of a refusal or failed answer, or the transport error.
    std::string reason;
    base::TimePoint sent;
    std::vector<base::TimePoint> tokenTimes;
    ReceivedAnswer answer;
};

// Sends the requests of a plan at their planned times without waiting for earlier
// answers (open loop).
class LoadRun {
public:
    explicit LoadRun(const LoadPlan&);

    // Returns when all answers have finished or the drain time has elapsed. Must be
    // called only once.
    void run();

    base::TimePoint start() const { return start_; }
    // Returns one record for each request, in the order of the plan. Valid after run().
    const std::vector<RequestRecord>& records() const { return records_; }

private:
    class Exchange;

    void send(std::size_t number);
    void requestFinished(std::size_t number, RequestRecord);

    const LoadPlan& plan_;
    std::vector<web::http::client::http_client> clients_;
    base::TimePoint start_;
    std::mutex mutex_;
    std::condition_variable allFinished_;
    std::size_t inFlightCount_ = 0;
    // Answers that finish after the run are not recorded.
    bool hasEnded_ = false;
    std::vector<RequestRecord> records_;
};

} // namespace arbutus::load
