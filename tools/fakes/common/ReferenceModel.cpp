#include "tools/fakes/common/ReferenceModel.h"

#include "include/base/Digest.h"
#include "include/base/Settings.h"

#include <fmt/format.h>

#include <charconv>

namespace arbutus::fakes {

static constexpr std::uint32_t vocabularySize = 65536;
static constexpr std::uint32_t endTokenInterval = 251;
static constexpr std::size_t activationDigits = 16;

static std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::vector<std::uint32_t> tokenize(const std::string& prompt)
{
    std::vector<std::uint32_t> ids;
    for (const auto& word : base::splitText(prompt, ' ')) {
        if (!word.empty())
            ids.push_back(static_cast<std::uint32_t>(base::hash64(word) % vocabularySize));
    }
    return ids;
}

std::uint64_t embed(const std::string& model, const std::string& version, const std::string& adapter, std::uint32_t tokenId, std::uint64_t position)
{
    std::uint64_t identity = base::hash64(model + '\n' + version + '\n' + adapter);
    return mix(identity ^ mix(tokenId) ^ mix(position + 0x9e3779b97f4a7c15ULL));
}

std::uint64_t LayerCache::run(std::uint32_t layer, std::uint64_t input)
{
    value_ = mix(value_ ^ input ^ (static_cast<std::uint64_t>(layer) << 32));
    return mix(input + value_ + layer);
}

streams::Token tokenFor(std::uint64_t output)
{
    auto id = static_cast<std::uint32_t>(output % vocabularySize);
    return { id, fmt::format(" w{:04x}", id) };
}

bool isEndToken(const streams::Token& token) { return token.id % endTokenInterval == 0; }

std::string encodeActivations(const std::vector<std::uint64_t>& activations)
{
    std::string text;
    for (auto activation : activations)
        text += fmt::format("{:016x}", activation);
    return text;
}

std::vector<std::uint64_t> decodeActivations(const std::string& text)
{
    std::vector<std::uint64_t> activations;
    if (text.size() % activationDigits)
        return activations;
    for (std::size_t i = 0; i < text.size(); i += activationDigits) {
        std::uint64_t value = 0;
        const char* end = text.data() + i + activationDigits;
        if (auto [last, error] = std::from_chars(text.data() + i, end, value, 16); error != std::errc() || last != end)
            return {};
        activations.push_back(value);
    }
    return activations;
}

std::vector<streams::Token> expectedAnswer(const std::string& model, const std::string& version, const std::string& adapter, const std::string& prompt, std::uint32_t layerCount, std::uint32_t maxTokens)
{
    std::vector<LayerCache> layers(layerCount);
    std::uint64_t position = 0;
    auto run = [&](std::uint32_t tokenId) {
        std::uint64_t value = embed(model, version, adapter, tokenId, position++);
        for (std::uint32_t layer = 0; layer < layerCount; ++layer)
            value = layers[layer].run(layer, value);
        return value;
    };
    std::uint64_t output = 0;
    for (auto id : tokenize(prompt))
        output = run(id);
    std::vector<streams::Token> answer;
    while (answer.size() < maxTokens) {
        answer.push_back(tokenFor(output));
        if (isEndToken(answer.back()))
            break;
        output = run(answer.back().id);
    }
    return answer;
}

std::string expectedText(const std::string& model, const std::string& version, const std::string& adapter, const std::string& prompt, std::uint32_t layerCount, std::uint32_t maxTokens)
{
    std::string text;
    for (const auto& token : expectedAnswer(model, version, adapter, prompt, layerCount, maxTokens))
        text += token.text;
    return text;
}

} // namespace arbutus::fakes
