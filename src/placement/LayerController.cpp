#include "include/placement/LayerController.h"

namespace arbutus::placement {

using fleet::UpstreamRecord;
using fleet::UpstreamState;

// The first plan is made when the set of engines has not changed for this long. This is
// longer than the time between an engine's start and its first report.
static constexpr std::chrono::milliseconds settleTime(1400);
// Every engine reports within this time, even after the loss of its control VM.
static constexpr std::chrono::milliseconds newLeaderDelay(3000);
// A started command is retried if the engine does not report the layers within this
// multiple of their load time, plus a margin.
static constexpr double loadTimeFactor = 2;
static constexpr std::chrono::milliseconds loadTimeMargin(3000);
static constexpr std::chrono::milliseconds refusedRetryDelay(700);
static constexpr std::chrono::milliseconds unknownRetryDelay(400);

static std::vector<Card> cardsOf(const routes::Service& service, const std::vector<const UpstreamRecord*>& upstreams)
{
    std::vector<Card> cards;
    for (const auto* upstream : upstreams) {
        const auto* kind = service.model->findAcceleratorKind(upstream->accelerator);
        bool isPresent = upstream->state == UpstreamState::Ready || upstream->state == UpstreamState::Draining;
        if (upstream->service == service.name && kind && isPresent)
            cards.push_back({ upstream->endpoint().text(), upstream->dataCentre, kind->megabytes, kind->stepTimeFactor, upstream->state == UpstreamState::Draining });
    }
    return cards;
}

bool LayerController::isSettled(const std::string& service, const std::set<std::string>& addresses, base::TimePoint now)
{
    auto [it, inserted] = seenEngines_.try_emplace(service, addresses, now);
    auto& [known, since] = it->second;
    if (known != addresses) {
        known = addresses;
        since = now;
    }
    return !addresses.empty() && now >= since + settleTime;
}

std::optional<LayerPlans> LayerController::plan(const std::vector<routes::Service>& services, const LayerPlans& committed, const std::vector<const UpstreamRecord*>& upstreams, base::TimePoint now)
{
    LayerPlans next = committed;
    bool isChanged = false;
    for (const auto& service : services) {
        if (!service.model)
            continue;
        auto cards = cardsOf(service, upstreams);
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
        // A new leader does not know all engines yet, so a missing engine does not
        // mean that it was lost.
        if (!leaderSince_)
            leaderSince_ = now;
        if (now < *leaderSince_ + newLeaderDelay)
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

std::vector<LayerCommand> LayerController::dueCommands(const std::vector<routes::Service>& services, const LayerPlans& committed, const std::vector<const UpstreamRecord*>& upstreams, base::TimePoint now)
{
    std::vector<LayerCommand> commands;
    for (const auto& service : services) {
        auto plan = committed.find(service.name);
        if (!service.model || plan == committed.end())
            continue;
        for (const auto* upstream : upstreams) {
            if (upstream->service != service.name || upstream->state != UpstreamState::Ready)
                continue;
            const auto* slice = plan->second.findSlice(upstream->endpoint().text());
            // Another engine, with less memory, may have got the address.
            const auto* kind = service.model->findAcceleratorKind(upstream->accelerator);
            const bool isTooSmall = slice && kind && !holdsLayers(*service.model, kind->megabytes, slice->range);
            if (!slice || isTooSmall || slice->range == upstream->layers) {
                sent_.erase(upstream->id);
                continue;
            }
            auto [it, inserted] = sent_.try_emplace(upstream->id, SentCommand { slice->range, now });
            auto& sent = it->second;
            if (!inserted && sent.layers == slice->range && now < sent.retryAt)
                continue;
            double share = static_cast<double>(slice->range.count()) / service.model->layers;
            auto loadTime = std::chrono::duration_cast<std::chrono::milliseconds>(service.model->fullLoadTime * share * loadTimeFactor);
            sent = { slice->range, now + loadTime + loadTimeMargin };
            commands.push_back({ upstream->id, upstream->endpoint(), slice->range });
        }
    }
    return commands;
}

void LayerController::recordResult(const LayerCommand& command, LayerCommandResult result, base::TimePoint now)
{
    auto found = sent_.find(command.upstream);
    if (found == sent_.end() || found->second.layers != command.layers || result == LayerCommandResult::Accepted)
        return;
    found->second.retryAt = now + (result == LayerCommandResult::Refused ? refusedRetryDelay : unknownRetryDelay);
}

void LayerController::reset()
{
    planners_.clear();
    seenEngines_.clear();
    sent_.clear();
    leaderSince_.reset();
}

} // namespace arbutus::placement
