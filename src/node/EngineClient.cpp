#include "src/node/EngineClient.h"

#include "include/base/Logger.h"

#include <algorithm>

namespace arbutus::node {

static constexpr base::Logger logger("control");

static constexpr std::chrono::milliseconds commandTimeout(1000);
static constexpr std::chrono::milliseconds pollInterval(1000);
static constexpr std::chrono::milliseconds pollTimeout(600);
static constexpr double keepAliveFraction = 0.7;

EngineClient::EngineClient(boost::asio::io_context& context, const PlatformCodec& codec, fleet::UpstreamRegistry& registry, std::string registrar, StatusChangeCallback statusChangeCallback)
    : codec_(codec)
    , registry_(registry)
    , registrar_(std::move(registrar))
    , statusChangeCallback_(std::move(statusChangeCallback))
    , pool_(context)
{
}

EngineClient::~EngineClient() { *isAlive_ = false; }

void EngineClient::startCall(std::shared_ptr<forwarding::UpstreamConnection> connection, std::string request, std::chrono::milliseconds timeout, forwarding::ControlCall::Callback done)
{
    auto call = std::make_shared<forwarding::ControlCall>(std::move(connection), [done = std::move(done), isAlive = std::weak_ptr<bool>(isAlive_)](const auto& answer) {
        if (auto alive = isAlive.lock(); alive && *alive)
            done(answer);
    });
    calls_.push_back(call);
    call->send(std::move(request), base::TimePoint(std::chrono::steady_clock::now()) + timeout);
}

void EngineClient::endOverdueCalls()
{
    for (auto& call : calls_)
        call->tick(std::chrono::steady_clock::now());
    calls_.erase(std::remove_if(calls_.begin(), calls_.end(), [](const auto& call) { return call->isFinished(); }), calls_.end());
}

void EngineClient::sendCommand(const placement::LayerCommand& command, std::uint64_t term, CommandCallback done)
{
    logger.info("Sending a layer command to an engine.", { { "upstream", command.upstream }, { "address", command.endpoint.text() }, { "from", command.layers.from }, { "to", command.layers.to } });
    // Answers to calls do not name their call, so a late copy of an earlier answer on a kept
    // connection would pass for the answer to this command.
    startCall(pool_.create(command.endpoint), codec_.layerCommandRequest(command, term), commandTimeout, [this, upstream = command.upstream, done = std::move(done)](const auto& answer) {
        auto result = answer ? codec_.decodeLayerCommandStatus(answer->status) : placement::LayerCommandResult::Unknown;
        if (result != placement::LayerCommandResult::Accepted)
            logger.info("A layer command was not accepted.", { { "upstream", upstream }, { "status", answer ? answer->status : 0 } });
        done(result);
    });
}

// Heartbeats do not show that an engine has slowed down, and an engine's layers can
// change between two heartbeats.
void EngineClient::pollEngines(base::TimePoint now)
{
    std::map<std::string, base::TimePoint> nextPollAt;
    for (const auto* upstream : registry_.all()) {
        bool isEngine = !upstream->accelerator.empty() && upstream->state == fleet::UpstreamState::Ready;
        if (!isEngine || upstream->registrar != registrar_)
            continue;
        auto known = nextPollAt_.find(upstream->id);
        auto due = known == nextPollAt_.end() ? now : known->second;
        if (now >= due) {
            pollEngine(*upstream);
            due = now + pollInterval;
        }
        nextPollAt[upstream->id] = due;
    }
    nextPollAt_ = std::move(nextPollAt);
    pool_.tick(std::chrono::steady_clock::now());
}

void EngineClient::pollEngine(const fleet::UpstreamRecord& engine)
{
    auto connection = pool_.acquire(engine.endpoint(), keepAliveFraction, std::chrono::steady_clock::now());
    startCall(std::move(connection), codec_.engineStatusRequest(engine), pollTimeout, [this, id = engine.id, startedAtMilliseconds = engine.startedAtMilliseconds](const auto& answer) {
        if (!answer || answer->status != 200)
            return;
        auto status = codec_.decodeEngineStatus(answer->body);
        if (!status) {
            logger.warning("Failed to decode the status of an engine.", { { "upstream", id }, { "reason", status.error().detail } });
            return;
        }
        if (registry_.applyStatus(id, startedAtMilliseconds, status.value().slowdownFactor, status.value().layers, clock_.now()))
            statusChangeCallback_();
    });
}

} // namespace arbutus::node
