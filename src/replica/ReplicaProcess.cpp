#include "src/replica/ReplicaProcess.h"

#include "include/base/LockRanks.h"
#include "include/base/Logger.h"
#include "include/base/StopSignal.h"
#include "include/http/JsonText.h"
#include "include/http/Metrics.h"
#include "include/http/Problem.h"
#include "include/http/RpcOverHttp.h"
#include "include/membership/RelayTree.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <thread>

namespace arbutus::replica {

using base::ErrorKind;
using base::makeError;
using base::RankedLock;
using base::Result;
using control::FrameKind;

static constexpr base::Logger logger("state");
static constexpr std::size_t timelineCapacity = 20000;
static constexpr std::chrono::milliseconds introductionTimeout(500);
static constexpr std::chrono::milliseconds introductionRetryDelay(100);

std::vector<base::SettingSpec> ReplicaProcess::settingSpecs()
{
    std::vector<base::SettingSpec> specs {
        { "replica", "number of this replica", std::nullopt },
        { "address", "IP number to listen on", std::nullopt },
        { "control-port", "port for the other processes of the system", "8181" },
        { "rpc-port", "port of the control calls", "8182" },
        { "data-folder", "folder for the durable state", std::nullopt },
        { "peers", "every first replica, this one included: number:IP:control-port,...", std::nullopt },
        { "cluster-key-file", "file with the key that the processes of the system share", std::nullopt },
        { "admin-token-file", "file with the operators' token", std::nullopt },
        { "snapshot-every", "applied entries between two snapshots", "4096" },
    };
    auto limits = http::serverLimitSpecs();
    specs.insert(specs.end(), limits.begin(), limits.end());
    return specs;
}

Result<ReplicaProcess::Config> ReplicaProcess::readConfig(const base::Settings& settings)
{
    Config config;
    BOOST_OUTCOME_TRY(replica, settings.integer("replica", 1, 1000000));
    BOOST_OUTCOME_TRY(controlPort, settings.integer("control-port", 1, 65535));
    BOOST_OUTCOME_TRY(rpcPort, settings.integer("rpc-port", 1, 65535));
    BOOST_OUTCOME_TRY(snapshotIntervalEntries, settings.integer("snapshot-every", 1, 100000000));
    BOOST_OUTCOME_TRY(clusterKey, settings.secretFromFile("cluster-key-file"));
    BOOST_OUTCOME_TRY(adminToken, settings.secretFromFile("admin-token-file"));
    BOOST_OUTCOME_TRY(serverLimits, http::readServerLimits(settings));
    config.serverLimits = serverLimits;
    config.serverLimits.bodyBytes = http::commandBodyBytes;
    config.replica = static_cast<std::uint64_t>(replica);
    config.address = settings.text("address");
    config.controlPort = static_cast<std::uint16_t>(controlPort);
    config.rpcPort = static_cast<int>(rpcPort);
    config.dataFolder = settings.text("data-folder");
    config.clusterKey = clusterKey;
    config.adminToken = adminToken;
    config.snapshotIntervalEntries = static_cast<std::uint64_t>(snapshotIntervalEntries);
    for (const auto& item : settings.list("peers")) {
        auto fields = base::splitText(item, ':');
        bool isValid = fields.size() == 3 && fields[0].find_first_not_of("0123456789") == std::string::npos && fields[2].find_first_not_of("0123456789") == std::string::npos && fields[0].size() <= 6 && fields[2].size() <= 5;
        if (!isValid)
            return makeError(ErrorKind::InvalidSetting, fmt::format("--peers has the entry \"{}\", which is not number:IP:port", item));
        config.peers.push_back({ std::stoul(fields[0]), fields[1], static_cast<std::uint16_t>(std::stoul(fields[2])) });
    }
    bool isListed = std::any_of(config.peers.begin(), config.peers.end(), [&](const Peer& peer) { return peer.replica == config.replica; });
    if (!isListed)
        return makeError(ErrorKind::InvalidSetting, "--peers does not name this replica");
    std::random_device device;
    config.seed = (static_cast<std::uint64_t>(device()) << 32) | device();
    return config;
}

Result<std::unique_ptr<ReplicaProcess>> ReplicaProcess::Make(const base::Settings& settings)
{
    BOOST_OUTCOME_TRY(config, readConfig(settings));
    std::unique_ptr<ReplicaProcess> process(new ReplicaProcess(std::move(config)));
    BOOST_OUTCOME_TRYV(process->start());
    return process;
}

ReplicaProcess::ReplicaProcess(Config config)
    : config_(std::move(config))
    , timeline_(clock_, fmt::format("state-{}", config_.replica), timelineCapacity)
    , clientThread_(transport::ClientThread::Make())
    , admin_(timeline_, config_.adminToken, { [] { return std::string(); }, [this] { return metrics(); } })
    , pollMutex_(base::lock_rank::configuration)
    , feedParent_(membership::maxLeaderChildren)
{
}

ReplicaProcess::~ReplicaProcess()
{
    if (httpServer_)
        httpServer_->close();
    frameServer_.reset();
    // Stops the node's thread before the clients through which it sends are destroyed.
    api_.reset();
    node_.reset();
    clients_.clear();
}

Result<void> ReplicaProcess::start()
{
    for (const auto& peer : config_.peers) {
        if (peer.replica == config_.replica)
            continue;
        transport::FrameClientOptions options;
        options.address = peer.address;
        options.port = peer.controlPort;
        options.sharedKey = config_.clusterKey;
        options.id = fmt::format("state-{}", config_.replica);
        options.seed = config_.seed;
        options.maxRetryDelay = std::chrono::milliseconds(200);
        BOOST_OUTCOME_TRY(client, transport::FrameClient::Make(clientThread_, options));
        clients_.emplace(peer.replica, std::move(client));
    }
    ReplicaNode::Options nodeOptions;
    nodeOptions.replica = config_.replica;
    nodeOptions.folder = config_.dataFolder;
    nodeOptions.randomSeed = config_.seed;
    nodeOptions.snapshotIntervalEntries = config_.snapshotIntervalEntries;
    BOOST_OUTCOME_TRY(node, ReplicaNode::Make(
                                clock_, timeline_, nodeOptions, [this](const consensus::Message& message) { send(message); }, [this](const ReplicaStatus& status, const state::StateMachine& machine) { answerFeedPolls(status, machine); }));
    node_ = std::move(node);
    api_ = std::make_unique<ReplicaApi>(clock_, *node_);
    // Every replica serves this page, so that an operator can compare the replicas. Only
    // the leader answers the RPC method "status".
    admin_.addEndpoint("GET", "replica", [this](const http::ServerRequest& request) { request.reply(web::http::status_codes::OK, http::toJson(api_->describe())); });

    transport::FrameServerOptions frames;
    frames.address = config_.address;
    frames.port = config_.controlPort;
    frames.sharedKey = config_.clusterKey;
    frames.id = fmt::format("state-{}", config_.replica);
    transport::FrameServer::DeferredHandler handler = [this](const transport::Frame& frame, const transport::FrameServer::Reply& reply) { return handleFrame(frame, reply); };
    BOOST_OUTCOME_TRY(frameServer, transport::FrameServer::Make(frames, handler));
    frameServer_ = std::move(frameServer);

    consensus::Configuration bootstrap;
    if (node_->isBlank()) {
        BOOST_OUTCOME_TRY(agreed, awaitBootstrapConfiguration());
        bootstrap = std::move(agreed);
    }
    BOOST_OUTCOME_TRYV(node_->start(bootstrap));
    BOOST_OUTCOME_TRY(server, http::HttpServer::Make(config_.address, config_.rpcPort, {}, config_.serverLimits, [this](const http::ServerRequest& request) { handle(request); }));
    httpServer_ = std::move(server);
    httpServer_->start();
    logger.info("The replica started.", { { "replica", config_.replica }, { "disk", fmt::format("{:x}", node_->diskNumber()) }, { "new", bootstrap.voters.empty() ? "no" : "yes" } });
    return base::outcome::success();
}

control::ReplicaIntroduction ReplicaProcess::introduction() const
{
    control::ReplicaIntroduction result { config_.replica, node_->diskNumber(), node_->isBlank(), {} };
    for (const auto& voter : node_->status().configuration.voters)
        result.voters.emplace_back(voter.replica, voter.disk);
    return result;
}

std::optional<control::ReplicaIntroduction> ReplicaProcess::requestIntroduction(const Peer& peer)
{
    auto answer = clients_.at(peer.replica)->call(static_cast<std::uint8_t>(FrameKind::ReplicaHello), control::packTimestamped({}, ""), clock_.now() + introductionTimeout);
    if (!answer)
        return std::nullopt;
    auto introduction = control::unpackIntroduction(answer.value());
    if (!introduction)
        return std::nullopt;
    return introduction.value();
}

// Requires every initial replica to be blank and reachable, so that all of them derive
// the same configuration from their introductions. A replica that starts later finds
// the voters already decided and adopts them if it is one of them. A wiped disk is not
// one of them, even if the other replicas have not restarted since they were blank. It
// joins as a learner when an operator adds it.
Result<consensus::Configuration> ReplicaProcess::awaitBootstrapConfiguration()
{
    while (!base::isStopSignalPending()) {
        consensus::Configuration agreed;
        consensus::Configuration configuration;
        for (const auto& peer : config_.peers) {
            if (peer.replica == config_.replica) {
                configuration.voters.push_back({ config_.replica, node_->diskNumber() });
                continue;
            }
            auto introduction = requestIntroduction(peer);
            // A peer that is not blank but reports no voters has not finished starting.
            if (!introduction || (introduction->voters.empty() && !introduction->isBlank))
                continue;
            if (!introduction->voters.empty()) {
                for (const auto& [replica, disk] : introduction->voters)
                    agreed.voters.push_back({ replica, disk });
                return agreed.isVoter({ config_.replica, node_->diskNumber() }) ? agreed : consensus::Configuration();
            }
            configuration.voters.push_back({ introduction->replica, introduction->disk });
        }
        if (configuration.voters.size() == config_.peers.size()) {
            std::sort(configuration.voters.begin(), configuration.voters.end());
            return configuration;
        }
        logger.info("Waiting for the other initial replicas.", { { "known", configuration.voters.size() }, { "expected", config_.peers.size() } });
        std::this_thread::sleep_for(introductionRetryDelay);
    }
    return makeError(ErrorKind::ShuttingDown, "stopped before the other initial replicas were found");
}

void ReplicaProcess::send(const consensus::Message& message)
{
    auto found = clients_.find(message.to.replica);
    if (found != clients_.end())
        found->second->send(static_cast<std::uint8_t>(FrameKind::Replication), control::packTimestamped(timeline_.now(), consensus::encode(message)));
}

std::optional<std::string> ReplicaProcess::handleFrame(const transport::Frame& frame, const transport::FrameServer::Reply& reply)
{
    auto body = control::receiveTimestamped(frame.body, frame.sender, timeline_);
    if (!body)
        return std::nullopt;
    switch (static_cast<FrameKind>(frame.kind)) {
    case FrameKind::Replication: {
        auto message = consensus::decode<consensus::Message>(*body);
        if (message)
            node_->receive(std::move(message).value());
        return std::nullopt;
    }
    case FrameKind::ReplicaHello:
        return control::packIntroduction(introduction());
    case FrameKind::FeedPoll:
        return handleFeedPoll(*body, reply);
    case FrameKind::Gossip:
    case FrameKind::Heartbeat:
    case FrameKind::FleetPoll:
    case FrameKind::ReplicaJoin:
    case FrameKind::ReplicaLeave:
    case FrameKind::LoadUpdate:
    case FrameKind::UpstreamDeparture:
        break;
    }
    return std::nullopt;
}

std::optional<std::string> ReplicaProcess::handleFeedPoll(const std::string& body, const transport::FrameServer::Reply& reply)
{
    auto poll = membership::decodeFeedPoll(body);
    if (!poll)
        return std::nullopt;
    RankedLock lock(pollMutex_);
    receivedPolls_.push_back({ poll.value(), reply });
    return std::nullopt;
}

std::string ReplicaProcess::feedBody(const membership::FeedAnswer& answer, const state::StateMachine& machine, std::uint64_t childRevision)
{
    std::optional<state::ConfigurationUpdate> update;
    if (!answer.isRefused && machine.configuration().revision > childRevision)
        update = machine.changesSince(childRevision);
    return control::packTimestamped(timeline_.now(), control::packFeedAnswer(answer, update));
}

// Runs on the node's thread, the only one that may read the state machine.
void ReplicaProcess::answerFeedPolls(const ReplicaStatus& status, const state::StateMachine& machine)
{
    std::vector<PendingPoll> polls;
    {
        RankedLock lock(pollMutex_);
        polls.swap(receivedPolls_);
    }
    auto now = clock_.now();
    bool isLeading = status.leadershipConfirmedAt && now - *status.leadershipConfirmedAt < membership::freshnessLimit;
    if (!isLeading) {
        membership::FeedAnswer refusal;
        refusal.isRefused = true;
        for (auto& [child, held] : heldPolls_)
            polls.push_back(std::move(held));
        heldPolls_.clear();
        for (auto& pending : polls)
            pending.reply(feedBody(refusal, machine, 0));
        return;
    }
    auto revision = machine.configuration().revision;
    for (auto& pending : polls) {
        auto answer = feedParent_.onPoll(pending.request, revision, status.leadershipConfirmedAt, now);
        if (answer)
            pending.reply(feedBody(*answer, machine, pending.request.revision));
        else
            heldPolls_[pending.request.child] = std::move(pending);
    }
    for (const auto& outgoing : feedParent_.tick(revision, status.leadershipConfirmedAt, now)) {
        auto held = heldPolls_.extract(outgoing.child);
        if (held)
            held.mapped().reply(feedBody(outgoing.answer, machine, held.mapped().request.revision));
    }
}

void ReplicaProcess::handle(const http::ServerRequest& request)
{
    if (admin_.handle(request))
        return;
    if (request.method() == "POST" && request.uri().path() == "/rpc") {
        http::serveRpc(request, api_->dispatcher(), config_.clusterKey, timeline_);
        return;
    }
    request.reply(http::problemResponse(makeError(ErrorKind::NotFound, "there is no such path"), "", clock_.now()));
}

std::string ReplicaProcess::metrics() const
{
    auto status = node_->status();
    auto totals = frameServer_->totals();
    for (const auto& [replica, client] : clients_) {
        auto part = client->totals();
        totals.bytesIn += part.bytesIn;
        totals.bytesOut += part.bytesOut;
    }
    using http::MetricKind;
    auto metrics = httpServer_ ? http::metricsOf(httpServer_->counters()) : std::vector<http::Metric>();
    metrics.insert(metrics.end(), {
                                      { "state_is_leader", "1 while this replica leads.", MetricKind::Gauge, status.role == consensus::Role::Leader ? 1.0 : 0.0 },
                                      { "state_term", "The current term.", MetricKind::Gauge, static_cast<double>(status.term) },
                                      { "state_commit_index", "The last committed entry.", MetricKind::Gauge, static_cast<double>(status.commitIndex) },
                                      { "state_applied_index", "The last applied entry.", MetricKind::Gauge, static_cast<double>(status.appliedIndex) },
                                      { "state_syncs_total", "Syncs of the log.", MetricKind::Counter, static_cast<double>(status.syncCount) },
                                      { "state_snapshots_total", "Snapshots taken.", MetricKind::Counter, static_cast<double>(status.snapshotCount) },
                                      { "state_disk_full", "1 while the disk is full.", MetricKind::Gauge, status.isDiskFull ? 1.0 : 0.0 },
                                      { "control_bytes_in_total", "Bytes of control frames received.", MetricKind::Counter, static_cast<double>(totals.bytesIn) },
                                      { "control_bytes_out_total", "Bytes of control frames sent.", MetricKind::Counter, static_cast<double>(totals.bytesOut) },
                                  });
    return http::metricsText(metrics);
}

} // namespace arbutus::replica
