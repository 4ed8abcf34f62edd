#pragma once

#include "include/routing/WindowedRetryBudget.h"

#include <memory>
#include <optional>
#include <string>

namespace arbutus::routing {

// What the attempts of one request charge to a retry budget: one repeat for each attempt
// beyond the first that arrives. An attempt that was given up in silence may arrive after the
// ones that follow it, and is then the repeat itself. All times are of base::bootNow().
class RepeatCharges {
public:
    // Obtains a permit for the next attempt unless there is one. Returns false if the budget is
    // exhausted.
    bool tryReserve(const std::shared_ptr<WindowedRetryBudget>&, base::TimePoint now);
    // The next attempt is sent, with the permit if there is one.
    void attemptSent(base::TimePoint now);
    // The current attempt has reached nobody. The next one takes its permit.
    void attemptNotSent() { next_ = std::move(current_); }
    // The current attempt has arrived, or never will.
    void attemptArrived(base::TimePoint now) { current_.setArrived(now); }
    // The current attempt was given up, and may arrive when `upstream` reads on.
    void attemptGivenUp(const std::string& upstream, base::TimePoint now);
    // No attempt follows.
    void requestEnded(WindowedRetryBudget&, base::TimePoint now);

private:
    RetryPermit next_;
    RetryPermit current_;
    // Where an attempt that was sent without a permit may still arrive.
    std::optional<std::string> unreadAt_;
    bool isRepeated_ = false;
};

} // namespace arbutus::routing
