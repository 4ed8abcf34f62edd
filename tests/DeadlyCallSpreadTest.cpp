#include "tests/CrashReports.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>

using namespace arbutus;
using fleet::CrashReportRegistry;
using routing::CrashGuard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
// Entry VMs that exchange crash reports, and callers who send deadly and sound calls to all
// of them, in virtual time. Each upstream that gets a deadly call ends with all that it runs.
class DeadlyCallFleet {
public:
    DeadlyCallFleet(std::uint32_t entryVms, std::uint64_t seed)
        : random_(seed)
        , seed_(seed)
        , vms_(entryVms)
    {
        for (std::size_t i = 0; i < vms_.size(); ++i)
            restart(i);
    }

    void run(milliseconds span)
    {
        for (auto end = now_ + span; now_ < end; now_ += step) {
            while (!events_.empty() && events_.begin()->first <= now_) {
                auto event = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                event();
            }
            for (std::size_t i = 0; i < vms_.size(); ++i)
                exchange(i);
            if (random_.unit() < deadlyPerSecond * std::chrono::duration<double>(step).count())
                send(deadly, maxAttempts, pickVm());
            if (random_.unit() < soundPerSecond * std::chrono::duration<double>(step).count())
                send(sound(random_.below(soundContents)), maxAttempts, pickVm());
        }
    }

    // Starts a VM anew. It learns what the others know before it serves.
    void restart(std::size_t i)
    {
        vms_[i] = { CrashGuard(++seed_), 0 };
        vms_[i].guard.setEntryVmCount(static_cast<std::uint32_t>(vms_.size()));
    }

    bool isHeldBackAnywhere(routing::PromptPart content)
    {
        return std::any_of(vms_.begin(), vms_.end(), [&](const auto& vm) { return vm.guard.holdTime({ content }, now_).has_value(); });
    }

    base::TimePoint now() const { return now_; }
    std::size_t vmCount() const { return vms_.size(); }

    static routing::PromptPart sound(std::uint64_t number) { return routing::identifyRequest({ "GET", "desk", "/sound?" + std::to_string(number), "team", "" }); }

    static constexpr std::uint64_t soundContents = 40;
    const routing::PromptPart deadly = routing::identifyRequest({ "GET", "desk", "/deadly", "team", "" });
    // When each deadly call was sent.
    std::vector<base::TimePoint> deadlySends;
    std::vector<base::TimePoint> crashes;
    int refusedSoundCalls = 0;
    int answeredSoundCalls = 0;

private:
    struct Vm {
        CrashGuard guard { 0 };
        std::uint64_t revision = 0;
    };
    struct Call {
        routing::PromptPart content = 0;
        std::size_t vm = 0;
        int attemptsLeft = 0;
    };

    static constexpr milliseconds step { 10 };
    static constexpr milliseconds deadlyRunTime { 85 };
    static constexpr milliseconds soundRunTime { 15 };
    // From an entry VM to a control VM, and from there to the others.
    static constexpr milliseconds messageDelay { 30 };
    static constexpr double deadlyPerSecond = 4;
    static constexpr double soundPerSecond = 20;
    static constexpr int maxAttempts = 2;
    static constexpr std::size_t upstreamCount = 3;

    std::size_t pickVm() { return random_.below(vms_.size()); }
    void at(milliseconds delay, std::function<void()> event) { events_.emplace(now_ + delay, std::move(event)); }

    void exchange(std::size_t i)
    {
        auto& vm = vms_[i];
        for (const auto& observation : vm.guard.takeObservations())
            at(messageDelay, [this, observation] { fleet::recordObservation(reports_, observation, now_); });
        if (vm.revision == reports_.revision())
            return;
        for (const auto& report : reports_.changesSince(vm.revision, now_))
            vm.guard.setSuspicion(report.part, reports_.suspicion(report.part, now_), now_);
        vm.revision = reports_.revision();
    }

