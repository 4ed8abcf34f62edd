#include "bench/Bench.h"
#include "tests/ConsensusHarness.h"

#include <ctime>

namespace arbutus::bench {

using namespace consensus;

constexpr std::size_t payloadBytes = 128;
constexpr std::size_t entryCount = 65536;
constexpr std::uint64_t electionSeeds = 1000;

// A cluster with instant message delivery through the codec and instant syncs.
// This leaves only the CPU time of the replica cores and the codec.
class InstantCluster {
public:
    explicit InstantCluster(std::size_t size)
    {
        DurableState state;
        for (std::size_t i = 0; i < size; ++i)
            state.bootstrap.voters.push_back({ i, 1 });
        ReplicaSettings settings;
        for (std::size_t i = 0; i < size; ++i) {
            settings.self = { i, 1 };
            cores_.push_back(ReplicaCore::Make(settings, state, base::Random(i + 1), now_).value());
        }
        while (now_ >= cores_[leader_].leaseEnd())
            advance();
    }

    // Proposes a batch and returns the number of commands that the leader committed.
    std::size_t commit(std::size_t batch)
    {
        committed_ = 0;
        step(leader_, Propose { std::vector<Proposal>(batch, { 0, std::string(payloadBytes, 'x') }) });
        deliver();
        return committed_;
    }

    void advance()
    {
        now_ += std::chrono::milliseconds(10);
        for (std::size_t i = 0; i < cores_.size(); ++i) {
            step(i, Tick {});
            deliver();
            if (cores_[i].role() == Role::Leader)
                leader_ = i;
        }
    }

    void compact()
    {
        for (std::size_t i = 0; i < cores_.size(); ++i) {
            if (auto meta = cores_[i].describeSnapshot(cores_[i].appliedIndex()); meta.has_value())
                step(i, SnapshotTaken { { meta.value(), std::make_shared<const std::string>() } });
        }
    }

    std::size_t wireBytes = 0;

private:
    void step(std::size_t i, const Input& input)
    {
        Output output = cores_[i].step(input, now_);
        for (;;) {
            for (const Message& message : output.messages)
                queue_.push_back(encode(message));
            if (i == leader_)
                committed_ += output.committed.size();
            if (!output.writeNumber)
                return;
            output = cores_[i].step(Persisted { output.writeNumber }, now_);
        }
    }

    void deliver()
    {
        while (!queue_.empty()) {
            const std::string bytes = std::move(queue_.front());
            queue_.pop_front();
            wireBytes += bytes.size();
            Message message = decode<Message>(bytes).value();
            const auto to = static_cast<std::size_t>(message.to.replica);
            step(to, Receive { std::move(message) });
        }
    }

    std::vector<ReplicaCore> cores_;
    std::deque<std::string> queue_;
    std::size_t leader_ = 0;
    std::size_t committed_ = 0;
    base::TimePoint now_ { std::chrono::hours(1) };
};

static double processorNanoseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

static void benchCommit(std::size_t replicas, std::size_t batch)
{
    InstantCluster cluster(replicas);
    cluster.wireBytes = 0;
    const double start = processorNanoseconds();
    std::size_t committed = 0;
    std::size_t sinceCompaction = 0;
    while (committed < entryCount) {
        const std::size_t count = cluster.commit(batch);
        committed += count;
        sinceCompaction += count;
        if (sinceCompaction >= 4096) {
            cluster.advance();
            cluster.compact();
            sinceCompaction = 0;
        }
    }
    const auto entries = static_cast<double>(committed);
    fmt::print("commit,{},{},{},{:.0f},{:.1f}\n", replicas, batch, payloadBytes, (processorNanoseconds() - start) / entries, static_cast<double>(cluster.wireBytes) / entries);
}

static void benchElection(std::size_t replicas)
{
    std::vector<std::int64_t> times;
    for (std::uint64_t seed = 1; seed <= electionSeeds; ++seed) {
        Cluster cluster(seed, replicas);
        times.push_back(cluster.measureFailoverTime().count() / 1000000);
    }
    std::sort(times.begin(), times.end());
    for (double quantile : { 0.5, 0.9, 0.99, 0.999, 1.0 })
        fmt::print("election,{},{},{}\n", replicas, quantile, times[static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1))]);
}

void benchConsensus()
{
    // CPU time is the sum over all replicas.
    fmt::print("bench,replicas,batch,payload_bytes,processor_ns_per_entry,wire_bytes_per_entry\n");
    for (std::size_t replicas : { 3U, 5U }) {
        for (std::size_t batch : { 1U, 4U, 16U, 64U, 256U })
            benchCommit(replicas, batch);
    }
    fmt::print("bench,replicas,quantile,virtual_ms_to_new_leader\n");
    for (std::size_t replicas : { 3U, 5U })
        benchElection(replicas);
}

} // namespace arbutus::bench
