#include "include/placement/LayerPlanner.h"

#include "include/placement/CopyThroughput.h"
#include "src/state/Unpack.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace arbutus::placement {

using fleet::LayerRange;
using routes::LayeredModel;

// A copy is worth its layers only if its free memory fits this many typical requests.
static constexpr double minRequestsPerCopy = 28;
// A plan with fewer copies must complete this many times the streams of one with more: a
// lost card takes its whole copy out of use, and that is a larger part of few copies.
static constexpr double minGainOfFewerCopies = 1.1;
// Lower bound for a copy whose layers are split again after it lost a card.
static constexpr double minRequestsAfterResplit = 20;
// Lower bound for a lost slice that moves to spare cards: little capacity is better
// than an incomplete copy.
static constexpr double minRequestsAfterLoss = 8;
// A crashed engine usually restarts at its address within seconds and reloads only its
// own slice. A spare card takes over sooner, after this delay.
static constexpr std::chrono::milliseconds spareTakeoverDelay(800);
// A copy that is split again is unusable until all streams on the released layers have
// ended, which takes longer than most engine restarts.
static constexpr std::chrono::milliseconds resplitDelay(5000);
static constexpr double bytesPerMegabyte = 1e6;

const LayerSlice* LayerPlan::findSlice(const std::string& address) const
{
    auto found = std::find_if(slices.begin(), slices.end(), [&address](const LayerSlice& slice) { return slice.cardAddress == address; });
    return found == slices.end() ? nullptr : &*found;
}

bool holdsLayers(const LayeredModel& model, double megabytes, const LayerRange& range) { return range.count() * model.layerMegabytes <= megabytes; }

std::string encodePlans(const LayerPlans& plans)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, plans);
    return { buffer.data(), buffer.size() };
}

base::Result<LayerPlans> decodePlans(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, state::unpackLimit(bytes.size()))->as<LayerPlans>();
    } catch (const std::exception&) {
        return base::makeError(base::ErrorKind::MalformedFrame, "the layer plans are malformed");
    }
}

static double totalMegabytes(const std::vector<Card>& cards)
{
    return std::accumulate(cards.begin(), cards.end(), 0.0, [](double sum, const Card& card) { return sum + card.megabytes; });
}

static double typicalRequestTokens(const LayeredModel& model) { return std::max(1.0, model.typicalPromptTokens + model.typicalAnswerTokens); }

// Returns the memory of one layer with its cache for `tokens` tokens of requests.
static double layerMegabytesWithCache(const LayeredModel& model, double tokens) { return model.layerMegabytes + model.cacheBytesPerToken / model.layers / bytesPerMegabyte * tokens; }

// Distributes the layers so that the card with the least memory per layer has as much as
// possible (D'Hondt's method), because that card limits the streams of the whole copy.
static std::vector<int> countLayers(const LayeredModel& model, const std::vector<Card>& cards)
{
    std::vector<int> counts(cards.size(), 0);
    for (int assigned = 0; assigned < model.layers; ++assigned) {
        std::size_t best = 0;
        for (std::size_t i = 1; i < cards.size(); ++i) {
            if (cards[i].megabytes / (counts[i] + 1) > cards[best].megabytes / (counts[best] + 1))
                best = i;
        }
        ++counts[best];
    }
    return counts;
}

std::optional<std::vector<LayerRange>> splitLayers(const LayeredModel& model, const std::vector<Card>& cards, double minTokens)
{
    if (cards.empty() || totalMegabytes(cards) < model.layers * layerMegabytesWithCache(model, minTokens))
        return std::nullopt;
    auto counts = countLayers(model, cards);
    std::vector<LayerRange> ranges;
    int from = 0;
    for (std::size_t i = 0; i < cards.size(); ++i) {
        if (!holdsLayers(model, cards[i].megabytes, { 0, counts[i] }))
            return std::nullopt;
        ranges.push_back({ from, from + counts[i] });
        from += counts[i];
    }
    return ranges;
}

// Sorts fast cards first, so that a few slow cards do not slow down every copy.
static void sortFastestFirst(std::vector<Card>& cards)
{
    std::sort(cards.begin(), cards.end(), [](const Card& left, const Card& right) { return std::tie(left.stepTimeFactor, left.address) < std::tie(right.stepTimeFactor, right.address); });
}

// Divides sorted cards into `count` groups with about the same total memory.
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

// A division of cards into copies of the model.
struct CopySplit {
    std::vector<std::vector<Card>> groups;
    std::vector<std::vector<LayerRange>> ranges;
    // Of all copies together; 0 if the model states too little to tell.
    double streamsPerSecond = 0;
};

