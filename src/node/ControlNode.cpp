#include "src/node/ControlNode.h"

#include "include/base/Logger.h"
#include "include/base/StopSignal.h"
#include "include/control/Frames.h"
#include "include/state/PackedDocument.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <thread>

namespace arbutus::node {

using base::ErrorKind;
using base::makeError;
using base::Result;
using control::FrameKind;
using fleet::TrafficAccount;

static constexpr base::Logger logger("control");

static constexpr std::chrono::milliseconds tickInterval(100);
static constexpr std::chrono::seconds activityReportInterval(1);
static constexpr std::chrono::milliseconds introductionTimeout(300);
static constexpr std::chrono::milliseconds introductionRetryDelay(50);
// Callers wait one second for a response and then retry at another VM.
static constexpr std::chrono::milliseconds proposalTimeout(1500);
static constexpr std::chrono::milliseconds confirmationTimeout(1500);
static constexpr std::chrono::milliseconds readTimeout(800);
static constexpr std::chrono::milliseconds changeTimeout(3000);
static constexpr std::size_t frameWorkerCount = 1;
static constexpr double bytesPerMegabit = 125'000;
static constexpr std::size_t timelineCapacity = 256;
// Control VMs have little disk and memory, and route configurations are large.
static constexpr std::uint64_t snapshotIntervalEntries = 256;
static constexpr std::uint64_t snapshotIntervalBytes = std::uint64_t { 8 } << 20;
static constexpr consensus::Index trailingEntries = 32;
static constexpr std::size_t maxEntryBytes = std::size_t { 3 } << 20;
static constexpr std::size_t maxBatchBytes = maxEntryBytes + (std::size_t { 256 } << 10);
static constexpr std::chrono::milliseconds maxReplicaWait(100);
// A leader answers ten times within it. Together with the time in which a leader that is cut off
// steps down, it stays below the time within which a configuration must be in force.
static constexpr std::chrono::milliseconds maxLeaderSilence(1000);

static fleet::PeerLinks::Options linkOptions(const ControlOptions& options)
{
    return { options.name, options.internalPort, options.sharedKey, options.seed };
}

static fleet::FleetPoller::Options pollerOptions(const ControlOptions& options)
{
    fleet::FleetPoller::Options result;
    result.self = options.name;
    result.ownIp = options.ip;
    result.dataCentre = options.dataCentre;
    return result;
}

static double routesBytesPerSecond(const ControlOptions& options)
{
    return options.linkMegabitsPerSecond * bytesPerMegabit * fleet::RoutesPublisher::maxLinkShare;
}

ControlNode::ControlNode(boost::asio::io_context& context, const PlatformCodec& codec, ControlOptions options)
    : context_(context)
    , codec_(codec)
    , options_(std::move(options))
    , timeline_(clock_, options_.name, timelineCapacity)
    , traffic_(options_.dataCentre)
    , links_(linkOptions(options_))
    , fleetPollServer_(registry_, crashReports_, options_.seed | 1, routesBytesPerSecond(options_))
    , fleetPoller_(
          clock_, [this](auto&&... request) { return links_.sendPoll(std::forward<decltype(request)>(request)...); }, pollerOptions(options_), registry_, crashReports_, [this](std::function<void()> task) { boost::asio::post(context_, std::move(task)); })
    , timer_(context, tickInterval, [this] { tick(); })
    , answerTimer_(context, fleet::FleetPollServer::answerInterval, [this] { answerPolls(); })
    , heartbeatMonitor_(net::ipText(options_.ip), options_.heartbeatInterval)
    , engineClient_(context, codec_, registry_, net::ipText(options_.ip), [this] { answerPendingPolls(clock_.now()); })
    , departures_(context, registry_, links_, [this](state::CommandBody body, std::chrono::milliseconds timeout, StoreCallback done) { propose(std::move(body), timeout, std::move(done)); })
    , layerPlacer_(clock_, codec_, registry_, engineClient_, [this](std::uint64_t revision, std::string plan, StoreCallback done) { propose(state::SetLayerPlan { revision, std::move(plan) }, changeTimeout, std::move(done)); })
{
}

ControlNode::~ControlNode()
{
    frameServer_.reset();
    replica_.reset();
}

Result<void> ControlNode::start()
{
    fleetPoller_.setSeeds(options_.seeds);
    fleetPoller_.setTraffic(traffic_);
    fleetPollServer_.setTraffic(traffic_);
    fleetPollServer_.setDataCentre(options_.dataCentre);
    fleetPollServer_.setVersionReporter([this] { return versionReport(); });
    engineClient_.setTrafficLookup([this](const net::Endpoint& endpoint) { return traffic_.counter(TrafficAccount::Kind::Upstream, registry_.dataCentreAt(endpoint)); });
    fleetPollServer_.loadExchange().setSelf(options_.ip);
    BOOST_OUTCOME_TRYV(startReplica());
    timer_.start();
    answerTimer_.start();
    return base::outcome::success();
}

Result<void> ControlNode::startReplica()
{
    replica::ReplicaNode::Options replicaOptions;
    replicaOptions.replica = options_.ip;
    replicaOptions.folder = options_.dataFolder;
    replicaOptions.randomSeed = options_.seed;
    replicaOptions.snapshotIntervalEntries = snapshotIntervalEntries;
    replicaOptions.snapshotIntervalBytes = snapshotIntervalBytes;
    replicaOptions.deadlineCheckInterval = maxReplicaWait;
    replicaOptions.core.trailingEntries = trailingEntries;
    replicaOptions.core.maxEntryBytes = maxEntryBytes;
    replicaOptions.core.maxBatchBytes = maxBatchBytes;
    BOOST_OUTCOME_TRY(node, replica::ReplicaNode::Make(
                                clock_, timeline_, replicaOptions, [this](const consensus::Message& message) { sendMessage(message); }, [this](const replica::ReplicaStatus& status, const state::StateMachine& machine) { publishReplicaView(status, machine); }));
    replica_ = std::move(node);

    replicaSet_.emplace(context_, clock_, ReplicaSetKeeper::Options { options_.ip, options_.targetVoters }, *replica_, replicaView_.status, links_, [this] { return fleetPoller_.knownReplicas(); });

    transport::FrameServerOptions serverOptions;
    serverOptions.address = net::ipText(options_.ip);
    serverOptions.port = options_.internalPort;
    serverOptions.sharedKey = options_.sharedKey;
    serverOptions.id = options_.name;
    serverOptions.workers = frameWorkerCount;
    transport::FrameServer::DeferredHandler handler = [this](const transport::Frame& frame, const transport::FrameServer::Reply& reply) { return handleFrame(frame, reply); };
    BOOST_OUTCOME_TRY(server, transport::FrameServer::Make(serverOptions, handler));
    frameServer_ = std::move(server);

    consensus::Configuration first;
    bool isSeed = std::find(options_.seeds.begin(), options_.seeds.end(), options_.ip) != options_.seeds.end();
    if (replica_->isBlank() && options_.isBootstrap && isSeed) {
        BOOST_OUTCOME_TRY(agreed, agreeOnInitialConfiguration());
        first = std::move(agreed);
    }
    BOOST_OUTCOME_TRYV(replica_->start(first));
    logger.info("Started the replica.", { { "disk", fmt::format("{:x}", replica_->diskNumber()) }, { "voters", first.voters.size() } });
    return base::outcome::success();
}

// The seeds are the initial voters. Each of them derives the same configuration from
// the introductions of all. A seed that starts late adopts the configuration that the
// others agreed on if it is one of its voters; otherwise it starts without one.
Result<consensus::Configuration> ControlNode::agreeOnInitialConfiguration()
{
    while (!base::isStopSignalPending()) {
        consensus::Configuration configuration;
        configuration.voters.push_back({ options_.ip, replica_->diskNumber() });
        for (auto ip : options_.seeds) {
            auto* link = ip == options_.ip ? nullptr : links_.link(ip);
            if (!link)
                continue;
            auto answer = link->call(static_cast<std::uint8_t>(FrameKind::ReplicaHello), {}, std::chrono::steady_clock::now() + introductionTimeout);
            auto introduction = answer ? control::unpackIntroduction(answer.value()) : Result<control::ReplicaIntroduction>(answer.error());
            if (!introduction || (introduction.value().voters.empty() && !introduction.value().isBlank))
                continue;
            if (!introduction.value().voters.empty()) {
                consensus::Configuration agreed;
                for (const auto& [replica, disk] : introduction.value().voters)
                    agreed.voters.push_back({ replica, disk });
                return agreed.isVoter({ options_.ip, replica_->diskNumber() }) ? agreed : consensus::Configuration();
            }
            configuration.voters.push_back({ introduction.value().replica, introduction.value().disk });
        }
        if (configuration.voters.size() == options_.seeds.size()) {
            std::sort(configuration.voters.begin(), configuration.voters.end());
            return configuration;
        }
        std::this_thread::sleep_for(introductionRetryDelay);
    }
    return makeError(ErrorKind::ShuttingDown, "stopped before all initial replicas were found");
}

std::string ControlNode::encodeIntroduction() const
{
    control::ReplicaIntroduction result { options_.ip, replica_->diskNumber(), replica_->isBlank(), {} };
    for (const auto& voter : replica_->status().configuration.voters)
        result.voters.emplace_back(voter.replica, voter.disk);
    return control::packIntroduction(result);
}

// Runs on the frame server's worker thread.
std::optional<std::string> ControlNode::handleFrame(const transport::Frame& frame, const transport::FrameServer::Reply& reply)
{
    switch (static_cast<FrameKind>(frame.kind)) {
    case FrameKind::Replication:
        if (auto message = consensus::decode<consensus::Message>(frame.body)) {
            traffic_.add(TrafficAccount::Kind::Replication, TrafficAccount::Direction::Received, static_cast<std::uint32_t>(message.value().from.replica), frame.body.size());
            replica_->receive(std::move(message).value());
        }
        return std::nullopt;
    case FrameKind::ReplicaHello:
        return encodeIntroduction();
    case FrameKind::FleetPoll:
        if (auto poll = fleet::decode<fleet::FleetPoll>(frame.body))
            boost::asio::post(context_, [this, poll = std::move(poll).value(), bytes = frame.body.size(), reply]() mutable { receivePoll(std::move(poll), bytes, reply); });
        return std::nullopt;
    case FrameKind::LoadUpdate:
        if (auto update = fleet::decode<fleet::LoadUpdate>(frame.body))
            boost::asio::post(context_, [this, update = std::move(update).value(), bytes = frame.body.size()]() mutable { receiveLoad(std::move(update), bytes); });
        return std::nullopt;
    case FrameKind::ReplicaJoin:
        if (auto join = fleet::decode<fleet::JoinRequest>(frame.body))
            boost::asio::post(context_, [this, join = join.value()] { replicaSet_->recordJoinRequest(join); });
        return std::nullopt;
    case FrameKind::UpstreamDeparture:
        if (auto process = fleet::decode<fleet::UpstreamProcess>(frame.body))
            boost::asio::post(context_, [this, process = process.value(), reply] { departures_.handleRequest(process, isLeader(), reply); });
        return std::nullopt;
    case FrameKind::ReplicaLeave:
        if (auto leave = fleet::decode<fleet::LeaveRequest>(frame.body))
            boost::asio::post(context_, [this, leave = leave.value(), reply] { replicaSet_->handleLeaveRequest(leave, reply); });
        return std::nullopt;
    default:
        logger.warning("Dropped a frame of an unexpected kind.", { { "kind", frame.kind }, { "sender", frame.sender } });
        return std::nullopt;
    }
}

void ControlNode::answerPendingPolls(base::TimePoint now)
{
    fleetPollServer_.setCurrent(isCurrent(), now);
    fleetPollServer_.answerPendingPolls(now);
}

void ControlNode::receivePoll(fleet::FleetPoll poll, std::size_t bytes, const transport::FrameServer::Reply& reply)
{
    traffic_.add(poll, TrafficAccount::Direction::Received, poll.dataCentre, bytes);
    fleetPollServer_.setCurrent(isCurrent(), clock_.now());
    fleetPollServer_.poll(std::move(poll), reply, clock_.now());
}

void ControlNode::receiveLoad(fleet::LoadUpdate update, std::size_t bytes)
{
    traffic_.add(TrafficAccount::Kind::Load, TrafficAccount::Direction::Received, update.sender, bytes);
    fleetPollServer_.loadExchange().receive(std::move(update), clock_.now());
}

void ControlNode::sendMessage(const consensus::Message& message)
{
    auto ip = static_cast<std::uint32_t>(message.to.replica);
    auto* link = links_.link(ip);
    if (!link)
        return;
    auto encoded = consensus::encode(message);
    traffic_.add(TrafficAccount::Kind::Replication, TrafficAccount::Direction::Sent, ip, encoded.size());
    link->send(static_cast<std::uint8_t>(FrameKind::Replication), std::move(encoded));
}

// Runs on the replica's thread after each iteration of its loop.
void ControlNode::publishReplicaView(const replica::ReplicaStatus& status, const state::StateMachine& machine)
{
    const bool hasSameDepartures = publishedView_ && publishedView_->status.feedRevision == status.feedRevision;
    auto departures = hasSameDepartures ? publishedView_->departures : std::make_shared<const fleet::DepartureTable::Names>(machine.configuration().drainedUpstreams);
    ReplicaView view { status, machine.routes().version(), machine.routes().document(), machine.layerPlan().version(), machine.layerPlan().document(), std::move(departures) };
    auto comparedFields = [](const ReplicaView& value) { return std::make_tuple(value.status.role, value.status.term, value.status.leader, value.routesVersion, value.planRevision, value.status.isDiskFull, value.status.isCurrent, value.departures); };
    bool isSame = publishedView_ && comparedFields(*publishedView_) == comparedFields(view) && publishedView_->status.configuration == status.configuration && publishedView_->status.activePeers == status.activePeers;
    if (isSame)
        return;
    publishedView_ = view;
    boost::asio::post(context_, [this, view = std::move(view)] { applyReplicaView(view); });
}

// A control VM has packed the document, so only a fault of the program can damage it.
void ControlNode::publishRoutes()
{
    auto document = state::unpackDocument(replicaView_.packedRoutes);
    if (!document) {
        logger.error("Failed to unpack the committed configuration.", { { "version", replicaView_.routesVersion }, { "reason", document.error().detail } });
        return;
    }
    routesDocument_ = std::move(document).value();
    fleetPollServer_.setRoutes(replicaView_.routesVersion, routesDocument_);
    if (auto services = codec_.serviceNames(*routesDocument_))
        registry_.setServices(std::move(services).value(), clock_.now());
    else
        logger.error("Failed to read the services of the committed configuration.", { { "version", replicaView_.routesVersion }, { "reason", services.error().detail } });
}

void ControlNode::applyReplicaView(const ReplicaView& view)
{
    bool hasBecomeLeader = !isLeader() && view.status.role == consensus::Role::Leader;
    bool hasNewRoutes = view.routesVersion != replicaView_.routesVersion;
    bool hasNewLeader = view.status.leader != replicaView_.status.leader;
    bool hasNewDepartures = view.departures != replicaView_.departures;
    replicaView_ = view;
    // Before the state counts as current.
    if (hasNewDepartures)
        registry_.setDepartures(view.departures, clock_.now());
    if (hasNewLeader)
        logLeader();
    if (hasNewRoutes)
        publishRoutes();
    if (hasBecomeLeader) {
        layerPlacer_.beginLeadership();
        registry_.departures().beginLeadership();
    }
    layerPlacer_.adoptPlan(replicaView_.planRevision, *replicaView_.plan);
    std::vector<std::uint32_t> replicas;
    for (const auto* members : { &replicaView_.status.configuration.voters, &replicaView_.status.configuration.learners }) {
        for (const auto& member : *members)
            replicas.push_back(static_cast<std::uint32_t>(member.replica));
    }
    fleetPollServer_.setReplicas(std::move(replicas));
    answerPendingPolls(clock_.now());
    replicaSet_->statusChanged(hasBecomeLeader);
    answerConfirmations(clock_.now());
}

void ControlNode::logLeader() const
{
    const auto& status = replicaView_.status;
    logger.info("Another leader is known.", { { "leader", status.leader ? net::ipText(static_cast<std::uint32_t>(status.leader->replica)) : "none" }, { "term", status.term }, { "is_voter", status.configuration.isVoter(status.self) }, { "voters", status.configuration.voters.size() } });
}

std::string ControlNode::encodeCommand(state::CommandBody body) const { return state::encodeCommand({ clock_.wallNow(), std::move(body) }); }

std::optional<std::uint32_t> ControlNode::remoteLeaderIp() const
{
    const auto& leader = replicaView_.status.leader;
    if (!leader || leader->replica == options_.ip)
        return std::nullopt;
    return static_cast<std::uint32_t>(leader->replica);
}

bool ControlNode::isConnected() const
{
    bool isInContact = replicaView_.status.role == consensus::Role::Follower || isLeader();
    return isInContact && replicaView_.status.leader.has_value();
}

// A VM that stood still has the view of before when it goes on, and old messages to read.
bool ControlNode::isCurrent() const { return isConnected() && replicaView_.status.isCurrent && clock_.now() < replica_->leaderContactAt() + maxLeaderSilence; }

static fleet::ReportedVoter reportedVoter(const consensus::ReplicaKey& key) { return { key.replica, key.disk }; }

fleet::VersionReport ControlNode::versionReport() const
{
    // The view may be older than the contact with the leader.
    const auto status = replica_->status();
    const auto now = clock_.now();
    fleet::VersionReport report;
    report.isCurrent = status.isCurrent && now < status.leaderContactAt + maxLeaderSilence;
    if (report.isCurrent) {
        report.version = status.routesVersion;
        report.ageMilliseconds = static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(now - status.leaderContactAt).count());
        return report;
    }
    report.version = status.storedRoutesVersion;
    report.self = reportedVoter(status.self);
    report.votersTerm = status.votersTerm;
    report.votersIndex = status.votersIndex;
    for (const auto& voters : status.voterSets) {
        auto& reported = report.voterSets.emplace_back();
        std::transform(voters.begin(), voters.end(), std::back_inserter(reported), reportedVoter);
    }
    return report;
}

