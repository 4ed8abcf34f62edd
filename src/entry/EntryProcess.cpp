#include "src/entry/EntryProcess.h"

#include "include/base/Logger.h"
#include "include/http/JsonText.h"
#include "include/http/Metrics.h"
#include "include/http/Problem.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

namespace arbutus::entry {

using base::ErrorKind;
using base::makeError;
using base::Result;
using http::ServerRequest;
using web::http::status_codes;
using web::json::value;

static constexpr base::Logger logger("entry");
static constexpr std::size_t timelineCapacity = 20000;
static constexpr std::size_t workerThreads = 32;
static constexpr std::size_t maxQueuedCalls = 1024;
// Engines report their load at least every 500 ms.
static constexpr std::chrono::milliseconds channelReceiveTimeout(1000);
static constexpr std::chrono::milliseconds tickInterval(10);
static constexpr int ticksPerControlTick = 2;
static constexpr std::chrono::milliseconds housekeepingInterval(500);
static constexpr std::chrono::seconds stateTimeout(5);
static constexpr std::chrono::seconds drainMargin(10);

// Methods of the state that operators may call. Commands of entry processes are
// excluded: a manual CloseClaim could make an order run twice.
static constexpr std::array<std::string_view, 10> operatorMethods { "ApplySheet", "SetDrain", "ResolveOrder", "TrimAudit", "changeReplicas", "sheet", "order", "orders", "audit", "status" };

std::vector<base::SettingSpec> EntryProcess::settingSpecs()
{
    std::vector<base::SettingSpec> specs {
        { "id", "name of this VM", std::nullopt },
        { "address", "IP number to listen on", std::nullopt },
        { "port", "port of the HTTP interface", "8080" },
        { "control-port", "port for the other processes of the system", "8081" },
        { "data-centre", "data centre of this VM", std::nullopt },
        { "replicas", "state replicas: IP:control-port:rpc-port,...", std::nullopt },
        { "seeds", "other entry VMs: IP:control-port,...; empty for the first one", "" },
        { "cluster-key-file", "file with the key that the processes of the system share", std::nullopt },
        { "admin-token-file", "file with the operators' token", std::nullopt },
        { "team-tokens-file", "file with a line for each caller: token team", std::nullopt },
        { "tls-certificate-file", "PEM certificate chain for HTTPS; plain HTTP if empty", "" },
        { "tls-key-file", "PEM private key for HTTPS", "" },
        // With the library's default of 40 threads, thread wake-ups dominated the CPU
        // time per relayed token: 494 us, compared with 257 us with 4 threads.
        { "http-threads", "threads that serve HTTP", "4" },
        { "request-timeout-ms", "longest time for a model request", "60000" },
        { "order-timeout-ms", "longest time for a service call", "10000" },
        { "drain-accept-ms", "time in which a stopping process still takes requests", "5000" },
        { "slots", "model requests that may run at a time on this VM", "256" },
        { "stall-ms", "shortest time after which a step without an answer is given up", "1000" },
    };
    for (const auto& part : { http::serverLimitSpecs(), PlacementController::settingSpecs() })
        specs.insert(specs.end(), part.begin(), part.end());
    return specs;
}

static Result<std::vector<std::vector<std::string>>> readAddressList(const base::Settings& settings, const std::string& name, std::size_t parts)
{
    std::vector<std::vector<std::string>> list;
    for (const auto& item : settings.list(name)) {
        auto fields = base::splitText(item, ':');
        if (fields.size() != parts)
            return makeError(ErrorKind::InvalidSetting, fmt::format("--{} has the entry \"{}\", which is not an IP address with {} ports", name, item, parts - 1));
        for (std::size_t i = 1; i < parts; ++i) {
            if (fields[i].empty() || fields[i].size() > 5 || fields[i].find_first_not_of("0123456789") != std::string::npos || std::stoul(fields[i]) > 65535)
                return makeError(ErrorKind::InvalidSetting, fmt::format("--{} has the entry \"{}\", whose port is not from 1 to 65535", name, item));
        }
        list.push_back(std::move(fields));
    }
    return list;
}

static std::uint16_t portOf(const std::string& text) { return static_cast<std::uint16_t>(std::stoul(text)); }

static Result<std::map<std::string, std::string>> readTeamTokens(const base::Settings& settings)
{
    BOOST_OUTCOME_TRY(text, settings.secretFromFile("team-tokens-file"));
    std::map<std::string, std::string> teams;
    std::size_t number = 0;
    for (const auto& line : base::splitText(text, '\n')) {
        ++number;
        if (line.empty() || line[0] == '#')
            continue;
        auto fields = base::splitText(line, ' ');
        if (fields.size() != 2)
            return makeError(ErrorKind::InvalidSetting, fmt::format("--team-tokens-file: line {} is not of the form \"token team\"", number));
        if (!teams.emplace(fields[0], fields[1]).second)
            return makeError(ErrorKind::InvalidSetting, fmt::format("--team-tokens-file: line {} repeats a token", number));
    }
    return teams;
}

Result<EntryProcess::Config> EntryProcess::readConfig(const base::Settings& settings)
{
    using std::chrono::milliseconds;
    Config config;
    config.vm = settings.text("id");
    config.address = settings.text("address");
    config.dataCentre = settings.text("data-centre");
    BOOST_OUTCOME_TRY(port, settings.integer("port", 1, 65535));
    BOOST_OUTCOME_TRY(controlPort, settings.integer("control-port", 1, 65535));
    config.port = static_cast<int>(port);
    config.controlPort = static_cast<std::uint16_t>(controlPort);
    BOOST_OUTCOME_TRY(replicas, readAddressList(settings, "replicas", 3));
    if (replicas.empty())
        return makeError(ErrorKind::InvalidSetting, "--replicas is empty");
    for (const auto& replica : replicas) {
        config.replicas.push_back({ replica[0], portOf(replica[1]) });
        config.replicaUrls.push_back(fmt::format("http://{}:{}", replica[0], replica[2]));
    }
    BOOST_OUTCOME_TRY(seeds, readAddressList(settings, "seeds", 2));
    for (const auto& seed : seeds)
        config.seeds.push_back({ seed[0], portOf(seed[1]) });
    BOOST_OUTCOME_TRY(clusterKey, settings.secretFromFile("cluster-key-file"));
    BOOST_OUTCOME_TRY(adminToken, settings.secretFromFile("admin-token-file"));
    BOOST_OUTCOME_TRY(teams, readTeamTokens(settings));
    config.clusterKey = clusterKey;
    config.adminToken = adminToken;
    config.tls = { settings.text("tls-certificate-file"), settings.text("tls-key-file") };
    BOOST_OUTCOME_TRY(serverLimits, http::readServerLimits(settings));
    config.serverLimits = serverLimits;
    config.serverLimits.longBodyPrefix = "/admin/v1/";
    config.serverLimits.longBodyBytes = http::commandBodyBytes;
    BOOST_OUTCOME_TRY(requestTimeout, settings.milliseconds("request-timeout-ms", milliseconds(100), std::chrono::hours(1)));
    BOOST_OUTCOME_TRY(orderTimeout, settings.milliseconds("order-timeout-ms", milliseconds(100), std::chrono::hours(1)));
    BOOST_OUTCOME_TRY(drainAcceptPeriod, settings.milliseconds("drain-accept-ms", milliseconds(0), std::chrono::hours(1)));
    BOOST_OUTCOME_TRY(stall, settings.milliseconds("stall-ms", milliseconds(10), std::chrono::hours(1)));
    BOOST_OUTCOME_TRY(slots, settings.integer("slots", 1, 1000000));
    config.drainAcceptPeriod = drainAcceptPeriod;
    BOOST_OUTCOME_TRY(placement, PlacementController::readOptions(settings));
    config.placement = placement;

    // A restarted process must never reuse a claim number or request id.
    std::random_device device;
    std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32) | device();
    auto incarnation = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    config.callerApi = { config.vm, static_cast<std::uint64_t>(incarnation), requestTimeout, orderTimeout, std::move(teams) };
    config.completions.vm = config.vm;
    config.completions.dataCentre = config.dataCentre;
    config.completions.slots = static_cast<std::size_t>(slots);
    config.completions.minStepTimeout = stall;
    config.completions.seed = seed;
    return config;
}

