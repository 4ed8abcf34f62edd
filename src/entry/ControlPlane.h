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

// Runs membership and configuration distribution for this entry VM: gossip,
// upstream leases, polling the parent in the relay tree and answering the polls of
// its children. Thread-safe.
class ControlPlane {
public:
    struct Options {
        // Membership descriptor of this VM; the address is a URL.
        membership::MemberDescriptor self;
        std::string listenAddress;
        std::string sharedKey;
        std::vector<membership::PeerAddress> seeds;
        // Control addresses of the state replicas.
        std::vector<membership::PeerAddress> replicas;
        std::uint64_t seed = 1;
    };

    // Called from the thread that calls tick(), without locks held.
    struct Listener {
        std::function<void(std::shared_ptr<const state::Configuration>)> onConfiguration;
        // Called when the usable upstreams change. `engines` is the subset that this VM
        // opens channels to, `services` are the upstreams it may call, and `entryVms` is
        // the number of entry VMs that share them, including this one.
        std::function<void(std::vector<DescriptorPointer> engines, std::vector<DescriptorPointer> services, std::size_t entryVms)> onUpstreams;
        // An entry VM is out. Called once per incarnation.
        std::function<void(const std::string& vm, std::uint64_t incarnation)> onEntryGone;
    };

    struct MemberView {
        DescriptorPointer descriptor;
        // "in", "leaving" or "out".
        std::string state;
    };

    static base::Result<std::unique_ptr<ControlPlane>> Make(const base::Clock&, base::Timeline&, const Options&, Listener);
    ~ControlPlane();

    // Runs all due periodic tasks. Must be called about every 25 ms from a single thread.
    void tick();

    // Registers an upstream from its announcement or refuses it.
    membership::AnnounceAnswer announce(const membership::MemberDescriptor&);

    // Returns true if this VM can prove that its configuration is current.
    bool isFresh() const;
    // Returns nullptr before the first configuration has been received.
    std::shared_ptr<const state::Configuration> configuration() const;
    std::vector<MemberView> members() const;
    transport::TransportTotals totals() const;

    // Announces to the other VMs that this one is leaving.
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
    bool applyFeedAnswer(const std::string& bytes, base::TimePoint sentAt, bool wasRoot);
    void answerHeldPolls();
    std::string packFeedBody(const membership::FeedAnswer&, std::uint64_t childRevision);
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
    // Number of the poll in flight, or 0 if there is none.
    std::uint64_t pollInFlight_ = 0;
    std::uint64_t nextPollNumber_ = 1;
    base::TimePoint nextPollAt_;
    bool needsFullCopy_ = false;
    std::size_t rootReplicaIndex_ = 0;
    struct HeldPoll {
        transport::FrameServer::Reply reply;
        std::uint64_t revision = 0;
    };
    std::map<membership::MemberKey, HeldPoll> heldPolls_;
    // Digest of the member table at the last check for changed upstreams.
    std::optional<std::uint64_t> publishedDigest_;
    std::vector<std::pair<std::string, std::uint64_t>> publishedUsable_;
    std::map<membership::MemberKey, std::uint64_t> publishedGoneEntries_;
    std::shared_ptr<transport::ClientThread> clientThread_;
    std::map<membership::PeerAddress, std::unique_ptr<transport::FrameClient>> clients_;
    bool isStopping_ = false;
    std::unique_ptr<transport::FrameServer> server_;
};

} // namespace arbutus::entry