void ControlNode::replaceRoutes(std::uint64_t version, const std::string& document, StoreCallback done)
{
    if (hasCommittedRoutes(version)) {
        confirmOnceRepaired(std::move(done));
        return;
    }
    propose(state::ReplaceRoutes { version, state::packDocument(document) }, proposalTimeout, [this, done = std::move(done)](const Result<void>& result) {
        if (result)
            confirmOnceRepaired(done);
        else
            done(result);
    });
}

void ControlNode::propose(state::CommandBody body, std::chrono::milliseconds timeout, StoreCallback done)
{
    auto finish = [this, done = std::move(done)](Result<state::Outcome> outcome) {
        Result<void> result = base::outcome::success();
        if (!outcome)
            result = outcome.error();
        else if (const auto* refusal = std::get_if<state::Refusal>(&outcome.value()))
            result = makeError(refusal->kind, refusal->detail);
        boost::asio::post(context_, [done, result] { done(result); });
    };
    replica_->propose(encodeCommand(std::move(body)), clock_.now() + timeout, std::move(finish));
}

void ControlNode::confirmOnceRepaired(StoreCallback done)
{
    auto now = clock_.now();
    confirmations_.push_back({ std::move(done), now + confirmationTimeout });
    answerConfirmations(now);
}

void ControlNode::answerConfirmations(base::TimePoint now)
{
    if (confirmations_.empty())
        return;
    bool mayConfirm = replicaSet_->mayConfirm(now);
    for (auto& [done, deadline] : std::exchange(confirmations_, {})) {
        if (mayConfirm)
            done(base::outcome::success());
        else if (now >= deadline)
            done(makeError(ErrorKind::NoQuorum, "the change is stored, but too few replicas hold it"));
        else
            confirmations_.push_back({ std::move(done), deadline });
    }
}

