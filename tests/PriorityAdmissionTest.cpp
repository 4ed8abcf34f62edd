#include "include/routing/PriorityAdmission.h"
#include "include/fleet/DemandTable.h"
#include "include/fleet/FleetPollServer.h"
#include "include/routes/RouteTable.h"
#include "include/routing/CapacityQueue.h"
#include "include/routing/DemandMeter.h"
#include "include/routing/LayerPathSelector.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

using namespace arbutus;
using routing::ClassDemands;
using routing::PriorityAdmission;
using std::chrono::milliseconds;

static const base::TimePoint start { std::chrono::hours(1) };
static constexpr double notANumber = std::numeric_limits<double>::quiet_NaN();

static ClassDemands demandOf(std::initializer_list<double> arrivals, double completions, double refusals = 0)
{
    ClassDemands result;
    std::size_t i = 0;
    for (double rate : arrivals)
        result[i++].arrivals = rate;
    result[0].completions = completions;
    result[0].refusals = refusals;
    return result;
}

// Brings the admission into the steady state of a demand.
static PriorityAdmission settle(const ClassDemands& demand, double freeStreams, base::TimePoint& now)
{
    PriorityAdmission admission(0.5);
    for (int i = 0; i < 50; ++i)
        admission.update(demand, freeStreams, now += milliseconds(120));
    return admission;
}

// Guards against a less urgent class that is admitted more often than a more urgent one, and
// against a class that gets nothing.
BOOST_AUTO_TEST_CASE(SharesFollowUrgencyAndKeepAFloor)
{
    auto now = start;
    for (double completions : { 1.0, 50.0, 100.0, 150.0, 200.0 }) {
        auto admission = settle(demandOf({ 107, 68, 42 }, completions), 0.24 * completions, now);
        double overall = admission.overallShare(now);
        BOOST_TEST(overall < 1);
        double admitted = 107 * admission.share(0, now) + 68 * admission.share(1, now) + 42 * admission.share(2, now);
        BOOST_TEST(std::abs(admitted - overall * 217) < 0.01);
        for (int i = 0; i < 3; ++i) {
            BOOST_TEST(admission.share(i, now) >= 0.25 * overall - 1e-9);
            BOOST_TEST(admission.share(i, now) >= admission.share(i + 1, now) - 1e-9);
        }
    }
}

// Guards against refusals while engines have room, and against admissions above what ends
// while they have none.
BOOST_AUTO_TEST_CASE(AdmitsWhatEndsAndFits)
{
    auto now = start;
    BOOST_TEST(!settle(demandOf({ 100, 100 }, 190), 200, now).isLimiting(now));
    BOOST_TEST(!settle(demandOf({ 100, 100 }, 0), 1000, now).isLimiting(now));
    BOOST_TEST(!settle({}, 0, now).isLimiting(now));
    BOOST_TEST(std::abs(settle(demandOf({ 200, 200 }, 100), 24, now).overallShare(now) - 0.25) < 0.01);
    // Refused attempts show that room which is believed free is not there.
    double trusted = settle(demandOf({ 200, 200 }, 100), 100, now).overallShare(now);
    double refuted = settle(demandOf({ 200, 200 }, 100, 80), 100, now).overallShare(now);
    BOOST_TEST(refuted < trusted - 0.15);
    BOOST_TEST(refuted > 0.19);
}

// Guards against shares that are reached only on average over many streams.
BOOST_AUTO_TEST_CASE(SmallNumbersComeOutEvenly)
{
    auto now = start;
    auto admission = settle(demandOf({ 100, 300 }, 100), 24, now);
    double share = admission.share(1, now);
    double expected = 0;
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        expected += share;
        admitted += admission.tryAdmit(1, now) ? 1 : 0;
        BOOST_TEST(std::abs(admitted - expected) <= 1);
    }
    // Streams that other VMs have begun take the place of new ones of their class.
    auto other = settle(demandOf({ 100, 300 }, 100), 24, now);
    int ofNew = 0;
    for (int i = 0; i < 100; ++i) {
        if (i % 10 == 0)
            other.admitBegun(1, now);
        ofNew += other.tryAdmit(1, now) ? 1 : 0;
    }
    BOOST_TEST(ofNew < admitted);
}

// Guards against a VM that goes on refusing by old numbers when it is cut off.
BOOST_AUTO_TEST_CASE(EverythingIsAdmittedWithoutRecentDemand)
{
    auto now = start;
    auto admission = settle(demandOf({ 100, 300 }, 50), 0, now);
    BOOST_TEST(admission.isLimiting(now + milliseconds(1900)));
    BOOST_TEST(!admission.isLimiting(now + milliseconds(2000)));
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(admission.tryAdmit(1, now + milliseconds(2000)));
    BOOST_TEST(PriorityAdmission(0).tryAdmit(9, start));
}

