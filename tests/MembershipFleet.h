#pragma once

#include "include/base/Clock.h"
#include "include/membership/Gossip.h"
#include "include/membership/Registrar.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::membership {

inline MemberDescriptor makeEntryVm(std::size_t index, std::uint64_t incarnation = 1)
{
    MemberDescriptor descriptor;
    descriptor.id = "entry-" + std::to_string(index);
    descriptor.kind = MemberKind::EntryVm;
    descriptor.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250);
    descriptor.controlPort = 7000;
    descriptor.dataCentre = "dc" + std::to_string(index % 3);
    descriptor.incarnation = incarnation;
    return descriptor;
}

inline MemberDescriptor makeUpstream(std::size_t index, std::uint64_t incarnation = 1)
{
    MemberDescriptor descriptor;
    descriptor.id = "runner-" + std::to_string(index);
    descriptor.address = "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250);
    descriptor.controlPort = 9000;
    descriptor.dataCentre = "dc" + std::to_string(index % 3);
    descriptor.accelerator = "kind" + std::to_string(index % 5);
    const auto first = static_cast<std::uint32_t>(index / 24 % 4 * 16);
    descriptor.holdings = { { "model-" + std::to_string(index % 24), "v1", first, first + 15 } };
    descriptor.capacity = 64;
    descriptor.incarnation = incarnation;
    return descriptor;
}

// Simulates a fleet in one process. Delivers messages between its nodes in virtual time,
// with configurable loss and partitions.
class Fleet {
public:
    struct Node {
        std::unique_ptr<MemberTable> table;
        std::unique_ptr<Registrar> registrar;
        std::unique_ptr<Gossip> gossip;
        HeartbeatSender heartbeats;
        bool isUp = true;
    };
    struct Upstream {
        MemberDescriptor descriptor;
        std::vector<PeerAddress> registrars;
        base::TimePoint nextAt {};
        std::chrono::milliseconds interval { 1'000 };
        bool isUp = true;
        bool mustAnnounce = true;
    };
    struct Traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    static constexpr std::chrono::milliseconds step { 10 };
    static constexpr std::uint64_t bytesPerMessage = 96;

