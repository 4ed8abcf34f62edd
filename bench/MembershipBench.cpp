#include "bench/MembershipBench.h"

#include "include/base/Digest.h"
#include "include/membership/Freshness.h"
#include "include/membership/Subset.h"
#include "tests/MembershipFleet.h"
#include "tests/RelayNodes.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace arbutus::membership {

using namespace std::chrono_literals;

static constexpr std::uint64_t benchSeed = 1;
static constexpr std::size_t sizes[] = { 9, 100, 400, 1'500 };
static constexpr double upstreamsPerNode = 4.5;
static constexpr double churnPerSecond = 1'150.0 / 86'400;
static constexpr std::size_t burstSize = 40;

static double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Prints and records the values of each metric by fleet size, and prints the slopes.
class MetricSeries {
public:
    void add(const std::string& metric, std::size_t nodes, double value)
    {
        fmt::print("{},{},{:.6g}\n", metric, nodes, value);
        points_[metric].emplace_back(static_cast<double>(nodes), value);
    }

    // Returns the value added for `nodes`, or 0 if there is none.
    double at(const std::string& metric, std::size_t nodes) const
    {
        for (const auto& [size, value] : points_.at(metric)) {
            if (size == static_cast<double>(nodes))
                return value;
        }
        return 0;
    }

    void printSlopes() const
    {
        for (const auto& [metric, points] : points_) {
            if (points.size() < 2)
                continue;
            double sumX = 0;
            double sumY = 0;
            double sumXx = 0;
            double sumXy = 0;
            for (const auto& [x, y] : points) {
                sumX += x;
                sumY += y;
                sumXx += x * x;
                sumXy += x * y;
            }
            const double count = static_cast<double>(points.size());
            fmt::print("{} slope a node,all,{:.6g}\n", metric, (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX));
        }
    }

private:
    std::map<std::string, std::vector<std::pair<double, double>>> points_;
};

static Fleet::Traffic totalTraffic(const Fleet& fleet)
{
    Fleet::Traffic total;
    for (const Fleet::Traffic& traffic : fleet.gossipTraffic) {
        total.messages += traffic.messages;
        total.bytes += traffic.bytes;
    }
    return total;
}

static Fleet::Traffic measure(Fleet& fleet, std::chrono::milliseconds duration)
{
    fleet.gossipTraffic = {};
    fleet.isCounting = true;
    fleet.run(duration);
    fleet.isCounting = false;
    return totalTraffic(fleet);
}

static void suspectByRegistrars(Fleet& fleet, MemberKey member)
{
    for (MemberKey registrar : fleet.nodes[0].table->registrarsOf(member))
        fleet.nodes[fleet.nodeIndex(registrar)].table->recordSuspicion(member, registrar, fleet.now());
}

// Measures gossip without leases; benchHeartbeats() measures the leases.
static void benchGossip(MetricSeries& series, std::size_t size)
{
    const auto upstreams = static_cast<std::size_t>(static_cast<double>(size) * upstreamsPerNode);
    const double nodes = static_cast<double>(size);
    Fleet fleet(size, upstreams, benchSeed, false);
    fleet.run(6s);

    const double before = processorSeconds();
    fleet.run(10s);
    series.add("gossip idle processor percent", size, (processorSeconds() - before) / nodes / 10 * 100);
    const Fleet::Traffic idle = measure(fleet, 10s);
    series.add("gossip idle messages a second", size, static_cast<double>(idle.messages) / nodes / 10);
    series.add("gossip idle bytes a second", size, static_cast<double>(idle.bytes) / nodes / 10);

    // Each event is a restart: a leaving delta, two lapse observations, a new incarnation.
    constexpr std::size_t events = 3;
    constexpr double eventSeconds = 9;
    double eventBytes = 0;
    double eventMessages = 0;
    double eventProcessor = 0;
    for (std::size_t event = 0; event < events; ++event) {
        MemberDescriptor descriptor = makeUpstream(event * 7);
        descriptor.isLeaving = true;
        descriptor.version = 1;
        const double start = processorSeconds();
        fleet.nodes[event].table->mergeAnnounced(makeEntry(descriptor), fleet.now());
        Fleet::Traffic traffic = measure(fleet, 3s);
        eventBytes += static_cast<double>(traffic.bytes);
        eventMessages += static_cast<double>(traffic.messages);
        suspectByRegistrars(fleet, memberKey(descriptor.id));
        traffic = measure(fleet, 3s);
        eventBytes += static_cast<double>(traffic.bytes);
        eventMessages += static_cast<double>(traffic.messages);
        fleet.nodes[event].table->mergeAnnounced(makeEntry(makeUpstream(event * 7, 2)), fleet.now());
        traffic = measure(fleet, 3s);
        eventBytes += static_cast<double>(traffic.bytes);
        eventMessages += static_cast<double>(traffic.messages);
        eventProcessor += processorSeconds() - start;
    }
    const double idleBytes = static_cast<double>(idle.bytes) / 10 * eventSeconds * events;
    const double idleMessages = static_cast<double>(idle.messages) / 10 * eventSeconds * events;
    const double bytesPerEvent = (eventBytes - idleBytes) / nodes / events;
    series.add("gossip bytes an event", size, bytesPerEvent);
    series.add("gossip messages an event", size, (eventMessages - idleMessages) / nodes / events);
    series.add("gossip churn bytes a second", size, bytesPerEvent * churnPerSecond);
    series.add("gossip processor milliseconds an event with idle", size, eventProcessor / nodes / events * 1e3);

    const std::size_t burst = std::min(burstSize, upstreams / 2);
    const base::TimePoint start = fleet.now();
    for (std::size_t index = 0; index < burst; ++index)
        suspectByRegistrars(fleet, memberKey(makeUpstream(index + upstreams / 2).id));
    std::uint64_t peak = 0;
    std::uint64_t total = 0;
    std::chrono::milliseconds complete { 0 };
    const double burstStart = processorSeconds();
    for (int second = 0; second < 6; ++second) {
        for (int part = 0; part < 10; ++part) {
            const Fleet::Traffic traffic = measure(fleet, 100ms);
            total += traffic.bytes;
            peak = std::max(peak, traffic.bytes);
            bool isComplete = complete.count() != 0;
            if (!isComplete) {
                isComplete = true;
                for (std::size_t index = 0; index < burst && isComplete; ++index) {
                    const MemberKey key = memberKey(makeUpstream(index + upstreams / 2).id);
                    isComplete = fleet.count([key](const MemberTable& table) { return table.isAlive(key); }) == 0;
                }
                if (isComplete)
                    complete = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now() - start);
            }
        }
    }
    series.add("burst members", size, static_cast<double>(burst));
    series.add("burst bytes in 6 s", size, static_cast<double>(total) / nodes);
    series.add("burst peak bytes a second", size, static_cast<double>(peak) / nodes * 10);
    series.add("burst complete milliseconds", size, static_cast<double>(complete.count()));
    series.add("burst processor milliseconds in 6 s", size, (processorSeconds() - burstStart) / nodes * 1e3);
}

