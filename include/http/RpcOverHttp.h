#pragma once

#include "include/base/Error.h"
#include "include/base/Timeline.h"
#include "include/http/ServerRequest.h"
#include "include/rpc/JsonRpc.h"

#include <cpprest/http_client.h>
#include <cpprest/http_msg.h>

#include <string>

namespace arbutus::http {

// Answers one POST /rpc request through `dispatcher`. A request without a valid
// signature by the deployment's key is rejected with PeerRejected before it is parsed.
// Request and response carry the sender's hybrid time in a header. The references must
// outlive the request.
void serveRpc(const ServerRequest&, rpc::RpcDispatcher& dispatcher, const std::string& key, base::Timeline& timeline);

// Sends RPCs to one address, signed with the deployment's key.
class RpcClient {
public:
    // `timeline` must outlive the client.
    RpcClient(const std::string& url, std::string key, base::Timeline& timeline);

    // Calls `method` and blocks until the reply arrives or `deadline` passes. An error
    // reported by the peer keeps its kind. Returns NoUpstream if the peer refused the
    // connection and never received the call, and CommandUnconfirmed if the call may or
    // may not have been executed.
    base::Result<rpc::Parameters> call(const std::string& method, const rpc::Parameters&, base::TimePoint deadline);

private:
    const std::string url_;
    const std::string key_;
    base::Timeline& timeline_;
};

// Returns the JSON-RPC error code of `kind`: -33000 minus its number.
int rpcCode(base::ErrorKind kind);
// Returns the error kind of a JSON-RPC error code, or Internal if the code is unknown.
base::ErrorKind errorKindFromRpcCode(int code);

} // namespace arbutus::http
