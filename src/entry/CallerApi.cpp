#include "src/entry/CallerApi.h"

#include "include/base/Settings.h"
#include "include/http/Problem.h"

#include <fmt/format.h>

#include <array>
#include <stdexcept>
#include <string_view>

namespace arbutus::entry {

using base::Error;
using base::ErrorKind;
using base::makeError;
using base::Result;
using http::ServerRequest;
using web::json::value;

static constexpr std::int64_t maxTokensLimit = 8192;
static constexpr std::int64_t defaultMaxTokens = 64;
static constexpr std::string_view servicesPrefix = "/v1/services/";

struct CallerApi::Route {
    std::string_view method;
    std::string_view path;
    // True if `path` is a prefix rather than a complete path.
    bool isPrefix;
    Handler handler;
};

const CallerApi::Route* CallerApi::findRoute(const std::string& method, const std::string& path)
{
    static constexpr std::array routes {
        Route { "GET", "/v1/models", false, &CallerApi::listModels },
        Route { "POST", "/v1/completions", false, &CallerApi::completeText },
        Route { "POST", "/v1/chat/completions", false, &CallerApi::completeChat },
        Route { "POST", servicesPrefix, true, &CallerApi::callService },
        Route { "GET", servicesPrefix, true, &CallerApi::callService },
    };
    for (const auto& route : routes) {
        bool matches = route.isPrefix ? path.compare(0, route.path.size(), route.path) == 0 : path == route.path;
        if (matches && method == route.method)
            return &route;
    }
    return nullptr;
}

CallerApi::CallerApi(const base::Clock& clock, base::Timeline& timeline, const Options& options, serving::CompletionService& completions, ServiceClient& serviceClient, base::WorkerPool& workers, AdmissionHooks hooks)
    : clock_(clock)
    , timeline_(timeline)
    , options_(options)
    , completions_(completions)
    , serviceClient_(serviceClient)
    , workers_(workers)
    , hooks_(std::move(hooks))
{
}

// A request moves through these counters in this order. Reading them in the same
// order never misses it.
std::size_t CallerApi::openCount() const
{
    std::size_t count = openHandlerCalls_;
    count += openServiceCalls_;
    count += completions_.openRequestCount();
    return count + replies_.count();
}

std::string CallerApi::nextRequestId()
{
    return fmt::format("{}-{:x}-{}", options_.vm, options_.incarnation, nextRequest_++);
}

Result<std::string> CallerApi::teamOf(const ServerRequest& request) const
{
    static constexpr std::string_view scheme = "Bearer ";
    auto it = request.headers().find("Authorization");
    if (it == request.headers().end() || it->second.compare(0, scheme.size(), scheme) != 0)
        return makeError(ErrorKind::Unauthorized, "the Authorization header has no bearer token");
    auto team = options_.teams.find(it->second.substr(scheme.size()));
    if (team == options_.teams.end())
        return makeError(ErrorKind::Unauthorized, "the bearer token is unknown");
    return team->second;
}

bool CallerApi::handle(const ServerRequest& request)
{
    const Route* route = findRoute(request.method(), request.uri().path());
    if (!route)
        return false;
    auto team = teamOf(request);
    if (team)
        (this->*route->handler)(request, team.value());
    else
        refuse(request, nextRequestId(), "", team.error());
    return true;
}

void CallerApi::refuse(const ServerRequest& request, const std::string& requestId, const std::string& team, const Error& error)
{
    timeline_.record("request-refused", { { "request", requestId }, { "team", team }, { "kind", std::string(base::errorRule(error.kind).name) } });
    hooks_.onRequestRefused(team, error.kind);
    replies_.track(request.reply(http::problemResponse(error, requestId, clock_.now())));
}

void CallerApi::listModels(const ServerRequest& request, const std::string& team)
{
    auto configuration = hooks_.admit();
    if (!configuration) {
        refuse(request, nextRequestId(), team, configuration.error());
        return;
    }
    std::vector<value> models;
    for (const auto& row : configuration.value()->sheet->modelRows()) {
        if (row.team != team)
            continue;
        value model = value::object();
        model["id"] = value::string(row.model);
        model["object"] = value::string("model");
        model["version"] = value::string(row.version);
        models.push_back(model);
    }
    value list = value::object();
    list["object"] = value::string("list");
    list["data"] = value::array(models);
    request.reply(web::http::status_codes::OK, list);
}

static std::string promptOfText(const value& body) { return body.at("prompt").as_string(); }

static std::string promptOfChat(const value& body)
{
    std::string prompt;
    for (const auto& message : body.at("messages").as_array())
        prompt += message.at("role").as_string() + ": " + message.at("content").as_string() + " ";
    return prompt;
}

void CallerApi::completeText(const ServerRequest& request, const std::string& team) { complete(request, team, completionFormat(), &promptOfText); }

void CallerApi::completeChat(const ServerRequest& request, const std::string& team) { complete(request, team, chatFormat(), &promptOfChat); }

// Throws std::invalid_argument if the value is out of range.
static std::uint32_t maxTokensOf(const value& body)
{
    if (!body.has_field("max_tokens"))
        return defaultMaxTokens;
    std::int64_t count = body.at("max_tokens").as_number().to_int64();
    if (count < 1 || count > maxTokensLimit)
        throw std::invalid_argument(fmt::format("max_tokens must be from 1 to {}", maxTokensLimit));
    return static_cast<std::uint32_t>(count);
}

void CallerApi::complete(const ServerRequest& request, const std::string& team, const AnswerFormat& format, std::string (*promptOf)(const value&))
{
    std::string requestId = nextRequestId();
    ++openHandlerCalls_;
    serving::CompletionRequest completion;
    bool isStreamed = false;
    try {
        auto body = value::parse(request.releaseBody());
        completion.model = body.at("model").as_string();
        completion.prompt = promptOf(body);
        completion.maxTokens = maxTokensOf(body);
        isStreamed = body.has_field("stream") && body.at("stream").as_bool();
        if (completion.prompt.find_first_not_of(" \n\t") == std::string::npos)
            throw std::invalid_argument("the prompt is empty");
    } catch (const std::exception& exception) {
        refuse(request, requestId, team, makeError(ErrorKind::InvalidRequest, exception.what()));
        --openHandlerCalls_;
        return;
    }
    completion.id = requestId;
    completion.team = team;
    completion.deadline = clock_.now() + options_.requestTimeout;
    if (auto configuration = hooks_.admit(); !configuration)
        refuse(request, requestId, team, configuration.error());
    else {
        completions_.submit(completion, configuration.value(), [&](std::function<void()> onCallerDisconnected) {
            return makeHttpAnswer(request, replies_, format, isStreamed, requestId, completion.model, std::move(onCallerDisconnected));
        });
    }
    --openHandlerCalls_;
}

void CallerApi::callService(const ServerRequest& request, const std::string& team)
{
    std::string requestId = nextRequestId();
    // The deadline starts here so that it includes the wait for a worker thread.
    auto deadline = clock_.now() + options_.orderTimeout;
    ++openHandlerCalls_;
    ++openServiceCalls_;
    bool isPosted = workers_.post([this, request, team, requestId, deadline, body = request.releaseBody()] {
        try {
            runServiceCall(request, team, requestId, body, deadline);
        } catch (const std::exception& exception) {
            refuse(request, requestId, team, makeError(ErrorKind::Internal, exception.what()));
        }
        --openServiceCalls_;
    });
    if (!isPosted) {
        --openServiceCalls_;
        refuse(request, requestId, team, makeError(ErrorKind::Overloaded, "the call queue is full"));
    }
    --openHandlerCalls_;
}

static std::string headerOf(const ServerRequest& request, const char* name)
{
    auto it = request.headers().find(name);
    return it == request.headers().end() ? std::string() : it->second;
}

void CallerApi::runServiceCall(const ServerRequest& request, const std::string& team, const std::string& requestId, std::string body, base::TimePoint deadline)
{
    std::string rest = request.uri().path().substr(servicesPrefix.size());
    auto slash = rest.find('/');
    orders::OrderRequest order;
    order.team = team;
    order.service = rest.substr(0, slash);
    order.key = headerOf(request, "Idempotency-Key");
    order.method = request.method();
    order.path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (std::string query = request.uri().query(); !query.empty())
        order.path += "?" + query;
    order.contentType = headerOf(request, "Content-Type");
    order.body = std::move(body);
    order.deadline = deadline;

    auto configuration = hooks_.admit();
    if (!configuration) {
        refuse(request, requestId, team, configuration.error());
        return;
    }
    const auto* row = configuration.value()->sheet->findService(team, order.service);
    if (!row) {
        refuse(request, requestId, team, makeError(ErrorKind::UnknownService, fmt::format("the sheet does not give team {} the service {}", team, order.service)));
        return;
    }
    auto result = serviceClient_.call(*row, requestId, order);
    if (!result) {
        if (!row->isRepeatable)
            hooks_.onOrderRefused(team, order.service, order.key, result.error());
        refuse(request, requestId, team, result.error());
        return;
    }
    web::http::http_response response(static_cast<web::http::status_code>(result.value().status));
    response.headers().add("X-Request-Id", requestId);
    response.set_body(result.value().body, result.value().contentType.empty() ? "application/octet-stream" : result.value().contentType);
    replies_.track(request.reply(response));
}

} // namespace arbutus::entry
