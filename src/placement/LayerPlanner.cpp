#include "include/placement/LayerPlanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace arbutus::placement {

using fleet::LayerRange;
using routes::LayeredModel;

// Requests of the usual size that a copy must have room for to be worth its layers.
static constexpr double minRequestsPerCopy = 28;
// A copy that lost a card and is split anew may have room for fewer.
static constexpr double minRequestsAfterResplit = 20;
// The least that is better than nothing.
static constexpr double minRequestsAfterLoss = 8;
// A crashed engine mostly comes back to its address within seconds and needs only
// its own slice loaded; its slice is given to a spare card sooner than that.
static constexpr std::chrono::milliseconds spareTakeoverDelay(800);
// A copy that is split anew is out of use until the streams on all layers that its
// cards give up have ended, which takes longer than most crashes.
static constexpr std::chrono::milliseconds resplitDelay(5000);
static constexpr double bytesPerMegabyte = 1e6;

const LayerSlice* LayerPlan::findSlice(const std::string& address) const
{
    auto found = std::find_if(slices.begin(), slices.end(), [&address](const LayerSlice& slice) { return slice.cardAddress == address; });
    return found == slices.end() ? nullptr : &*found;
}

std::string encodePlans(const LayerPlans& plans)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, plans);
    return { buffer.data(), buffer.size() };
}

base::Result<LayerPlans> decodePlans(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size())->as<LayerPlans>();
    } catch (const std::exception&) {
        return base::makeError(base::ErrorKind::MalformedFrame, "the layer plans cannot be decoded");
    }
}

static double totalMegabytes(const std::vector<Card>& cards)
{
    return std::accumulate(cards.begin(), cards.end(), 0.0, [](double sum, const Card& card) { return sum + card.megabytes; });
}

static double typicalRequestTokens(const LayeredModel& model) { return std::max(1.0, model.usualPromptTokens + model.usualAnswerTokens); }

// Megabytes that one layer takes with room for `tokens` tokens of requests.
static double layerMegabytesWithCache(const LayeredModel& model, double tokens) { return model.layerMegabytes + model.cacheBytesPerToken / model.layers / bytesPerMegabyte * tokens; }

std::optional<std::vector<LayerRange>> splitLayers(const LayeredModel& model, const std::vector<Card>& cards, double minTokens)
{
    double total = totalMegabytes(cards);
    if (cards.empty() || total < model.layers * layerMegabytesWithCache(model, minTokens))
        return std::nullopt;
    std::vector<int> counts;
    std::vector<std::pair<double, std::size_t>> remainders;
    int assigned = 0;
    for (std::size_t i = 0; i < cards.size(); ++i) {
        double exact = model.layers * cards[i].megabytes / total;
        counts.push_back(static_cast<int>(std::floor(exact)));
        assigned += counts.back();
        remainders.emplace_back(exact - counts.back(), i);
    }
    std::sort(remainders.rbegin(), remainders.rend());
    for (std::size_t i = 0; assigned < model.layers; ++i, ++assigned)
        ++counts[remainders[i % remainders.size()].second];
    std::vector<LayerRange> ranges;
    int from = 0;
    for (std::size_t i = 0; i < cards.size(); ++i) {
        if (counts[i] * model.layerMegabytes > cards[i].megabytes)
            return std::nullopt;
        ranges.push_back({ from, from + counts[i] });
        from += counts[i];
    }
    return ranges;
}

// Fast cards first, so that a copy is not slowed down by a few slow ones.
static void sortFastestFirst(std::vector<Card>& cards)
{
    std::sort(cards.begin(), cards.end(), [](const Card& left, const Card& right) { return std::tie(left.stepTimeFactor, left.address) < std::tie(right.stepTimeFactor, right.address); });
}

// Divides sorted cards into `count` groups of about equal memory.
static std::vector<std::vector<Card>> groupByMemory(const std::vector<Card>& cards, std::size_t count)
{
    std::vector<std::vector<Card>> groups(count);
    double share = totalMegabytes(cards) / static_cast<double>(count);
    double assigned = 0;
    for (const auto& card : cards) {
        auto group = std::min(count - 1, static_cast<std::size_t>((assigned + card.megabytes / 2) / share));
        groups[group].push_back(card);
        assigned += card.megabytes;
    }
    return groups;
}

