#include "include/routing/RepeatCharges.h"

namespace arbutus::routing {

bool RepeatCharges::tryReserve(const std::shared_ptr<WindowedRetryBudget>& budget, base::TimePoint now)
{
    if (!next_)
        next_ = WindowedRetryBudget::tryReserve(budget, now);
    return static_cast<bool>(next_);
}

void RepeatCharges::attemptSent(base::TimePoint now)
{
    isRepeated_ = isRepeated_ || next_;
    if (unreadAt_)
        next_.setUnread(*unreadAt_, now);
    unreadAt_.reset();
    current_ = std::move(next_);
}

void RepeatCharges::attemptGivenUp(const std::string& upstream, base::TimePoint now)
{
    if (current_)
        current_.setUnread(upstream, now);
    else
        unreadAt_ = upstream;
}

void RepeatCharges::requestEnded(WindowedRetryBudget& budget, base::TimePoint now)
{
    next_.giveBack();
    current_.setArrived(now);
    if (unreadAt_ && isRepeated_)
        budget.addUnread(*unreadAt_, now);
    unreadAt_.reset();
}

} // namespace arbutus::routing