void ControlNode::readRoutes(ReadRoutesCallback done)
{
    replica_->read(clock_.now() + readTimeout, [this, done = std::move(done)](Result<const state::StateMachine*> machine) {
        Result<std::shared_ptr<const std::string>> result = makeError(ErrorKind::NotFound, "no route configuration has been committed yet");
        if (!machine)
            result = machine.error();
        else if (machine.value()->routes().version())
            result = machine.value()->routes().document();
        boost::asio::post(context_, [done, result] { done(result ? state::unpackDocument(result.value()) : result); });
    });
}

void ControlNode::recordHeartbeat(fleet::UpstreamRecord upstream)
{
    if (registry_.applyHeartbeat(std::move(upstream), net::ipText(options_.ip), clock_.now()))
        answerPendingPolls(clock_.now());
}

void ControlNode::deregister(const std::string& id, std::int64_t startedAtMilliseconds)
{
    registry_.deregister(id, startedAtMilliseconds, net::ipText(options_.ip), clock_.now());
    answerPendingPolls(clock_.now());
}

Result<std::int64_t> ControlNode::departingStart(const std::string& id, std::int64_t statedMilliseconds) const
{
    if (statedMilliseconds)
        return statedMilliseconds;
    if (!fleetPollServer_.hasLearnedProcesses(clock_.now()))
        return makeError(ErrorKind::NoQuorum, "the entry VMs have not told yet which upstreams they know");
    if (auto start = registry_.departingStart(id))
        return *start;
    return makeError(ErrorKind::NoQuorum, "the departure states no start, and an earlier process of the upstream has left");
}