static double wireBytes(std::size_t body) { return static_cast<double>(body + Fleet::bytesPerMessage); }

// Measures the messages that a node sends and receives as registrar and as member.
static void benchHeartbeats(MetricSeries& series, std::size_t size)
{
    const auto upstreams = static_cast<std::size_t>(static_cast<double>(size) * upstreamsPerNode);
    Fleet fleet(size, upstreams, benchSeed, false);
    MemberTable& table = *fleet.nodes[0].table;
    Registrar registrar(table);
    // Real incarnations are start times in milliseconds.
    const MemberDescriptor upstream = makeUpstream(3, 1'765'000'000'000);
    const AnnounceAnswer answer = registrar.onAnnouncement(upstream, fleet.now());
    const Heartbeat heartbeat { memberKey(upstream.id), versionTag(upstream.incarnation, upstream.version), answer.registrarsTag };
    const double announcementBytes = wireBytes(encode(upstream).size());
    const double fullAnswerBytes = wireBytes(encode(answer).size());
    const double emptyAnswerBytes = wireBytes(1);
    const double heartbeatBytes = wireBytes(encode(heartbeat).size());
    const double received = 2 * upstreamsPerNode;
    series.add("first design: full announcements answered in full: upstream bytes a second", size, received * (announcementBytes + fullAnswerBytes));
    series.add("first design: entry VM bytes a second", size, 2 * (wireBytes(encode(makeEntryVm(1, 1'765'000'000'000)).size()) + fullAnswerBytes));
    series.add("second design: heartbeats with empty answers: upstream bytes a second", size, received * (heartbeatBytes + emptyAnswerBytes));
    series.add("second design: entry VM bytes a second", size, 2 * (heartbeatBytes + emptyAnswerBytes));
    series.add("third design: heartbeats answered on change: upstream bytes a second", size, received * heartbeatBytes);
    series.add("third design: entry VM bytes a second", size, 2 * heartbeatBytes);
    series.add("registrar messages received a second", size, received + 2);

    std::map<MemberKey, std::size_t> load;
    table.forEach([&](const MemberEntry& entry, bool) {
        for (MemberKey key : table.registrarsOf(entry.key))
            ++load[key];
    });
    std::size_t most = 0;
    for (const auto& [key, count] : load)
        most = std::max(most, count);
    series.add("registrar members of the fullest VM", size, static_cast<double>(most));

    // Simulates one minute of a registrar.
    registrar.tick(fleet.now(), false);
    std::vector<Heartbeat> members;
    table.forEach([&](const MemberEntry& entry, bool) {
        const auto registrars = table.registrarsOf(entry.key);
        if (entry.key != table.self() && std::find(registrars.begin(), registrars.end(), table.self()) != registrars.end())
            members.push_back({ entry.key, versionTag(entry.incarnation, entry.version), 0 });
    });
    for (Heartbeat& each : members)
        each.registrarsTag = registrar.onHeartbeat(each, fleet.now()).value_or(AnnounceAnswer {}).registrarsTag;
    const double start = processorSeconds();
    base::TimePoint now = fleet.now();
    for (int step = 0; step < 1'200; ++step) {
        now += 50ms;
        if (step % 20 == 0) {
            for (const Heartbeat& each : members) {
                const auto decoded = decodeHeartbeat(encode(each));
                registrar.onHeartbeat(decoded.value(), now);
            }
        }
        table.refresh(now);
        registrar.tick(now, false);
    }
    series.add("registrar members", size, static_cast<double>(members.size()));
    series.add("registrar idle processor percent", size, (processorSeconds() - start) / 60 * 100);

    // Each restart of an entry VM changes the registrar ranking twice.
    const double churnStart = processorSeconds();
    constexpr std::uint64_t restarts = 20;
    for (std::uint64_t restart = 0; restart < restarts; ++restart) {
        MemberDescriptor descriptor = makeEntryVm(1, restart + 2);
        for (const bool isLeaving : { true, false }) {
            descriptor.isLeaving = isLeaving;
            ++descriptor.version;
            table.merge(makeEntry(descriptor), now);
            now += assignmentInterval;
            registrar.tick(now, false);
        }
    }
    const double perRestart = (processorSeconds() - churnStart) / restarts;
    series.add("registrar processor milliseconds a restart of an entry VM", size, perRestart * 1e3);
    series.add("registrar churn processor percent", size, perRestart * churnPerSecond * 100);
}

