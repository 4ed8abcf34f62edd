#pragma once

#include "include/consensus/ReplicaDeparture.h"
#include "include/consensus/ReplicaPlanner.h"
#include "tests/ConsensusHarness.h"

#include <array>

namespace arbutus::consensus {

// A cluster of replicas that repairs itself as control VMs do: each leader runs a planner,
// replicas outside the configuration ask to join, and one that is told to stop leaves first.
// Planner steps take place every 20 ms; a control VM plans on each change and on each tick.
class ReplicaFleet {
public:
    // Ways in which a process ends for good.
    enum class End {
        // Told to stop, with a grace; the host answers afterwards.
        Stop,
        // Killed; the host refuses connections.
        Kill,
        // Without power; the host does not answer.
        Silence,
    };

    static constexpr std::size_t targetVoterCount = 3;
    static constexpr Milliseconds planInterval { 20 };
    // How long a leader, which sends a heartbeat every 100 ms, takes to see that a host
    // refuses connections.
    static constexpr Milliseconds leaderRefusalDelay { 300 };
    static constexpr Milliseconds leaderlessTimeout { 2000 };
    static constexpr Milliseconds joinInterval { 500 };
    static constexpr Milliseconds stopGrace { 7000 };

    // Starts `targetVoterCount` replicas, which aim at `targetVoters` once others join them.
    ReplicaFleet(std::uint64_t seed, std::size_t spareCount, std::size_t targetVoters = targetVoterCount)
        : cluster(seed, targetVoterCount, spareCount)
        , targetVoters_(targetVoters)
    {
        // Tests wipe disks.
        cluster.checksSyncedMajority = false;
        for (std::size_t i = 0; i < cluster.nodes.size(); ++i)
            agents_.emplace_back(targetVoters_);
        for (std::size_t i = 0; i < targetVoterCount; ++i)
            start(i);
        cluster.awaitLeader();
    }

    void start(std::size_t i)
    {
        agents_[i] = Agent(targetVoters_);
        agents_[i].hasStarted = true;
        cluster.start(i);
    }

    void end(std::size_t i, End end)
    {
        agents_[i].end = end;
        if (end == End::Stop)
            agents_[i].departure.emplace(targetVoters_, now() + stopGrace);
        else
            endProcess(i);
    }

    // Ends the process with its machine, which comes back; start() brings it back.
    void losePower(std::size_t i)
    {
        end(i, End::Silence);
        ++cluster.nodes[i].bootCount;
    }

    // Ends the process and empties its disk; start() brings it back.
    void loseDisk(std::size_t i)
    {
        cluster.wipe(i);
        agents_[i].endedAt = now();
    }

    bool isRunning(std::size_t i) const { return cluster.nodes[i].core.has_value(); }

    void run(std::chrono::nanoseconds span)
    {
        for (auto until = cluster.now + span; cluster.now < until;) {
            cluster.run(planInterval);
            for (std::size_t i = 0; i < agents_.size(); ++i)
                act(i);
        }
    }

    bool runUntil(const std::function<bool()>& condition, std::chrono::nanoseconds limit)
    {
        for (auto until = cluster.now + limit; cluster.now < until && !condition();)
            run(planInterval);
        return condition();
    }

    // Whether a leader confirms a new command within `limit`.
    bool canCommit(std::chrono::nanoseconds limit)
    {
        bool isCommitted = false;
        RequestId requestId = 0;
        auto attempt = [&] {
            if (requestId && cluster.proposalStatuses[requestId] == ProposalStatus::Committed)
                isCommitted = true;
            else if (cluster.leader() < cluster.nodes.size() && (!requestId || cluster.proposalStatuses[requestId] > ProposalStatus::Accepted))
                requestId = cluster.propose(cluster.leader());
            return isCommitted;
        };
        return runUntil(attempt, limit);
    }

    // Whether a leader confirms a new command within `limit` to its caller, which it does only
    // while the set of replicas needs no repair.
    bool canConfirm(std::chrono::nanoseconds limit)
    {
        if (!canCommit(limit))
            return false;
        return runUntil([this] { return isConfirming(); }, limit);
    }

    Configuration configuration() { return cluster.nodes[cluster.awaitLeader()].core->configuration(); }