// Divides `cards`, sorted by speed, into `count` copies. Returns nullopt if one of them
// lacks memory.
static std::optional<CopySplit> splitIntoCopies(const LayeredModel& model, const std::vector<Card>& cards, std::size_t count, double minTokens)
{
    CopySplit split;
    split.groups = groupByMemory(cards, count);
    for (const auto& group : split.groups) {
        auto ranges = splitLayers(model, group, minTokens);
        if (!ranges)
            return std::nullopt;
        split.streamsPerSecond += streamsPerSecond(model, group, *ranges);
        split.ranges.push_back(std::move(*ranges));
    }
    return split;
}

// Adds the copies that complete most streams on `cards`; if the model does not tell, as
// many as fit. Returns false if none fits.
static bool addCopies(LayerPlan& plan, const LayeredModel& model, std::vector<Card> cards)
{
    sortFastestFirst(cards);
    double minTokens = minRequestsPerCopy * typicalRequestTokens(model);
    auto maxCopies = static_cast<std::size_t>(totalMegabytes(cards) / (model.layers * layerMegabytesWithCache(model, minTokens)));
    std::optional<CopySplit> best;
    for (auto count = maxCopies; count; --count) {
        auto split = splitIntoCopies(model, cards, count, minTokens * 0.9);
        if (split && (!best || split->streamsPerSecond > best->streamsPerSecond * minGainOfFewerCopies))
            best = std::move(split);
    }
    if (!best)
        return false;
    for (std::size_t i = 0; i < best->groups.size(); ++i)
        addCopy(plan, best->groups[i], best->ranges[i]);
    return true;
}

LayerPlan LayerPlanner::plan(const LayeredModel& model, const std::vector<Card>& cards)
{
    std::map<std::string, std::vector<Card>> dataCentres;
    for (const auto& card : cards) {
        if (!card.isLeaving)
            dataCentres[card.dataCentre].push_back(card);
    }
    LayerPlan plan;
    std::vector<Card> leftoverCards;
    for (const auto& [dataCentre, local] : dataCentres) {
        if (!addCopies(plan, model, local))
            leftoverCards.insert(leftoverCards.end(), local.begin(), local.end());
    }
    addCopies(plan, model, std::move(leftoverCards));
    return plan;
}

// State of one repair pass over a plan.
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

    // Returns since when the slice has no usable card, or nullopt if its card is present,
    // not leaving and large enough.
    std::optional<base::TimePoint> vacantSince(const LayerSlice& slice)
    {
        auto found = present.find(slice.cardAddress);
        const bool isPresent = found != present.end();
        if (isPresent && !found->second.isLeaving && holdsLayers(model, found->second.megabytes, slice.range)) {
            missingSince.erase(slice.cardAddress);
            return std::nullopt;
        }
        auto since = missingSince.emplace(slice.cardAddress, now).first->second;
        // A leaving card does not return, nor does one whose address a smaller one has, so the
        // delays are skipped.
        return isPresent ? now - resplitDelay : since;
    }

    // Assigns vacant slices to spare cards. A slice is divided among several cards only if
    // no single one can hold it.
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

    // Assigns `slice` to the smallest spare card that can hold it, or divides it among as
    // few cards as possible. Prefers cards in the data centre of the slice. Skips cards
    // that hold a slice in `assigned`. Returns an empty vector if the spare cards do not
    // suffice.
    std::vector<LayerSlice> splitOverSpareCards(const LayerSlice& slice, const std::vector<LayerSlice>& assigned) const
    {
        double perLayer = layerMegabytesWithCache(model, minRequestsAfterLoss * typicalRequestTokens(model));
        auto layersOf = [perLayer](const Card& card) { return static_cast<int>(card.megabytes / perLayer); };
        auto candidates = spareCards();
        auto isAssigned = [&assigned](const Card& card) { return std::any_of(assigned.begin(), assigned.end(), [&card](const LayerSlice& other) { return other.cardAddress == card.address; }); };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isAssigned), candidates.end());
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

    // Repairs copies that spare cards cannot complete. Of several broken copies, the one
    // with the most missing layers is removed and its cards complete the others. A single
    // broken copy is split over its remaining cards if they have enough memory. Complete
    // copies do not change, because they serve all streams in the meantime.
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
            // Must run before addCopiesFromSpareCards() uses the released cards.
            assignSpareCards();
            return;
        }
        auto before = plan.slices;
        auto remaining = remainingCards(worst->first);
        removeCopy(worst->first);
        if (tryResplit(remaining, minRequestsAfterResplit))
            isChanged = true;
        else
            plan.slices = std::move(before);
    }

    // A remaining card of a copy, with the midpoint of its layer range.
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

    // Splits all layers over the cards in the order of the layers that they hold, so that
    // most loaded layers stay in place. Returns false if the cards lack memory.
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

    // Adds copies from spare cards, within one data centre if possible.
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