Result<std::unique_ptr<EntryProcess>> EntryProcess::Make(const base::Settings& settings)
{
    BOOST_OUTCOME_TRY(config, readConfig(settings));
    std::unique_ptr<EntryProcess> process(new EntryProcess(std::move(config)));
    BOOST_OUTCOME_TRYV(process->start());
    return process;
}

EntryProcess::EntryProcess(Config config)
    : config_(std::move(config))
    , timeline_(clock_, config_.vm, timelineCapacity)
    , stateClient_(clock_, timeline_, config_.replicaUrls, config_.clusterKey, config_.vm, config_.callerApi.incarnation)
    , reporter_(clock_, stateClient_, config_.vm)
    , channels_(clock_, fmt::format("{}-{:x}", config_.vm, config_.completions.seed), channelReceiveTimeout,
          { [this](const DescriptorPointer& descriptor) { completions_.engineReady(descriptor); },
              [this](const std::string& engine, const streams::ChannelMessage& message) { completions_.engineMessage(engine, message); },
              [this](const std::string& engine) { completions_.engineLost(engine); } })
    , completions_(clock_, timeline_, config_.completions, channels_,
          { [this](const std::string& fingerprint, const DescriptorPointer& engine, bool wasSoleRequest) { reporter_.report(state::RecordCrash { fingerprint, engine->id, engine->incarnation, wasSoleRequest }); },
              [this](const std::string& fingerprint, const DescriptorPointer& engine) { reporter_.report(state::ClearCrash { fingerprint, engine->id, engine->incarnation }); },
              [this](const std::string& team, ErrorKind kind) { reporter_.countRefusal(team, kind); } })
    , serviceClient_(clock_, timeline_, config_.dataCentre, config_.completions.seed, stateClient_)
    , workers_(workerThreads, maxQueuedCalls)
    , callerApi_(clock_, timeline_, config_.callerApi, completions_, serviceClient_, workers_,
          { [this] { return admit(); },
              [this](const std::string& team, const std::string& service, const std::string& key, const base::Error& error) { reporter_.report(state::RecordOrderRefusal { { team, service, key }, config_.vm, static_cast<std::uint32_t>(error.kind), error.detail }); },
              [this](const std::string& team, ErrorKind kind) { reporter_.countRefusal(team, kind); } })
    , admin_(timeline_, config_.adminToken, { [this] { return notReadyReason(); }, [this] { return metrics(); } })
{
    addEndpoints();
}