    Cluster cluster;

private:
    // What a control VM keeps beside its replica.
    struct Agent {
        explicit Agent(std::size_t targetVoters)
            : planner(targetVoters)
        {
        }

        ReplicaPlanner planner;
        bool isLeader = false;
        bool hasStarted = false;
        std::optional<RequestId> pendingChange;
        base::TimePoint leaderSeenAt;
        base::TimePoint nextJoinAt;
        std::optional<End> end;
        std::optional<ReplicaDeparture> departure;
        base::TimePoint endedAt;
    };

    base::TimePoint now() const { return base::TimePoint(std::chrono::hours(1)) + cluster.now; }

    bool isConfirming()
    {
        const std::size_t i = cluster.leader();
        if (i == agents_.size())
            return false;
        const ReplicaCore& core = *cluster.nodes[i].core;
        const bool isCommitted = core.log().configurationIndex() <= core.commitIndex();
        return isCommitted && !agents_[i].planner.isRepairDue(core.self(), core.configuration(), core.activePeers(), now());
    }

    void endProcess(std::size_t i)
    {
        cluster.crash(i);
        agents_[i].endedAt = now();
    }

    void act(std::size_t i)
    {
        if (!isRunning(i))
            return;
        const ReplicaCore& core = *cluster.nodes[i].core;
        if (core.leader())
            agents_[i].leaderSeenAt = now();
        askToJoin(i);
        depart(i);
        if (!isRunning(i))
            return;
        repair(i);
    }

    bool isRefusing(std::size_t i, Milliseconds delay) const { return agents_[i].hasStarted && !isRunning(i) && agents_[i].end != End::Silence && now() >= agents_[i].endedAt + delay; }

    void askToJoin(std::size_t i)
    {
        Agent& agent = agents_[i];
        const ReplicaCore& core = *cluster.nodes[i].core;
        const bool isMember = core.configuration().isVoter(core.self()) || core.configuration().isLearner(core.self());
        if (agent.departure || now() < agent.nextJoinAt || (isMember && now() < agent.leaderSeenAt + leaderlessTimeout))
            return;
        agent.nextJoinAt = now() + joinInterval;
        for (std::size_t other = 0; other < agents_.size(); ++other) {
            if (other != i && isRunning(other))
                agents_[other].planner.recordJoinRequest(core.self(), now());
        }
    }

    void depart(std::size_t i)
    {
        Agent& agent = agents_[i];
        if (!agent.departure)
            return;
        const ReplicaCore& core = *cluster.nodes[i].core;
        const ReplicaKey self = core.self();
        const std::size_t leader = cluster.leader();
        if (leader < agents_.size()) {
            const ReplicaCore& leading = *cluster.nodes[leader].core;
            const bool isCommitted = leading.log().configurationIndex() <= leading.commitIndex();
            if (isCommitted && !leading.configuration().isVoter(self) && !leading.configuration().isLearner(self))
                agent.departure->recordRemoval();
            agents_[leader].planner.recordLeaveRequest(self, now());
        }
        if (agent.departure->mayEnd(self, core.configuration(), core.log().configurationIndex() <= core.commitIndex(), now()))
            endProcess(i);
    }

    void repair(std::size_t i)
    {
        Agent& agent = agents_[i];
        const ReplicaCore& core = *cluster.nodes[i].core;
        const bool wasLeader = std::exchange(agent.isLeader, core.role() == Role::Leader);
        if (!agent.isLeader) {
            agent.pendingChange.reset();
            return;
        }
        if (!wasLeader)
            agent.planner.beginLeadership(now());
        if (agent.pendingChange && cluster.proposalStatuses[*agent.pendingChange] == ProposalStatus::Accepted)
            return;
        agent.pendingChange.reset();
        for (std::size_t other = 0; other < agents_.size(); ++other) {
            if (isRefusing(other, leaderRefusalDelay))
                agent.planner.recordProcessGone(other, now());
        }
        if (auto change = agent.planner.planNext(core.self(), core.configuration(), core.activePeers(), now()))
            agent.pendingChange = cluster.change(i, change->kind, change->replica);
    }

    const std::size_t targetVoters_;
    std::vector<Agent> agents_;
};

} // namespace arbutus::consensus
