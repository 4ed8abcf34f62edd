#include "tests/ReplicaFleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <sstream>

using namespace arbutus;
using namespace arbutus::consensus;
using End = ReplicaFleet::End;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// A deployment, with the bounds of the users' pages.
struct Deployment {
    std::size_t controlVms = 0;
    std::size_t toleratedLosses = 0;
    // A VM that was lost, or replaced, counts until it or its successor has had this time.
    seconds catchUpTime { 0 };
    seconds recoveryTime { 0 };
    // Whether VMs are also replaced after their successors had the time to catch up, which
    // counts as no loss. No other VM goes for good on such days: of two that do so at once,
    // two others cannot know that they are not cut off.
    bool hasPlannedReplacements = false;
};

static constexpr Deployment smallDeployment { 3, 1, seconds(4), seconds(12) };
static constexpr Deployment grownDeployment { 6, 2, seconds(6), seconds(15) };
static constexpr Deployment smallDeploymentWithReplacements { 3, 1, seconds(4), seconds(12), true };
static constexpr Deployment grownDeploymentWithReplacements { 6, 2, seconds(6), seconds(15), true };

// Plays a random day: losses of processes, power, disks, VMs and links, in any order and
// overlapping, but of no more VMs at once than tolerated, beside losses of all and halves.
// At its end a command is confirmed, and as many disks as tolerated are lost right after it.
class LossDay {
public:
    LossDay(const Deployment& deployment, std::uint64_t seed)
        : deployment_(deployment)
        , random_(seed * 7919 + 1)
        , fleet_(seed, deployment.controlVms - ReplicaFleet::targetVoterCount + spareVms, 2 * deployment.toleratedLosses + 1)
    {
        vms_.resize(fleet_.cluster.nodes.size());
        for (std::size_t i = 0; i < deployment.controlVms; ++i) {
            vms_[i].isInUse = true;
            fleet_.start(i);
        }
        fleet_.run(seconds(10));
    }

    // Returns what failed, or an empty text.
    std::string play()
    {
        for (auto count = 1 + random_.below(4); count > 0; --count) {
            disturb();
            advance(Milliseconds(random_.below(6000)));
        }
        if (random_.below(2))
            settle();
        if (!confirm(deployment_.recoveryTime + catchUpOfAll()))
            return "no command was confirmed before the final fault";
        finalFault();
        settle();
        fleet_.cluster.blockedLinks.clear();
        if (!fleet_.canCommit(deployment_.recoveryTime))
            return "no quorum after the final fault";
        return {};
    }

    std::string story() const { return story_.str(); }

private:
    static constexpr std::size_t spareVms = 3;

    struct Vm {
        bool isInUse = false;
        // Set while the VM is down and will come back.
        std::optional<nanoseconds> backAt;
        nanoseconds cutUntil {};
        // Until then it, or the VM that it replaces, counts as lost.
        nanoseconds lostUntil {};
        // Later than that if the others were down or cut off meanwhile.
        nanoseconds unrepairedUntil {};
        bool isReplaced = false;
    };

    nanoseconds now() const { return fleet_.cluster.now; }
    void note(const std::string& text) { story_ << now().count() / 1000000 << " " << text << "; "; }