static void addCopy(LayerPlan& plan, const std::vector<Card>& cards, const std::vector<LayerRange>& ranges)
{
    int copy = 0;
    for (const auto& slice : plan.slices)
        copy = std::max(copy, slice.copy + 1);
    for (std::size_t i = 0; i < cards.size(); ++i) {
        if (ranges[i].count())
            plan.slices.push_back({ copy, ranges[i], cards[i].address, cards[i].dataCentre });
    }
}

// Adds as many copies as the cards have room for; returns false if they have none.
static bool addCopies(LayerPlan& plan, const LayeredModel& model, std::vector<Card> cards)
{
    sortFastestFirst(cards);
    double minTokens = minRequestsPerCopy * typicalRequestTokens(model);
    auto maxCopies = static_cast<std::size_t>(totalMegabytes(cards) / (model.layers * layerMegabytesWithCache(model, minTokens)));
    for (auto count = maxCopies; count; --count) {
        auto groups = groupByMemory(cards, count);
        std::vector<std::vector<LayerRange>> splits;
        for (const auto& group : groups) {
            if (auto ranges = splitLayers(model, group, minTokens * 0.9))
                splits.push_back(*ranges);
        }
        if (splits.size() != groups.size())
            continue;
        for (std::size_t i = 0; i < groups.size(); ++i)
            addCopy(plan, groups[i], splits[i]);
        return true;
    }
    return false;
}

LayerPlan LayerPlanner::plan(const LayeredModel& model, const std::vector<Card>& cards)
{
    std::map<std::string, std::vector<Card>> dataCentres;
    for (const auto& card : cards) {
        if (!card.isLeaving)
            dataCentres[card.dataCentre].push_back(card);
    }
    LayerPlan plan;
    std::vector<Card> rest;
    for (const auto& [dataCentre, local] : dataCentres) {
        if (!addCopies(plan, model, local))
            rest.insert(rest.end(), local.begin(), local.end());
    }
    addCopies(plan, model, std::move(rest));
    return plan;
}

// One pass of repair over a plan.
struct LayerPlanner::Repair {
    const LayeredModel& model;
    std::map<std::string, base::TimePoint>& missingSince;
    base::TimePoint now;
    LayerPlan plan;
    std::map<std::string, Card> present;
    bool isChanged = false;

    std::vector<Card> spareCards() const
    {
        std::vector<Card> result;
        for (const auto& [address, card] : present) {
            if (!card.isLeaving && !plan.findSlice(address))
                result.push_back(card);
        }
        return result;
    }

    // The time since which a slice needs another holder; nothing if it does not.
    std::optional<base::TimePoint> vacantSince(const LayerSlice& slice)
    {
        auto found = present.find(slice.cardAddress);
        if (found != present.end() && !found->second.isLeaving) {
            missingSince.erase(slice.cardAddress);
            return std::nullopt;
        }
        auto since = missingSince.emplace(slice.cardAddress, now).first->second;
        // A leaving card does not come back, so nothing is gained by waiting.
        bool isLeaving = found != present.end();
        return isLeaving ? now - resplitDelay : since;
    }

    // Gives vacant slices to spare cards, one slice to several if it has to be.
    void assignSpareCards()
    {
        std::vector<LayerSlice> filled;
        for (const auto& slice : plan.slices) {
            auto since = vacantSince(slice);
            auto parts = since && now >= *since + spareTakeoverDelay ? splitOverSpareCards(slice, filled) : std::vector<LayerSlice>();
            if (parts.empty())
                parts.push_back(slice);
            else
                isChanged = true;
            filled.insert(filled.end(), parts.begin(), parts.end());
        }
        plan.slices = std::move(filled);
    }

