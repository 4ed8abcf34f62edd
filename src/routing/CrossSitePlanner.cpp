#include "include/routing/CrossSitePlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus::routing {

using Seconds = std::chrono::duration<double>;
using routes::LayeredModel;

// Arrivals vary by chance, and so does the number of streams, with the square root of its
// mean as standard deviation. Two of these remain free.
static constexpr double freeDeviations = 2;
static constexpr double minTargetUse = 0.7;
static constexpr double maxTargetUse = 0.95;
// The part of its capacity that a data centre keeps for its own streams in addition, before
// it takes those of others. Two equally full data centres exchange none.
static constexpr double keptShare = 0.05;
// Utilisation of the prefills up to which the first event waits for twice the prefill time
// on average (queue with Poisson arrivals and constant service time).
static constexpr double maxPrefillUse = 0.8;
static constexpr double firstEventPrefills = 3;
// The part of a link that streams of one service may take; the other half remains for
// activations, loads and control messages.
static constexpr double maxLinkShare = 0.5;
// Bytes of a prompt token in a request, and of an event beyond its tokens.
static constexpr double bytesPerToken = 6;
static constexpr double bytesPerEvent = 200;
// Time to fill or empty a data centre to its target. Shorter ones overshoot, as rates are
// averages over a second.
static constexpr Seconds minHorizon(1);
// Time constant of changes of the shares.
static constexpr Seconds dampingTime(0.5);
// Smaller shares are not worth new connections.
static constexpr double minShare = 0.02;

static double targetUse(const DataCentreState& state) { return std::clamp(1 - freeDeviations / std::sqrt(std::max(1.0, state.streams)), minTargetUse, maxTargetUse); }

static double streamRate(const DataCentreState& state) { return targetUse(state) * state.streams / std::max(Seconds(1e-3), Seconds(state.holdTime)).count(); }

// Returns the streams per second that may begin so that the data centre reaches its target
// use within a horizon: the streams that end, and the free room.
static double roomRate(const DataCentreState& state)
{
    if (state.streams <= 0)
        return 0;
    auto hold = std::max(Seconds(1e-3), Seconds(state.holdTime));
    auto horizon = std::min(hold, std::max(hold / 2, minHorizon));
    double rate = (targetUse(state) * state.streams - state.running) / horizon.count() + state.running / hold.count();
    return std::clamp(rate, 0.0, state.prefillsPerSecond);
}

void addCopies(DataCentreStates& states, const std::vector<ModelCopy>& copies, int tokensPerEvent, double typicalAnswer, const StreamAims& aims)
{
    for (const auto& copy : copies) {
        auto tokenAim = aims.pause / std::max(1, tokensPerEvent);
        double streams = copy.streams;
        if (copy.tokenTimePerStream.count() > 0)
            streams = std::min(streams, (tokenAim - copy.tokenTime) / copy.tokenTimePerStream);
        if (streams < 1 || copy.tokenTime > tokenAim || copy.prefillTime > aims.firstEvent)
            continue;
        auto tokenTime = copy.tokenTime + copy.tokenTimePerStream * streams;
        auto holdTime = copy.prefillTime + tokenTime * typicalAnswer;
        auto& state = states[copy.dataCentre];
        double total = state.streams + streams;
        double part = streams / total;
        // The mean of the rates at which streams end, not of the times.
        state.holdTime = state.streams > 0 ? FractionalMilliseconds(total / (state.streams / state.holdTime.count() + streams / holdTime.count())) : holdTime;
        state.firstEvent += ((firstEventPrefills * copy.prefillTime + tokenTime * tokensPerEvent) - state.firstEvent) * part;
        state.pause += (tokenTime * tokensPerEvent - state.pause) * part;
        state.prefillsPerSecond += maxPrefillUse / std::max(Seconds(1e-6), Seconds(copy.slowestPrefill)).count();
        state.streams = total;
        state.running += copy.running;
    }
}

// Returns the largest flow over a link.
static double maxFlow(const LayeredModel& model)
{
    if (model.crossDataCentreMegabitsPerSecond <= 0)
        return std::numeric_limits<double>::infinity();
    double events = model.typicalAnswerTokens / std::max(1, model.tokensPerEvent);
    double bytes = (model.typicalPromptTokens + model.typicalAnswerTokens) * bytesPerToken + events * bytesPerEvent;
    return maxLinkShare * model.crossDataCentreMegabitsPerSecond * 1e6 / (8 * std::max(1.0, bytes));
}

static bool keepsAims(const DataCentreState& target, FractionalMilliseconds delay, const StreamAims& aims)
{
    return target.firstEvent + 2 * delay <= aims.firstEvent && target.pause + delay <= aims.pause;
}

namespace {

// Distributes flows over the capacity that is left.
class FlowPlan {
public:
    FlowPlan(const DataCentreStates& states, const LayeredModel& model, const StreamAims& aims)
        : states_(states)
        , model_(model)
        , aims_(aims)
    {
        for (const auto& [id, state] : states)
            spare_[id] = std::max(0.0, roomRate(state) - keptShare * streamRate(state) - state.arrivals);
    }

