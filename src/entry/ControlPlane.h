#pragma once

#include "include/base/Clock.h"
#include "include/base/RankedMutex.h"
#include "include/base/Timeline.h"
#include "include/control/Frames.h"
#include "include/membership/Freshness.h"
#include "include/membership/Gossip.h"
#include "include/membership/MemberTable.h"
#include "include/membership/Registrar.h"
#include "include/membership/RelayTree.h"
#include "include/state/Configuration.h"
#include "include/transport/FrameClient.h"
#include "include/transport/FrameServer.h"
#include "src/entry/ChannelPool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::entry {

// This entry VM's part in membership and in the configuration feed: gossip,
// leases of upstreams, the poll of its parent, the polls of its children. Safe
// to use from several threads.
class ControlPlane {
public:
    struct Options {
        // Facts of this VM: id, address as URL, control port, data centre, incarnation.
        membership::MemberDescriptor self;
        std::string listenAddress;
        std::string sharedKey;
        std::vector<membership::PeerAddress> seeds;
        // Control addresses of the state replicas.
        std::vector<membership::PeerAddress> replicas;
        std::uint64_t seed = 1;
    };

    // Called from the control thread without locks held.
    struct Listener {
        std::function<void(std::shared_ptr<const state::Configuration>)> onConfiguration;
        // The usable upstreams that this VM keeps channels to or may call.
        // `entryVms` counts the entry VMs that share them, this one included.
        std::function<void(std::vector<FactsPointer> engines, std::vector<FactsPointer> services, std::size_t entryVms)> onUpstreams;
        // An entry VM is out; called once for each incarnation.
        std::function<void(const std::string& vm, std::uint64_t incarnation)> onEntryGone;
    };

    struct MemberView {
        FactsPointer facts;
        // "in", "leaving" or "out".
        std::string state;
    };

    static base::Result<std::unique_ptr<ControlPlane>> Make(const base::Clock&, base::Timeline&, const Options&, Listener);
    ~ControlPlane();

    // Does what is due. Call it every 25 ms from one thread.
    void tick();

    // Takes an upstream's announcement.
    membership::AnnounceAnswer announce(const membership::MemberDescriptor&);

    // This VM can prove that its configuration is current.
    bool isFresh() const;
    std::shared_ptr<const state::Configuration> configuration() const;
    std::vector<MemberView> members() const;
    transport::TransportTotals totals() const;

    // States to the other VMs that this one is leaving.
    void leave();

private:
    using Outgoing = std::vector<std::pair<membership::PeerAddress, std::string>>;

    ControlPlane(const base::Clock&, base::Timeline&, const Options&, Listener);

    base::Result<void> start();
    std::optional<std::string> handleFrame(const transport::Frame&, const transport::FrameServer::Reply&);
    std::optional<std::string> handleGossip(const std::string& body);
    std::optional<std::string> handleHeartbeat(const std::string& body);
    std::optional<std::string> handleFeedPoll(const std::string& body, const transport::FrameServer::Reply&);

    transport::FrameClient* clientFor(const membership::PeerAddress&);
    void sendGossip(const membership::PeerAddress&, const membership::GossipMessage&);
    void receiveGossipAnswers(const membership::PeerAddress&, const std::string& bytes);
    void sendHeartbeats();
    void pollParent();
    std::optional<membership::PeerAddress> parentAddress();
    void receiveFeedAnswer(const base::Result<std::string>&, base::TimePoint sentAt, std::uint64_t poll, bool wasRoot);
    bool takeFeedReply(const std::string& bytes, base::TimePoint sentAt, bool wasRoot);
    void answerChildren();
    std::string feedBody(const membership::FeedAnswer&, std::uint64_t childRevision);
    void publishUpstreams();
    void publishGoneEntries();

    const base::Clock& clock_;
    base::Timeline& timeline_;
    const Options options_;
    const Listener listener_;

    mutable base::RankedMutex mutex_;
    membership::MemberTable table_;
    membership::Gossip gossip_;
    membership::Registrar registrar_;
    membership::HeartbeatSender heartbeats_;
    membership::RelayTree tree_;
    membership::Freshness freshness_;
    membership::FeedParent feedParent_;
    state::ConfigurationView view_;
    std::shared_ptr<const state::Configuration> configuration_;
    bool hasNewConfiguration_ = false;
    // The poll that is under way; zero when there is none.
    std::uint64_t openPoll_ = 0;
    std::uint64_t nextPoll_ = 1;
    base::TimePoint pollAt_;
    bool needsFullCopy_ = false;
    std::size_t rootIndex_ = 0;
    struct HeldPoll {
        transport::FrameServer::Reply reply;
        std::uint64_t revision = 0;
    };
    std::map<membership::MemberKey, HeldPoll> heldPolls_;
    // Digest of the table when the upstreams were last looked through.
    std::optional<std::uint64_t> publishedDigest_;
    std::vector<std::pair<std::string, std::uint64_t>> publishedUsable_;
    std::map<membership::MemberKey, std::uint64_t> goneEntries_;
    std::shared_ptr<transport::ClientThread> clientThread_;
    std::map<membership::PeerAddress, std::unique_ptr<transport::FrameClient>> clients_;
    bool isStopping_ = false;
    std::unique_ptr<transport::FrameServer> server_;
};

} // namespace arbutus::entry
