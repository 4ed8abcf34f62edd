#include "src/entry/ControlPlane.h"

#include "include/base/LockRanks.h"
#include "include/base/Logger.h"
#include "include/base/Settings.h"
#include "include/membership/Subset.h"

#include <algorithm>

namespace arbutus::entry {

using base::RankedLock;
using base::Result;
using control::FrameKind;
using membership::GossipKind;
using membership::GossipMessage;
using membership::MemberKind;
using membership::PeerAddress;

static constexpr base::Logger logger("members");
static constexpr std::chrono::milliseconds gossipTimeout(1000);
// A replica that is not the leader answers a poll immediately. The delay limits the
// rate of attempts during an election.
static constexpr std::chrono::milliseconds rootRetryDelay(40);

// A member's address is a URL. Control frames go to the same host on the control port.
static std::string hostOf(const std::string& address)
{
    auto begin = address.find("://");
    begin = begin == std::string::npos ? 0 : begin + 3;
    return address.substr(begin, address.find_first_of(":/", begin) - begin);
}

ControlPlane::ControlPlane(const base::Clock& clock, base::Timeline& timeline, const Options& options, Listener listener)
    : clock_(clock)
    , timeline_(timeline)
    , options_(options)
    , listener_(std::move(listener))
    , mutex_(base::lock_rank::membership)
    , table_(options.self, clock.now())
    , gossip_(table_, options.seeds, options.seed, clock.now())
    , registrar_(table_)
    , tree_(membership::memberKey(options.self.id))
    , feedParent_(membership::maxRelayChildren)
    , clientThread_(transport::ClientThread::Make())
{
}

Result<std::unique_ptr<ControlPlane>> ControlPlane::Make(const base::Clock& clock, base::Timeline& timeline, const Options& options, Listener listener)
{
    std::unique_ptr<ControlPlane> plane(new ControlPlane(clock, timeline, options, std::move(listener)));
    BOOST_OUTCOME_TRYV(plane->start());
    return plane;
}

Result<void> ControlPlane::start()
{
    transport::FrameServerOptions server;
    server.address = options_.listenAddress;
    server.port = options_.self.controlPort;
    server.sharedKey = options_.sharedKey;
    server.id = options_.self.id;
    transport::FrameServer::DeferredHandler handler = [this](const transport::Frame& frame, const transport::FrameServer::Reply& reply) { return handleFrame(frame, reply); };
    BOOST_OUTCOME_TRY(made, transport::FrameServer::Make(server, handler));
    server_ = std::move(made);
    return base::outcome::success();
}

ControlPlane::~ControlPlane()
{
    server_.reset();
    std::map<PeerAddress, std::unique_ptr<transport::FrameClient>> clients;
    {
        RankedLock lock(mutex_);
        isStopping_ = true;
        clients.swap(clients_);
    }
    // Destroyed without the mutex held, because running callbacks need it to finish.
    clients.clear();
}

transport::FrameClient* ControlPlane::clientFor(const PeerAddress& peer)
{
    if (isStopping_)
        return nullptr;
    if (auto it = clients_.find(peer); it != clients_.end())
        return it->second.get();
    transport::FrameClientOptions options;
    options.address = hostOf(peer.address);
    options.port = peer.port;
    options.sharedKey = options_.sharedKey;
    options.id = options_.self.id;
    options.seed = options_.seed;
    auto client = transport::FrameClient::Make(clientThread_, options);
    if (!client) {
        logger.warning("Cannot use the address of a member.", { { "address", peer.address }, { "reason", client.error().detail } });
        return nullptr;
    }
    return clients_.emplace(peer, std::move(client).value()).first->second.get();
}

std::optional<std::string> ControlPlane::handleFrame(const transport::Frame& frame, const transport::FrameServer::Reply& reply)
{
    auto body = control::receiveTimestamped(frame.body, frame.sender, timeline_);
    if (!body)
        return std::nullopt;
    switch (static_cast<FrameKind>(frame.kind)) {
    case FrameKind::Gossip:
        return handleGossip(*body);
    case FrameKind::Heartbeat:
        return handleHeartbeat(*body);
    case FrameKind::FeedPoll:
        return handleFeedPoll(*body, reply);
    case FrameKind::Replication:
    case FrameKind::ReplicaHello:
    case FrameKind::FleetPoll:
    case FrameKind::ReplicaJoin:
    case FrameKind::ReplicaLeave:
    case FrameKind::LoadUpdate:
    case FrameKind::UpstreamDeparture:
        break;
    }
    return std::nullopt;
}

std::optional<std::string> ControlPlane::handleGossip(const std::string& body)
{
    auto message = membership::decodeGossip(body);
    if (!message)
        return std::nullopt;
    RankedLock lock(mutex_);
    std::vector<std::string> answers;
    for (const auto& answer : gossip_.onMessage(message.value(), clock_.now()))
        answers.push_back(membership::encode(answer));
    if (answers.empty())
        return std::nullopt;
    return control::packList(answers);
}

// Push and repair messages need no answer. Every other message is a request, and its
// answers return on the same connection, so a new VM works before the peer has it in
// its member table.
void ControlPlane::sendGossip(const PeerAddress& peer, const GossipMessage& message)
{
    auto* client = clientFor(peer);
    if (!client)
        return;
    auto kind = static_cast<std::uint8_t>(FrameKind::Gossip);
    std::string body = control::packTimestamped({}, membership::encode(message));
    if (message.kind == GossipKind::Push || message.kind == GossipKind::Repair) {
        client->send(kind, std::move(body));
        return;
    }
    client->request(kind, std::move(body), clock_.now() + gossipTimeout, [this, peer](const Result<std::string>& answer) {
        if (answer)
            receiveGossipAnswers(peer, answer.value());
    });
}

void ControlPlane::receiveGossipAnswers(const PeerAddress& peer, const std::string& bytes)
{
    auto list = control::unpackList(bytes);
    if (!list)
        return;
    RankedLock lock(mutex_);
    for (const auto& encoded : list.value()) {
        auto message = membership::decodeGossip(encoded);
        if (!message)
            continue;
        for (const auto& answer : gossip_.onMessage(message.value(), clock_.now()))
            sendGossip(peer, answer);
    }
}

std::optional<std::string> ControlPlane::handleHeartbeat(const std::string& body)
{
    auto heartbeat = membership::decodeHeartbeat(body);
    if (!heartbeat)
        return std::nullopt;
    RankedLock lock(mutex_);
    auto answer = registrar_.onHeartbeat(heartbeat.value(), clock_.now());
    if (!answer)
        return std::nullopt;
    return membership::encode(*answer);
}

void ControlPlane::sendHeartbeats()
{
    for (const auto& outgoing : heartbeats_.tick(table_, clock_.now())) {
        if (auto* client = clientFor(outgoing.to))
            client->send(static_cast<std::uint8_t>(FrameKind::Heartbeat), control::packTimestamped({}, membership::encode(outgoing.heartbeat)));
    }
}

membership::AnnounceAnswer ControlPlane::announce(const membership::MemberDescriptor& descriptor)
{
    RankedLock lock(mutex_);
    return registrar_.onAnnouncement(descriptor, clock_.now());
}

std::string ControlPlane::packFeedBody(const membership::FeedAnswer& answer, std::uint64_t childRevision)
{
    std::optional<state::ConfigurationUpdate> update;
    if (!answer.isRefused && view_.hasConfiguration() && answer.revision > childRevision)
        update = view_.changesSince(childRevision);
    return control::packTimestamped(timeline_.now(), control::packFeedAnswer(answer, update));
}

std::optional<std::string> ControlPlane::handleFeedPoll(const std::string& body, const transport::FrameServer::Reply& reply)
{
    auto poll = membership::decodeFeedPoll(body);
    if (!poll)
        return std::nullopt;
    RankedLock lock(mutex_);
    auto answer = feedParent_.onPoll(poll.value(), view_.revision(), freshness_.currentAsOf(), clock_.now());
    if (answer)
        return packFeedBody(*answer, poll.value().revision);
    heldPolls_[poll.value().child] = { reply, poll.value().revision };
    return std::nullopt;
}

void ControlPlane::answerHeldPolls()
{
    for (const auto& outgoing : feedParent_.tick(view_.revision(), freshness_.currentAsOf(), clock_.now())) {
        auto held = heldPolls_.extract(outgoing.child);
        if (held)
            held.mapped().reply(packFeedBody(outgoing.answer, held.mapped().revision));
    }
}

std::optional<PeerAddress> ControlPlane::parentAddress()
{
    // Nodes at level 1 poll the replicas in turn until they find the leader.
    if (tree_.level() == 1)
        return options_.replicas[rootReplicaIndex_ % options_.replicas.size()];
    auto parent = tree_.parent(clock_.now());
    if (!parent)
        return std::nullopt;
    const auto* entry = table_.find(*parent);
    if (!entry || !entry->descriptor)
        return std::nullopt;
    return PeerAddress { entry->descriptor->address, entry->descriptor->controlPort };
}

void ControlPlane::pollParent()
{
    auto now = clock_.now();
    if (pollInFlight_ || now < nextPollAt_)
        return;
    auto parent = parentAddress();
    auto* client = parent ? clientFor(*parent) : nullptr;
    if (!client)
        return;
    bool isRoot = tree_.level() == 1;
    membership::FeedPoll poll;
    poll.child = table_.self();
    poll.revision = needsFullCopy_ ? 0 : view_.revision();
    poll.isUrgent = !freshness_.isConfigurationFresh(now);
    std::uint64_t number = nextPollNumber_++;
    pollInFlight_ = number;
    tree_.onPollSent(now);
    client->request(static_cast<std::uint8_t>(FrameKind::FeedPoll), control::packTimestamped(timeline_.now(), membership::encode(poll)), now + membership::parentTimeout,
        [this, now, number, isRoot](const Result<std::string>& answer) { receiveFeedAnswer(answer, now, number, isRoot); });
}

void ControlPlane::receiveFeedAnswer(const Result<std::string>& answer, base::TimePoint sentAt, std::uint64_t poll, bool wasRoot)
{
    RankedLock lock(mutex_);
    if (pollInFlight_ != poll)
        return;
    pollInFlight_ = 0;
    nextPollAt_ = clock_.now();
    if (answer && applyFeedAnswer(answer.value(), sentAt, wasRoot))
        return;
    if (wasRoot) {
        ++rootReplicaIndex_;
        nextPollAt_ += rootRetryDelay;
    }
}

// Returns true if the same parent should be polled again.
bool ControlPlane::applyFeedAnswer(const std::string& bytes, base::TimePoint sentAt, bool wasRoot)
{
    auto timed = control::unpackTimestamped(bytes);
    if (!timed)
        return false;
    timeline_.observe(timed.value().time);
    auto reply = control::unpackFeedAnswer(timed.value().body);
    if (!reply)
        return false;
    const auto& answer = reply.value().answer;
    auto now = clock_.now();
    if (answer.isRefused) {
        tree_.onRefused(now);
        return false;
    }
    if (reply.value().update) {
        auto applied = view_.apply(*reply.value().update);
        needsFullCopy_ = !applied;
        if (!applied) {
            logger.warning("Cannot apply a configuration update.", { { "reason", applied.error().detail } });
            return true;
        }
        configuration_ = std::make_shared<const state::Configuration>(view_.current());
        hasNewConfiguration_ = true;
    } else if (answer.revision > view_.revision())
        return !wasRoot;
    else if (!view_.hasConfiguration() && !answer.revision) {
        // A new deployment has no sheet yet; the empty configuration is valid.
        configuration_ = std::make_shared<const state::Configuration>();
    }
    tree_.onAnswered(answer.ageMicroseconds ? std::optional<std::chrono::microseconds>(*answer.ageMicroseconds) : std::nullopt, now);
    freshness_.onAnswer(answer, sentAt, now);
    return true;
}

void ControlPlane::publishUpstreams()
{
    std::vector<DescriptorPointer> engines;
    std::vector<DescriptorPointer> services;
    std::size_t entryVms = 1;
    {
        RankedLock lock(mutex_);
        // The digest covers every member that is not out, and so everything read below.
        // Comparing it avoids a scan of the whole table 50 times a second.
        if (table_.digest() == publishedDigest_)
            return;
        publishedDigest_ = table_.digest();
        std::vector<membership::SubsetCandidate> candidates;
        std::vector<std::pair<std::string, std::uint64_t>> usable;
        std::map<membership::MemberKey, DescriptorPointer> byKey;
        std::vector<membership::MemberKey> nodes { table_.self() };
        table_.forEach([&](const membership::MemberEntry& entry, bool isFailed) {
            if (!entry.descriptor || isFailed)
                return;
            if (entry.descriptor->kind == MemberKind::EntryVm && entry.key != table_.self()) {
                ++entryVms;
                nodes.push_back(entry.key);
            }
            if (entry.descriptor->kind != MemberKind::Upstream || entry.descriptor->isLeaving)
                return;
            usable.emplace_back(entry.descriptor->id, entry.descriptorDigest);
            byKey[entry.key] = entry.descriptor;
            if (!entry.descriptor->services.empty())
                services.push_back(entry.descriptor);
            if (!entry.descriptor->holdings.empty())
                candidates.push_back({ entry.key, entry.descriptor.get() });
        });
        tree_.setNodes(std::move(nodes));
        std::sort(usable.begin(), usable.end());
        usable.emplace_back("", entryVms);
        if (usable == publishedUsable_)
            return;
        publishedUsable_ = std::move(usable);
        for (auto key : membership::chooseSubset(table_.self(), entryVms, candidates))
            engines.push_back(byKey.at(key));
    }
    listener_.onUpstreams(std::move(engines), std::move(services), entryVms);
}

void ControlPlane::publishGoneEntries()
{
    std::vector<std::pair<std::string, std::uint64_t>> gone;
    {
        RankedLock lock(mutex_);
        table_.forEach([&](const membership::MemberEntry& entry, bool isFailed) {
            if (!isFailed || !entry.descriptor || entry.descriptor->kind != MemberKind::EntryVm)
                return;
            auto& publishedIncarnation = publishedGoneEntries_[entry.key];
            if (publishedIncarnation >= entry.incarnation)
                return;
            publishedIncarnation = entry.incarnation;
            gone.emplace_back(entry.descriptor->id, entry.incarnation);
        });
    }
    for (const auto& [vm, incarnation] : gone)
        listener_.onEntryGone(vm, incarnation);
}

void ControlPlane::tick()
{
    std::shared_ptr<const state::Configuration> changed;
    {
        RankedLock lock(mutex_);
        auto now = clock_.now();
        for (const auto& outgoing : gossip_.tick(now))
            sendGossip(outgoing.to, outgoing.message);
        registrar_.tick(now, gossip_.isIsolated(now));
        sendHeartbeats();
        freshness_.onGossip(gossip_.knowsPeers(), gossip_.lastExchangeAt());
        if (tree_.tick(now))
            pollInFlight_ = 0;
        pollParent();
        answerHeldPolls();
        if (std::exchange(hasNewConfiguration_, false))
            changed = configuration_;
    }
    if (changed) {
        timeline_.record("configuration-in-force", { { "revision", std::to_string(changed->sheetRevision) }, { "feed", std::to_string(changed->revision) } });
        listener_.onConfiguration(changed);
    }
    publishUpstreams();
    publishGoneEntries();
}

bool ControlPlane::isFresh() const
{
    RankedLock lock(mutex_);
    return freshness_.isFresh(clock_.now());
}

std::shared_ptr<const state::Configuration> ControlPlane::configuration() const
{
    RankedLock lock(mutex_);
    return configuration_;
}

std::vector<ControlPlane::MemberView> ControlPlane::members() const
{
    RankedLock lock(mutex_);
    std::vector<MemberView> views;
    table_.forEach([&](const membership::MemberEntry& entry, bool isFailed) {
        if (entry.descriptor)
            views.push_back({ entry.descriptor, isFailed ? "out" : entry.descriptor->isLeaving ? "leaving"
                                                                                               : "in" });
    });
    std::sort(views.begin(), views.end(), [](const auto& left, const auto& right) { return left.descriptor->id < right.descriptor->id; });
    return views;
}

transport::TransportTotals ControlPlane::totals() const
{
    auto totals = server_->totals();
    RankedLock lock(mutex_);
    for (const auto& [peer, client] : clients_) {
        auto clientTotals = client->totals();
        totals.framesIn += clientTotals.framesIn;
        totals.framesOut += clientTotals.framesOut;
        totals.bytesIn += clientTotals.bytesIn;
        totals.bytesOut += clientTotals.bytesOut;
    }
    return totals;
}

void ControlPlane::leave()
{
    RankedLock lock(mutex_);
    auto descriptor = table_.selfDescriptor();
    descriptor.isLeaving = true;
    table_.updateSelf(descriptor, clock_.now());
}

} // namespace arbutus::entry
