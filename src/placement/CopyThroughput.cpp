#include "include/placement/CopyThroughput.h"

#include <algorithm>
#include <limits>

namespace arbutus::placement {

using routes::LayeredModel;

static constexpr double bytesPerMegabyte = 1e6;
// Engines preempt streams when their memory is full, so some of it is left free.
static constexpr double usableMemoryShare = 0.95;
// Over its lifetime, a stream holds its prompt and on average this share of its answer;
// the excess over one half covers variation in length.
static constexpr double heldAnswerShare = 0.65;
// Slower tokens exceed the pause between events that callers accept.
static constexpr double maxTokenMilliseconds = 50;

static double heldTokens(const LayeredModel& model) { return std::max(1.0, model.typicalPromptTokens + heldAnswerShare * model.typicalAnswerTokens); }

double streamCapacity(const LayeredModel& model, const std::vector<Card>& cards, const std::vector<fleet::LayerRange>& ranges)
{
    double bytesPerStreamAndLayer = model.cacheBytesPerToken / model.layers * heldTokens(model);
    double streams = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < cards.size(); ++i) {
        int layers = ranges[i].count();
        if (!layers)
            continue;
        double freeBytes = (cards[i].megabytes - layers * model.layerMegabytes) * bytesPerMegabyte;
        streams = std::min(streams, usableMemoryShare * std::max(0.0, freeBytes) / (layers * bytesPerStreamAndLayer));
    }
    return model.slots ? std::min<double>(streams, model.slots) : streams;
}

// Returns the mean step time factor over all layers.
static double meanStepTimeFactor(const LayeredModel& model, const std::vector<Card>& cards, const std::vector<fleet::LayerRange>& ranges)
{
    double sum = 0;
    for (std::size_t i = 0; i < cards.size(); ++i)
        sum += cards[i].stepTimeFactor * ranges[i].count();
    return sum / model.layers;
}

double streamsPerSecond(const LayeredModel& model, const std::vector<Card>& cards, const std::vector<fleet::LayerRange>& ranges)
{
    double perStream = model.perSequenceMilliseconds + model.contextMillisecondsPerThousandTokens * heldTokens(model) / 1000;
    if (!model.slots || perStream <= 0 || model.typicalAnswerTokens <= 0)
        return 0;
    double factor = meanStepTimeFactor(model, cards, ranges);
    double maxStreams = std::max(0.0, (maxTokenMilliseconds / factor - model.stepMilliseconds) / perStream);
    double streams = std::min(streamCapacity(model, cards, ranges), maxStreams);
    double tokenMilliseconds = factor * (model.stepMilliseconds + perStream * streams);
    return streams * 1000 / (model.typicalAnswerTokens * tokenMilliseconds);
}

} // namespace arbutus::placement
