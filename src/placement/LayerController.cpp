#include "include/placement/LayerController.h"

namespace arbutus::placement {

using fleet::UpstreamFact;
using fleet::UpstreamState;

// The first plan waits until no new engine has appeared for this long; longer
// than the time between an engine's start and its first report.
static constexpr std::chrono::milliseconds settleTime(1400);
// Every engine reports within this time, also after its control VM was lost.
static constexpr std::chrono::milliseconds newLeaderDelay(3000);
// An order that was begun is repeated if the engine does not report the layers
// within a multiple of the time to load them.
static constexpr double loadTimeFactor = 2;
static constexpr std::chrono::milliseconds loadTimeMargin(3000);
static constexpr std::chrono::milliseconds refusedRepeatDelay(700);
static constexpr std::chrono::milliseconds unknownRepeatDelay(400);

static std::vector<Card> cardsOf(const routes::Service& service, const std::vector<const UpstreamFact*>& facts)
{
    std::vector<Card> cards;
    for (const auto* fact : facts) {
        const auto* kind = service.model->kind(fact->accelerator);
        bool isPresent = fact->state == UpstreamState::Ready || fact->state == UpstreamState::Leaving;
        if (fact->service == service.name && kind && isPresent)
            cards.push_back({ fact->endpoint().text(), fact->dataCentre, kind->megabytes, kind->pace, fact->state == UpstreamState::Leaving });
    }
    return cards;
}

bool LayerController::isSettled(const std::string& service, const std::set<std::string>& addresses, base::TimePoint now)
{
    auto [it, inserted] = seen_.try_emplace(service, addresses, now);
    auto& [known, since] = it->second;
    if (known != addresses) {
        known = addresses;
        since = now;
    }
    return !addresses.empty() && now >= since + settleTime;
}

std::optional<LayerPlans> LayerController::plan(const std::vector<routes::Service>& services, const LayerPlans& committed, const std::vector<const UpstreamFact*>& facts, base::TimePoint now)
{
    LayerPlans next = committed;
    bool isChanged = false;
    for (const auto& service : services) {
        if (!service.model)
            continue;
        auto cards = cardsOf(service, facts);
        std::set<std::string> addresses;
        for (const auto& card : cards)
            addresses.insert(card.address);
        auto present = committed.find(service.name);
        if (present == committed.end()) {
            if (!isSettled(service.name, addresses, now))
                continue;
            next[service.name] = LayerPlanner::plan(*service.model, cards);
            isChanged = true;
            continue;
        }
        // A new leader hears of all engines only after a while; until then a
        // missing engine means nothing.
        if (!leadsSince_)
            leadsSince_ = now;
        if (now < *leadsSince_ + newLeaderDelay)
            continue;
        if (auto repaired = planners_[service.name].repair(*service.model, present->second, cards, now)) {
            next[service.name] = std::move(*repaired);
            isChanged = true;
        }
    }
    if (!isChanged)
        return std::nullopt;
    return next;
}

std::vector<LayerOrder> LayerController::dueOrders(const std::vector<routes::Service>& services, const LayerPlans& committed, const std::vector<const UpstreamFact*>& facts, base::TimePoint now)
{
    std::vector<LayerOrder> orders;
    for (const auto& service : services) {
        auto plan = committed.find(service.name);
        if (!service.model || plan == committed.end())
            continue;
        for (const auto* fact : facts) {
            if (fact->service != service.name || fact->state != UpstreamState::Ready)
                continue;
            const auto* slice = plan->second.sliceOf(fact->endpoint().text());
            if (!slice || slice->range == fact->layers) {
                sent_.erase(fact->id);
                continue;
            }
            auto [it, inserted] = sent_.try_emplace(fact->id, Sent { slice->range, now });
            auto& sent = it->second;
            if (!inserted && sent.layers == slice->range && now < sent.repeatAt)
                continue;
            double share = static_cast<double>(slice->range.count()) / service.model->layers;
            auto loadTime = std::chrono::duration_cast<std::chrono::milliseconds>(service.model->fullLoad * share * loadTimeFactor);
            sent = { slice->range, now + loadTime + loadTimeMargin };
            orders.push_back({ fact->id, fact->endpoint(), slice->range });
        }
    }
    return orders;
}

void LayerController::orderAnswered(const LayerOrder& order, OrderResult result, base::TimePoint now)
{
    auto found = sent_.find(order.upstream);
    if (found == sent_.end() || found->second.layers != order.layers || result == OrderResult::Accepted)
        return;
    found->second.repeatAt = now + (result == OrderResult::Refused ? refusedRepeatDelay : unknownRepeatDelay);
}

void LayerController::restart()
{
    planners_.clear();
    seen_.clear();
    sent_.clear();
    leadsSince_.reset();
}

} // namespace arbutus::placement
