#pragma once

#include "include/streams/Step.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::fakes {

// A deterministic fake model. An activation is a checksum chained through every
// layer and every earlier position. An answer is therefore a pure function of
// model, version, adapter and prompt, and a skipped, repeated, reordered or foreign
// step changes every later token.

// Returns the ids of the prompt's words.
std::vector<std::uint32_t> tokenize(const std::string& prompt);

// Returns the input of layer 0 for one position.
std::uint64_t embed(const std::string& model, const std::string& version, const std::string& adapter, std::uint32_t tokenId, std::uint64_t position);

// KV cache of one layer for one stream.
class LayerCache {
public:
    // Runs the layer for the next position and returns its output.
    std::uint64_t run(std::uint32_t layer, std::uint64_t input);

    std::uint64_t value() const { return value_; }
    void setValue(std::uint64_t value) { value_ = value; }

private:
    std::uint64_t value_ = 0;
};

// Returns the token for an output of the last layer.
streams::Token tokenFor(std::uint64_t output);
bool isEndToken(const streams::Token&);

std::string encodeActivations(const std::vector<std::uint64_t>&);
// Returns an empty vector if the text is not a valid encoding.
std::vector<std::uint64_t> decodeActivations(const std::string&);

// Returns the complete answer that a caller must receive.
std::vector<streams::Token> expectedAnswer(const std::string& model, const std::string& version, const std::string& adapter, const std::string& prompt, std::uint32_t layerCount, std::uint32_t maxTokens);
// Returns expectedAnswer() as the concatenated token texts.
std::string expectedText(const std::string& model, const std::string& version, const std::string& adapter, const std::string& prompt, std::uint32_t layerCount, std::uint32_t maxTokens);

} // namespace arbutus::fakes
