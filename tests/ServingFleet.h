#pragma once

#include "include/serving/CompletionService.h"
#include "tools/fakes/common/ReferenceModel.h"
#include "tools/fakes/engine/EngineCore.h"

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::test {

// The response as the caller received it.
struct ReceivedResponse {
    std::string text;
    bool didFinish = false;
    std::optional<base::Error> error;
    int endCount = 0;
    base::TimePoint lastTokenAt;
    std::chrono::nanoseconds longestGap {};
};

// Runs the CompletionService of one entry VM against in-process engines on a virtual
// clock. Steps reach an engine immediately; results arrive after the engine's
// configured step time, ordered by time, then by engine id.
class ServingFleet final : private serving::EngineLinks {
public:
    explicit ServingFleet(std::size_t slots = 256)
        : timeline_(clock_, "entry-1", 100000)
        , service_(clock_, timeline_, makeOptions(slots), *this,
              { [this](const std::string& fingerprint, const serving::DescriptorPointer& engine, bool) { crashes.push_back(engine->id + " " + fingerprint.substr(0, 8)); },
                  [this](const std::string& fingerprint, const serving::DescriptorPointer& engine) { clearedCrashes.push_back(engine->id + " " + fingerprint.substr(0, 8)); },
                  [this](const std::string& team, base::ErrorKind kind) { refusals.push_back(fmt::format("{} {}", team, base::errorRule(kind).name)); } })
    {
        auto configuration = std::make_shared<state::Configuration>();
        configuration->revision = 1;
        configuration->sheetRevision = 1;
        configuration->sheet = std::make_shared<const sheet::Sheet>(sheet::Sheet::Make(
            "kind,team,model,version,adapter,priority,weight,max_running,max_rate,upstreams,service,repeatable,layers\n"
            "model,fiere,scriba,4.2,,8,3,200,1000,large,,,6\n"
            "model,listini,scriba,4.2,,4,1,200,1000,large,,,6\n")
                                                                        .value());
        configuration_ = configuration;
        service_.setConfiguration(configuration_);
    }

    // Adds an engine that holds layers `first` to `last` of 6, both inclusive.
    void addEngine(const std::string& id, std::uint32_t first, std::uint32_t last, const std::string& crashWord = "")
    {
        fakes::EngineSpec spec;
        spec.firstLayer = first;
        spec.lastLayer = last;
        spec.layerCount = 6;
        spec.crashWord = crashWord;
        auto descriptor = std::make_shared<membership::MemberDescriptor>();
        descriptor->id = id;
        descriptor->dataCentre = "catania";
        descriptor->accelerator = "large";
        descriptor->holdings.push_back({ "scriba", "4.2", first, last });
        auto engine = std::make_unique<Engine>(fakes::EngineCore(spec));
        engine->core.addModel("scriba", "4.2");
        engine->descriptor = descriptor;
        engines_[id] = std::move(engine);
        updateEngines();
        service_.engineReady(descriptor);
        service_.engineMessage(id, streams::EngineLoad {});
    }

    // Simulates a crash of the engine process. Its running and queued steps are lost.
    void crashEngine(const std::string& id)
    {
        trace.push_back(fmt::format("{} engine {} dies", timestamp(), id));
        engines_.erase(id);
        updateEngines();
        service_.engineLost(id);
    }

    void setLeaving(const std::string& id)
    {
        auto descriptor = std::make_shared<membership::MemberDescriptor>(*engines_.at(id)->descriptor);
        descriptor->isLeaving = true;
        engines_.at(id)->descriptor = descriptor;
        updateEngines();
    }

    // Publishes a new revision of the configuration with the same content.
    void republishConfiguration()
    {
        auto next = std::make_shared<state::Configuration>(*configuration_);
        ++next->revision;
        configuration_ = next;
        service_.setConfiguration(configuration_);
    }

    // Delivers a result as if engine `id` had sent it.
    void injectResult(const std::string& id, const streams::StageResult& result) { service_.engineMessage(id, result); }

    void stall(const std::string& id) { engines_.at(id)->isStalled = true; }
    // Holds the engine's results back until releaseResults().
    void holdResults(const std::string& id) { engines_.at(id)->holdsResults = true; }
    // Delivers the held results, newest first and each twice.
    void releaseResults(const std::string& id)
    {
        auto held = std::exchange(engines_.at(id)->held, {});
        engines_.at(id)->holdsResults = false;
        for (auto it = held.rbegin(); it != held.rend(); ++it) {
            service_.engineMessage(id, *it);
            service_.engineMessage(id, *it);
        }
    }

    ReceivedResponse& submit(const std::string& id, const std::string& prompt, std::uint32_t maxTokens, const std::string& team = "fiere", std::chrono::nanoseconds timeout = std::chrono::seconds(60))
    {
        trace.push_back(fmt::format("{} request {} team={} prompt=\"{}\" tokens={}", timestamp(), id, team, prompt, maxTokens));
        serving::CompletionRequest request;
        request.id = id;
        request.team = team;
        request.model = "scriba";
        request.prompt = prompt;
        request.maxTokens = maxTokens;
        request.deadline = clock_.now() + timeout;
        auto& response = responses_[id];
        service_.submit(request, configuration_, [&](std::function<void()> onDisconnect) {
            onDisconnect_[id] = std::move(onDisconnect);
            return std::make_unique<RecordingSink>(*this, id, response);
        });
        return response;
    }

    void disconnectCaller(const std::string& id) { onDisconnect_.at(id)(); }

    // Runs for `duration` of virtual time or until `isDone` returns true.
    void run(
        std::chrono::nanoseconds duration, const std::function<bool()>& isDone = [] { return false; })
    {
        auto end = clock_.now() + duration;
        while (clock_.now() < end && !isDone()) {
            runEngines();
            clock_.advance(std::chrono::milliseconds(1));
            if (!(++ticks_ % 10))
                service_.tick();
        }
    }

    bool isIdle() const { return !service_.openRequestCount(); }
    std::string expected(const std::string& prompt, std::uint32_t maxTokens) const { return fakes::expectedText("scriba", "4.2", "", prompt, 6, maxTokens); }
    fakes::EngineCore& engine(const std::string& id) { return engines_.at(id)->core; }
    bool hasEngine(const std::string& id) const { return engines_.count(id); }
    serving::CompletionService& service() { return service_; }
    base::Timeline& timeline() { return timeline_; }
    base::TimePoint now() const { return clock_.now(); }

    // One line per request, step, crash and response event.
    std::vector<std::string> trace;
    std::vector<std::string> crashes;
    std::vector<std::string> clearedCrashes;
    std::vector<std::string> refusals;

private:
    struct Engine {
        explicit Engine(fakes::EngineCore engineCore)
            : core(std::move(engineCore))
        {
        }

        fakes::EngineCore core;
        serving::DescriptorPointer descriptor;
        bool isStalled = false;
        bool holdsResults = false;
        std::vector<streams::StageResult> held;
        std::optional<fakes::Batch> batch;
        base::TimePoint batchDueAt;
    };

    class RecordingSink final : public serving::ResponseSink {
    public:
        RecordingSink(ServingFleet& fleet, std::string id, ReceivedResponse& received)
            : fleet_(fleet)
            , id_(std::move(id))
            , received_(received)
        {
            received_.lastTokenAt = fleet.now();
        }

    private:
        bool onToken(const streams::Token& token) override
        {
            received_.text += token.text;
            received_.longestGap = std::max<std::chrono::nanoseconds>(received_.longestGap, fleet_.now() - received_.lastTokenAt);
            received_.lastTokenAt = fleet_.now();
            fleet_.trace.push_back(fmt::format("{} answer {} token{}", fleet_.timestamp(), id_, token.text));
            return true;
        }

        void onFinish(streams::FinishReason reason, std::size_t, std::size_t tokens) override
        {
            received_.didFinish = true;
            ++received_.endCount;
            fleet_.trace.push_back(fmt::format("{} answer {} finish={} tokens={}", fleet_.timestamp(), id_, reason == streams::FinishReason::Stop ? "stop" : "length", tokens));
        }

        void onFail(const base::Error& error, base::TimePoint) override
        {
            received_.error = error;
            ++received_.endCount;
            fleet_.trace.push_back(fmt::format("{} answer {} error={} notRun={}", fleet_.timestamp(), id_, base::errorRule(error.kind).name, base::notRunText(base::errorRule(error.kind).executionStatus)));
        }

        ServingFleet& fleet_;
        const std::string id_;
        ReceivedResponse& received_;
    };

    static serving::CompletionService::Options makeOptions(std::size_t slots)
    {
        serving::CompletionService::Options options;
        options.vm = "entry-1";
        options.dataCentre = "catania";
        options.slots = slots;
        return options;
    }

    std::string timestamp() const
    {
        return fmt::format("{:7}us", std::chrono::duration_cast<std::chrono::microseconds>(clock_.now().time_since_epoch() - std::chrono::hours(1)).count());
    }

    void updateEngines()
    {
        std::vector<serving::DescriptorPointer> usable;
        for (const auto& [id, engine] : engines_) {
            if (!engine->descriptor->isLeaving)
                usable.push_back(engine->descriptor);
        }
        service_.setEngines(usable, 1);
    }

    bool onSend(const std::string& id, const streams::ChannelMessage& message) override
    {
        auto found = engines_.find(id);
        if (found == engines_.end())
            return false;
        if (const auto* step = std::get_if<streams::StageStep>(&message)) {
            trace.push_back(fmt::format("{} step {} -> {} attempt={} position={} count={} layers={}-{}", timestamp(), step->id.stream, id, step->id.attempt, step->id.position, step->id.count, step->id.firstLayer, step->id.lastLayer));
            found->second->core.submit("entry-1", *step);
        } else if (const auto* cancel = std::get_if<streams::CancelStream>(&message))
            found->second->core.cancel(cancel->stream, cancel->attempt);
        return true;
    }

    void onSetEngines(const std::vector<serving::DescriptorPointer>&) override { }

    void runEngines()
    {
        std::vector<std::string> ids;
        for (const auto& [id, engine] : engines_)
            ids.push_back(id);
        for (const auto& id : ids) {
            if (engines_.count(id))
                runEngine(id, *engines_.at(id));
        }
    }

    void runEngine(const std::string& id, Engine& engine)
    {
        if (engine.batch && clock_.now() >= engine.batchDueAt) {
            auto batch = std::move(*engine.batch);
            engine.batch.reset();
            for (auto& routed : batch.results) {
                // A result may end a stream, which cancels its other steps on the engine.
                if (engine.holdsResults)
                    engine.held.push_back(std::move(routed.result));
                else
                    service_.engineMessage(id, std::move(routed.result));
            }
        }
        if (engine.batch || engine.isStalled || !engine.core.hasWork())
            return;
        engine.batch = engine.core.runBatch();
        engine.batchDueAt = clock_.now() + engine.batch->duration;
        if (engine.batch->crashes)
            crashEngine(id);
    }

    base::VirtualClock clock_;
    base::Timeline timeline_;
    std::map<std::string, std::unique_ptr<Engine>> engines_;
    std::map<std::string, ReceivedResponse> responses_;
    std::map<std::string, std::function<void()>> onDisconnect_;
    std::uint64_t ticks_ = 0;
    serving::ConfigurationPointer configuration_;
    serving::CompletionService service_;
};

} // namespace arbutus::test