Result<void> EntryProcess::start()
{
    ControlPlane::Options options;
    options.self.id = config_.vm;
    options.self.kind = membership::MemberKind::EntryVm;
    options.self.address = fmt::format("{}://{}:{}", config_.tls.certificateFile.empty() ? "http" : "https", config_.address, config_.port);
    options.self.controlPort = config_.controlPort;
    options.self.dataCentre = config_.dataCentre;
    options.self.incarnation = config_.callerApi.incarnation;
    options.self.version = 1;
    options.listenAddress = config_.address;
    options.sharedKey = config_.clusterKey;
    options.seeds = config_.seeds;
    options.replicas = config_.replicas;
    options.seed = config_.completions.seed;
    ControlPlane::Listener listener {
        [this](const serving::ConfigurationPointer& configuration) {
            completions_.setConfiguration(configuration);
            serviceClient_.setDrained(configuration->drainedUpstreams);
        },
        [this](const std::vector<DescriptorPointer>& engines, std::vector<DescriptorPointer> services, std::size_t entryVms) {
            completions_.setEngines(engines, entryVms);
            serviceClient_.setUpstreams(std::move(services));
        },
        [this](const std::string& vm, std::uint64_t incarnation) { reporter_.report(state::DeclareEntryGone { vm, incarnation }); },
    };
    BOOST_OUTCOME_TRY(plane, ControlPlane::Make(clock_, timeline_, options, std::move(listener)));
    controlPlane_ = std::move(plane);
    placement_ = std::make_unique<PlacementController>(clock_, timeline_, stateClient_, *controlPlane_, config_.vm, config_.placement);
    // Open claims of earlier incarnations of this process will never be sent.
    reporter_.report(state::DeclareEntryGone { config_.vm, config_.callerApi.incarnation - 1 });
    BOOST_OUTCOME_TRY(server, http::HttpServer::Make(config_.address, config_.port, config_.tls, config_.serverLimits, [this](const ServerRequest& request) { handle(request); }));
    server_ = std::move(server);
    server_->start();
    tickThread_ = std::thread([this] { runTicks(); });
    housekeepingThread_ = std::thread([this] { runHousekeeping(); });
    logger.info("Accepting requests.", { { "vm", config_.vm }, { "address", options.self.address } });
    return base::outcome::success();
}

