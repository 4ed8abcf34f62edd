#pragma once

#include "include/fleet/FleetPollServer.h"
#include "include/fleet/FleetPoller.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace arbutus::fleet {

using Milliseconds = std::chrono::milliseconds;

// Simulates control and entry VMs in virtual time. Each VM has a link of limited speed in
// each direction, on which messages wait for each other.
class FleetNetwork {
public:
    struct Link {
        double bytesPerSecond = 0;
        base::TimePoint busyUntil;
    };
    struct ControlVm {
        UpstreamRegistry registry;
        CrashReportRegistry crashReports;
        std::unique_ptr<FleetPollServer> server;
        Link uplink;
        bool isReachable = true;
        std::string dataCentre;
        // The longest time that a message handed to the uplink would have waited.
        std::chrono::nanoseconds longestWait {};
    };
    struct EntryVm {
        UpstreamRegistry registry;
        CrashReportRegistry crashReports;
        std::unique_ptr<FleetPoller> poller;
        Link downlink;
        std::uint64_t version = 0;
        std::string document;
        // When each version, or a higher one, came into force.
        std::map<std::uint64_t, base::TimePoint> appliedAt;
    };

    // What was sent from one data centre to another, without frame headers.
    struct CrossingBytes {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    static constexpr std::uint32_t firstIp = 0x0a010001;

    // The VMs are in the data centres in turn.
    FleetNetwork(std::size_t controlCount, double controlMegabits, std::size_t entryCount, double entryMegabits, std::size_t dataCentres = 1)
        : control(controlCount)
        , entry(entryCount)
        , dataCentres_(dataCentres)
    {
        for (std::size_t i = 0; i < controlCount; ++i) {
            control[i].uplink.bytesPerSecond = bytesPerSecond(controlMegabits);
            startControl(i);
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            entry[i].downlink.bytesPerSecond = bytesPerSecond(entryMegabits);
            startEntry(i);
        }
    }

    // Replaces the control VM's server by one that has no configuration.
    void startControl(std::size_t i)
    {
        auto& vm = control[i];
        std::vector<std::uint32_t> ips;
        for (std::size_t peer = 0; peer < control.size(); ++peer)
            ips.push_back(firstIp + static_cast<std::uint32_t>(peer));
        vm.server = std::make_unique<FleetPollServer>(vm.registry, vm.crashReports, ++lastEpoch_, RoutesPublisher::maxLinkShare * vm.uplink.bytesPerSecond);
        vm.dataCentre = dataCentreOf(i);
        vm.server->setDataCentre(vm.dataCentre);
        vm.server->loadExchange().setSelf(firstIp + static_cast<std::uint32_t>(i));
        vm.server->setReplicas(ips);
        vm.server->setCurrent(true, clock.now());
    }

    // Restarts the control VM, which then knows nothing.
    void restartControl(std::size_t i)
    {
        control[i].registry = UpstreamRegistry();
        startControl(i);
    }

    // Restarts the entry VM, which then knows nothing.
    void restartEntry(std::size_t i)
    {
        stopEntry(i);
        startEntry(i);
    }

    // Ends the process of the entry VM until startEntry() is called.
    void stopEntry(std::size_t i)
    {
        entry[i].poller.reset();
        entry[i].registry = UpstreamRegistry();
    }

    // Replaces the entry VM by one that has no configuration.
    void startEntry(std::size_t i)
    {
        auto& vm = entry[i];
        FleetPoller::Options options;
        options.self = fmt::format("entry-{}", i);
        options.isEntry = true;
        options.dataCentre = dataCentreOf(i);
        options.incarnation = static_cast<std::uint32_t>(++lastEpoch_);
        vm.version = 0;
        vm.document.clear();
        auto send = [this, i](std::uint32_t ip, std::string poll, Milliseconds timeout, Done done) {
            sendPoll(i, ip - firstIp, std::move(poll), timeout, std::move(done));
            return true;
        };
        vm.poller = std::make_unique<FleetPoller>(clock, send, options, vm.registry, vm.crashReports, [](const auto& task) { task(); });
        vm.poller->setEntryHooks([this, i](std::uint64_t version, const std::string& document, const auto&) { return apply(i, version, document); }, [this, i] { return ownLoad ? ownLoad(i) : std::vector<UpstreamInFlightLoad>(); });
        std::vector<std::uint32_t> seeds;
        for (std::size_t seed = 0; seed < std::min<std::size_t>(3, control.size()); ++seed)
            seeds.push_back(firstIp + static_cast<std::uint32_t>(seed));
        vm.poller->setSeeds(seeds);
    }