// Guards against refused callers who return at the same time, or the less urgent ones first.
BOOST_AUTO_TEST_CASE(LessUrgentCallersReturnLater)
{
    auto now = start;
    auto admission = settle(demandOf({ 200, 200, 200 }, 500), 0, now);
    for (int i = 0; i < 2; ++i)
        BOOST_TEST((admission.retryDelay(i, 0.999) <= admission.retryDelay(i + 1, 0)));
    BOOST_TEST((admission.retryDelay(0, 0) > milliseconds(300)));
    BOOST_TEST((admission.retryDelay(0, 0.9) - admission.retryDelay(0, 0) > milliseconds(300)));
    auto worse = settle(demandOf({ 20000, 20000, 20000 }, 1), 0, now);
    BOOST_TEST((worse.retryDelay(2, 0.999) <= milliseconds(4500)));
    BOOST_TEST((worse.retryDelay(2, 0) > admission.retryDelay(2, 0)));
}

// Guards against shares, delays or crashes that come from numbers which no VM should send.
BOOST_AUTO_TEST_CASE(OddNumbersAreHarmless)
{
    auto now = start;
    for (double odd : std::initializer_list<double> { notANumber, -1e300, std::numeric_limits<double>::infinity(), 1e300 }) {
        auto admission = settle(demandOf({ odd, 100 }, odd, odd), odd, now);
        admission.update(demandOf({ 10, 10 }, 5), 0, now -= milliseconds(500));
        for (int priorityClass : { std::numeric_limits<int>::min(), -1, 0, 1, 9, 10, std::numeric_limits<int>::max() }) {
            double share = admission.share(priorityClass, now);
            BOOST_TEST((share >= 0 && share <= 1));
            admission.tryAdmit(priorityClass, now);
            admission.admitBegun(priorityClass, now);
            BOOST_TEST((admission.retryDelay(priorityClass, 0.5) <= milliseconds(4500)));
        }
    }
}

// Guards against a size of typical streams that never fits and so shuts the service off.
BOOST_AUTO_TEST_CASE(SomeStreamsAreAdmittedWithoutAnyKnownRoom)
{
    auto now = start;
    BOOST_TEST(settle(demandOf({ 100, 100 }, 0), 0, now).overallShare(now) >= 0.02 - 1e-9);
}

static routes::RouteConfiguration configurationOf(const std::vector<int>& priorities)
{
    routes::RouteConfiguration configuration;
    configuration.services = { { "service", "", 0, std::nullopt }, { "other", "", 0, std::nullopt } };
    for (int priority : priorities) {
        routes::Route route;
        route.host = "desk";
        route.pathPrefix = "/" + std::to_string(configuration.routes.size()) + "/";
        route.priority = priority;
        route.weightedServices = { { "service", 1 }, { "other", 0 } };
        configuration.routes.push_back(route);
    }
    return configuration;
}

// Guards against an admission at services whose routes have the same priority, and against
// priorities that take a class outside the range.
BOOST_AUTO_TEST_CASE(PrioritiesAreMappedByRank)
{
    constexpr int least = std::numeric_limits<int>::min();
    constexpr int most = std::numeric_limits<int>::max();
    BOOST_TEST(!routes::RouteTable::Make(configurationOf({ 3, 3 }))->differsInPriority("service"));
    BOOST_TEST(routes::RouteTable::Make(configurationOf({ 3, 3 }))->priorityClass("service", 3) == 0);
    auto configuration = configurationOf({ 7, -5, most });
    configuration.teams = { { "a", { "k" }, 9 }, { "b", { "l" }, std::nullopt } };
    auto table = routes::RouteTable::Make(configuration);
    BOOST_TEST(table->differsInPriority("service"));
    // A route of weight 0 leads nowhere.
    BOOST_TEST(!table->differsInPriority("other"));
    BOOST_TEST(!table->differsInPriority("unknown"));
    std::vector<int> priorities { least, -5, 0, 7, 8, 9, most };
    std::vector<int> classes { 0, 0, 1, 1, 2, 2, 3 };
    for (std::size_t i = 0; i < priorities.size(); ++i)
        BOOST_TEST(table->priorityClass("service", priorities[i]) == classes[i]);
    BOOST_TEST(routes::effectivePriority(configuration.routes[0], &configuration.teams[0]) == 9);
    BOOST_TEST(routes::effectivePriority(configuration.routes[0], &configuration.teams[1]) == 7);
    BOOST_TEST(routes::effectivePriority(configuration.routes[0], nullptr) == 7);

    std::vector<int> many;
    many.reserve(25);
    for (int i = 0; i < 25; ++i)
        many.push_back(i * 1000);
    auto crowded = routes::RouteTable::Make(configurationOf(many));
    int previous = 0;
    for (int priority : many) {
        int priorityClass = crowded->priorityClass("service", priority);
        BOOST_TEST((priorityClass >= previous && priorityClass <= 9));
        previous = priorityClass;
    }
    BOOST_TEST(previous == 9);
}

