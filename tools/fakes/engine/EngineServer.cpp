#include "tools/fakes/engine/EngineServer.h"

#include "include/base/Logger.h"
#include "include/http/ChunkReader.h"
#include "include/http/SingleUseClient.h"

#include <fmt/format.h>

#include <cstdlib>

namespace arbutus::fakes {

using base::Result;
using web::http::http_request;
using web::http::status_codes;
using web::json::value;

static constexpr base::Logger logger("engine");
// Long on purpose: the router must tolerate stale load reports.
static constexpr std::chrono::milliseconds loadReportInterval(300);
static constexpr std::size_t maximumPendingBytes = std::size_t { 64 } << 20;

Result<std::unique_ptr<EngineServer>> EngineServer::Make(const base::Settings& settings)
{
    EngineSpec spec;
    BOOST_OUTCOME_TRY(first, settings.integer("first-layer", 0, 10000));
    BOOST_OUTCOME_TRY(last, settings.integer("last-layer", first, 10000));
    BOOST_OUTCOME_TRY(layers, settings.integer("layers", last + 1, 10001));
    BOOST_OUTCOME_TRY(batch, settings.integer("maximum-batch", 1, 100000));
    BOOST_OUTCOME_TRY(stepBase, settings.integer("step-base-us", 0, 10000000));
    BOOST_OUTCOME_TRY(stepSequence, settings.integer("step-sequence-us", 0, 10000000));
    BOOST_OUTCOME_TRY(stepPrefill, settings.integer("step-prefill-us", 0, 10000000));
    spec.firstLayer = static_cast<std::uint32_t>(first);
    spec.lastLayer = static_cast<std::uint32_t>(last);
    spec.layerCount = static_cast<std::uint32_t>(layers);
    spec.maximumBatch = static_cast<std::uint32_t>(batch);
    spec.stepBase = std::chrono::microseconds(stepBase);
    spec.stepPerSequence = std::chrono::microseconds(stepSequence);
    spec.stepPerPrefillPosition = std::chrono::microseconds(stepPrefill);
    spec.crashWord = settings.text("crash-word");

    std::unique_ptr<EngineServer> engine(new EngineServer(spec));
    engine->firstLayer_ = spec.firstLayer;
    engine->lastLayer_ = spec.lastLayer;
    engine->layerCount_ = spec.layerCount;
    engine->maximumBatch_ = spec.maximumBatch;
    if (auto started = engine->start(settings); !started)
        return started.error();
    return engine;
}

Result<void> EngineServer::start(const base::Settings& settings)
{
    BOOST_OUTCOME_TRY(port, settings.integer("port", 1, 65535));
    id_ = settings.text("id");
    address_ = fmt::format("http://{}:{}", settings.text("address"), port);
    dataCentre_ = settings.text("data-centre");
    accelerator_ = settings.text("accelerator");
    weightStore_ = settings.text("weight-store");
    enforcesFencing_ = settings.text("fencing") == "honour";
    incarnation_ = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    for (const auto& model : settings.list("models")) {
        auto parts = base::splitText(model, ':');
        if (parts.size() != 2)
            return base::makeError(base::ErrorKind::InvalidSetting, "--models must be a list of model:version");
        core_.addModel(parts[0], parts[1]);
    }
    BOOST_OUTCOME_TRY(server, fakes::ListenerServer::Make(settings.text("address"), static_cast<int>(port), [this](http_request request) { handle(request); }));
    server_ = std::move(server);
    batchThread_ = std::thread([this] { runBatches(); });
    reportThread_ = std::thread([this] { reportLoad(); });
    announcer_ = std::make_unique<Announcer>(settings.list("entries"), [this] { return facts(); });
    logger.info("Serving layers.", { { "id", id_ }, { "first", firstLayer_ }, { "last", lastLayer_ }, { "address", address_ } });
    return base::outcome::success();
}

EngineServer::~EngineServer()
{
    isStopping_ = true;
    wake_.notify_all();
    announcer_.reset();
    if (batchThread_.joinable())
        batchThread_.join();
    if (reportThread_.joinable())
        reportThread_.join();
    std::map<std::string, ChannelPointer> channels;
    {
        std::lock_guard lock(mutex_);
        channels.swap(channels_);
    }
    for (auto& [name, channel] : channels)
        channel->results.close();
    server_.reset();
}

void EngineServer::handle(http_request request)
{
    auto parts = base::splitText(request.relative_uri().path(), '/');
    if (parts.size() == 6 && parts[3] == "channels" && parts[5] == "results")
        openResults(request, parts[4]);
    else if (parts.size() == 6 && parts[3] == "channels" && parts[5] == "steps")
        openSteps(request, parts[4]);
    else if (parts.size() == 4 && parts[3] == "commands")
        handleCommand(request);
    else if (parts.size() == 4 && parts[3] == "faults")
        handleFault(request);
    else if (parts.size() == 4 && parts[3] == "state")
        request.reply(status_codes::OK, state());
    else
        request.reply(status_codes::NotFound);
}

EngineServer::ChannelPointer EngineServer::channel(const std::string& name)
{
    std::lock_guard lock(mutex_);
    auto [it, inserted] = channels_.emplace(name, nullptr);
    if (inserted)
        it->second = std::make_shared<Channel>();
    return it->second;
}

void EngineServer::closeChannel(const std::string& name)
{
    ChannelPointer closing;
    {
        std::lock_guard lock(mutex_);
        if (auto it = channels_.find(name); it != channels_.end()) {
            closing = it->second;
            channels_.erase(it);
        }
        core_.dropChannel(name);
    }
    if (closing)
        closing->results.close();
}

void EngineServer::openResults(http_request request, const std::string& name)
{
    web::http::http_response response(status_codes::OK);
    response.set_body(channel(name)->results.stream(), "application/x-msgpack");
    request.reply(response).then([this, name](pplx::task<void> task) {
        try {
            task.get();
        } catch (const std::exception&) {
            // The entry VM disconnected. The channel is closed below in either case.
        }
        if (!isStopping_)
            closeChannel(name);
    });
}

void EngineServer::openSteps(http_request request, const std::string& name)
{
    auto target = channel(name);
    http::readChunks(
        request.body().streambuf(), [this, name, target](std::string_view bytes) { return receive(name, target, bytes); },
        [this, name, request](bool) mutable {
            request.reply(status_codes::OK);
            if (!isStopping_)
                closeChannel(name);
        });
}

bool EngineServer::receive(const std::string& name, const ChannelPointer& source, std::string_view bytes)
{
    std::lock_guard lock(mutex_);
    source->decoder.feed(bytes);
    for (;;) {
        auto message = source->decoder.next();
        if (!message)
            return false;
        if (!message.value())
            break;
        if (auto* step = std::get_if<streams::StageStep>(&*message.value())) {
            if (isLeaving_ && step->isPrefill)
                ++newStreamsWhileLeaving_;
            core_.submit(name, std::move(*step));
        } else if (const auto* cancel = std::get_if<streams::CancelStream>(&*message.value()))
            core_.cancel(cancel->stream, cancel->attempt);
    }
    wake_.notify_all();
    return true;
}

void EngineServer::runBatches()
{
    std::unique_lock lock(mutex_);
    auto due = std::chrono::steady_clock::now();
    while (!isStopping_) {
        wake_.wait_for(lock, std::chrono::milliseconds(50), [this] { return isStopping_ || (core_.hasWork() && !isStalled_); });
        if (isStopping_ || isStalled_ || !core_.hasWork())
            continue;
        due = std::max(due, std::chrono::steady_clock::now() - std::chrono::milliseconds(1));
        Batch batch = core_.runBatch();
        if (batch.crashes || (batchesUntilCrash_ && !(*batchesUntilCrash_)--)) {
            logger.error("Crashing because of an injected fault.");
            std::_Exit(86);
        }
        due += std::chrono::duration_cast<std::chrono::nanoseconds>(batch.duration * stepTimeFactor_);
        lock.unlock();
        std::this_thread::sleep_until(due);
        lock.lock();
        std::map<std::string, std::string> bytes;
        for (auto& routed : batch.results) {
            routed.result.load = reportedLoad_;
            routed.result.load.isLeaving = isLeaving_;
            bytes[routed.channel] += streams::encodeChannelMessage(std::move(routed.result));
        }
        for (const auto& [name, text] : bytes) {
            if (auto it = channels_.find(name); it != channels_.end())
                it->second->results.write(text, maximumPendingBytes);
        }
    }
}

streams::EngineLoad EngineServer::load() const
{
    streams::EngineLoad load;
    load.running = core_.runningCount();
    load.queued = core_.queuedCount();
    load.memoryBytes = core_.memoryBytes();
    load.isLeaving = isLeaving_;
    return load;
}

void EngineServer::reportLoad()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        reportedLoad_ = load();
        std::string report = streams::encodeChannelMessage(reportedLoad_);
        for (const auto& [name, channel] : channels_)
            channel->results.write(report, maximumPendingBytes);
        wake_.wait_for(lock, loadReportInterval, [this] { return isStopping_.load(); });
    }
}

