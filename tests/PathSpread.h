#pragma once

#include "include/base/Random.h"
#include "include/routing/LayerPathSelector.h"
#include "tests/SpreadModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

namespace arbutus {

// Many entry VMs that place streams on the copies of a model, each by its own selector and
// by reports of the others' load that are some time old. Virtual time; one engine a copy.
class PathSpread : private SpreadModel {
public:
    struct Options {
        std::size_t entryVms = 91;
        std::size_t copies = 35;
        std::size_t dataCentres = 5;
        // Arrivals, relative to what the memory of all copies can hold on average.
        double load = 0.8;
        std::chrono::milliseconds duration { 12'000 };
        // The first copies refuse every stream for 6 s and have none, as engines do that
        // restart or load.
        std::size_t refusingCopies = 0;
        // Copies by data centre; if empty, `copies` go round them.
        std::vector<std::size_t> copiesOf;
        // The demand of each data centre varies by this factor in periods of 15 s, each at
        // another time.
        double wave = 0;
        // One-way delay between data centres. If it is set, the model lists it.
        std::chrono::milliseconds delay { 0 };
        // Whether entry VMs learn of the demand in all data centres.
        bool hasDemand = false;
        // What happens to the first data centre after 4 s.
        enum class Fault {
            None,
            LosesEngines,
            CutOff,
        } fault
            = Fault::None;
        // Results count from here.
        std::chrono::milliseconds measuredFrom { 0 };
        std::uint64_t seed = 1;
    };
    struct Result {
        std::size_t arrivals = 0;
        // Streams that an engine turned away because its memory was full, with repetitions.
        std::size_t rejections = 0;
        // Streams for which the selector found no path.
        std::size_t withoutPath = 0;
        std::size_t started = 0;
        // Started streams whose first event came within the objective.
        std::size_t inObjective = 0;
        // Streams that began at the copies that refused, from 1 s after they accept again.
        std::size_t startedAtRecovered = 0;
        // Started streams in another data centre than that of their entry VM.
        std::size_t crossed = 0;
        double meanUse = 0;

        double rejectedShare() const { return static_cast<double>(rejections) / static_cast<double>(std::max<std::size_t>(1, rejections + started)); }
        double startedShare() const { return static_cast<double>(started) / static_cast<double>(std::max<std::size_t>(1, arrivals)); }
        double crossedShare() const { return static_cast<double>(crossed) / static_cast<double>(std::max<std::size_t>(1, started)); }
        // Of all arrivals.
        double servedShare() const { return startedShare() * inObjectiveShare(); }
        double inObjectiveShare() const { return static_cast<double>(inObjective) / static_cast<double>(std::max<std::size_t>(1, started)); }
    };

    explicit PathSpread(const Options& options)
        : options_(options)
        , random_(options.seed)
    {
        for (std::size_t i = 0; i < copyCount(); ++i)
            copies_.push_back({ recordOf(i, dataCentreOf(dataCentreOfCopy(i))), isFast(i) ? fastPrefill : slowPrefill, isFast(i) ? fastTokenTime : slowTokenTime, {}, 0, 0 });
        for (std::size_t i = 0; i < options.entryVms; ++i) {
            vms_.push_back({ std::make_unique<routing::LayerPathSelector>(modelWithDelays(), dataCentreOf(i), options.seed * 1000 + i), {} });
            vms_.back().selector->setLimitsRefusing(true);
            for (const auto& copy : copies_)
                vms_.back().selector->setEngine(copy.record);
        }
    }

    Result run()
    {
        double interval = meanHoldSeconds() / (options_.load * static_cast<double>(copyCount()) * streamsPerCopy);
        auto nextArrival = now_;
        auto nextReport = now_;
        const auto end = now_ + options_.duration;
        double useSum = 0;
        std::size_t useCount = 0;
        bool isMeasured = false;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(1);
            endStreams();
            if (!isFaulty_ && options_.fault != Options::Fault::None && now_ >= beginsAt_ + faultAfter)
                breakDown();
            if (!isMeasured && now_ >= beginsAt_ + options_.measuredFrom) {
                isMeasured = true;
                result_ = {};
            }
            while (now_ >= nextReport) {
                nextReport += reportInterval;
                report();
                useSum += meanUse(copies_);
                ++useCount;
            }
            while (now_ >= nextArrival) {
                nextArrival += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(-std::log(1 - random_.unit()) * interval));
                arrive();
            }
        }
        result_.meanUse = useSum / static_cast<double>(std::max<std::size_t>(1, useCount));
        return result_;
    }

private:
    static constexpr Milliseconds faultAfter { 4000 };

