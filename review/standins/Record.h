#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using TimePoint = std::chrono::steady_clock::time_point;

inline TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

// Writes what happened to a file, one line an event, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::FILE* file_;
    const TimePoint startedAt_ = steadyNow();
};

} // namespace review
