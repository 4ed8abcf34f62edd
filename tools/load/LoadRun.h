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

// What became of one request.
struct RequestRecord {
    Outcome outcome = Outcome::Unfinished;
    // The error kind of a refusal, or the reason of a broken exchange.
    std::string reason;
    base::TimePoint sent;
    std::vector<base::TimePoint> tokenTimes;
    ReceivedAnswer answer;
};

// Sends the requests of a plan at their times, whatever became of earlier ones.
class LoadRun {
public:
    explicit LoadRun(const LoadPlan&);

    // Returns when all answers have ended or the drain time is over. Call it once.
    void run();

    base::TimePoint start() const { return start_; }
    // One record for each request of the plan, in its order. Valid after run().
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
    // Answers that end after the run are no longer recorded.
    bool hasEnded_ = false;
    std::vector<RequestRecord> records_;
};

} // namespace arbutus::load
