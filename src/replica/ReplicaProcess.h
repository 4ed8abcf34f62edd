#pragma once

#include "include/base/Clock.h"
#include "include/base/RankedMutex.h"
#include "include/base/Settings.h"
#include "include/base/Timeline.h"
#include "include/control/Frames.h"
#include "include/http/AdminServer.h"
#include "include/http/HttpServer.h"
#include "include/membership/Freshness.h"
#include "include/transport/FrameClient.h"
#include "include/transport/FrameServer.h"
#include "src/replica/ReplicaApi.h"
#include "src/replica/ReplicaNode.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::replica {

// The process of one state replica. Connects the replica node with its peers, serves the
// configuration feed to entry VMs, and serves the RPC, admin and metrics endpoints.
class ReplicaProcess {
public:
    static std::vector<base::SettingSpec> settingSpecs();
    static base::Result<std::unique_ptr<ReplicaProcess>> Make(const base::Settings&);
    ~ReplicaProcess();

private:
    struct Peer {
        std::uint64_t replica = 0;
        std::string address;
        std::uint16_t controlPort = 0;
    };

    struct Config {
        std::uint64_t replica = 0;
        std::string address;
        int rpcPort = 0;
        std::uint16_t controlPort = 0;
        std::string dataFolder;
        std::string clusterKey;
        std::string adminToken;
        http::ServerLimits serverLimits;
        std::vector<Peer> peers;
        std::uint64_t snapshotIntervalEntries = 0;
        std::uint64_t seed = 0;
    };

    explicit ReplicaProcess(Config);

    static base::Result<Config> readConfig(const base::Settings&);
    base::Result<void> start();
    // Blocks until every initial replica has sent its introduction or one of them reports
    // a configuration. Returns the bootstrap configuration, or an empty one if this disk
    // is not one of its voters and joins later. Fails with ShuttingDown on a stop signal.
    base::Result<consensus::Configuration> awaitBootstrapConfiguration();
    control::ReplicaIntroduction introduction() const;
    // Returns nullopt if the peer does not respond in time.
    std::optional<control::ReplicaIntroduction> requestIntroduction(const Peer&);

    std::optional<std::string> handleFrame(const transport::Frame&, const transport::FrameServer::Reply&);
    std::optional<std::string> handleFeedPoll(const std::string& body, const transport::FrameServer::Reply&);
    void send(const consensus::Message&);
    void answerFeedPolls(const ReplicaStatus&, const state::StateMachine&);
    std::string feedBody(const membership::FeedAnswer&, const state::StateMachine&, std::uint64_t childRevision);
    void handle(const http::ServerRequest&);
    std::string metrics() const;

    const Config config_;
    base::SystemClock clock_;
    base::Timeline timeline_;
    std::shared_ptr<transport::ClientThread> clientThread_;
    std::map<std::uint64_t, std::unique_ptr<transport::FrameClient>> clients_;
    std::unique_ptr<ReplicaNode> node_;
    std::unique_ptr<ReplicaApi> api_;
    http::AdminServer admin_;

    // A feed poll of an entry VM. Queued in receivedPolls_ and handled on the node's
    // thread, which keeps it in heldPolls_ until there is an answer.
    struct PendingPoll {
        membership::FeedPoll request;
        transport::FrameServer::Reply reply;
    };
    base::RankedMutex pollMutex_;
    std::vector<PendingPoll> receivedPolls_;
    membership::FeedParent feedParent_;
    std::map<membership::MemberKey, PendingPoll> heldPolls_;

    std::unique_ptr<transport::FrameServer> frameServer_;
    std::unique_ptr<http::HttpServer> httpServer_;
};

} // namespace arbutus::replica
