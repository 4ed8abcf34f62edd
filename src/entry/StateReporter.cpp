#include "src/entry/StateReporter.h"

#include "include/base/Logger.h"

namespace arbutus::entry {

using base::ErrorKind;

static constexpr base::Logger logger("entry");
static constexpr std::size_t maxPendingReports = 10000;
static constexpr std::chrono::seconds refusalFlushInterval(10);
static constexpr std::chrono::seconds commitTimeout(3);
static constexpr std::chrono::milliseconds retryDelay(500);
static constexpr std::chrono::seconds finalFlushTimeout(1);

StateReporter::StateReporter(const base::Clock& clock, StateClient& client, std::string vm)
    : clock_(clock)
    , client_(client)
    , vm_(std::move(vm))
    , refusalPeriodStart_(clock.wallNow())
    , nextRefusalFlushAt_(clock.now() + refusalFlushInterval)
    , thread_([this] { run(); })
{
}

StateReporter::~StateReporter()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void StateReporter::report(state::CommandBody command)
{
    {
        std::lock_guard lock(mutex_);
        if (reports_.size() >= maxPendingReports) {
            // Drops the newest report, because it may depend on earlier ones.
            ++droppedCount_;
            return;
        }
        reports_.push_back(std::move(command));
    }
    wake_.notify_all();
}

void StateReporter::countRefusal(const std::string& team, ErrorKind kind)
{
    std::lock_guard lock(mutex_);
    ++refusals_[{ team, static_cast<std::uint32_t>(kind) }];
}

void StateReporter::enqueueRefusalCounts()
{
    auto now = clock_.wallNow();
    if (!refusals_.empty()) {
        state::RecordRefusals record;
        record.entryVm = vm_;
        record.from = refusalPeriodStart_;
        record.to = now;
        for (const auto& [key, count] : refusals_)
            record.counts.push_back({ key.first, key.second, count });
        refusals_.clear();
        reports_.emplace_back(std::move(record));
    }
    refusalPeriodStart_ = now;
    nextRefusalFlushAt_ = clock_.now() + refusalFlushInterval;
}

bool StateReporter::commit(const state::CommandBody& command)
{
    auto result = client_.propose(command, clock_.now() + commitTimeout);
    if (result)
        return true;
    auto kind = result.error().kind;
    if (kind == ErrorKind::NoQuorum || kind == ErrorKind::CommandUnconfirmed || kind == ErrorKind::StorageFull || kind == ErrorKind::Overloaded)
        return false;
    logger.warning("The state refused a report.", { { "command", state::commandName(command) }, { "reason", result.error().detail } });
    return true;
}

void StateReporter::run()
{
    std::unique_lock lock(mutex_);
    base::TimePoint stopAt = base::TimePoint::max();
    for (;;) {
        if (reports_.empty() && !isStopping_)
            wake_.wait_for(lock, retryDelay);
        if (clock_.now() >= nextRefusalFlushAt_ || isStopping_)
            enqueueRefusalCounts();
        if (isStopping_) {
            stopAt = std::min(stopAt, clock_.now() + finalFlushTimeout);
            if (reports_.empty() || clock_.now() >= stopAt)
                return;
        }
        if (reports_.empty())
            continue;
        auto report = reports_.front();
        lock.unlock();
        bool isDone = commit(report);
        lock.lock();
        if (isDone)
            reports_.pop_front();
        else if (!isStopping_)
            wake_.wait_for(lock, retryDelay, [this] { return isStopping_; });
    }
}

std::size_t StateReporter::pendingReportCount() const
{
    std::lock_guard lock(mutex_);
    return reports_.size();
}

std::uint64_t StateReporter::droppedCount() const
{
    std::lock_guard lock(mutex_);
    return droppedCount_;
}

} // namespace arbutus::entry
