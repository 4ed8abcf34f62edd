#include "include/http/RpcOverHttp.h"

#include "include/base/Digest.h"
#include "include/http/PlainClient.h"
#include "include/http/Problem.h"

namespace arbutus::http {

using base::ErrorKind;
using base::makeError;
using base::Result;

static constexpr int firstRpcCode = -32000;
static const char* const signatureHeader = "X-Arbutus-Signature";

int rpcCode(ErrorKind kind) { return firstRpcCode - static_cast<int>(kind); }

ErrorKind errorKindFromRpcCode(int code)
{
    int index = firstRpcCode - code;
    if (index < 0 || index > static_cast<int>(ErrorKind::Internal))
        return ErrorKind::Internal;
    return static_cast<ErrorKind>(index);
}

void serveRpc(web::http::http_request request, rpc::RpcDispatcher& dispatcher, const std::string& key)
{
    request.extract_string(true).then([request, &dispatcher, &key](pplx::task<std::string> task) mutable {
        try {
            std::string body = task.get();
            std::string signature;
            if (auto it = request.headers().find(signatureHeader); it != request.headers().end())
                signature = it->second;
            if (!base::isEqualConstantTime(signature, base::toHex(base::hmacSha256(key, body)))) {
                request.reply(problemResponse(makeError(ErrorKind::PeerRejected, "the signature is missing or wrong"), "", {}));
                return;
            }
            request.reply(web::http::status_codes::OK, dispatcher.handle(body), "application/json");
        } catch (const std::exception& exception) {
            request.reply(problemResponse(makeError(ErrorKind::MalformedFrame, exception.what()), "", {}));
        }
    });
}

RpcClient::RpcClient(const std::string& url, std::string key)
    : url_(url)
    , key_(std::move(key))
{
}

namespace {

    // Carries the kind of a failed exchange through the JSON-RPC library.
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
        web::http::http_request request(web::http::methods::POST);
        request.set_request_uri("/rpc");
        request.headers().add(signatureHeader, base::toHex(base::hmacSha256(key_, body)));
        request.set_body(body, "application/json");
        auto result = exchangeOnce(url_, request, deadline);
        if (std::holds_alternative<ConnectionRefused>(result))
            throw ExchangeFailure(ErrorKind::NoUpstream, "the peer refused the connection");
        if (const auto* broken = std::get_if<ExchangeBroken>(&result))
            throw ExchangeFailure(ErrorKind::ClaimUnconfirmed, broken->reason);
        const auto& response = std::get<PlainResponse>(result);
        if (response.status != web::http::status_codes::OK)
            throw ExchangeFailure(ErrorKind::PeerRejected, "the peer rejected the signature");
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