void EngineServer::handleCommand(http_request request)
{
    request.extract_json(true).then([this, request](pplx::task<value> task) mutable {
        try {
            auto command = task.get();
            auto number = command.at("fencingNumber").as_number().to_uint64();
            std::string action = command.at("action").as_string();
            std::string model = command.at("model").as_string();
            std::string version = command.at("version").as_string();
            {
                std::lock_guard lock(mutex_);
                if (enforcesFencing_ && number < highestFencingToken_) {
                    request.reply(status_codes::Conflict, value::string("the fencing token is stale"));
                    return;
                }
                highestFencingToken_ = std::max(highestFencingToken_, number);
                if (action == "unload") {
                    core_.removeModel(model, version);
                    ++version_;
                }
            }
            if (action == "load")
                loadWeights(model, version);
            request.reply(status_codes::OK, state());
            announcer_->announceNow();
        } catch (const std::exception& exception) {
            request.reply(status_codes::BadRequest, value::string(exception.what()));
        }
    });
}

void EngineServer::loadWeights(const std::string& model, const std::string& version)
{
    if (!weightStore_.empty()) {
        http::ExchangeRequest request;
        request.target = fmt::format("/weights/{}/{}", model, version);
        auto result = http::sendOnNewConnection(weightStore_, request, std::chrono::steady_clock::now() + std::chrono::seconds(30));
        const auto* response = std::get_if<http::ExchangeResponse>(&result);
        if (!response || response->status != status_codes::OK)
            throw std::runtime_error("failed to fetch the weights");
    }
    std::lock_guard lock(mutex_);
    core_.addModel(model, version);
    ++version_;
}

