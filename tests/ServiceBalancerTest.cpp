#include "include/routing/ServiceBalancer.h"
#include "include/base/Clock.h"
#include "include/base/Random.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <queue>

using namespace arbutus;
using namespace arbutus::routing;

static constexpr int slots = 6;

static fleet::UpstreamRecord upstream(const std::string& id, const std::string& dataCentre)
{
    fleet::UpstreamRecord result;
    result.id = id;
    result.dataCentre = dataCentre;
    result.slots = slots;
    return result;
}

struct CallTotals {
    double calls = 0;
    double crossed = 0;
    // Calls that had to wait for a slot.
    double queued = 0;
};

// Plays 30 entry VMs and 12 upstreams in three data centres, calls of 20 to 40 ms and reports
// of the others' load every 120 ms. `load` is the part of all slots in use on average; the
// first data centre has `skew` times the calls of each other one.
static CallTotals play(bool staysLocal, double load, double skew)
{
    struct Call {
        base::TimePoint endsAt;
        std::size_t vm;
        std::string upstream;
        std::chrono::nanoseconds duration;
        bool operator>(const Call& other) const { return endsAt > other.endsAt; }
    };
    base::VirtualClock clock;
    base::Random random(3);
    std::vector<ServiceBalancer> vms;
    for (std::size_t i = 0; i < 30; ++i) {
        vms.emplace_back("dc" + std::to_string(i % 3));
        vms.back().setStaysLocal(staysLocal);
        for (int u = 0; u < 12; ++u)
            vms.back().setUpstream(upstream("u" + std::to_string(u), "dc" + std::to_string(u % 3)));
    }
    std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
    std::map<std::string, double> running;
    CallTotals totals;
    const double perMillisecond = load * 12 * slots / 30;
    for (int millisecond = 0; millisecond < 5000; ++millisecond) {
        clock.advance(std::chrono::milliseconds(1));
        for (; !calls.empty() && calls.top().endsAt <= clock.now(); calls.pop()) {
            running[calls.top().upstream] -= 1;
            vms[calls.top().vm].callFinished(calls.top().upstream, CallResult::Answered, calls.top().duration);
        }
        if (millisecond % 120 == 0) {
            for (auto& vm : vms) {
                auto others = running;
                for (const auto& [id, own] : vm.ownRunning())
                    others[id] -= own;
                vm.setPeerRunning(std::move(others));
            }
        }
        for (double due = perMillisecond; random.unit() < due; due -= 1) {
            auto vm = static_cast<std::size_t>(random.below(10) * 3 + (random.unit() < skew / (skew + 2) ? 0 : 1 + random.below(2)));
            auto chosen = vms[vm].choose({}, clock.now());
            vms[vm].callStarted(chosen->id);
            bool isQueued = running[chosen->id] >= slots;
            running[chosen->id] += 1;
            totals.calls += 1;
            totals.crossed += chosen->dataCentre == "dc" + std::to_string(vm % 3) ? 0 : 1;
            totals.queued += isQueued ? 1 : 0;
            auto duration = std::chrono::milliseconds(20 + random.below(20)) * (isQueued ? 2 : 1);
            calls.push({ clock.now() + duration, vm, chosen->id, duration });
        }
    }
    BOOST_TEST_MESSAGE((staysLocal ? "stays local" : "2 ms for another data centre") << ", load " << load << ", skew " << skew << ": crossed " << totals.crossed / totals.calls << ", queued " << totals.queued / totals.calls);
    return totals;
}

// Guards against calls that cross to another data centre while their own has free slots.
BOOST_AUTO_TEST_CASE(CallsStayWhileTheirDataCentreHasFreeSlots)
{
    for (double load : { 0.2, 0.5 }) {
        for (double skew : { 1.0, 1.6, 3.0 }) {
            auto local = play(true, load, skew);
            auto fixed = play(false, load, skew);
            BOOST_TEST(local.crossed < 0.6 * fixed.crossed);
            BOOST_TEST(local.queued / local.calls < fixed.queued / fixed.calls + 0.05);
        }
    }
}

// Guards against calls that stay with a local upstream which fails, is suspect or is slow.
BOOST_AUTO_TEST_CASE(UnsoundLocalUpstreamIsLeft)
{
    base::VirtualClock clock;
    auto balancer = [] {
        ServiceBalancer result("a");
        result.setStaysLocal(true);
        result.setUpstream(upstream("near", "a"));
        result.setUpstream(upstream("far", "b"));
        return result;
    };
    auto sound = balancer();
    for (int i = 1; i < slots; ++i)
        sound.callStarted("near");
    BOOST_TEST(sound.choose({}, clock.now())->id == "near");
    sound.callStarted("near");
    BOOST_TEST(sound.choose({}, clock.now())->id == "far");
    BOOST_TEST(sound.choose({ "far" }, clock.now())->id == "near");
    auto suspect = balancer();
    suspect.markSuspect("near", clock.now() + std::chrono::seconds(1));
    BOOST_TEST(suspect.choose({}, clock.now())->id == "far");
    auto failing = balancer();
    auto slow = balancer();
    for (int i = 0; i < 10; ++i) {
        failing.callFinished("near", CallResult::Failed, std::chrono::milliseconds(20));
        slow.callFinished("near", CallResult::Answered, std::chrono::milliseconds(200));
        slow.callFinished("far", CallResult::Answered, std::chrono::milliseconds(20));
    }
    BOOST_TEST(failing.choose({}, clock.now())->id == "far");
    BOOST_TEST(slow.choose({}, clock.now())->id == "far");
}