// Guards against waiting streams that change their place when the priorities change: they
// keep the table, and with it the class, under which they were accepted.
BOOST_AUTO_TEST_CASE(WaitingStreamsKeepTheirClassWhenPrioritiesChange)
{
    auto before = routes::RouteTable::Make(configurationOf({ 0, 1 }));
    auto after = routes::RouteTable::Make(configurationOf({ 5, 0 }));
    routing::CapacityQueue queue(milliseconds(280));
    auto first = queue.enqueue(before->priorityClass("service", 1));
    auto second = queue.enqueue(after->priorityClass("service", 0));
    auto begun = queue.enqueueStarted();
    BOOST_TEST(queue.isAmongFirst(begun, 1));
    BOOST_TEST(queue.isAmongFirst(second, 2));
    BOOST_TEST(!queue.isAmongFirst(first, 2));
    BOOST_TEST(before->priorityClass("service", 1) == 1);
}

// Guards against demand that counts twice, or goes on counting after its entry VM is gone.
BOOST_AUTO_TEST_CASE(DemandOfEachEntryVmCountsOnce)
{
    fleet::DemandTable table;
    table.record("a", { { "s", "dc1", 0, 10, 5, 1 }, { "s", "dc1", 2, 3, 0, 0 } }, start);
    table.record("b", { { "s", "dc1", 0, 20, 5, 0 }, { "s", "dc2", 0, 7, 0, 0 } }, start + milliseconds(100));
    table.record("a", { { "s", "dc1", 0, 12, 6, 2 } }, start + milliseconds(100));
    auto sums = table.sums();
    BOOST_REQUIRE(sums.size() == 2);
    BOOST_TEST(sums[0].arrivals == 32);
    BOOST_TEST(sums[0].completions == 11);
    BOOST_TEST(sums[0].refusals == 2);
    BOOST_TEST(sums[1].dataCentre == "dc2");
    table.record("b", {}, start + milliseconds(200));
    BOOST_TEST(table.sums().size() == 1);
    table.expire(start + milliseconds(150));
    BOOST_TEST(table.sums().empty());

    // Odd rows, and more than a VM should send.
    table.record("a", { { "s", "dc1", 0, notANumber, 0, 0 }, { "s", "dc1", 0, -1, 0, 0 }, { "s", "dc1", 1, 1, 0, 0 }, { "s", "dc1", 1, 1, 0, 0 } }, start);
    BOOST_REQUIRE(table.sums().size() == 1);
    BOOST_TEST(table.sums()[0].arrivals == 2);
    fleet::ServiceDemands many;
    for (int i = 0; i < 1000; ++i)
        many.push_back({ "s", "dc1", i, 1, 0, 0 });
    table.record("a", many, start);
    BOOST_TEST(table.sums().size() == fleet::DemandTable::maxRowsPerEntryVm);
    table.record("a", {}, start);
    BOOST_TEST(table.sums().empty());
}

// Guards against sums that leave out the polling VM, or that answer polls without load.
BOOST_AUTO_TEST_CASE(ControlVmSumsTheDemandOfAllEntryVms)
{
    fleet::UpstreamRegistry registry;
    fleet::CrashReportRegistry crashReports;
    fleet::FleetPollServer server(registry, crashReports, 1, 1e6);
    auto poll = [&](const std::string& sender, bool wantsPeerLoad, double arrivals) {
        fleet::FleetPoll request;
        request.sender = sender;
        request.isEntry = true;
        request.wantsPeerLoad = wantsPeerLoad;
        if (arrivals > 0)
            request.demand = { { "s", "dc1", 0, arrivals, 0, 0 } };
        fleet::FleetAnswer answer;
        server.poll(
            fleet::decode<fleet::FleetPoll>(fleet::encode(request)).value(), [&answer](const std::string& bytes) { answer = fleet::decode<fleet::FleetAnswer>(bytes).value(); }, start);
        return answer.demand;
    };
    poll("a", true, 10);
    auto demand = poll("b", true, 5);
    BOOST_REQUIRE(demand.size() == 1);
    BOOST_TEST(demand[0].arrivals == 15);
    BOOST_TEST(poll("b", false, 0).empty());
    BOOST_TEST(poll("a", true, 10)[0].arrivals == 10);
    server.answerPendingPolls(start + milliseconds(2100));
    BOOST_TEST(poll("c", true, 1)[0].arrivals == 1);
}