void EngineServer::handleFault(http_request request)
{
    request.extract_json(true).then([this, request](pplx::task<value> task) mutable {
        try {
            auto fault = task.get();
            {
                std::lock_guard lock(mutex_);
                if (fault.has_field("dieAfterBatches"))
                    batchesUntilCrash_ = fault.at("dieAfterBatches").as_number().to_uint64();
                if (fault.has_field("stall"))
                    isStalled_ = fault.at("stall").as_bool();
                if (fault.has_field("slowness"))
                    stepTimeFactor_ = fault.at("slowness").as_double();
            }
            if (fault.has_field("leave"))
                leave();
            request.reply(status_codes::OK, state());
        } catch (const std::exception& exception) {
            request.reply(status_codes::BadRequest, value::string(exception.what()));
        }
    });
}

void EngineServer::leave()
{
    {
        std::lock_guard lock(mutex_);
        if (isLeaving_)
            return;
        isLeaving_ = true;
        ++version_;
    }
    announcer_->announceNow();
}

bool EngineServer::hasWork() const
{
    std::lock_guard lock(mutex_);
    return core_.hasWork() || core_.runningCount();
}

value EngineServer::facts() const
{
    std::lock_guard lock(mutex_);
    value facts = value::object();
    facts["id"] = value::string(id_);
    facts["address"] = value::string(address_);
    facts["dataCentre"] = value::string(dataCentre_);
    facts["accelerator"] = value::string(accelerator_);
    facts["capacity"] = value::number(maximumBatch_);
    facts["incarnation"] = value::number(incarnation_);
    facts["version"] = value::number(version_);
    facts["leaving"] = value::boolean(isLeaving_);
    std::vector<value> models;
    for (const auto& [model, version] : core_.models()) {
        value entry = value::object();
        entry["model"] = value::string(model);
        entry["version"] = value::string(version);
        entry["firstLayer"] = value::number(firstLayer_);
        entry["lastLayer"] = value::number(lastLayer_);
        models.push_back(entry);
    }
    facts["models"] = value::array(models);
    return facts;
}

value EngineServer::state() const
{
    value state = facts();
    std::lock_guard lock(mutex_);
    state["running"] = value::number(core_.runningCount());
    state["queued"] = value::number(core_.queuedCount());
    state["refused"] = value::number(core_.refusedCount());
    state["newStreams"] = value::number(core_.newStreamCount());
    state["newStreamsWhenLeaving"] = value::number(newStreamsWhileLeaving_);
    state["fencingNumber"] = value::number(highestFencingToken_);
    return state;
}

} // namespace arbutus::fakes
