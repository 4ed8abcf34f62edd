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

// Announces an upstream every second, first to any of the given entry VMs and
// then to the registrars that their answers name.
class Announcer {
public:
    using FactsProvider = std::function<web::json::value()>;

    Announcer(std::vector<std::string> entryUrls, FactsProvider facts);
    ~Announcer();

    // Announces at once, for a change that must not wait for the next second.
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