BOOST_AUTO_TEST_CASE(MeterCountsByClass)
{
    routing::DemandMeter meter;
    auto now = start;
    for (int i = 0; i < 500; ++i) {
        now += milliseconds(10);
        meter.requestArrived(1, now);
        if (i % 2)
            meter.streamEnded(1, now);
    }
    auto demand = meter.demand(now);
    BOOST_TEST(std::abs(demand[1].arrivals - 100) < 5);
    BOOST_TEST(std::abs(demand[1].completions - 50) < 5);
    BOOST_TEST(demand[1].refusals == 0);
    BOOST_TEST(demand[0].arrivals == 0);
    BOOST_TEST(meter.demand(now + std::chrono::seconds(5))[1].arrivals < 0.01);
}

static routing::LayerPathSelector selectorOf(double typicalPrompt, int slots)
{
    routes::LayeredModel model;
    model.layers = 10;
    model.layerMegabytes = 100;
    model.cacheBytesPerToken = 100'000;
    model.stepMilliseconds = 1;
    model.prefillTokensPerSecond = 100'000;
    model.typicalPromptTokens = typicalPrompt;
    model.slots = slots;
    model.acceleratorKinds = { { "card", 2'000, 1, 1 } };
    return { model, "dc1", 1 };
}

static fleet::UpstreamRecord engineOf(const std::string& id, fleet::LayerRange layers)
{
    fleet::UpstreamRecord record;
    record.id = id;
    record.accelerator = "card";
    record.layers = layers;
    record.dataCentre = "dc1";
    return record;
}

// Guards against room that no path can use: the layers with the least room decide.
BOOST_AUTO_TEST_CASE(FreeRoomIsThatOfCompleteCopies)
{
    auto now = start;
    auto selector = selectorOf(950, 0);
    BOOST_TEST(selector.freeStreams(now) == 0);
    selector.setEngine(engineOf("first", { 0, 5 }));
    BOOST_TEST(selector.freeStreams(now) == 0);
    // 1,500 MB for half of the layers hold 28,500 tokens.
    selector.setEngine(engineOf("second", { 5, 10 }));
    BOOST_TEST(std::abs(selector.freeStreams(now) - 30) < 0.01);
    // 1,000 MB for all layers hold 9,500 tokens.
    selector.setEngine(engineOf("whole", { 0, 10 }));
    BOOST_TEST(std::abs(selector.freeStreams(now) - 40) < 0.01);
    auto path = selector.choose({ 950, 0 }, { "whole" }, now);
    BOOST_REQUIRE(path);
    selector.reserve(*path, { 950, 0 });
    BOOST_TEST(std::abs(selector.freeStreams(now) - 39) < 0.01);
    selector.setPeerLoad({ { "whole", { 10, 1e9, 0 } } }, now);
    BOOST_TEST(std::abs(selector.freeStreams(now) - 29) < 0.01);
    selector.markSuspect("second", now + milliseconds(300));
    BOOST_TEST(selector.freeStreams(now) == 0);

    auto slotted = selectorOf(950, 4);
    slotted.setEngine(engineOf("whole", { 0, 10 }));
    BOOST_TEST(slotted.freeStreams(now) == 4);
}

// Guards against streams of size 0, or larger than the model's memory, and against a
// configuration without a typical size.
BOOST_AUTO_TEST_CASE(OddSizesHaveDefinedResults)
{
    auto now = start;
    auto selector = selectorOf(0, 0);
    selector.setEngine(engineOf("whole", { 0, 10 }));
    BOOST_TEST(selector.freeStreams(now) > 1000);
    BOOST_TEST(selector.choose({ 0, 0 }, {}, now).has_value());
    BOOST_TEST(!selector.choose({ 1e9, 1e9 }, {}, now).has_value());
    BOOST_TEST(!selector.choose({ 9'600, 0 }, {}, now).has_value());
    // A typical stream that never fits leaves no room, and the admission still probes.
    auto misconfigured = selectorOf(1e9, 0);
    misconfigured.setEngine(engineOf("whole", { 0, 10 }));
    BOOST_TEST(misconfigured.freeStreams(now) < 1e-3);
}
