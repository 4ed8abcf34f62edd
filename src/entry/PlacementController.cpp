#include "src/entry/PlacementController.h"

#include "include/base/LockRanks.h"
#include "include/base/Logger.h"
#include "include/http/SingleUseClient.h"

#include <algorithm>

namespace arbutus::entry {

using base::ErrorKind;
using base::makeError;
using base::RankedLock;
using base::Result;
using web::json::value;

static constexpr base::Logger logger("placement");
static constexpr std::chrono::milliseconds tickInterval(1000);
static constexpr std::chrono::milliseconds stopCheckInterval(50);
static constexpr std::chrono::seconds stateTimeout(2);
// A load command takes as long as the download from the rate-limited weight store.
static constexpr std::chrono::seconds commandTimeout(120);
static constexpr std::size_t senderThreads = 8;
static constexpr std::size_t maxQueuedCommands = 1024;

std::vector<base::SettingSpec> PlacementController::settingSpecs()
{
    return {
        { "placement", "on or off: whether this VM may order engines to load and unload versions", "on" },
        { "placement-downloads", "loads that may run at a time in the whole system", "2" },
        { "placement-min-serving", "engines of each layer range that are left out of a change", "1" },
        { "placement-grace-ms", "time for which a dispensable version is kept; longer than --request-timeout-ms", "65000" },
    };
}

Result<PlacementController::Options> PlacementController::readOptions(const base::Settings& settings)
{
    Options options;
    const auto& text = settings.text("placement");
    if (text != "on" && text != "off")
        return makeError(ErrorKind::InvalidSetting, "--placement is neither on nor off");
    BOOST_OUTCOME_TRY(downloads, settings.integer("placement-downloads", 1, 1000));
    BOOST_OUTCOME_TRY(minServing, settings.integer("placement-min-serving", 1, 10000));
    BOOST_OUTCOME_TRY(grace, settings.milliseconds("placement-grace-ms", std::chrono::seconds(0), std::chrono::hours(24)));
    options.isEnabled = text == "on";
    options.planner.maxDownloads = static_cast<std::size_t>(downloads);
    options.planner.minServing = static_cast<std::size_t>(minServing);
    options.planner.unloadGrace = grace;
    return options;
}

PlacementController::PlacementController(const base::Clock& clock, base::Timeline& timeline, StateClient& state, const ControlPlane& plane, std::string vm, const Options& options)
    : clock_(clock)
    , timeline_(timeline)
    , stateClient_(state)
    , controlPlane_(plane)
    , vm_(std::move(vm))
    , options_(options)
    , mutex_(base::lock_rank::routing)
    , planner_(options.planner)
    , senderPool_(senderThreads, maxQueuedCommands)
{
    if (options_.isEnabled)
        thread_ = std::thread([this] { run(); });
}

PlacementController::~PlacementController()
{
    isStopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

void PlacementController::run()
{
    auto nextTickAt = clock_.now();
    while (!isStopping_) {
        if (clock_.now() >= nextTickAt) {
            tick();
            nextTickAt = clock_.now() + tickInterval;
        }
        std::this_thread::sleep_for(stopCheckInterval);
    }
}

std::vector<placement::EngineView> PlacementController::engines(const state::Configuration& configuration, const std::vector<ControlPlane::MemberView>& members) const
{
    std::vector<placement::EngineView> engines;
    for (const auto& member : members) {
        const auto& descriptor = *member.descriptor;
        if (member.state == "in" && descriptor.kind == membership::MemberKind::Upstream && descriptor.services.empty())
            engines.push_back({ descriptor.id, descriptor.accelerator, descriptor.incarnation, !configuration.drainedUpstreams.count(descriptor.id), descriptor.holdings });
    }
    return engines;
}

// Acquires a new fencing token if the lease needs one. Returns false if the state
// does not issue it.
bool PlacementController::renewLease()
{
    auto sentAt = clock_.now();
    {
        RankedLock lock(mutex_);
        if (!lease_.needsFencingNumber(sentAt))
            return true;
    }
    auto reply = stateClient_.propose(state::IssueFencingToken { "placement", vm_ }, sentAt + stateTimeout);
    if (!reply || !reply.value().count("number")) {
        logger.warning("The state issued no fencing token.", { { "reason", reply ? "malformed reply" : reply.error().detail } });
        return false;
    }
    RankedLock lock(mutex_);
    lease_.grant(std::strtoull(reply.value().at("number").c_str(), nullptr, 10), sentAt, clock_.now());
    return true;
}

void PlacementController::tick()
{
    auto configuration = controlPlane_.configuration();
    // Without an accepted sheet it is unknown which versions to unload.
    if (!configuration || !configuration->sheetRevision || !controlPlane_.isFresh())
        return;
    auto members = controlPlane_.members();
    std::vector<std::string> vms;
    for (const auto& member : members) {
        if (member.state == "in" && member.descriptor->kind == membership::MemberKind::EntryVm)
            vms.push_back(member.descriptor->id);
    }
    auto views = engines(*configuration, members);
    {
        RankedLock lock(mutex_);
        candidate_ = placement::controllerCandidate(vms);
        sheetRevision_ = configuration->sheetRevision;
        isConverged_ = planner_.isConverged(*configuration->sheet, views);
        if (candidate_ != vm_) {
            lease_.release();
            planner_.reset();
            return;
        }
        // Each fencing token is an audited log entry, so none is requested when there is
        // nothing to change.
        if (isConverged_) {
            planner_.reset();
            return;
        }
        for (const auto& member : members)
            addresses_[member.descriptor->id] = member.descriptor->address;
    }
    if (!renewLease())
        return;
    std::vector<placement::PlacementCommand> commands;
    {
        RankedLock lock(mutex_);
        auto now = clock_.now();
        auto number = lease_.fencingNumberAt(now);
        if (!number)
            return;
        commands = planner_.plan(*configuration->sheet, views, *number, now);
    }
    for (const auto& command : commands) {
        if (!senderPool_.post([this, command] { sendCommand(command); })) {
            RankedLock lock(mutex_);
            planner_.finish(command.id, false, "the command queue is full", clock_.now());
        }
    }
}

static std::string describeFailure(const http::ExchangeResult& result)
{
    if (const auto* response = std::get_if<http::ExchangeResponse>(&result))
        return response->status == web::http::status_codes::OK ? "" : fmt::format("status {}: {}", response->status, response->body);
    if (const auto* interrupted = std::get_if<http::ExchangeInterrupted>(&result))
        return "the exchange was interrupted: " + interrupted->reason;
    return "nothing was sent: " + std::get<http::ConnectionRefused>(result).reason;
}

void PlacementController::sendCommand(const placement::PlacementCommand& command)
{
    std::map<std::string, std::string> fields { { "upstream", command.engine }, { "action", std::string(toString(command.action)) }, { "model", command.model }, { "version", command.version }, { "number", std::to_string(command.fencingNumber) } };
    std::string address;
    {
        RankedLock lock(mutex_);
        // The lease may have expired while the command was queued.
        if (!lease_.fencingNumberAt(clock_.now())) {
            planner_.finish(command.id, false, "the lease expired before the command was sent", clock_.now());
            return;
        }
        address = addresses_[command.engine];
    }
    timeline_.record("placement-order", fields);
    logger.info("Sending a placement command.", { { "upstream", command.engine }, { "action", toString(command.action) }, { "model", command.model }, { "version", command.version }, { "number", command.fencingNumber } });
    value body = value::object();
    body["fencingNumber"] = value::number(command.fencingNumber);
    body["action"] = value::string(std::string(toString(command.action)));
    body["model"] = value::string(command.model);
    body["version"] = value::string(command.version);
    http::ExchangeRequest request { "POST", "/engine/v1/commands", {}, body.serialize() };
    std::string failure = describeFailure(http::sendOnNewConnection(address, request, clock_.now() + commandTimeout));
    fields["result"] = failure.empty() ? "done" : failure;
    timeline_.record("placement-done", fields);
    if (!failure.empty())
        logger.warning("A placement command failed.", { { "upstream", command.engine }, { "action", toString(command.action) }, { "model", command.model }, { "version", command.version }, { "reason", failure } });
    RankedLock lock(mutex_);
    planner_.finish(command.id, failure.empty(), failure, clock_.now());
}

template <typename T>
static value toJson(const T& command)
{
    value entry = value::object();
    entry["upstream"] = value::string(command.engine);
    entry["action"] = value::string(std::string(toString(command.action)));
    entry["model"] = value::string(command.model);
    entry["version"] = value::string(command.version);
    return entry;
}

value PlacementController::status() const
{
    auto now = clock_.now();
    RankedLock lock(mutex_);
    std::vector<value> commandsInFlight;
    for (const auto& command : planner_.commandsInFlight()) {
        commandsInFlight.push_back(toJson(command));
        commandsInFlight.back()["number"] = value::number(command.fencingNumber);
    }
    std::vector<value> failed;
    for (const auto& failure : planner_.failedCommands()) {
        failed.push_back(toJson(failure));
        failed.back()["failures"] = value::number(failure.failures);
        failed.back()["detail"] = value::string(failure.detail);
        failed.back()["retryInMs"] = value::number(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(failure.retryAt - now).count()));
    }
    value body = value::object();
    body["vm"] = value::string(vm_);
    body["enabled"] = value::boolean(options_.isEnabled);
    body["controller"] = value::string(candidate_);
    body["number"] = value::number(lease_.fencingNumberAt(now).value_or(0));
    body["sheetRevision"] = value::number(sheetRevision_);
    body["converged"] = value::boolean(isConverged_);
    body["inFlight"] = value::array(commandsInFlight);
    body["failed"] = value::array(failed);
    return body;
}

} // namespace arbutus::entry
