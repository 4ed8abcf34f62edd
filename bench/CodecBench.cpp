#include "bench/Bench.h"

#include "include/streams/ChannelCodec.h"

#include <cpprest/json.h>
#include <fmt/format.h>

#include <chrono>

namespace arbutus::bench {

using streams::StageStep;
using web::json::value;

static constexpr int rounds = 20000;

static StageStep makeStep(std::size_t activationBytes)
{
    StageStep step;
    step.id = { "entry-1-661c8df42edb4-123456", 1, 120, 1, 16, 31 };
    step.model = "scriba";
    step.version = "4.2";
    step.adapter = "catalogo-it";
    step.priority = 6;
    step.activation.assign(activationBytes, 'a');
    return step;
}

// Encodes the same content as newline-delimited JSON, for comparison.
static std::string encodeJson(const StageStep& step)
{
    value object = value::object();
    object["stream"] = value::string(step.id.stream);
    object["attempt"] = value::number(step.id.attempt);
    object["position"] = value::number(step.id.position);
    object["count"] = value::number(step.id.count);
    object["firstLayer"] = value::number(step.id.firstLayer);
    object["lastLayer"] = value::number(step.id.lastLayer);
    object["model"] = value::string(step.model);
    object["version"] = value::string(step.version);
    object["adapter"] = value::string(step.adapter);
    object["priority"] = value::number(step.priority);
    object["activation"] = value::string(step.activation);
    return object.serialize() + "\n";
}

static StageStep decodeJson(const std::string& text)
{
    auto object = value::parse(text);
    StageStep step;
    step.id.stream = object.at("stream").as_string();
    step.id.attempt = object.at("attempt").as_number().to_uint32();
    step.id.position = object.at("position").as_number().to_uint32();
    step.id.count = object.at("count").as_number().to_uint32();
    step.id.firstLayer = object.at("firstLayer").as_number().to_uint32();
    step.id.lastLayer = object.at("lastLayer").as_number().to_uint32();
    step.model = object.at("model").as_string();
    step.version = object.at("version").as_string();
    step.adapter = object.at("adapter").as_string();
    step.priority = object.at("priority").as_integer();
    step.activation = object.at("activation").as_string();
    return step;
}

template <typename Work>
static double microsecondsEach(const Work& work)
{
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
        work();
    std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / rounds;
}

void benchCodec()
{
    fmt::print("codec,activation_bytes,message_bytes,encode_and_decode_us\n");
    for (std::size_t bytes : { 16U, 256U, 4096U, 16384U }) {
        StageStep step = makeStep(bytes);
        streams::ChannelDecoder decoder(1 << 20);
        std::size_t size = streams::encodeChannelMessage(step).size();
        double packed = microsecondsEach([&] {
            decoder.feed(streams::encodeChannelMessage(step));
            if (!decoder.next().value())
                std::abort();
        });
        fmt::print("msgpack,{},{},{:.2f}\n", bytes, size, packed);
        double json = microsecondsEach([&] {
            if (decodeJson(encodeJson(step)).activation.size() != bytes)
                std::abort();
        });
        fmt::print("json,{},{},{:.2f}\n", bytes, encodeJson(step).size(), json);
    }
}

} // namespace arbutus::bench