    struct Copy {
        fleet::UpstreamRecord record;
        Milliseconds prefill;
        Milliseconds tokenTime;
        Time prefillsUntil;
        double usedTokens = 0;
        std::size_t running = 0;
        bool isLost = false;
    };
    struct Vm {
        std::unique_ptr<routing::LayerPathSelector> selector;
        std::map<std::string, routing::InFlightLoad> reported;
    };
    struct Stream {
        Time endsAt;
        std::size_t vm = 0;
        std::size_t copy = 0;
        routing::LayerPath path;
        routing::StreamSize size;
        friend bool operator>(const Stream& left, const Stream& right) { return left.endsAt > right.endsAt; }
    };

    routes::LayeredModel modelWithDelays() const
    {
        auto result = model();
        for (std::size_t from = 0; options_.delay.count() && from < options_.dataCentres; ++from) {
            for (std::size_t target = 0; target < from; ++target)
                result.dataCentreDelays.push_back({ dataCentreOf(from), dataCentreOf(target), options_.delay });
        }
        return result;
    }
    std::size_t copyCount() const { return options_.copiesOf.empty() ? options_.copies : std::accumulate(options_.copiesOf.begin(), options_.copiesOf.end(), std::size_t { 0 }); }
    std::size_t dataCentreOfCopy(std::size_t copy) const
    {
        std::size_t dataCentre = 0;
        for (; !options_.copiesOf.empty() && copy >= options_.copiesOf[dataCentre]; ++dataCentre)
            copy -= options_.copiesOf[dataCentre];
        return options_.copiesOf.empty() ? copy % options_.dataCentres : dataCentre;
    }
    bool isFirst(std::size_t vm) const { return vm % options_.dataCentres == 0; }
    std::string dataCentreOf(std::size_t i) const { return "dc" + std::to_string(i % options_.dataCentres); }

    // Whether reports of one VM reach the other.
    bool isConnected(std::size_t left, std::size_t right) const { return !isFaulty_ || options_.fault != Options::Fault::CutOff || isFirst(left) == isFirst(right); }

    // Each VM learns the others' load and demand as of the previous report.
    void report()
    {
        for (std::size_t side = 0; side < std::min<std::size_t>(2, options_.dataCentres); ++side) {
            std::map<std::string, routing::InFlightLoad> sum;
            for (std::size_t i = 0; i < vms_.size(); ++i) {
                if (isConnected(i, side))
                    add(sum, vms_[i].reported, 1);
            }
            for (std::size_t i = 0; i < vms_.size(); ++i) {
                if (isFirst(i) != isFirst(side))
                    continue;
                auto others = sum;
                add(others, vms_[i].reported, -1);
                vms_[i].selector->setPeerLoad(std::move(others), now_);
                if (options_.hasDemand)
                    vms_[i].selector->setDemand(demandAt(side), now_);
            }
        }
        for (auto& vm : vms_) {
            vm.reported = vm.selector->ownLoad(now_);
            vm.selector->setEntryVmCount(static_cast<std::uint32_t>(vms_.size()));
        }
        // Averages over a second.
        double weight = std::chrono::duration<double>(reportInterval).count();
        for (std::size_t i = 0; i < demand_.size(); ++i)
            demand_[i] += (static_cast<double>(std::exchange(arrivalsSinceReport_[i], 0)) / weight - demand_[i]) * weight;
    }

    static void add(std::map<std::string, routing::InFlightLoad>& sum, const std::map<std::string, routing::InFlightLoad>& loads, double factor)
    {
        for (const auto& [id, load] : loads) {
            sum[id].running += factor * load.running;
            sum[id].cacheTokenLayers += factor * load.cacheTokenLayers;
            sum[id].refusals += factor * load.refusals;
        }
    }

    // Returns the demand that the VM `observer` learns of.
    fleet::ServiceDemands demandAt(std::size_t observer) const
    {
        fleet::ServiceDemands result;
        for (std::size_t i = 0; i < demand_.size(); ++i) {
            if (isConnected(i, observer))
                result.push_back({ "model", dataCentreOf(i), 0, demand_[i], 0, 0 });
        }
        return result;
    }