void ControlNode::commitDeparture(const fleet::UpstreamProcess& process, StoreCallback done) { departures_.commit(process, remoteLeaderIp(), std::move(done)); }

void ControlNode::setSeeds(const std::vector<std::uint32_t>& ips) { fleetPoller_.setSeeds(ips); }

void ControlNode::tick()
{
    auto now = clock_.now();
    if (tickDueAt_ != base::TimePoint())
        tickLateness_.record(now - tickDueAt_);
    fleetPoller_.tick();
    heartbeatMonitor_.tick(
        registry_, isCurrent(), [this](std::uint32_t ip, base::TimePoint since) { return fleetPoller_.hasHeardFrom(ip, since); }, now);
    replicaSet_->tick(isConnected(), now);
    answerConfirmations(now);
    engineClient_.pollEngines(now);
    if (isLeader() && isCurrent()) {
        layerPlacer_.tick({ replicaView_.routesVersion, *routesDocument_, replicaView_.planRevision, replicaView_.status.term }, now);
        departures_.forgetOld(now);
    }
    engineClient_.endOverdueCalls();
    answerPendingPolls(now);
    reportActivity(now);
    tickDueAt_ = clock_.now() + tickInterval;
}

void ControlNode::answerPolls()
{
    auto now = clock_.now();
    answerPendingPolls(now);
    std::vector<std::uint32_t> peers;
    for (auto ip : fleetPoller_.knownReplicas()) {
        if (fleetPoller_.hasHeardFrom(ip, now - fleet::LoadExchange::sourceTimeout))
            peers.push_back(ip);
    }
    fleetPollServer_.loadExchange().tick(
        peers, [this](std::uint32_t ip, const std::string& update) {
            auto* link = links_.link(ip);
            if (!link)
                return;
            traffic_.add(TrafficAccount::Kind::Load, TrafficAccount::Direction::Sent, ip, update.size());
            link->send(static_cast<std::uint8_t>(FrameKind::LoadUpdate), update);
        },
        now);
}

void ControlNode::reportActivity(base::TimePoint now)
{
    if (now < nextReportAt_)
        return;
    nextReportAt_ = now + activityReportInterval;
    auto sent = fleetPollServer_.takeSentTotals();
    logger.info("Activity of the last second.", { { "answers", sent.answers }, { "answer_bytes", sent.answerBytes }, { "route_documents", sent.routeDocuments }, { "route_document_bytes", sent.routeDocumentBytes }, { "tick_late_ms", tickLateness_.take().count() }, { "replica_late_ms", replica_->takeLateness().count() }, { "lease_age_ms", replica_->takeLeaseAge().count() }, { "crossed", traffic_.take() } });
}

} // namespace arbutus::node
