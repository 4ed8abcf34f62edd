#include "src/node/RouterNode.h"

#include "include/base/Logger.h"

#include <boost/asio/post.hpp>

namespace arbutus::node {

static constexpr base::Logger logger("entry");

// Precision of all time limits of requests.
static constexpr std::chrono::milliseconds tickInterval(40);
// Work that needs no such precision is done at each of so many ticks.
static constexpr unsigned slowTicks = 5;
// The platform needs two probes to take an entry VM out; until then new
// connections still come.
static constexpr std::chrono::milliseconds drainTime(2600);
// What is left of the grace when the last streams are cut.
static constexpr std::chrono::milliseconds stopMargin(300);
// How long an idle connection is kept while stopping.
static constexpr std::chrono::milliseconds stopIdle(200);

// Answers the probes of the load balancer.
class RouterNode::Readiness final : public http1::RequestHandler {
public:
    explicit Readiness(const RouterNode& node)
        : node_(node)
    {
    }

private:
    std::shared_ptr<http1::ActiveRequest> onRequest(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request) override
    {
        http1::Response response;
        response.status = node_.isReady() ? 200 : 503;
        connection->send(response);
        return nullptr;
    }

    const RouterNode& node_;
};

static fleet::FleetFollower::Options followerOptions(const RouterOptions& options)
{
    fleet::FleetFollower::Options result;
    result.self = options.name;
    result.isEntry = true;
    return result;
}

static boost::asio::ip::tcp::endpoint endpointOf(const net::Endpoint& endpoint)
{
    return { boost::asio::ip::address_v4(endpoint.ip), endpoint.port };
}

RouterNode::RouterNode(boost::asio::io_context& context, const forwarding::Dialect& dialect, DecodeRoutes decodeRoutes, RouterOptions options)
    : context_(context)
    , decodeRoutes_(std::move(decodeRoutes))
    , options_(std::move(options))
    , gate_(context, dialect, { options_.dataCentre, options_.retries, options_.seed })
    , readiness_(std::make_shared<Readiness>(*this))
    , links_({ options_.name, options_.internalPort, options_.sharedKey, options_.seed })
    , follower_(clock_, links_, followerOptions(options_), registry_, [this](std::function<void()> work) { boost::asio::post(context_, std::move(work)); })
    , timer_(context, tickInterval, [this] { tick(); })
{
}

base::Result<void> RouterNode::start()
{
    follower_.setEntryHooks([this](std::uint64_t version, const std::string& document) { takeRoutes(version, document); }, [this] { return gate_.ownLoad(); });
    follower_.setSeeds(options_.seeds);
    BOOST_OUTCOME_TRY(callers, http1::Server::Make(context_, endpointOf(options_.callers), gate_));
    callers_ = std::move(callers);
    BOOST_OUTCOME_TRY(probes, http1::Server::Make(context_, endpointOf(options_.readiness), *readiness_));
    probes_ = std::move(probes);
    timer_.start();
    logger.info("The entry VM started.", { { "address", options_.callers.text() } });
    return base::outcome::success();
}

void RouterNode::takeRoutes(std::uint64_t version, const std::string& document)
{
    auto decoded = decodeRoutes_(document);
    if (!decoded) {
        logger.error("An accepted configuration cannot be read.", { { "version", version }, { "reason", decoded.error().detail } });
        return;
    }
    follower_.setRoutesVersion(version);
    gate_.setRoutes(routes::RouteTable::Make(std::move(decoded).value()));
    logger.info("A configuration is in force.", { { "version", version } });
}

bool RouterNode::isReady() const { return !stopSince_ && gate_.routes(); }

void RouterNode::tick()
{
    auto now = base::TimePoint(std::chrono::steady_clock::now());
    if (registry_.revision() != seenRevision_) {
        seenRevision_ = registry_.revision();
        gate_.setUpstreams(registry_);
    }
    gate_.tick(now);
    if (++ticks_ % slowTicks)
        return;
    follower_.tick();
    gate_.setPeerLoad(follower_.othersWork());
    gate_.setEntryCount(follower_.entryCount());
    callers_->tick(now);
    probes_->tick(now);
    if (stopSince_)
        finishStopping(now);
}

void RouterNode::stop(std::function<void()> finished)
{
    if (stopSince_)
        return;
    stopSince_ = std::chrono::steady_clock::now();
    finished_ = std::move(finished);
    gate_.stop();
    logger.info("The entry VM stops.", { { "requests", gate_.openExchangeCount() } });
}

void RouterNode::finishStopping(base::TimePoint now)
{
    if (now < *stopSince_ + drainTime)
        return;
    // The load balancer may still send callers here if it has no other VM; what is
    // taken now would be cut off at the end.
    gate_.setDrainDeadline(*stopSince_ + options_.stopGrace - stopMargin);
    callers_->closeIdle(now - stopIdle);
    if (gate_.openExchangeCount() && now < *stopSince_ + options_.stopGrace - stopMargin)
        return;
    if (gate_.openExchangeCount())
        logger.warning("Requests are cut off because the time to stop is over.", { { "requests", gate_.openExchangeCount() } });
    finished_();
}

} // namespace arbutus::node