    void breakDown()
    {
        isFaulty_ = true;
        for (std::size_t copy = 0; copy < copies_.size(); ++copy) {
            bool isAtFirst = dataCentreOfCopy(copy) == 0;
            copies_[copy].isLost = isAtFirst && options_.fault == Options::Fault::LosesEngines;
            for (std::size_t i = 0; i < vms_.size(); ++i) {
                if (copies_[copy].isLost || (options_.fault == Options::Fault::CutOff && isAtFirst != isFirst(i)))
                    vms_[i].selector->removeEngine(copies_[copy].record.id);
            }
        }
    }

    std::size_t drawVm()
    {
        if (options_.wave == 0)
            return static_cast<std::size_t>(random_.below(vms_.size()));
        const double tau = 2 * std::acos(-1.0);
        double seconds = std::chrono::duration<double>(now_ - beginsAt_).count();
        for (;;) {
            auto vm = static_cast<std::size_t>(random_.below(vms_.size()));
            double phase = seconds / 15 + static_cast<double>(vm % options_.dataCentres) / static_cast<double>(options_.dataCentres);
            if (random_.unit() * (1 + options_.wave) < 1 + options_.wave * std::sin(tau * phase))
                return vm;
        }
    }

    void endStreams()
    {
        while (!streams_.empty() && streams_.top().endsAt <= now_) {
            const auto& stream = streams_.top();
            auto& copy = copies_[stream.copy];
            copy.usedTokens -= heldTokens();
            --copy.running;
            vms_[stream.vm].selector->release(stream.path, stream.size);
            streams_.pop();
        }
    }

    void arrive()
    {
        ++result_.arrivals;
        auto vmIndex = drawVm();
        ++arrivalsSinceReport_[vmIndex % options_.dataCentres];
        auto& selector = *vms_[vmIndex].selector;
        selector.requestArrived(now_);
        routing::StreamSize size { promptTokens, answerTokens };
        for (int sends = 0; sends < maxSends; ++sends) {
            auto path = selector.choose(size, {}, now_);
            if (!path) {
                ++result_.withoutPath;
                return;
            }
            auto copyIndex = static_cast<std::size_t>(path->front().endpoint.ip - 1);
            if (start(copyIndex, vmIndex, *path, size))
                return;
            ++result_.rejections;
            selector.markSuspect(path->front().upstream, now_ + Milliseconds(300));
            selector.recordRefusal(path->front().upstream, now_);
        }
    }

    bool start(std::size_t copyIndex, std::size_t vmIndex, const routing::LayerPath& path, const routing::StreamSize& size)
    {
        auto& copy = copies_[copyIndex];
        bool wasRefusing = copyIndex < options_.refusingCopies;
        if (wasRefusing && now_ < beginsAt_ + Milliseconds(6000))
            return false;
        result_.startedAtRecovered += wasRefusing && now_ > beginsAt_ + Milliseconds(7000) ? 1 : 0;
        if (copy.isLost || copy.usedTokens + heldTokens() > capacityTokens() / 0.95)
            return false;
        copy.usedTokens += heldTokens();
        ++copy.running;
        copy.prefillsUntil = std::max(copy.prefillsUntil, now_) + copy.prefill;
        ++result_.started;
        bool isCrossing = dataCentreOfCopy(copyIndex) != vmIndex % options_.dataCentres;
        result_.crossed += isCrossing ? 1 : 0;
        result_.inObjective += copy.prefillsUntil - now_ + (isCrossing ? 2 * options_.delay : Milliseconds(0)) <= objective ? 1 : 0;
        vms_[vmIndex].selector->reserve(path, size);
        streams_.push({ copy.prefillsUntil + copy.tokenTime * static_cast<int>(answerTokens), vmIndex, copyIndex, path, size });
        return true;
    }

    const Options options_;
    base::Random random_;
    const Time beginsAt_ { std::chrono::hours(1) };
    Time now_ = beginsAt_;
    std::vector<Copy> copies_;
    std::vector<Vm> vms_;
    std::priority_queue<Stream, std::vector<Stream>, std::greater<>> streams_;
    // Streams per second by data centre.
    std::vector<double> demand_ = std::vector<double>(options_.dataCentres);
    std::vector<std::size_t> arrivalsSinceReport_ = std::vector<std::size_t>(options_.dataCentres);
    bool isFaulty_ = false;
    Result result_;
};

} // namespace arbutus