    // If `hasRegistrars` is false only gossip runs: members send no heartbeats and no lease expires.
    Fleet(std::size_t nodeCount, std::size_t upstreamCount, std::uint64_t seed, bool hasRegistrars = true)
        : hasRegistrars_(hasRegistrars)
        , random_(seed)
    {
        std::vector<MemberEntry> entries;
        for (std::size_t index = 0; index < nodeCount; ++index)
            entries.push_back(makeEntry(makeEntryVm(index)));
        for (std::size_t index = 0; index < upstreamCount; ++index) {
            upstreams.push_back({ makeUpstream(index), {}, {}, std::chrono::milliseconds(1'000), true, true });
            upstreams.back().nextAt = now() + std::chrono::milliseconds(random_.below(1'000));
            entries.push_back(makeEntry(upstreams.back().descriptor));
        }
        for (std::size_t index = 0; index < nodeCount; ++index) {
            addNode(makeEntryVm(index), {});
            for (const MemberEntry& entry : entries)
                nodes[index].table->mergeInitial(entry, now());
            nodes[index].table->drainChanges();
        }
    }

    std::size_t addNode(MemberDescriptor descriptor, std::vector<PeerAddress> seeds)
    {
        const PeerAddress address { descriptor.address, descriptor.controlPort };
        const auto [found, isNew] = indexOf_.try_emplace(address, nodes.size());
        if (isNew)
            nodes.emplace_back();
        Node& node = nodes[found->second];
        node = {};
        node.table = std::make_unique<MemberTable>(std::move(descriptor), now());
        node.registrar = std::make_unique<Registrar>(*node.table);
        node.gossip = std::make_unique<Gossip>(*node.table, std::move(seeds), random_.next(), now());
        return found->second;
    }

    base::TimePoint now() const { return clock_.now(); }

    void run(std::chrono::milliseconds duration)
    {
        for (const base::TimePoint end = now() + duration; now() < end;)
            runStep();
    }

    // Runs until `isDone` returns true or `limit` has passed. Returns the elapsed time.
    std::chrono::milliseconds runUntil(const std::function<bool()>& isDone, std::chrono::milliseconds limit)
    {
        const base::TimePoint start = now();
        while (!isDone() && now() < start + limit)
            runStep();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now() - start);
    }

    // Returns the number of running tables that satisfy the predicate.
    std::size_t count(const std::function<bool(const MemberTable&)>& isTrue) const
    {
        std::size_t result = 0;
        for (const Node& node : nodes)
            result += node.isUp && isTrue(*node.table);
        return result;
    }

    std::size_t nodeIndex(MemberKey key) const
    {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (nodes[index].table->self() == key)
                return index;
        }
        return nodes.size();
    }

    std::vector<Node> nodes;
    std::vector<Upstream> upstreams;
    double lossRate = 0;
    bool isCounting = false;
    // Returns whether frames pass from one node to another. Indexes of upstreams start at nodes.size().
    std::function<bool(std::size_t from, std::size_t to)> isLinked = [](std::size_t, std::size_t) { return true; };
    std::array<Traffic, 7> gossipTraffic {};

private:
    struct Frame {
        std::size_t from;
        std::size_t to;
        GossipMessage message;
    };

    void send(std::size_t from, std::size_t to, GossipMessage message)
    {
        if (isCounting) {
            Traffic& traffic = gossipTraffic[static_cast<std::size_t>(message.kind)];
            ++traffic.messages;
            traffic.bytes += encode(message).size() + bytesPerMessage;
        }
        if (random_.unit() >= lossRate && isLinked(from, to))
            frames_.push_back({ from, to, std::move(message) });
    }

    void runStep()
    {
        clock_.advance(step);
        ++stepCount_;
        // Frames sent in one step are delivered in the next.
        for (std::size_t left = frames_.size(); left; --left) {
            Frame frame = std::move(frames_.front());
            frames_.pop_front();
            if (!nodes[frame.to].isUp)
                continue;
            for (GossipMessage& answer : nodes[frame.to].gossip->onMessage(frame.message, now()))
                send(frame.to, frame.from, std::move(answer));
        }
        for (std::size_t index = stepCount_ % 5; index < nodes.size(); index += 5) {
            Node& node = nodes[index];
            if (!node.isUp)
                continue;
            for (Gossip::Outgoing& outgoing : node.gossip->tick(now()))
                sendTo(index, outgoing);
            if (!hasRegistrars_)
                continue;
            for (const HeartbeatSender::Outgoing& outgoing : node.heartbeats.tick(*node.table, now())) {
                const auto found = indexOf_.find(outgoing.to);
                if (isDelivered(index, found->second))
                    nodes[found->second].registrar->onHeartbeat(outgoing.heartbeat, now());
            }
            node.registrar->tick(now(), node.gossip->isIsolated(now()));
        }
        if (hasRegistrars_) {
            for (std::size_t index = 0; index < upstreams.size(); ++index)
                runUpstream(index);
        }
    }

    void sendTo(std::size_t from, Gossip::Outgoing& outgoing)
    {
        if (const auto found = indexOf_.find(outgoing.to); found != indexOf_.end())
            send(from, found->second, std::move(outgoing.message));
    }

    bool isDelivered(std::size_t from, std::size_t to) { return nodes[to].isUp && random_.unit() >= lossRate && isLinked(from, to); }

    // Implements the upstream behaviour that docs/membership.md requires: sends heartbeats
    // to two registrars, tries other entry VMs immediately if neither answers, and reports
    // to newly assigned registrars immediately.
    void runUpstream(std::size_t index)
    {
        Upstream& upstream = upstreams[index];
        if (!upstream.isUp || now() < upstream.nextAt)
            return;
        upstream.nextAt = now() + upstream.interval;
        std::vector<PeerAddress> targets = upstream.registrars;
        bool wasHeard = false;
        const auto report = [&](const PeerAddress& target) {
            const std::size_t to = indexOf_.at(target);
            if (!isDelivered(nodes.size() + index, to))
                return;
            wasHeard = true;
            Registrar& registrar = *nodes[to].registrar;
            std::optional<AnnounceAnswer> answer;
            if (upstream.mustAnnounce)
                answer = registrar.onAnnouncement(upstream.descriptor, now());
            else
                answer = registrar.onHeartbeat({ memberKey(upstream.descriptor.id), versionTag(upstream.descriptor.incarnation, upstream.descriptor.version), registrarsTag(upstream.registrars) }, now());
            if (!answer)
                return;
            if (answer->mustAnnounce || answer->mustRaiseVersion) {
                upstream.descriptor.version += answer->mustRaiseVersion;
                answer = registrar.onAnnouncement(upstream.descriptor, now());
            }
            upstream.registrars = answer->registrars;
            upstream.mustAnnounce = false;
        };
        for (const PeerAddress& target : targets)
            report(target);
        for (int tries = 0; !wasHeard && tries < 3; ++tries) {
            const MemberDescriptor& any = nodes[random_.below(nodes.size())].table->selfDescriptor();
            report({ any.address, any.controlPort });
        }
        for (const PeerAddress& target : std::vector<PeerAddress>(upstream.registrars)) {
            if (std::find(targets.begin(), targets.end(), target) == targets.end())
                report(target);
        }
    }

    const bool hasRegistrars_;
    base::VirtualClock clock_;
    base::Random random_;
    std::uint64_t stepCount_ = 0;
    std::map<PeerAddress, std::size_t> indexOf_;
    std::deque<Frame> frames_;
};

} // namespace arbutus::membership
