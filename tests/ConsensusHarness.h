#pragma once

#include "include/base/Digest.h"
#include "include/consensus/ReplicaCore.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <set>
#include <stdexcept>

namespace arbutus::consensus {

using Milliseconds = std::chrono::milliseconds;

// Runs cores in virtual time over a faulty network and disks that keep only what
// was synced, and checks the safety rules after every step.
class Cluster {
public:
    struct Node {
        ReplicaKey key;
        std::optional<ReplicaCore> core;
        DurableState disk;
        std::deque<Output> unsynced;
        std::uint64_t epoch = 0;
        // The speed of its clock relative to virtual time.
        double rate = 1;
        Index applied = 0;
        std::uint64_t state = 0;
        std::size_t installedSnapshots = 0;
        std::chrono::nanoseconds syncDelay = std::chrono::microseconds(300);
    };

    Cluster(std::uint64_t seed, std::size_t voterCount, std::size_t spareCount = 0)
        : random(seed)
        , seed_(seed)
        , nodes(voterCount + spareCount)
    {
        settings.trailingEntries = 8;
        Configuration bootstrap;
        for (std::size_t i = 0; i < voterCount; ++i)
            bootstrap.voters.push_back({ i, 1 });
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            nodes[i].key = { i, 1 };
            if (i < voterCount)
                nodes[i].disk.bootstrap = bootstrap;
        }
    }

    void startAll()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i)
            start(i);
    }

    void start(std::size_t i)
    {
        Node& node = nodes[i];
        if (node.core)
            return;
        settings.self = node.key;
        auto core = ReplicaCore::Make(settings, node.disk, base::Random(random.next()), localTime(node));
        if (core.has_error())
            fail(core.error().detail);
        node.core.emplace(std::move(core).value());
        node.applied = 0;
        node.state = 0;
        if (node.disk.snapshot)
            restore(node, *node.disk.snapshot);
    }

    // Keeps a random number of the unsynced writes, as a real crash may.
    void crash(std::size_t i)
    {
        Node& node = nodes[i];
        for (auto kept = random.below(node.unsynced.size() + 1); kept > 0; --kept)
            syncFirst(node);
        node.unsynced.clear();
        node.core.reset();
        ++node.epoch;
    }

    void wipe(std::size_t i)
    {
        crash(i);
        nodes[i].disk = DurableState();
        ++nodes[i].key.disk;
    }

    void block(std::size_t from, std::size_t to) { blocked.insert({ from, to }); }
    void isolate(std::size_t i, bool incoming = true, bool outgoing = true)
    {
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            if (incoming)
                block(other, i);
            if (outgoing)
                block(i, other);
        }
    }

    void step(std::size_t i, const Input& input)
    {
        Node& node = nodes[i];
        if (!node.core)
            return;
        Output output = node.core->step(input, localTime(node));
        if (output.writeNumber) {
            node.unsynced.push_back(output);
            const auto delay = node.syncDelay + std::chrono::nanoseconds(random.below(static_cast<std::uint64_t>(node.syncDelay.count())));
            events.emplace(now + delay, [this, i, epoch = node.epoch, number = output.writeNumber] { finishSync(i, epoch, number); });
        }
        for (Message& message : output.messages)
            transmit(i, std::move(message));
        check(i, output);
    }

    void run(std::chrono::nanoseconds duration)
    {
        for (const auto end = now + duration; now < end;) {
            now += Milliseconds(1);
            while (!events.empty() && events.begin()->first <= now) {
                auto event = std::move(events.begin()->second);
                events.erase(events.begin());
                event();
            }
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i].core && nodes[i].core->nextDeadline() <= localTime(nodes[i]))
                    step(i, Tick {});
            }
            checkLeases();
        }
    }

    template <typename Condition>
    bool runUntil(Condition condition, std::chrono::nanoseconds limit)
    {
        for (const auto end = now + limit; now < end && !condition();)
            run(Milliseconds(1));
        return condition();
    }

    bool isLeading(std::size_t i) const { return nodes[i].core && localTime(nodes[i]) < nodes[i].core->leaseEnd(); }
    // The replica with a valid lease, or the number of nodes if there is none.
    std::size_t leader() const
    {
        std::size_t i = 0;
        while (i < nodes.size() && !isLeading(i))
            ++i;
        return i;
    }
    std::size_t awaitLeader()
    {
        if (!runUntil([this] { return leader() < nodes.size(); }, std::chrono::seconds(10)))
            fail("no leader");
        return leader();
    }

    Ticket propose(std::size_t i)
    {
        step(i, Propose { { { ++lastTicket, fmt::format("command {}", lastTicket) } } });
        return lastTicket;
    }
    void proposeMany(std::size_t i, int count)
    {
        for (int sent = 0; sent < count; ++sent) {
            propose(i);
            run(Milliseconds(1));
        }
    }
    void read(std::size_t i)
    {
        reads[++lastTicket] = lastConfirmed;
        step(i, Read { lastTicket });
    }
    Ticket change(std::size_t i, ChangeKind kind, const ReplicaKey& key)
    {
        step(i, ChangeConfiguration { ++lastTicket, kind, key });
        return lastTicket;
    }
    // Repeats the change at the current leader until it is committed.
    bool changeSurely(ChangeKind kind, const ReplicaKey& key)
    {
        for (int attempt = 0; attempt < 50; ++attempt) {
            const Ticket ticket = change(awaitLeader(), kind, key);
            if (runUntil([&] { return results[ticket] == ProposalStatus::Committed; }, Milliseconds(100)))
                return true;
        }
        return false;
    }
    void takeSnapshot(std::size_t i, std::size_t padding = 0)
    {
        Node& node = nodes[i];
        if (!node.core || !node.applied)
            return;
        std::string data = fmt::format("{:020}", node.state) + std::string(padding, 'x');
        // The caller syncs a snapshot after every earlier write.
        while (!node.unsynced.empty())
            syncFirst(node);
        Snapshot snapshot { node.core->describeSnapshot(node.applied).value(), std::make_shared<const std::string>(std::move(data)) };
        node.disk.snapshot = snapshot;
        step(i, SnapshotTaken { std::move(snapshot) });
    }

    // Checks that the cluster still works and that all of its members agree.
    void healAndConverge()
    {
        blocked.clear();
        dropShare = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            start(i);
        run(std::chrono::seconds(3));
        const Ticket ticket = propose(awaitLeader());
        run(std::chrono::seconds(1));
        if (results[ticket] != ProposalStatus::Committed)
            fail("no progress after all faults ended");
        const Configuration members = nodes[awaitLeader()].core->configuration();
        for (const Node& node : nodes) {
            if ((members.isVoter(node.key) || members.isLearner(node.key)) && node.applied != truth.rbegin()->first)
                fail(fmt::format("replica {} stays at {} of {}", node.key.replica, node.applied, truth.rbegin()->first));
        }
        for (const auto& [index, entry] : truth) {
            if (refused.count(entry.data))
                fail("refused proposal was committed: " + entry.data);
        }
    }

    [[noreturn]] void fail(const std::string& reason) const { throw std::runtime_error(fmt::format("seed {} at {} ms: {}", seed_, now.count() / 1000000, reason)); }

    base::Random random;