    std::size_t lostVms() const
    {
        return static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [this](const Vm& vm) { return vm.lostUntil > now(); }));
    }
    bool mayLoseVm() const { return lostVms() < deployment_.toleratedLosses; }

    bool isDisturbed() const
    {
        return std::any_of(vms_.begin(), vms_.end(), [this](const Vm& vm) { return vm.backAt || vm.cutUntil > now(); });
    }
    // No set of replicas can be repaired while most of it is down or cut off, so before the
    // final fault a loss counts until it could.
    void extendLosses()
    {
        if (!isDisturbed())
            return;
        for (auto& vm : vms_) {
            if (vm.lostUntil > now() || vm.unrepairedUntil > now())
                vm.unrepairedUntil = now() + deployment_.catchUpTime;
        }
    }
    bool isUnrepaired() const
    {
        return std::any_of(vms_.begin(), vms_.end(), [this](const Vm& vm) { return vm.unrepairedUntil > now(); });
    }

    std::vector<std::size_t> runningVms() const
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (vms_[i].isInUse && fleet_.isRunning(i))
                result.push_back(i);
        }
        return result;
    }

    // Returns a running VM, one time in three the leader.
    std::optional<std::size_t> pick()
    {
        auto running = runningVms();
        if (running.empty())
            return std::nullopt;
        auto leader = fleet_.cluster.leader();
        if (!random_.below(3) && leader < vms_.size())
            return leader;
        return running[random_.below(running.size())];
    }

    void countLoss(std::size_t i, nanoseconds span) { vms_[i].lostUntil = std::max(vms_[i].lostUntil, now() + span + deployment_.catchUpTime); }

    void takeDown(std::size_t i, bool losesDisk, nanoseconds downTime)
    {
        if (losesDisk)
            fleet_.loseDisk(i);
        else
            fleet_.end(i, End::Kill);
        vms_[i].backAt = now() + downTime;
    }

    Milliseconds randomTime(std::uint64_t low, std::uint64_t high) { return Milliseconds(low + random_.below(high - low)); }

    void disturb()
    {
        using Action = void (LossDay::*)();
        static constexpr std::array<Action, 7> actions { &LossDay::kill, &LossDay::wipe, &LossDay::wipe, &LossDay::killAll, &LossDay::cut, &LossDay::split, &LossDay::replace };
        static constexpr std::array<Action, 9> actionsBesideReplacements { &LossDay::kill, &LossDay::wipe, &LossDay::wipe, &LossDay::killAll, &LossDay::cut, &LossDay::split, &LossDay::replaceWithSuccessor, &LossDay::replaceWithSuccessor, &LossDay::replaceWithSuccessor };
        if (deployment_.hasPlannedReplacements)
            (this->*actionsBesideReplacements[random_.below(actionsBesideReplacements.size())])();
        else
            (this->*actions[random_.below(actions.size())])();
    }

    void kill() { loseOne("kill", false, 4000); }
    void wipe() { loseOne("wipe", true, 3000); }

    void loseOne(const std::string& name, bool losesDisk, std::uint64_t maxDownMilliseconds)
    {
        auto i = pick();
        if (!i || !mayLoseVm() || isUnrepaired())
            return;
        note(name + " " + std::to_string(*i));
        auto downTime = randomTime(50, maxDownMilliseconds);
        countLoss(*i, downTime);
        takeDown(*i, losesDisk, downTime);
    }

    void killAll()
    {
        note("kill all");
        auto downTime = randomTime(50, 3000);
        for (auto i : runningVms())
            takeDown(i, false, downTime);
    }

    void isolateFor(const std::vector<std::size_t>& group, nanoseconds span)
    {
        std::set<std::pair<std::size_t, std::size_t>> added;
        for (auto inside : group) {
            vms_[inside].cutUntil = std::max(vms_[inside].cutUntil, now() + span);
            for (std::size_t other = 0; other < vms_.size(); ++other) {
                if (std::find(group.begin(), group.end(), other) != group.end())
                    continue;
                for (const auto& link : { std::pair(inside, other), std::pair(other, inside) }) {
                    if (fleet_.cluster.blockedLinks.insert(link).second)
                        added.insert(link);
                }
            }
        }
        fleet_.cluster.events.emplace(now() + span, [this, added] {
            for (const auto& link : added)
                fleet_.cluster.blockedLinks.erase(link);
        });
    }

    void cut()
    {
        auto i = pick();
        if (!i || !mayLoseVm() || isUnrepaired())
            return;
        note("cut " + std::to_string(*i));
        auto span = randomTime(500, 7000);
        countLoss(*i, span);
        isolateFor({ *i }, span);
    }

    void split()
    {
        auto group = runningVms();
        for (std::size_t i = group.size(); i > 1; --i)
            std::swap(group[i - 1], group[random_.below(i)]);
        group.resize(group.size() / 2);
        note("split");
        isolateFor(group, randomTime(500, 7000));
    }

    void replace()
    {
        auto i = pick();
        auto next = std::find_if(vms_.begin(), vms_.end(), [](const Vm& vm) { return !vm.isInUse && !vm.isReplaced; });
        if (!i || next == vms_.end() || !mayLoseVm() || isUnrepaired())
            return;
        static constexpr std::array<End, 2> ends { End::Kill, End::Silence };
        auto end = ends[random_.below(ends.size())];
        note("replace " + std::to_string(*i) + (end == End::Kill ? " killed" : " silent"));
        fleet_.end(*i, end);
        vms_[*i].isInUse = false;
        vms_[*i].isReplaced = true;
        next->isInUse = true;
        next->backAt = now() + randomTime(500, 2000);
        next->lostUntil = *next->backAt + deployment_.catchUpTime;
    }

    // The successor has had the time to catch up when the old VM goes, and one time in two a
    // disk is lost in the same second.
    void replaceWithSuccessor()
    {
        auto next = std::find_if(vms_.begin(), vms_.end(), [](const Vm& vm) { return !vm.isInUse && !vm.isReplaced; });
        if (next == vms_.end() || isDisturbed() || lostVms() > 0 || isUnrepaired())
            return;
        next->isInUse = true;
        const auto successor = static_cast<std::size_t>(next - vms_.begin());
        note("start successor " + std::to_string(successor));
        fleet_.start(successor);
        advance(deployment_.catchUpTime);
        auto i = pick();
        while (!i || *i == successor)
            i = pick();
        static constexpr std::array<End, 2> ends { End::Kill, End::Silence };
        note("replace " + std::to_string(*i));
        fleet_.end(*i, ends[random_.below(ends.size())]);
        vms_[*i].isInUse = false;
        vms_[*i].isReplaced = true;
        if (random_.below(2))
            return;
        advance(Milliseconds(random_.below(1000)));
        wipe();
    }

    void startDueVms()
    {
        extendLosses();
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (vms_[i].backAt && now() >= *vms_[i].backAt) {
                vms_[i].backAt.reset();
                note("start " + std::to_string(i));
                fleet_.start(i);
            }
        }
    }

    void advance(nanoseconds span)
    {
        for (auto until = now() + span; now() < until;) {
            fleet_.run(ReplicaFleet::planInterval);
            startDueVms();
        }
    }

    // Waits until all VMs are back.
    void settle()
    {
        while (std::any_of(vms_.begin(), vms_.end(), [](const Vm& vm) { return vm.backAt.has_value(); }))
            advance(ReplicaFleet::planInterval);
    }

    nanoseconds catchUpOfAll() const
    {
        nanoseconds latest = now();
        for (const auto& vm : vms_)
            latest = std::max({ latest, vm.backAt.value_or(now()), vm.lostUntil });
        return latest - now() + seconds(7);
    }

    // Waits until a new command is confirmed.
    bool confirm(nanoseconds limit)
    {
        for (auto until = now() + limit; now() < until;) {
            if (fleet_.canConfirm(ReplicaFleet::planInterval * 3))
                return true;
            startDueVms();
        }
        return false;
    }

    void finalFault()
    {
        bool takesAllDown = random_.below(2);
        if (random_.below(2))
            advance(Milliseconds(random_.below(400)));
        auto downTime = randomTime(700, 1300);
        note(takesAllDown ? "final fault, all without power" : "final fault");
        while (mayLoseVm()) {
            auto i = pick();
            if (!i)
                break;
            note("wipe " + std::to_string(*i));
            countLoss(*i, downTime);
            takeDown(*i, true, downTime);
        }
        if (!takesAllDown)
            return;
        for (auto i : runningVms()) {
            fleet_.losePower(i);
            vms_[i].backAt = now() + downTime;
        }
    }

    const Deployment deployment_;
    base::Random random_;
    ReplicaFleet fleet_;
    std::vector<Vm> vms_;
    std::ostringstream story_;
};