EntryProcess::~EntryProcess()
{
    isStopping_ = true;
    if (tickThread_.joinable())
        tickThread_.join();
    if (housekeepingThread_.joinable())
        housekeepingThread_.join();
    channels_.close();
    if (server_)
        server_->close();
    placement_.reset();
    controlPlane_.reset();
}

void EntryProcess::addEndpoints()
{
    admin_.addEndpoint("GET", "status", [this](const ServerRequest& request) { request.reply(status_codes::OK, status()); });
    admin_.addEndpoint("GET", "upstreams", [this](const ServerRequest& request) { request.reply(status_codes::OK, upstreams()); });
    admin_.addEndpoint("GET", "vms", [this](const ServerRequest& request) { request.reply(status_codes::OK, vms()); });
    admin_.addEndpoint("GET", "placement", [this](const ServerRequest& request) { request.reply(status_codes::OK, placement_->status()); });
    admin_.addEndpoint("POST", "state/", [this](const ServerRequest& request) { handleStateCall(request); });
}

void EntryProcess::handle(const ServerRequest& request)
{
    if (admin_.handle(request) || callerApi_.handle(request))
        return;
    if (request.method() == "POST" && request.uri().path() == "/v1/announce") {
        handleAnnounce(request);
        return;
    }
    request.reply(http::problemResponse(makeError(ErrorKind::NotFound, "there is no such path"), "", clock_.now()));
}

static std::uint64_t numberOf(const value& object, const char* field)
{
    return object.has_field(field) ? object.at(field).as_number().to_uint64() : 0;
}

// Throws if `body` is not an announcement: web::json::json_exception, or
// web::uri_exception for an invalid address.
static membership::MemberDescriptor descriptorFromJson(const value& body)
{
    membership::MemberDescriptor descriptor;
    descriptor.id = body.at("id").as_string();
    descriptor.kind = membership::MemberKind::Upstream;
    descriptor.address = body.at("address").as_string();
    // Upstreams have no control port, but a member's control port must not be 0.
    descriptor.controlPort = static_cast<std::uint16_t>(std::max(web::uri(descriptor.address).port(), 1));
    descriptor.dataCentre = body.at("dataCentre").as_string();
    if (body.has_field("accelerator"))
        descriptor.accelerator = body.at("accelerator").as_string();
    descriptor.capacity = static_cast<std::uint32_t>(numberOf(body, "capacity"));
    descriptor.incarnation = numberOf(body, "incarnation");
    descriptor.version = numberOf(body, "version");
    descriptor.isLeaving = body.has_field("leaving") && body.at("leaving").as_bool();
    if (body.has_field("models")) {
        for (const auto& model : body.at("models").as_array())
            descriptor.holdings.push_back({ model.at("model").as_string(), model.at("version").as_string(), static_cast<std::uint32_t>(numberOf(model, "firstLayer")), static_cast<std::uint32_t>(numberOf(model, "lastLayer")) });
    }
    if (body.has_field("services")) {
        for (const auto& service : body.at("services").as_array())
            descriptor.services.push_back(service.as_string());
    }
    return descriptor;
}

void EntryProcess::handleAnnounce(const ServerRequest& request)
{
    membership::MemberDescriptor descriptor;
    try {
        descriptor = descriptorFromJson(value::parse(request.releaseBody()));
    } catch (const std::exception& exception) {
        request.reply(http::problemResponse(makeError(ErrorKind::InvalidRequest, exception.what()), "", clock_.now()));
        return;
    }
    auto answer = controlPlane_->announce(descriptor);
    if (!answer.refusal.empty()) {
        logger.warning("Refused an announcement.", { { "upstream", descriptor.id }, { "reason", answer.refusal } });
        request.reply(http::problemResponse(makeError(ErrorKind::InvalidRequest, answer.refusal), "", clock_.now()));
        return;
    }
    std::vector<value> registrars;
    for (const auto& registrar : answer.registrars)
        registrars.push_back(value::string(registrar.address));
    value body = value::object();
    body["registrars"] = value::array(registrars);
    body["raiseVersion"] = value::boolean(answer.mustRaiseVersion);
    request.reply(status_codes::OK, body);
}

Result<serving::ConfigurationPointer> EntryProcess::admit() const
{
    if (refusesNewRequests_)
        return makeError(ErrorKind::ShuttingDown, "this VM is shutting down");
    if (!controlPlane_->isFresh())
        return makeError(ErrorKind::StaleConfiguration, "the configuration was not confirmed within the last 3 s");
    auto configuration = controlPlane_->configuration();
    if (!configuration)
        return makeError(ErrorKind::StaleConfiguration, "no configuration has been received yet");
    return configuration;
}