    CrossFlows run()
    {
        // These have no other choice, so they come first.
        for (const auto& [id, state] : states_) {
            if (state.streams <= 0)
                sendAll(id, state.arrivals);
        }
        sendExcess();
        return std::move(flows_);
    }

private:
    using Weights = std::map<std::string, double>;

    // Returns the targets of `from`, with the capacity that is left there.
    Weights targets(const std::string& from, bool needsAims) const
    {
        Weights result;
        for (const auto& [id, state] : states_) {
            auto delay = model_.delayBetween(from, id);
            if (id != from && state.streams > 0 && delay && (!needsAims || keepsAims(state, *delay, aims_)))
                result[id] = spare_.at(id);
        }
        return result;
    }

    static double sum(const Weights& weights)
    {
        double result = 0;
        for (const auto& [id, weight] : weights)
            result += weight;
        return result;
    }

    // Fills what is left, and divides the rest by capacity.
    void sendAll(const std::string& from, double arrivals)
    {
        // A plan is also needed for arrivals that are not yet known.
        double amount = std::max(arrivals, 1e-3);
        auto left = targets(from, false);
        double total = sum(left);
        Weights capacity;
        for (const auto& [id, spare] : left)
            capacity[id] = streamRate(states_.at(id));
        double capacitySum = sum(capacity);
        double filled = total > 0 ? std::min(1.0, amount / total) : 0;
        for (const auto& [id, spare] : left) {
            flows_[from][id] = spare * filled + capacity[id] / capacitySum * std::max(0.0, amount - total);
            spare_[id] = std::max(0.0, spare_[id] - flows_[from][id]);
        }
    }

    void sendExcess()
    {
        CrossFlows wanted;
        Weights inflow;
        for (const auto& [from, state] : states_) {
            double excess = std::max(0.0, state.arrivals - roomRate(state));
            auto left = state.streams > 0 && excess > 0 ? targets(from, true) : Weights();
            double total = sum(left);
            for (const auto& [id, spare] : left) {
                if (spare <= 0)
                    continue;
                wanted[from][id] = std::min({ excess * spare / total, spare, maxFlow(model_) });
                inflow[id] += wanted[from][id];
            }
        }
        for (const auto& [from, flows] : wanted) {
            for (const auto& [id, flow] : flows)
                flows_[from][id] = flow * std::min(1.0, spare_.at(id) / inflow.at(id));
        }
    }

    const DataCentreStates& states_;
    const LayeredModel& model_;
    const StreamAims& aims_;
    Weights spare_;
    CrossFlows flows_;
};

} // namespace

CrossFlows planFlows(const DataCentreStates& states, const LayeredModel& model, const StreamAims& aims) { return FlowPlan(states, model, aims).run(); }

void CrossSitePlanner::update(const DataCentreStates& states, const LayeredModel& model, const StreamAims& aims, base::TimePoint now)
{
    auto flows = planFlows(states, model, aims);
    inflows_.clear();
    for (const auto& [id, state] : states)
        inflows_[id] += state.arrivals;
    for (const auto& [from, targets] : flows) {
        for (const auto& [id, flow] : targets) {
            inflows_[from] -= flow;
            inflows_[id] += flow;
        }
    }
    auto home = states.find(dataCentre_);
    bool hasCopies = home != states.end() && home->second.streams > 0;
    double arrivals = home == states.end() ? 0 : home->second.arrivals;
    const auto& ownFlows = flows[dataCentre_];
    double sum = 0;
    for (const auto& [id, flow] : ownFlows)
        sum += flow;
    // Without copies, all streams leave. Otherwise the shares refer to the arrivals.
    double whole = hasCopies ? std::max(arrivals, sum) : sum;
    double weight = hasCopies ? 1 - std::exp(-std::max(0.0, Seconds(now - updatedAt_) / dampingTime)) : 1;
    updatedAt_ = now;
    Shares next;
    for (const auto& [id, state] : states) {
        if (id == dataCentre_ || state.streams <= 0)
            continue;
        auto flow = ownFlows.find(id);
        double target = flow == ownFlows.end() || whole <= 0 ? 0 : flow->second / whole;
        auto known = shares_.find(id);
        double share = known == shares_.end() ? 0 : known->second;
        share += weight * (target - share);
        if (target >= minShare || share >= minShare)
            next[id] = share;
    }
    shares_ = std::move(next);
}

double CrossSitePlanner::inflow(const std::string& dataCentre) const
{
    auto found = inflows_.find(dataCentre);
    return found == inflows_.end() ? 0 : std::max(0.0, found->second);
}

std::string ShareSequence::next(const CrossSitePlanner::Shares& shares, const std::string& home)
{
    auto all = shares;
    double homeShare = 1;
    for (const auto& [id, share] : shares)
        homeShare -= share;
    if (homeShare > 1e-9 || shares.empty())
        all[home] = homeShare;
    for (auto it = owed_.begin(); it != owed_.end();)
        it = all.count(it->first) ? std::next(it) : owed_.erase(it);
    for (const auto& [id, share] : all)
        owed_.try_emplace(id, id == home ? 0 : -phase_).first->second += share;
    auto most = std::max_element(owed_.begin(), owed_.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    most->second -= 1;
    return most->first;
}

} // namespace arbutus::routing
