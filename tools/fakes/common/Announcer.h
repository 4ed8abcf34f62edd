#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace arbutus::fakes {

// Announces an upstream every second: first to the given entry VMs until one
// answers, then to the registrars named in the answers.
class Announcer {
public:
    using FactsProvider = std::function<web::json::value()>;

    Announcer(std::vector<std::string> entryUrls, FactsProvider facts);
    ~Announcer();

    // Wakes the announcer to send an announcement before the next interval.
    void announceNow();

private:
    void run();
    void announce();

    const std::vector<std::string> entryUrls_;
    const FactsProvider facts_;
    std::vector<std::string> registrars_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool isStopping_ = false;
    bool isDue_ = true;
    std::thread thread_;
};

} // namespace arbutus::fakes
