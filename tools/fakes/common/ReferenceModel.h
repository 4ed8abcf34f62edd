#pragma once

#include "include/streams/Step.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::fakes {

// A deterministic stand-in for a model. An activation is a checksum chained
// through every layer and every earlier position, so an answer is a pure function
// of model, version, adapter and prompt, and a skipped, repeated, swapped or
// foreign step changes every token after it.

// Returns the ids of the prompt's words.
std::vector<std::uint32_t> tokenize(const std::string& prompt);

// Returns the input of layer 0 for one position.
std::uint64_t embed(const std::string& model, const std::string& version, const std::string& adapter, std::uint32_t tokenId, std::uint64_t position);

// One layer's state over the positions of one stream; its KV cache.
class LayerCache {
public:
    // Runs the layer for the next position and returns its output.
    std::uint64_t run(std::uint32_t layer, std::uint64_t input);

    std::uint64_t value() const { return value_; }
    void setValue(std::uint64_t value) { value_ = value; }

private:
    std::uint64_t value_ = 0;
};

// Derives the token from the last layer's output.
streams::Token tokenFor(std::uint64_t output);
bool isEndToken(const streams::Token&);

std::string encodeActivations(const std::vector<std::uint64_t>&);
// Returns an empty list for text that is not an encoding.
std::vector<std::uint64_t> decodeActivations(const std::string&);

// Returns the whole answer as a caller must receive it.
std::vector<streams::Token> expectedAnswer(const std::string& model, const std::string& version, const std::string& adapter, const std::string& prompt, std::uint32_t layerCount, std::uint32_t maxTokens);
// The same as text, words joined as the engines join them.
std::string expectedText(const std::string& model, const std::string& version, const std::string& adapter, const std::string& prompt, std::uint32_t layerCount, std::uint32_t maxTokens);

} // namespace arbutus::fakes
