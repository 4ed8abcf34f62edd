#pragma once

#include "include/consensus/ReplicaCore.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <set>
#include <stdexcept>

namespace arbutus::consensus {

using Milliseconds = std::chrono::milliseconds;

// Simulates a cluster of cores in virtual time, with a faulty network and with disks that
// may lose unsynced writes in a crash. Checks the safety rules after every step and
// throws on a violation.
class Cluster {
public:
    struct Node {
        ReplicaKey key;
        std::optional<ReplicaCore> core;
        // The synced state, which survives a crash.
        DurableState disk;
        std::deque<Output> unsynced;
        std::uint64_t crashCount = 0;
        // The number of times that the machine has been without power.
        std::uint64_t bootCount = 0;
        // The rate of the node's clock relative to virtual time.
        double clockRate = 1;
        Index appliedIndex = 0;
        std::size_t installedSnapshots = 0;
        std::chrono::nanoseconds syncDelay = std::chrono::microseconds(300);
        // Until then, the disk has no space.
        std::chrono::nanoseconds fullUntil {};
        // When the messages sent so far have left, if the links have a limited speed.
        std::chrono::nanoseconds uplinkBusyUntil {};
    };

    Cluster(std::uint64_t seed, std::size_t voterCount, std::size_t spareCount = 0)
        : random(seed)
        , nodes(voterCount + spareCount)
        , seed_(seed)
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
        settings.boot = fmt::format("boot {}", node.bootCount);
        auto core = ReplicaCore::Make(settings, node.disk, base::Random(random.next()), localTime(node));
        if (core.has_error())
            fail(core.error().detail);
        node.core.emplace(std::move(core).value());
        node.appliedIndex = 0;
        if (node.disk.snapshot)
            restoreSnapshot(node, *node.disk.snapshot);
    }
    // Persists a random prefix of the unsynced writes, as may happen in a real crash.
    void crash(std::size_t i)
    {
        Node& node = nodes[i];
        for (auto kept = random.below(node.unsynced.size() + 1); kept > 0; --kept)
            syncOldestWrite(node);
        node.unsynced.clear();
        node.core.reset();
        ++node.crashCount;
    }
    // Crashes the node and its machine.
    void losePower(std::size_t i)
    {
        crash(i);
        ++nodes[i].bootCount;
    }
    // Crashes the node and replaces its disk by an empty one with a new disk number.
    void wipe(std::size_t i)
    {
        crash(i);
        nodes[i].disk = DurableState();
        ++nodes[i].key.disk;
    }
    // Leaves the disk without space. The replica finds out as ReplicaNode does: by a write,
    // which it repeats every fullDiskRetryDelay.
    void fillDisk(std::size_t i, std::chrono::nanoseconds span)
    {
        nodes[i].fullUntil = now + span;
        checkFullDisk(i);
    }
    void isolate(std::size_t i, bool incoming = true, bool outgoing = true)
    {
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            if (incoming)
                blockedLinks.insert({ other, i });
            if (outgoing)
                blockedLinks.insert({ i, other });
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
            events.emplace(now + delay, [this, i, crashCount = node.crashCount, number = output.writeNumber] { finishSync(i, crashCount, number); });
        }
        for (Message& message : output.messages)
            transmit(i, std::move(message));
        checkSafety(i, output);
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
    // Returns the replica with a valid lease, or the number of nodes if there is none.
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
            fail("no leader was elected");
        return leader();
    }
    // Starts the cluster with drifting clocks and slow disks, crashes the leader and
    // returns the time until the next leader is elected.
    std::chrono::nanoseconds measureFailoverTime()
    {
        maxDelay = Milliseconds(3);
        for (Node& node : nodes) {
            node.clockRate = random.between(0.95, 1.05);
            node.syncDelay = Milliseconds(5);
        }
        startAll();
        awaitLeader();
        run(Milliseconds(random.below(300)));
        crash(leader());
        const auto lostAt = now;
        awaitLeader();
        return now - lostAt;
    }
    RequestId propose(std::size_t i) { return propose(i, fmt::format("command {}", lastRequestId + 1)); }
    RequestId propose(std::size_t i, std::string command)
    {
        step(i, Propose { { { ++lastRequestId, std::move(command) } } });
        return lastRequestId;
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
        minReadIndexes[++lastRequestId] = lastCommittedIndex;
        step(i, Read { lastRequestId });
    }
    RequestId change(std::size_t i, ChangeKind kind, const ReplicaKey& key)
    {
        step(i, ChangeConfiguration { ++lastRequestId, kind, key });
        return lastRequestId;
    }
    // Retries the change at the current leader until it is committed. Returns false after
    // 50 attempts.
    bool changeUntilCommitted(ChangeKind kind, const ReplicaKey& key)
    {
        for (int attempt = 0; attempt < 50; ++attempt) {
            const RequestId requestId = change(awaitLeader(), kind, key);
            if (runUntil([&] { return proposalStatuses[requestId] == ProposalStatus::Committed; }, Milliseconds(100)))
                return true;
        }
        return false;
    }
    void takeSnapshot(std::size_t i, std::size_t padding = 0)
    {
        Node& node = nodes[i];
        if (!node.core || !node.appliedIndex)
            return;
        // A snapshot is synced after all earlier writes.
        while (!node.unsynced.empty())
            syncOldestWrite(node);
        Snapshot snapshot { node.core->describeSnapshot(node.appliedIndex).value(), std::make_shared<const std::string>(encodeStateAt(node.appliedIndex) + std::string(padding, 'x')) };
        node.disk.snapshot = snapshot;
        step(i, SnapshotTaken { std::move(snapshot) });
    }
    // Removes all faults and checks that the cluster makes progress and that all members
    // converge.
    void healAndConverge()
    {
        blockedLinks.clear();
        dropProbability = 0;
        startAll();
        run(std::chrono::seconds(3));
        const RequestId requestId = propose(awaitLeader());
        run(std::chrono::seconds(1));
        if (proposalStatuses[requestId] != ProposalStatus::Committed)
            fail("no progress after all faults were removed");
        const Configuration members = nodes[awaitLeader()].core->configuration();
        for (const Node& node : nodes) {
            if ((members.isVoter(node.key) || members.isLearner(node.key)) && node.appliedIndex != committedEntries.rbegin()->first)
                fail(fmt::format("replica {} applied only {} of {} entries", node.key.replica, node.appliedIndex, committedEntries.rbegin()->first));
        }
    }

    [[noreturn]] void fail(const std::string& reason) const { throw std::runtime_error(fmt::format("seed {} at {} ms: {}", seed_, now.count() / 1000000, reason)); }

    base::Random random;
    std::vector<Node> nodes;
    ReplicaSettings settings;
    std::chrono::nanoseconds now {};
    std::multimap<std::chrono::nanoseconds, std::function<void()>> events;
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks;
    double dropProbability = 0;
    double duplicateProbability = 0;
    std::chrono::nanoseconds maxDelay = Milliseconds(1);
    // The speed of each replica's link to the others; 0 is unlimited.
    double uplinkBytesPerSecond = 0;
    std::size_t largestMessage = 0;
    std::uint64_t sentBytes = 0;
    // Disabled in tests that wipe disks or change members while entries are uncommitted.
    bool checksSyncedMajority = true;

    std::map<Index, Entry> committedEntries;
    std::map<Term, ReplicaKey> leaderByTerm;
    std::map<RequestId, ProposalStatus> proposalStatuses;
    std::set<std::string> rejectedCommands;
    std::map<RequestId, Index> minReadIndexes;
    std::size_t grantedReads = 0;
    Index lastCommittedIndex = 0;
    RequestId lastRequestId = 0;

