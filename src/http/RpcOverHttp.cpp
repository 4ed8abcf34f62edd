#include "include/http/RpcOverHttp.h"

#include "include/base/Digest.h"
#include "include/http/Problem.h"
#include "include/http/SingleUseClient.h"

namespace arbutus::http {

using base::ErrorKind;
using base::makeError;
using base::Result;

// Lower than the codes reserved by JSON-RPC and its library, so that a corrupt reply is
// not mistaken for an error reported by the peer.
static constexpr int rpcCodeBase = -33000;
static const char* const signatureHeader = "X-Arbutus-Signature";
static const char* const timeHeader = "X-Arbutus-Time";

int rpcCode(ErrorKind kind) { return rpcCodeBase - static_cast<int>(kind); }

ErrorKind errorKindFromRpcCode(int code)
{
    int index = rpcCodeBase - code;
    if (index < 0 || index > static_cast<int>(ErrorKind::Internal))
        return ErrorKind::Internal;
    return static_cast<ErrorKind>(index);
}

static std::string headerOf(const web::http::http_headers& headers, const char* name)
{
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

// The signature covers the time as well as the body.
static std::string signatureOf(const std::string& key, const std::string& time, const std::string& body)
{
    return base::toHex(base::hmacSha256(key, time + '\n' + body));
}

void serveRpc(const ServerRequest& request, rpc::RpcDispatcher& dispatcher, const std::string& key, base::Timeline& timeline)
{
    try {
        std::string body = request.releaseBody();
        std::string time = headerOf(request.headers(), timeHeader);
        if (!base::isEqualConstantTime(headerOf(request.headers(), signatureHeader), signatureOf(key, time, body))) {
            request.reply(problemResponse(makeError(ErrorKind::PeerRejected, "the signature is missing or wrong"), "", {}));
            return;
        }
        timeline.observe(base::hybridTimeFromString(time));
        web::http::http_response response(web::http::status_codes::OK);
        response.set_body(dispatcher.handle(body), "application/json");
        response.headers().add(timeHeader, base::toString(timeline.now()));
        request.reply(response);
    } catch (const std::exception& exception) {
        request.reply(problemResponse(makeError(ErrorKind::MalformedFrame, exception.what()), "", {}));
    }
}

RpcClient::RpcClient(const std::string& url, std::string key, base::Timeline& timeline)
    : url_(url)
    , key_(std::move(key))
    , timeline_(timeline)
{
}

namespace {

// Carries the error kind of a failed exchange through the JSON-RPC library.
struct ExchangeFailure : std::runtime_error {
    ExchangeFailure(ErrorKind failureKind, const std::string& reason)
        : std::runtime_error(reason)
        , kind(failureKind)
    {
    }

    ErrorKind kind;
};

} // namespace

Result<rpc::Parameters> RpcClient::call(const std::string& method, const rpc::Parameters& parameters, base::TimePoint deadline)
{
    rpc::RpcCaller caller([&](const std::string& body) {
        ExchangeRequest request { "POST", "/rpc", {}, body };
        std::string time = base::toString(timeline_.now());
        request.fields.add(timeHeader, time);
        request.fields.add(signatureHeader, signatureOf(key_, time, body));
        auto result = sendOnNewConnection(url_, request, deadline);
        if (const auto* refused = std::get_if<ConnectionRefused>(&result))
            throw ExchangeFailure(ErrorKind::NoUpstream, "the peer refused the connection: " + refused->reason);
        if (const auto* interrupted = std::get_if<ExchangeInterrupted>(&result))
            throw ExchangeFailure(ErrorKind::CommandUnconfirmed, interrupted->reason);
        const auto& response = std::get<ExchangeResponse>(result);
        if (response.status != web::http::status_codes::OK && response.status != web::http::status_codes::Forbidden)
            throw ExchangeFailure(ErrorKind::CommandUnconfirmed, "the peer responded with status " + std::to_string(response.status));
        if (response.status != web::http::status_codes::OK)
            throw ExchangeFailure(ErrorKind::PeerRejected, "the peer rejected the signature");
        timeline_.observe(base::hybridTimeFromString(response.time));
        return response.body;
    });
    try {
        return caller.call(method, parameters);
    } catch (const rpc::RpcFailure& failure) {
        return makeError(errorKindFromRpcCode(failure.code()), failure.what());
    } catch (const ExchangeFailure& failure) {
        return makeError(failure.kind, failure.what());
    }
}

} // namespace arbutus::http