std::string EntryProcess::notReadyReason() const
{
    if (isDraining_)
        return "draining";
    if (!controlPlane_ || !controlPlane_->isFresh())
        return "the configuration is not current";
    return {};
}

std::string EntryProcess::metrics() const
{
    auto counters = completions_.counters();
    auto totals = controlPlane_->totals();
    using http::MetricKind;
    auto metrics = server_ ? http::metricsOf(server_->counters()) : std::vector<http::Metric>();
    metrics.insert(metrics.end(), {
                                      { "requests_total", "Model requests received.", MetricKind::Counter, static_cast<double>(counters.requests) },
                                      { "requests_finished_total", "Model requests answered completely.", MetricKind::Counter, static_cast<double>(counters.finished) },
                                      { "requests_failed_total", "Model requests that failed after admission.", MetricKind::Counter, static_cast<double>(counters.failed) },
                                      { "requests_refused_total", "Model requests refused at admission.", MetricKind::Counter, static_cast<double>(counters.refused) },
                                      { "tokens_total", "Tokens given to callers.", MetricKind::Counter, static_cast<double>(counters.tokens) },
                                      { "stream_resumes_total", "Attempts after the first one.", MetricKind::Counter, static_cast<double>(counters.resumes) },
                                      { "results_dropped_total", "Results that nothing waited for.", MetricKind::Counter, static_cast<double>(counters.droppedResults) },
                                      { "engine_deaths_total", "Channels lost while streams ran on them.", MetricKind::Counter, static_cast<double>(counters.engineCrashes) },
                                      { "requests_open", "Requests not yet answered.", MetricKind::Gauge, static_cast<double>(callerApi_.openCount()) },
                                      { "engines_ready", "Engines with a working channel.", MetricKind::Gauge, static_cast<double>(channels_.readyCount()) },
                                      { "ledger_writes_pending", "Writes to the order ledger that wait for a quorum.", MetricKind::Gauge, static_cast<double>(serviceClient_.pendingWriteCount()) },
                                      { "reports_pending", "Reports that wait for a quorum.", MetricKind::Gauge, static_cast<double>(reporter_.pendingReportCount()) },
                                      { "reports_dropped_total", "Reports dropped because too many waited.", MetricKind::Counter, static_cast<double>(reporter_.droppedCount()) },
                                      { "control_bytes_in_total", "Bytes of control frames received.", MetricKind::Counter, static_cast<double>(totals.bytesIn) },
                                      { "control_bytes_out_total", "Bytes of control frames sent.", MetricKind::Counter, static_cast<double>(totals.bytesOut) },
                                      { "timeline_dropped_total", "Events dropped from the time line.", MetricKind::Counter, static_cast<double>(timeline_.droppedCount()) },
                                  });
    return http::metricsText(metrics);
}

value EntryProcess::status() const
{
    value body = value::object();
    auto configuration = controlPlane_->configuration();
    body["vm"] = value::string(config_.vm);
    body["dataCentre"] = value::string(config_.dataCentre);
    body["revision"] = value::number(configuration ? configuration->revision : 0);
    body["sheetRevision"] = value::number(configuration ? configuration->sheetRevision : 0);
    body["fresh"] = value::boolean(controlPlane_->isFresh());
    body["draining"] = value::boolean(isDraining_);
    body["open"] = value::number(static_cast<std::uint64_t>(callerApi_.openCount()));
    body["enginesReady"] = value::number(static_cast<std::uint64_t>(channels_.readyCount()));
    std::vector<value> replicas;
    for (const auto& url : config_.replicaUrls)
        replicas.push_back(value::string(url));
    body["replicas"] = value::array(replicas);
    return body;
}

value EntryProcess::upstreams() const
{
    auto configuration = controlPlane_->configuration();
    std::vector<value> list;
    for (const auto& member : controlPlane_->members()) {
        if (member.descriptor->kind != membership::MemberKind::Upstream)
            continue;
        std::string holds;
        for (const auto& holding : member.descriptor->holdings)
            holds += fmt::format("{}:{}[{}-{}] ", holding.model, holding.version, holding.firstLayer, holding.lastLayer);
        for (const auto& service : member.descriptor->services)
            holds += service + " ";
        bool isDrained = configuration && configuration->drainedUpstreams.count(member.descriptor->id);
        value entry = value::object();
        entry["id"] = value::string(member.descriptor->id);
        entry["address"] = value::string(member.descriptor->address);
        entry["dataCentre"] = value::string(member.descriptor->dataCentre);
        entry["accelerator"] = value::string(member.descriptor->accelerator);
        entry["state"] = value::string(member.state + (isDrained ? ",drained" : ""));
        entry["holds"] = value::string(holds);
        list.push_back(entry);
    }
    value body = value::object();
    body["upstreams"] = value::array(list);
    return body;
}