    // Commits a version: the leader, which is the first control VM, knows it now, the
    // others after the next heartbeat.
    void commit(std::uint64_t version, const std::string& document)
    {
        auto shared = std::make_shared<const std::string>(document);
        committedAt[version] = clock.now();
        for (std::size_t i = 0; i < control.size(); ++i)
            schedule(i ? heartbeatInterval : Milliseconds(0), [this, i, version, shared] {
                control[i].server->setRoutes(version, shared);
                control[i].server->answerPendingPolls(clock.now());
            });
    }

    void run(Milliseconds duration)
    {
        for (const auto end = clock.now() + duration; clock.now() < end;) {
            clock.advance(Milliseconds(1));
            while (!events_.empty() && events_.begin()->first <= clock.now()) {
                auto event = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                event();
            }
            tick();
        }
    }

    // Returns the longest time from the commit of a version until it, or a higher one, was
    // in force on an entry VM; the time so far if it is not yet.
    Milliseconds slowestApplication() const
    {
        std::chrono::nanoseconds slowest {};
        for (const auto& [version, committed] : committedAt) {
            for (const auto& vm : entry) {
                auto applied = vm.appliedAt.lower_bound(version);
                slowest = std::max(slowest, (applied == vm.appliedAt.end() ? clock.now() : applied->second) - committed);
            }
        }
        return std::chrono::duration_cast<Milliseconds>(slowest);
    }

    // Returns the longest time that a message waited for a control VM's link.
    Milliseconds longestWait() const
    {
        std::chrono::nanoseconds longest {};
        for (const auto& vm : control)
            longest = std::max(longest, vm.longestWait);
        return std::chrono::duration_cast<Milliseconds>(longest);
    }

    // Cuts or restores the connection between an entry VM and a control VM.
    void setReachable(std::size_t entryVm, std::size_t controlVm, bool isReachable)
    {
        if (isReachable)
            cutPolls_.erase({ entryVm, controlVm });
        else
            cutPolls_.insert({ entryVm, controlVm });
    }

    // Cuts or restores the connection between two control VMs.
    void setLinked(std::size_t left, std::size_t right, bool isLinked)
    {
        auto link = std::minmax(left, right);
        if (isLinked)
            cutLinks_.erase(link);
        else
            cutLinks_.insert(link);
    }

    std::string dataCentreOf(std::size_t i) const { return fmt::format("d{}", i % dataCentres_); }

    // Returns the load that an entry VM reports.
    std::function<std::vector<UpstreamInFlightLoad>(std::size_t entryVm)> ownLoad;
    // Called with each poll that arrives at a control VM.
    std::function<void(std::size_t controlVm, const FleetPoll&)> pollObserver;
    CrossingBytes crossing;

    base::VirtualClock clock;
    std::vector<ControlVm> control;
    std::vector<EntryVm> entry;
    std::map<std::uint64_t, base::TimePoint> committedAt;
    std::uint64_t sentBytes = 0;

private:
    using Done = std::function<void(base::Result<std::string>)>;

    static constexpr Milliseconds heartbeatInterval { 100 };
    static constexpr Milliseconds entryTickInterval { 200 };
    static constexpr Milliseconds urgentPollInterval { 40 };
    static constexpr Milliseconds networkDelay { 1 };

    static double bytesPerSecond(double megabits) { return megabits * 1e6 / 8; }

    void schedule(std::chrono::nanoseconds delay, std::function<void()> event) { events_.emplace(clock.now() + delay, std::move(event)); }