    // The smallest spare card that has room for the whole slice, or else as few
    // cards as possible; nothing if the spare cards do not suffice.
    std::vector<LayerSlice> splitOverSpareCards(const LayerSlice& slice, const std::vector<LayerSlice>& assigned) const
    {
        double perLayer = layerMegabytesWithCache(model, minRequestsAfterLoss * typicalRequestTokens(model));
        auto layersOf = [perLayer](const Card& card) { return static_cast<int>(card.megabytes / perLayer); };
        auto candidates = spareCards();
        auto isTaken = [&assigned](const Card& card) { return std::any_of(assigned.begin(), assigned.end(), [&card](const LayerSlice& other) { return other.cardAddress == card.address; }); };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isTaken), candidates.end());
        std::sort(candidates.begin(), candidates.end(), [&](const Card& left, const Card& right) {
            auto rank = [&](const Card& card) {
                bool fits = layersOf(card) >= slice.range.count();
                return std::make_tuple(card.dataCentre != slice.dataCentre, !fits, fits ? card.megabytes : -card.megabytes);
            };
            return rank(left) < rank(right);
        });
        std::vector<LayerSlice> parts;
        int from = slice.range.from;
        for (const auto& card : candidates) {
            int layers = std::min(layersOf(card), slice.range.to - from);
            if (layers <= 0)
                break;
            parts.push_back({ slice.copy, { from, from + layers }, card.address, card.dataCentre });
            from += layers;
        }
        if (from < slice.range.to)
            parts.clear();
        return parts;
    }

    // What cannot be filled from spare cards: of several broken copies the one that
    // misses most gives its cards to the others; a single one is split over its own
    // cards if they have room. Complete copies are left alone, because they carry
    // all streams meanwhile.
    void repairBrokenCopies()
    {
        std::map<int, int> missingLayers;
        for (const auto& slice : plan.slices) {
            if (auto since = vacantSince(slice); since && now >= *since + resplitDelay)
                missingLayers[slice.copy] += slice.range.count();
        }
        if (missingLayers.empty())
            return;
        auto worst = std::max_element(missingLayers.begin(), missingLayers.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        if (missingLayers.size() > 1) {
            removeCopy(worst->first);
            isChanged = true;
            // Before what is left of its cards becomes a copy of its own.
            assignSpareCards();
            return;
        }
        auto before = plan.slices;
        auto own = remainingCards(worst->first);
        removeCopy(worst->first);
        if (tryResplit(own, minRequestsAfterResplit))
            isChanged = true;
        else
            plan.slices = std::move(before);
    }

    // The cards of a copy that remain, each with the middle of its layers.
    struct PlacedCard {
        double middle = 0;
        Card card;
    };

    std::vector<PlacedCard> remainingCards(int copy) const
    {
        std::vector<PlacedCard> cards;
        for (const auto& slice : plan.slices) {
            auto found = present.find(slice.cardAddress);
            if (slice.copy == copy && found != present.end() && !found->second.isLeaving)
                cards.push_back({ (slice.range.from + slice.range.to) / 2.0, found->second });
        }
        return cards;
    }

    void removeCopy(int copy)
    {
        plan.slices.erase(std::remove_if(plan.slices.begin(), plan.slices.end(), [copy](const LayerSlice& slice) { return slice.copy == copy; }), plan.slices.end());
    }

    // Splits all layers over `cards`, in the order of the layers that they hold, so
    // that most of what is loaded stays. Returns false if they have no room.
    bool tryResplit(std::vector<PlacedCard> placed, double minRequests)
    {
        std::stable_sort(placed.begin(), placed.end(), [](const PlacedCard& left, const PlacedCard& right) { return left.middle < right.middle; });
        std::vector<Card> cards;
        cards.reserve(placed.size());
        for (const auto& entry : placed)
            cards.push_back(entry.card);
        auto ranges = splitLayers(model, cards, minRequests * typicalRequestTokens(model));
        if (ranges)
            addCopy(plan, cards, *ranges);
        return ranges.has_value();
    }

    void addCopiesFromSpareCards()
    {
        auto before = plan.slices.size();
        auto cards = spareCards();
        std::map<std::string, std::vector<Card>> dataCentres;
        for (const auto& card : cards)
            dataCentres[card.dataCentre].push_back(card);
        for (const auto& [dataCentre, local] : dataCentres)
            addCopies(plan, model, local);
        if (plan.slices.size() == before)
            addCopies(plan, model, std::move(cards));
        isChanged = isChanged || plan.slices.size() != before;
    }
};

std::optional<LayerPlan> LayerPlanner::repair(const LayeredModel& model, const LayerPlan& plan, const std::vector<Card>& cards, base::TimePoint now)
{
    Repair repair { model, missingSince_, now, plan, {}, false };
    for (const auto& card : cards)
        repair.present.emplace(card.address, card);
    repair.assignSpareCards();
    repair.repairBrokenCopies();
    repair.addCopiesFromSpareCards();
    if (!repair.isChanged)
        return std::nullopt;
    return repair.plan;
}

} // namespace arbutus::placement