value EntryProcess::vms() const
{
    std::vector<value> list;
    auto add = [&](const std::string& id, const char* kind, const std::string& dataCentre, const std::string& state, const std::string& address) {
        value entry = value::object();
        entry["id"] = value::string(id);
        entry["kind"] = value::string(kind);
        entry["dataCentre"] = value::string(dataCentre);
        entry["state"] = value::string(state);
        entry["address"] = value::string(address);
        list.push_back(entry);
    };
    for (const auto& member : controlPlane_->members()) {
        if (member.descriptor->kind == membership::MemberKind::EntryVm)
            add(member.descriptor->id, "entry", member.descriptor->dataCentre, member.state, member.descriptor->address);
    }
    for (const auto& url : config_.replicaUrls)
        add(url, "replica", "", "configured", url);
    value body = value::object();
    body["vms"] = value::array(list);
    return body;
}

void EntryProcess::handleStateCall(const ServerRequest& request)
{
    std::string path = request.uri().path();
    std::string method = path.substr(path.rfind('/') + 1);
    if (std::find(operatorMethods.begin(), operatorMethods.end(), method) == operatorMethods.end()) {
        request.reply(http::problemResponse(makeError(ErrorKind::NotFound, "unknown operator method " + method), "", clock_.now()));
        return;
    }
    rpc::Parameters parameters;
    try {
        parameters = http::parametersFromJson(value::parse(request.releaseBody()));
    } catch (const std::exception& exception) {
        request.reply(http::problemResponse(makeError(ErrorKind::InvalidRequest, exception.what()), "", clock_.now()));
        return;
    }
    bool isPosted = workers_.post([this, request, method, parameters = std::move(parameters)] {
        auto reply = stateClient_.call(method, parameters, clock_.now() + stateTimeout);
        if (reply)
            request.reply(status_codes::OK, http::toJson(reply.value()));
        else
            request.reply(http::problemResponse(reply.error(), "", clock_.now()));
    });
    if (!isPosted)
        request.reply(http::problemResponse(makeError(ErrorKind::Overloaded, "the call queue is full"), "", clock_.now()));
}

void EntryProcess::runTicks()
{
    for (int count = 0; !isStopping_; ++count) {
        channels_.tick();
        completions_.tick();
        if (!(count % ticksPerControlTick))
            controlPlane_->tick();
        std::this_thread::sleep_for(tickInterval);
    }
}

void EntryProcess::runHousekeeping()
{
    while (!isStopping_) {
        serviceClient_.retryPendingWrites();
        std::this_thread::sleep_for(housekeepingInterval);
    }
}

std::string EntryProcess::describeLoss() const
{
    return fmt::format("{} open requests, {} unrecorded order outcomes and {} unrecorded reports would be lost", callerApi_.openCount(), serviceClient_.pendingWriteCount(), reporter_.pendingReportCount());
}

void EntryProcess::drain()
{
    isDraining_ = true;
    timeline_.record("drain-started", { { "vm", config_.vm } });
    logger.info("Draining.", { { "open", callerApi_.openCount() } });
    // The load balancer needs time to notice that /readyz fails. Requests that it
    // sends until then are served.
    std::this_thread::sleep_for(config_.drainAcceptPeriod);
    refusesNewRequests_ = true;
    controlPlane_->leave();
    // A caller that does not send its request body or read its response must not block
    // shutdown indefinitely. Every other request ends by its own deadline.
    auto deadline = clock_.now() + std::max(config_.callerApi.requestTimeout, config_.callerApi.orderTimeout) + drainMargin;
    while ((callerApi_.openCount() || serviceClient_.pendingWriteCount() || reporter_.pendingReportCount()) && clock_.now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    // Leaves time for gossip to spread that this VM is leaving.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    logger.info("Drained.", { { "left", callerApi_.openCount() } });
}

} // namespace arbutus::entry