    // Returns how long the bytes take from now on.
    std::chrono::nanoseconds occupy(Link& link, std::size_t bytes, base::TimePoint from) const
    {
        auto start = std::max(from, link.busyUntil);
        link.busyUntil = start + std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 * static_cast<double>(bytes) / link.bytesPerSecond));
        return link.busyUntil - clock.now();
    }

    void sendPoll(std::size_t from, std::size_t to, std::string poll, Milliseconds timeout, Done done)
    {
        auto pending = std::make_shared<Done>(std::move(done));
        schedule(timeout, [pending] {
            if (auto callback = std::exchange(*pending, nullptr))
                callback(base::makeError(base::ErrorKind::RequestTimeout, "no answer before the deadline"));
        });
        auto reply = [this, from, to, pending](std::string answer) { sendAnswer(from, to, std::move(answer), pending); };
        countCrossing(dataCentreOf(from), dataCentreOf(to), poll.size());
        schedule(networkDelay, [this, from, to, reply, poll = std::move(poll)] {
            if (!control[to].isReachable || cutPolls_.count({ from, to }))
                return;
            auto decoded = decode<FleetPoll>(poll).value();
            if (pollObserver)
                pollObserver(to, decoded);
            control[to].server->poll(decoded, reply, clock.now());
        });
    }

    void sendAnswer(std::size_t to, std::size_t from, std::string answer, const std::shared_ptr<Done>& pending)
    {
        auto& vm = control[from];
        sentBytes += answer.size();
        countCrossing(dataCentreOf(from), dataCentreOf(to), answer.size());
        auto sent = occupy(vm.uplink, answer.size(), clock.now());
        vm.longestWait = std::max(vm.longestWait, sent);
        auto received = occupy(entry[to].downlink, answer.size(), clock.now() + sent);
        schedule(received + networkDelay, [this, to, from, pending, answer = std::move(answer)] {
            if (cutPolls_.count({ to, from }))
                return;
            if (auto callback = std::exchange(*pending, nullptr))
                callback(answer);
        });
    }

    void countCrossing(const std::string& from, const std::string& to, std::size_t bytes)
    {
        if (from == to)
            return;
        ++crossing.messages;
        crossing.bytes += bytes;
    }

    void sendUpdate(std::size_t from, std::uint32_t toIp, const std::string& update)
    {
        std::size_t to = toIp - firstIp;
        if (!control[from].isReachable || cutLinks_.count(std::minmax(from, to)))
            return;
        countCrossing(dataCentreOf(from), dataCentreOf(to), update.size());
        schedule(networkDelay, [this, to, update] {
            if (control[to].isReachable)
                control[to].server->loadExchange().receive(decode<LoadUpdate>(update).value(), clock.now());
        });
    }

    void exchangeLoad(std::size_t i)
    {
        std::vector<std::uint32_t> others;
        for (std::size_t other = 0; other < control.size(); ++other) {
            if (other != i)
                others.push_back(firstIp + static_cast<std::uint32_t>(other));
        }
        control[i].server->loadExchange().tick(
            others, [this, i](std::uint32_t ip, const std::string& update) { sendUpdate(i, ip, update); }, clock.now());
    }

    bool apply(std::size_t i, std::uint64_t version, const std::string& document)
    {
        entry[i].version = version;
        entry[i].document = document;
        entry[i].appliedAt.try_emplace(version, clock.now());
        return true;
    }

    void tick()
    {
        auto elapsed = clock.now().time_since_epoch();
        for (std::size_t i = 0; i < control.size(); ++i) {
            // The control VMs do not act at the same time.
            auto phase = Milliseconds(11 * i) % FleetPollServer::answerInterval;
            if (elapsed % FleetPollServer::answerInterval != phase)
                continue;
            control[i].server->answerPendingPolls(clock.now());
            exchangeLoad(i);
        }
        if (elapsed % urgentPollInterval == std::chrono::nanoseconds(0)) {
            for (auto& vm : entry) {
                if (vm.poller)
                    vm.poller->sendUrgentPolls();
            }
        }
        if (elapsed % entryTickInterval == std::chrono::nanoseconds(0)) {
            for (auto& vm : entry) {
                if (vm.poller)
                    vm.poller->tick();
            }
        }
    }

    const std::size_t dataCentres_;
    std::set<std::pair<std::size_t, std::size_t>> cutLinks_;
    // By entry VM and control VM.
    std::set<std::pair<std::size_t, std::size_t>> cutPolls_;
    std::uint64_t lastEpoch_ = 0;
    std::multimap<base::TimePoint, std::function<void()>> events_;
};

} // namespace arbutus::fleet