private:
    static constexpr Milliseconds fullDiskRetryDelay { 500 };

    const std::uint64_t seed_;

    base::TimePoint localTime(const Node& node) const
    {
        return base::TimePoint(std::chrono::hours(1 + node.key.replica)) + std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(now.count()) * node.clockRate));
    }
    void transmit(std::size_t from, Message message)
    {
        // Encodes and decodes each message, so that a field missing from the codec is noticed.
        std::string bytes = encode(message);
        largestMessage = std::max(largestMessage, bytes.size());
        sentBytes += bytes.size();
        const auto to = static_cast<std::size_t>(message.to.replica);
        for (int copies = random.unit() < duplicateProbability ? 2 : 1; copies > 0; --copies) {
            if (blockedLinks.count({ from, to }) || random.unit() < dropProbability)
                continue;
            const auto delay = std::chrono::nanoseconds(random.below(static_cast<std::uint64_t>(maxDelay.count())));
            events.emplace(leaveTime(nodes[from], bytes.size()) + delay, [this, to, bytes] { step(to, Receive { decode<Message>(bytes).value() }); });
        }
    }
    std::chrono::nanoseconds leaveTime(Node& node, std::size_t bytes) const
    {
        if (uplinkBytesPerSecond == 0)
            return now;
        const auto duration = std::chrono::duration<double>(static_cast<double>(bytes) / uplinkBytesPerSecond);
        node.uplinkBusyUntil = std::max(node.uplinkBusyUntil, now) + std::chrono::duration_cast<std::chrono::nanoseconds>(duration);
        return node.uplinkBusyUntil;
    }
    static void syncOldestWrite(Node& node)
    {
        Output write = std::move(node.unsynced.front());
        node.unsynced.pop_front();
        auto& log = node.disk.entries;
        auto position = [&log](Index index) { return std::find_if(log.begin(), log.end(), [=](const Entry& entry) { return entry.index >= index; }); };
        if (write.hardState)
            node.disk.hardState = *write.hardState;
        if (write.snapshot) {
            node.disk.snapshot = write.snapshot;
            log.erase(log.begin(), write.discardsLog ? log.end() : position(write.snapshot->meta.index + 1));
        }
        if (write.truncateFrom)
            log.erase(position(*write.truncateFrom), log.end());
        log.insert(log.end(), write.appends.begin(), write.appends.end());
    }
    void finishSync(std::size_t i, std::uint64_t crashCount, std::uint64_t number)
    {
        Node& node = nodes[i];
        if (node.crashCount == crashCount && now < node.fullUntil) {
            events.emplace(now + fullDiskRetryDelay, [this, i, crashCount, number] { finishSync(i, crashCount, number); });
            return;
        }
        while (node.crashCount == crashCount && !node.unsynced.empty() && node.unsynced.front().writeNumber <= number)
            syncOldestWrite(node);
        if (node.crashCount == crashCount)
            step(i, Persisted { number });
    }
    void checkFullDisk(std::size_t i)
    {
        Node& node = nodes[i];
        const bool isFull = now < node.fullUntil;
        const bool isWritePending = !node.unsynced.empty();
        events.emplace(now + fullDiskRetryDelay, [this, i, isFull, isWritePending] {
            if (isFull && isWritePending && !nodes[i].unsynced.empty())
                step(i, DiskChanged { false });
            if (isFull)
                checkFullDisk(i);
            else
                step(i, DiskChanged { true });
        });
    }
    // A stand-in for the state after the entry. The applied entries themselves are compared
    // in checkSafety().
    static std::string encodeStateAt(Index index) { return fmt::format("{:020}", index); }

    void restoreSnapshot(Node& node, const Snapshot& snapshot)
    {
        node.appliedIndex = snapshot.meta.index;
        if (snapshot.data->compare(0, 20, encodeStateAt(node.appliedIndex)) != 0 || snapshot.data->find_first_not_of('x', 20) != std::string::npos)
            fail("the snapshot contains a wrong state");
    }
    bool isOnDisk(const ReplicaKey& key, const Entry& entry) const
    {
        const DurableState& disk = nodes[key.replica].disk;
        const bool isStored = (disk.snapshot && disk.snapshot->meta.index >= entry.index) || std::find(disk.entries.begin(), disk.entries.end(), entry) != disk.entries.end();
        return nodes[key.replica].key == key && isStored;
    }
    void checkSafety(std::size_t i, const Output& output)
    {
        Node& node = nodes[i];
        const ReplicaCore& core = *node.core;
        if (core.role() == Role::Leader) {
            auto [known, isNew] = leaderByTerm.emplace(core.term(), node.key);
            if (known->second != node.key)
                fail(fmt::format("two leaders in term {}", core.term()));
            auto past = std::find_if(committedEntries.rbegin(), committedEntries.rend(), [&core](const auto& item) { return item.second.term < core.term(); });
            if (isNew && past != committedEntries.rend() && past->first > core.log().compactedIndex() && core.log().termAt(past->first) != past->second.term)
                fail("the new leader lacks a committed entry");
        }
        if (output.snapshot) {
            restoreSnapshot(node, *output.snapshot);
            ++node.installedSnapshots;
        }
        for (const Entry& entry : output.committed) {
            auto [known, isNew] = committedEntries.emplace(entry.index, entry);
            if (!(known->second == entry) || entry.index != node.appliedIndex + 1)
                fail(fmt::format("applied entries differ at index {}", entry.index));
            if (rejectedCommands.count(entry.data))
                fail("a rejected proposal was committed: " + entry.data);
            node.appliedIndex = entry.index;
            const auto& voters = core.configuration().voters;
            const auto copies = std::count_if(voters.begin(), voters.end(), [&](const ReplicaKey& key) { return isOnDisk(key, entry); });
            if (checksSyncedMajority && isNew && static_cast<std::size_t>(copies) < core.configuration().majority())
                fail(fmt::format("entry {} committed without a synced majority", entry.index));
        }
        for (const ProposalResult& result : output.proposalResults) {
            proposalStatuses[result.requestId] = result.status;
            if (result.status > ProposalStatus::Unknown)
                rejectedCommands.insert(fmt::format("command {}", result.requestId));
            const bool isCommitted = result.status == ProposalStatus::Committed;
            lastCommittedIndex = std::max(lastCommittedIndex, isCommitted ? result.index : 0);
            if ((isCommitted || result.status == ProposalStatus::Superseded) && isCommitted != (committedEntries.at(result.index).term == result.term))
                fail("a proposal was reported with a wrong outcome");
        }
        for (const ReadResult& result : output.readResults) {
            if (result.status != ReadStatus::Granted)
                continue;
            ++grantedReads;
            if (result.index < minReadIndexes.at(result.requestId) || node.appliedIndex < result.index)
                fail("a read missed a committed entry");
        }
        checkLeases();
    }
    void checkLeases() const
    {
        for (std::size_t i = leader() + 1; i < nodes.size(); ++i) {
            if (isLeading(i))
                fail("two leaders with a valid lease");
        }
    }
};

} // namespace arbutus::consensus
