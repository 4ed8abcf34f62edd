#include "include/routing/WindowedRetryBudget.h"

#include <algorithm>
#include <iterator>

namespace arbutus::routing {

// Fraction of the budget in use. Whoever checks the budget may align its window
// differently, and a VM that is added is known with a delay.
static constexpr double budgetSafetyFactor = 0.7;
// An upstream that is silent for longer is taken for gone, with all that was sent to it.
static constexpr std::chrono::seconds maxSilence(60);

WindowedRetryBudget::WindowedRetryBudget(double ratio, double slack, std::chrono::milliseconds window)
    : ratio_(ratio)
    , slack_(slack)
    // One extra slice is counted, because the oldest slice is partly outside the window.
    , sliceLength_(std::chrono::nanoseconds(window) / (sliceCount - 1))
{
}

WindowedRetryBudget::Slice& WindowedRetryBudget::sliceAt(base::TimePoint now)
{
    auto index = sliceIndex(now);
    auto& slice = slices_[static_cast<std::size_t>(index) % sliceCount];
    if (slice.index != index)
        slice = { index, 0, 0 };
    return slice;
}

void WindowedRetryBudget::recordRequest(base::TimePoint now) { ++sliceAt(now).requests; }

double WindowedRetryBudget::ownSlack(base::TimePoint now) const
{
    return now < slackPart_.usableUntil ? slack_ / std::max(1U, slackPart_.partCount) : 0;
}

WindowedRetryBudget::Usage WindowedRetryBudget::usage(base::TimePoint now) const
{
    Usage result;
    auto oldest = sliceIndex(now) - static_cast<std::int64_t>(sliceCount);
    for (const auto& slice : slices_) {
        if (slice.index <= oldest)
            continue;
        result.requests += slice.requests;
        result.repeats += slice.retries;
    }
    for (const auto& [upstream, unread] : unread_)
        result.repeats += unread.retries;
    result.repeats += reserved_;
    result.allowed = budgetSafetyFactor * (ratio_ * result.requests + ownSlack(now));
    return result;
}

bool WindowedRetryBudget::isExhausted(base::TimePoint now)
{
    expireUnread(now);
    auto used = usage(now);
    return used.repeats + 1 > used.allowed;
}

bool WindowedRetryBudget::tryAcquire(base::TimePoint now)
{
    if (isExhausted(now))
        return false;
    ++sliceAt(now).retries;
    return true;
}

RetryPermit WindowedRetryBudget::tryReserve(const std::shared_ptr<WindowedRetryBudget>& budget, base::TimePoint now)
{
    if (budget->isExhausted(now))
        return {};
    ++budget->reserved_;
    return RetryPermit(budget);
}

void WindowedRetryBudget::addUnread(const std::string& upstream, base::TimePoint now)
{
    auto& unread = unread_[upstream];
    ++unread.retries;
    unread.sentAt = now;
}

void WindowedRetryBudget::upstreamReads(const std::string& upstream, base::TimePoint now)
{
    auto found = unread_.find(upstream);
    if (found == unread_.end())
        return;
    sliceAt(now).retries += found->second.retries;
    unread_.erase(found);
}

void WindowedRetryBudget::settleUnread(base::TimePoint sentBefore, const std::function<bool(const std::string&)>& isSound, base::TimePoint now)
{
    for (auto it = unread_.begin(); it != unread_.end();) {
        if (it->second.sentAt >= sentBefore || !isSound(it->first)) {
            ++it;
            continue;
        }
        sliceAt(now).retries += it->second.retries;
        it = unread_.erase(it);
    }
}

void WindowedRetryBudget::expireUnread(base::TimePoint now)
{
    for (auto it = unread_.begin(); it != unread_.end();)
        it = now >= it->second.sentAt + maxSilence ? unread_.erase(it) : std::next(it);
}

void RetryPermit::giveBack()
{
    if (auto budget = std::exchange(budget_, nullptr))
        --budget->reserved_;
}

void RetryPermit::setArrived(base::TimePoint now)
{
    if (budget_)
        ++budget_->sliceAt(now).retries;
    giveBack();
}

void RetryPermit::setUnread(const std::string& upstream, base::TimePoint now)
{
    if (budget_)
        budget_->addUnread(upstream, now);
    giveBack();
}

} // namespace arbutus::routing
