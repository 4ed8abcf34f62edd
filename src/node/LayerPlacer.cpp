#include "src/node/LayerPlacer.h"

#include "include/base/Logger.h"

namespace arbutus::node {

static constexpr base::Logger logger("control");

static constexpr std::chrono::milliseconds decodeInterval(1000);

LayerPlacer::LayerPlacer(const base::Clock& clock, const PlatformCodec& codec, const fleet::UpstreamRegistry& registry, EngineClient& engineClient, CommitPlan commitPlan)
    : clock_(clock)
    , codec_(codec)
    , registry_(registry)
    , engineClient_(engineClient)
    , commitPlan_(std::move(commitPlan))
{
}

void LayerPlacer::adoptPlan(std::uint64_t revision, const std::string& plan)
{
    if (revision <= planRevision_)
        return;
    planRevision_ = revision;
    auto plans = placement::decodePlans(plan);
    if (plans)
        plans_ = std::move(plans).value();
    else
        logger.error("Failed to decode the committed layer plans.", { { "reason", plans.error().detail } });
}

void LayerPlacer::decodeServices(const Committed& committed, base::TimePoint now)
{
    if (committed.routesVersion <= decodedRoutesVersion_ || now < nextDecodeAt_)
        return;
    nextDecodeAt_ = now + decodeInterval;
    decodedRoutesVersion_ = committed.routesVersion;
    if (auto decoded = codec_.decodeRoutes(committed.routesDocument))
        services_ = std::move(decoded.value().services);
}

void LayerPlacer::tick(const Committed& committed, base::TimePoint now)
{
    decodeServices(committed, now);
    auto upstreams = registry_.all();
    if (!isCommitting_) {
        if (auto plans = controller_.plan(services_, plans_, upstreams, now))
            commit(*plans, committed.planRevision + 1);
    }
    for (const auto& command : controller_.dueCommands(services_, plans_, upstreams, now))
        send(command, committed.term);
}

void LayerPlacer::commit(const placement::LayerPlans& plans, std::uint64_t revision)
{
    isCommitting_ = true;
    logger.info("Proposing a new layer plan.", { { "revision", revision } });
    commitPlan_(revision, placement::encodePlans(plans), [this](const base::Result<void>& result) {
        isCommitting_ = false;
        if (!result)
            logger.warning("The proposal of a layer plan was not confirmed.", { { "reason", result.error().detail } });
    });
}

void LayerPlacer::send(const placement::LayerCommand& command, std::uint64_t term)
{
    engineClient_.sendCommand(command, term, [this, command](placement::LayerCommandResult result) { controller_.recordResult(command, result, clock_.now()); });
}

} // namespace arbutus::node