    void send(routing::PromptPart content, int attempts, std::size_t vm)
    {
        auto& guard = vms_[vm].guard;
        if (guard.holdTime({ content }, now_)) {
            refusedSoundCalls += content == deadly ? 0 : 1;
            return;
        }
        guard.attemptStarted({ content }, now_);
        auto upstream = random_.below(upstreamCount);
        auto process = processes_[upstream];
        running_[upstream].push_back({ content, vm, attempts - 1 });
        if (content == deadly) {
            deadlySends.push_back(now_);
            at(deadlyRunTime, [this, upstream, process] { crash(upstream, process); });
        } else {
            at(soundRunTime, [this, upstream, process, content, vm, sentAt = now_] { answer(upstream, process, content, vm, sentAt); });
        }
    }

    void answer(std::size_t upstream, std::uint64_t process, routing::PromptPart content, std::size_t vm, base::TimePoint sentAt)
    {
        if (processes_[upstream] != process)
            return;
        auto& calls = running_[upstream];
        auto call = std::find_if(calls.begin(), calls.end(), [&](const Call& other) { return other.content == content && other.vm == vm; });
        if (call == calls.end())
            return;
        calls.erase(call);
        ++answeredSoundCalls;
        vms_[vm].guard.upstreamAnswered(process, sentAt, std::nullopt);
        vms_[vm].guard.attemptEnded({ content });
        vms_[vm].guard.answerBegan({ content }, now_);
    }

    // The upstream is back at once, so that later calls find one.
    void crash(std::size_t upstream, std::uint64_t process)
    {
        if (processes_[upstream] != process)
            return;
        crashes.push_back(now_);
        processes_[upstream] = ++lastProcess_;
        for (const auto& call : std::exchange(running_[upstream], {})) {
            vms_[call.vm].guard.attemptEnded({ call.content });
            vms_[call.vm].guard.upstreamCrashed({ call.content }, process, now_);
            if (call.attemptsLeft)
                send(call.content, call.attemptsLeft, call.vm);
        }
    }

    base::Random random_;
    std::uint64_t seed_;
    base::TimePoint now_ { std::chrono::hours(1) };
    std::vector<Vm> vms_;
    CrashReportRegistry reports_;
    std::multimap<base::TimePoint, std::function<void()>> events_;
    std::vector<std::vector<Call>> running_ { upstreamCount };
    std::vector<std::uint64_t> processes_ { 1, 2, 3 };
    std::uint64_t lastProcess_ = 3;
};
}

static const std::vector<std::uint32_t> entryVmCounts { 3, 9, 91, 300 };
static constexpr std::uint64_t seeds = 10;

// Returns how many calls were sent after three upstreams had ended and all VMs could know.
static std::size_t countLateSends(const DeadlyCallFleet& fleet)
{
    constexpr milliseconds contactTime(3000);
    if (fleet.crashes.size() < 3)
        return 0;
    auto from = fleet.crashes[2] + contactTime;
    return static_cast<std::size_t>(std::count_if(fleet.deadlySends.begin(), fleet.deadlySends.end(), [from](auto sentAt) { return sentAt > from; }));
}

BOOST_DATA_TEST_CASE(DeadlyCallsOfAllEntryVmsTogetherStayWithinThreeRetries, entryVmCounts)
{
    constexpr std::size_t mostLateSends = 3;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DeadlyCallFleet fleet(sample, seed);
        fleet.run(seconds(30));
        for (std::size_t vm = 0; vm < fleet.vmCount(); vm += 2)
            fleet.restart(vm);
        fleet.run(seconds(150));
        BOOST_TEST(countLateSends(fleet) <= mostLateSends);
        BOOST_TEST(fleet.isHeldBackAnywhere(fleet.deadly));
    }
}

// Guards against refusing the calls that an upstream happened to run beside a deadly one.
BOOST_DATA_TEST_CASE(SoundCallsAreServedBesideADeadlyOne, entryVmCounts)
{
    constexpr double mostRefused = 0.02;
    int refused = 0;
    int answered = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DeadlyCallFleet fleet(sample, seed);
        fleet.run(seconds(60));
        refused += fleet.refusedSoundCalls;
        answered += fleet.answeredSoundCalls;
    }
    BOOST_TEST(refused <= mostRefused * (refused + answered));
}