// The days played for each deployment. More are played by hand with ARBUTUS_LOSS_DAYS.
static std::uint64_t dayCount()
{
    static constexpr std::uint64_t usualDayCount = 1100;
    const char* text = std::getenv("ARBUTUS_LOSS_DAYS");
    return text ? std::strtoull(text, nullptr, 10) : usualDayCount;
}

static void playDay(const Deployment& deployment, std::uint64_t seed)
{
    LossDay day(deployment, seed);
    std::string failure;
    try {
        failure = day.play();
    } catch (const std::exception& exception) {
        failure = exception.what();
    }
    BOOST_TEST(failure.empty(), "seed " << seed << ": " << failure << " (" << day.story() << ")");
}

// Guards against a change that is acknowledged although the loss of the tolerated disks leaves
// no quorum that could read it back (CONFIG).
BOOST_AUTO_TEST_CASE(AcknowledgedChangeIsReadBackWithThreeVoters)
{
    for (std::uint64_t seed = 1; seed <= dayCount(); ++seed)
        playDay(smallDeployment, seed);
}

// Guards against the same where a spare replica takes the place of a lost voter.
BOOST_AUTO_TEST_CASE(AcknowledgedChangeIsReadBackWithFiveVoters)
{
    for (std::uint64_t seed = 1; seed <= dayCount(); ++seed)
        playDay(grownDeployment, seed);
    for (std::uint64_t seed : std::initializer_list<std::uint64_t> { 1902, 3424, 4469, 5853, 7466, 8960 })
        playDay(grownDeployment, seed);
}

// Guards against the same where a VM has a successor and ends for good, at any moment before
// another one loses its disk (review/6).
BOOST_AUTO_TEST_CASE(AcknowledgedChangeIsReadBackBesidePlannedReplacements)
{
    for (std::uint64_t seed = 1; seed <= dayCount(); ++seed) {
        playDay(smallDeploymentWithReplacements, seed);
        playDay(grownDeploymentWithReplacements, seed);
    }
}
