#pragma once

#include "include/base/Error.h"
#include "include/base/Timeline.h"
#include "include/rpc/JsonRpc.h"

#include <cpprest/http_client.h>
#include <cpprest/http_msg.h>

#include <string>

namespace arbutus::http {

// Answers one POST /rpc through `dispatcher`. Requests without a valid
// signature by the deployment's key get PeerRejected and are not looked at. The
// hybrid times of both sides travel in a header. The references must outlive
// the request.
void serveRpc(web::http::http_request request, rpc::RpcDispatcher& dispatcher, const std::string& key, base::Timeline& timeline);

// Control calls to one address, signed with the deployment's key.
class RpcClient {
public:
    // Error codes of replies are -33000 minus the number of the error kind.
    // `timeline` must outlive the client.
    RpcClient(const std::string& url, std::string key, base::Timeline& timeline);

    // Calls and waits until `deadline` at the latest. An error that the peer
    // reports keeps its kind. NoUpstream: the peer could not be reached and has
    // not seen the call. CommandUnconfirmed: the call may or may not have been
    // carried out.
    base::Result<rpc::Parameters> call(const std::string& method, const rpc::Parameters&, base::TimePoint deadline);

private:
    const std::string url_;
    const std::string key_;
    base::Timeline& timeline_;
};

int rpcCode(base::ErrorKind kind);
base::ErrorKind errorKindFromRpcCode(int code);

} // namespace arbutus::http