private:
    const std::uint64_t seed_;

public:
    std::vector<Node> nodes;
    ReplicaSettings settings;
    std::chrono::nanoseconds now {};
    std::multimap<std::chrono::nanoseconds, std::function<void()>> events;
    std::set<std::pair<std::size_t, std::size_t>> blocked;
    double dropShare = 0;
    double duplicateShare = 0;
    std::chrono::nanoseconds maxDelay = Milliseconds(1);
    std::size_t largestMessage = 0;
    // Off where a test takes away disks or changes members while entries are open.
    bool checksSyncedMajority = true;

    std::map<Index, Entry> truth;
    std::map<Index, std::uint64_t> states;
    std::map<Term, ReplicaKey> leaders;
    std::map<Ticket, ProposalStatus> results;
    std::set<std::string> refused;
    std::map<Ticket, Index> reads;
    std::size_t grantedReads = 0;
    Index lastConfirmed = 0;
    Ticket lastTicket = 0;

private:
    base::TimePoint localTime(const Node& node) const
    {
        return base::TimePoint(std::chrono::hours(1 + node.key.replica)) + std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(now.count()) * node.rate));
    }

    void transmit(std::size_t from, Message message)
    {
        // Goes through the codec, so that every field that matters is on the wire.
        std::string bytes = encode(message);
        largestMessage = std::max(largestMessage, bytes.size());
        const auto to = static_cast<std::size_t>(message.to.replica);
        for (int copies = random.unit() < duplicateShare ? 2 : 1; copies > 0; --copies) {
            if (blocked.count({ from, to }) || random.unit() < dropShare)
                continue;
            const auto delay = std::chrono::nanoseconds(random.below(static_cast<std::uint64_t>(maxDelay.count())));
            events.emplace(now + delay, [this, to, bytes] { step(to, Receive { decode<Message>(bytes).value() }); });
        }
    }

    static void syncFirst(Node& node)
    {
        Output write = std::move(node.unsynced.front());
        node.unsynced.pop_front();
        auto& log = node.disk.entries;
        auto dropFrom = [&log](Index index) { log.erase(std::find_if(log.begin(), log.end(), [=](const Entry& entry) { return entry.index >= index; }), log.end()); };
        auto dropTo = [&log](Index index) { log.erase(log.begin(), std::find_if(log.begin(), log.end(), [=](const Entry& entry) { return entry.index > index; })); };
        if (write.hardState)
            node.disk.hardState = *write.hardState;
        if (write.snapshot) {
            node.disk.snapshot = write.snapshot;
            dropTo(write.discardsLog ? ~Index { 0 } : write.snapshot->meta.index);
        }
        if (write.truncateFrom)
            dropFrom(*write.truncateFrom);
        log.insert(log.end(), write.appends.begin(), write.appends.end());
    }

    void finishSync(std::size_t i, std::uint64_t epoch, std::uint64_t number)
    {
        Node& node = nodes[i];
        if (node.epoch != epoch)
            return;
        while (!node.unsynced.empty() && node.unsynced.front().writeNumber <= number)
            syncFirst(node);
        step(i, Persisted { number });
    }

    void restore(Node& node, const Snapshot& snapshot)
    {
        node.applied = snapshot.meta.index;
        node.state = std::stoull(snapshot.data->substr(0, 20));
        if (states.at(node.applied) != node.state)
            fail("snapshot with a wrong state");
    }

    bool isOnDisk(const ReplicaKey& key, const Entry& entry) const
    {
        const Node& node = nodes[key.replica];
        if (node.key != key)
            return false;
        const auto& log = node.disk.entries;
        return (node.disk.snapshot && node.disk.snapshot->meta.index >= entry.index) || std::find(log.begin(), log.end(), entry) != log.end();
    }

    void check(std::size_t i, const Output& output)
    {
        Node& node = nodes[i];
        const ReplicaCore& core = *node.core;
        if (core.role() == Role::Leader) {
            auto [known, isNew] = leaders.emplace(core.term(), node.key);
            if (known->second != node.key)
                fail(fmt::format("two leaders in term {}", core.term()));
            auto past = std::find_if(truth.rbegin(), truth.rend(), [&core](const auto& item) { return item.second.term < core.term(); });
            if (isNew && past != truth.rend() && past->first > core.log().compactedIndex() && core.log().termAt(past->first) != past->second.term)
                fail("new leader lacks a committed entry");
        }
        if (output.snapshot) {
            restore(node, *output.snapshot);
            ++node.installedSnapshots;
        }
        for (const Entry& entry : output.committed) {
            auto [known, isNew] = truth.emplace(entry.index, entry);
            if (!(known->second == entry) || entry.index != node.applied + 1)
                fail(fmt::format("applied sequences differ at {}", entry.index));
            node.applied = entry.index;
            node.state = base::hash64(encode(entry), node.state);
            if (states.emplace(entry.index, node.state).first->second != node.state)
                fail("state machines differ");
            const auto& voters = core.configuration().voters;
            const auto copies = std::count_if(voters.begin(), voters.end(), [&](const ReplicaKey& key) { return isOnDisk(key, entry); });
            if (checksSyncedMajority && isNew && static_cast<std::size_t>(copies) < core.configuration().majority())
                fail(fmt::format("entry {} committed without a synced majority", entry.index));
        }
        for (const ProposalResult& result : output.proposals) {
            results[result.ticket] = result.status;
            if (result.status > ProposalStatus::Unknown)
                refused.insert(fmt::format("command {}", result.ticket));
            if (result.status == ProposalStatus::Committed)
                lastConfirmed = std::max(lastConfirmed, result.index);
            if ((result.status == ProposalStatus::Committed) != (truth.count(result.index) && truth[result.index].term == result.term) && result.status < ProposalStatus::Unknown && result.status != ProposalStatus::Accepted)
                fail("wrong outcome of a proposal");
        }
        for (const ReadResult& result : output.reads) {
            if (result.status != ReadStatus::Granted)
                continue;
            ++grantedReads;
            if (result.index < reads.at(result.ticket) || node.applied < result.index)
                fail("read misses a confirmed entry");
        }
        checkLeases();
    }

    void checkLeases() const
    {
        std::size_t valid = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            valid += isLeading(i) ? 1 : 0;
        if (valid > 1)
            fail("two leaders with a valid lease");
    }
};

} // namespace arbutus::consensus