static void benchFrameHmac(MetricSeries& series)
{
    const std::string frame(100, 'x');
    const std::string key(32, 'k');
    std::size_t sink = 0;
    const double start = processorSeconds();
    for (int round = 0; round < 100'000; ++round)
        sink += static_cast<unsigned char>(base::hmacSha256(key, frame)[0]);
    series.add("HMAC microseconds a frame of 100 bytes", sink ? 1 : 0, (processorSeconds() - start) * 10);
}

static void benchMemory(MetricSeries& series, std::size_t members)
{
    const base::TimePoint now { 1h };
    const std::size_t before = mallinfo2().uordblks;
    MemberTable table(makeEntryVm(0), now);
    Registrar registrar(table);
    const std::size_t vms = members * 2 / 11;
    for (std::size_t index = 1; index < members; ++index) {
        // Decoding the entry, as for a peer's message, keeps entries from sharing facts.
        GossipMessage message;
        message.entries.push_back(makeEntry(index < vms ? makeEntryVm(index) : makeUpstream(index)));
        table.mergeInitial(decodeGossip(encode(message)).value().entries[0], now);
    }
    table.drainChanges();
    table.refresh(now);
    const double start = processorSeconds();
    registrar.tick(now, false);
    series.add("registrar processor milliseconds at first assignment", members, (processorSeconds() - start) * 1e3);
    series.add("table megabytes", members, static_cast<double>(mallinfo2().uordblks - before) / (1 << 20));
}

// Measures the time from the acceptance of a revision until the last node has it.
// In each poll cycle, at a random phase, a parent has no pending poll from the node
// for one round trip.
static void benchRelay(MetricSeries& series, std::size_t size)
{
    RelayNodes nodes(size);
    nodes.assignParents();
    std::vector<std::pair<std::size_t, MemberKey>> order;
    std::size_t inner = 0;
    std::size_t mostChildren = 0;
    for (MemberKey key : nodes.keys) {
        order.emplace_back(nodes.depthOf(key), key);
        inner += nodes.childCounts[key] ? 1U : 0U;
        mostChildren = std::max(mostChildren, nodes.childCounts[key]);
    }
    std::sort(order.begin(), order.end());
    series.add("relay depth", size, static_cast<double>(order.back().first));
    series.add("relay inner nodes", size, static_cast<double>(inner));
    const std::pair<const char*, double> delays[] = { { "0.5 ms", 0.5 }, { "40 ms", 40 } };
    for (const auto& [name, delay] : delays) {
        base::Random random(benchSeed);
        double slowest = 0;
        for (int round = 0; round < 20; ++round) {
            std::map<MemberKey, double> arrival { { RelayNodes::root, 0 } };
            for (const auto& [depth, key] : order) {
                const double phase = random.between(0, 500 + 2 * delay);
                arrival[key] = arrival[nodes.parents[key]] + std::max(0.0, phase - 500) + delay;
                slowest = std::max(slowest, arrival[key]);
            }
        }
        series.add(fmt::format("relay acceptance to last node milliseconds at {} a hop", name), size, slowest);
        const double exchanges = 1'000 / (500 + 2 * delay);
        const double poll = wireBytes(encode(FeedPoll { nodes.keys[0], 1'000'000, false }).size());
        const double answer = wireBytes(encode(FeedAnswer { false, 1'000'000, 500'000, 1'500'000 }).size());
        series.add(fmt::format("relay exchanges a second of a leaf at {}", name), size, exchanges);
        series.add(fmt::format("relay bytes sent a second by a leaf at {}", name), size, exchanges * poll);
        series.add(fmt::format("relay bytes both ways a second of a leaf at {}", name), size, exchanges * (poll + answer));
        const double children = static_cast<double>(mostChildren);
        series.add(fmt::format("relay exchanges a second of the fullest inner node at {}", name), size, exchanges * (1 + children));
        series.add(fmt::format("relay bytes sent a second by the fullest inner node at {}", name), size, exchanges * (poll + children * answer));
        series.add(fmt::format("relay bytes both ways a second of the fullest inner node at {}", name), size, exchanges * (1 + children) * (poll + answer));
    }
}

// Adds the total traffic of a node. Traffic between nodes is counted at the sender,
// traffic with upstreams in both directions.
static void addTrafficTotals(MetricSeries& series, std::size_t size)
{
    const double gossip = series.at("gossip idle bytes a second", size) + series.at("gossip churn bytes a second", size);
    const double leaf = series.at("relay bytes sent a second by a leaf at 0.5 ms", size);
    const double mean = series.at("relay bytes both ways a second of a leaf at 0.5 ms", size);
    const double inner = series.at("relay bytes sent a second by the fullest inner node at 0.5 ms", size);
    const std::pair<const char*, double> designs[] = {
        { "first design", series.at("first design: full announcements answered in full: upstream bytes a second", size) + series.at("first design: entry VM bytes a second", size) },
        { "second design", series.at("second design: heartbeats with empty answers: upstream bytes a second", size) + series.at("second design: entry VM bytes a second", size) },
        { "third design", series.at("third design: heartbeats answered on change: upstream bytes a second", size) + series.at("third design: entry VM bytes a second", size) },
    };
    for (const auto& [name, heartbeats] : designs) {
        series.add(fmt::format("{}: total bytes a second of a leaf", name), size, gossip + heartbeats + leaf);
        series.add(fmt::format("{}: mean total bytes a second a node", name), size, gossip + heartbeats + mean);
        series.add(fmt::format("{}: total bytes a second of the fullest inner node", name), size, gossip + heartbeats + inner);
    }
}

using Subsets = std::vector<std::vector<MemberKey>>;

static Subsets rendezvousSubsets(const std::vector<std::size_t>& vms, const std::vector<MemberDescriptor>& engines)
{
    std::vector<SubsetCandidate> candidates;
    candidates.reserve(engines.size());
    for (const MemberDescriptor& descriptor : engines)
        candidates.push_back({ memberKey(descriptor.id), &descriptor });
    Subsets subsets;
    subsets.reserve(vms.size());
    for (std::size_t vm : vms)
        subsets.push_back(chooseSubset(memberKey(makeEntryVm(vm).id), vms.size(), candidates));
    return subsets;
}

// Deterministic subsetting: clients are grouped in rounds, with one shuffle of all
// servers per round.
static Subsets deterministicSubsets(const std::vector<std::size_t>& vms, const std::vector<MemberDescriptor>& engines)
{
    std::map<std::pair<std::string, std::uint32_t>, std::vector<MemberKey>> ranges;
    for (const MemberDescriptor& descriptor : engines)
        ranges[{ descriptor.holdings[0].model, descriptor.holdings[0].firstLayer }].push_back(memberKey(descriptor.id));
    Subsets subsets(vms.size());
    for (auto& [range, members] : ranges) {
        std::sort(members.begin(), members.end());
        const std::size_t perVm = subsetSize(vms.size(), members.size());
        const std::size_t count = members.size() / perVm;
        for (std::size_t index = 0; index < vms.size(); ++index) {
            base::Random random(index / count + 1);
            std::vector<MemberKey> shuffled = members;
            for (std::size_t left = shuffled.size(); left > 1; --left)
                std::swap(shuffled[left - 1], shuffled[random.below(left)]);
            const auto begin = shuffled.begin() + static_cast<std::ptrdiff_t>(index % count * perVm);
            subsets[index].insert(subsets[index].end(), begin, begin + static_cast<std::ptrdiff_t>(perVm));
        }
    }
    for (std::vector<MemberKey>& subset : subsets)
        std::sort(subset.begin(), subset.end());
    return subsets;
}

static std::size_t countNewChannels(const Subsets& before, const Subsets& after)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < after.size(); ++index) {
        std::vector<MemberKey> added;
        std::set_difference(after[index].begin(), after[index].end(), before[index].begin(), before[index].end(), std::back_inserter(added));
        count += added.size();
    }
    return count;
}

static void benchSubset(MetricSeries& series, std::size_t size)
{
    const std::pair<const char*, Subsets (*)(const std::vector<std::size_t>&, const std::vector<MemberDescriptor>&)> strategies[] = {
        { "rendezvous", rendezvousSubsets },
        { "deterministic", deterministicSubsets },
    };
    std::vector<std::size_t> vms(size);
    std::iota(vms.begin(), vms.end(), std::size_t { 0 });
    std::vector<MemberDescriptor> engines;
    for (std::size_t index = 0; index < static_cast<std::size_t>(static_cast<double>(size) * upstreamsPerNode); ++index)
        engines.push_back(makeUpstream(index));
    for (const auto& [name, choose] : strategies) {
        const double start = processorSeconds();
        const Subsets subsets = choose(vms, engines);
        series.add(fmt::format("subset {} milliseconds", name), size, (processorSeconds() - start) / static_cast<double>(size) * 1e3);
        std::map<MemberKey, std::size_t> degrees;
        for (const std::vector<MemberKey>& subset : subsets) {
            for (MemberKey engine : subset)
                ++degrees[engine];
        }
        std::size_t least = degrees.size() < engines.size() ? 0 : size;
        std::size_t most = 0;
        for (const auto& [engine, degree] : degrees) {
            least = std::min(least, degree);
            most = std::max(most, degree);
        }
        series.add(fmt::format("subset {} channels a VM", name), size, static_cast<double>(subsets[0].size()));
        series.add(fmt::format("subset {} fewest VMs an engine", name), size, static_cast<double>(least));
        series.add(fmt::format("subset {} most VMs an engine", name), size, static_cast<double>(most));
        std::vector<MemberDescriptor> fewer = engines;
        fewer.erase(fewer.begin() + 5);
        series.add(fmt::format("subset {} new channels after an engine is lost", name), size, static_cast<double>(countNewChannels(subsets, choose(vms, fewer))));
        std::vector<MemberDescriptor> more = engines;
        more.push_back(makeUpstream(engines.size()));
        series.add(fmt::format("subset {} new channels after an engine joins", name), size, static_cast<double>(countNewChannels(subsets, choose(vms, more))));
        std::vector<std::size_t> fewerVms = vms;
        fewerVms.erase(fewerVms.begin() + 3);
        Subsets others = subsets;
        others.erase(others.begin() + 3);
        series.add(fmt::format("subset {} new channels after a VM is lost", name), size, static_cast<double>(countNewChannels(others, choose(fewerVms, engines))));
    }
}

void benchMembership()
{
    MetricSeries series;
    fmt::print("metric,nodes,value\n");
    for (std::size_t size : sizes)
        benchGossip(series, size);
    for (std::size_t size : sizes)
        benchHeartbeats(series, size);
    for (std::size_t size : sizes)
        benchRelay(series, size);
    for (std::size_t size : sizes)
        addTrafficTotals(series, size);
    for (std::size_t size : sizes)
        benchSubset(series, size);
    for (std::size_t members : { 50U, 550U, 2'200U, 8'200U })
        benchMemory(series, members);
    benchFrameHmac(series);
    // For comparison: heartbeats from each entry VM to all others, with 20 bytes of
    // content and 96 bytes of overhead each.
    for (std::size_t size : sizes)
        series.add("all to all bytes sent a second", size, static_cast<double>(size - 1) * wireBytes(20));
    series.printSlopes();
}

} // namespace arbutus::membership
