#include "include/rpc/JsonRpc.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus::rpc;

// Guards against lost parameters and against errors returned as results.
BOOST_AUTO_TEST_CASE(CallReturnsResultOrThrowsRpcFailure)
{
    RpcDispatcher dispatcher;
    dispatcher.add("claim", [](const Parameters& parameters) {
        if (parameters.at("key") == "bad")
            throw RpcFailure(-31001, "no quorum");
        return Parameters { { "state", "granted" }, { "key", parameters.at("key") } };
    });
    RpcCaller caller([&](const std::string& request) { return dispatcher.handle(request); });
    BOOST_TEST(caller.call("claim", { { "key", "k\"1\n" } }).at("key") == "k\"1\n");
    BOOST_CHECK_EXCEPTION(caller.call("claim", { { "key", "bad" } }), RpcFailure, [](const RpcFailure& failure) { return failure.code() == -31001 && failure.what() == std::string("no quorum"); });
    BOOST_CHECK_THROW(caller.call("missing", {}), RpcFailure);
}

// Guards against a lost connection reported as an error reply from the peer.
BOOST_AUTO_TEST_CASE(PropagatesTransportException)
{
    struct ConnectionLost : std::exception {
    };
    RpcCaller caller([](const std::string&) -> std::string { throw ConnectionLost(); });
    BOOST_CHECK_THROW(caller.call("claim", {}), ConnectionLost);
}

// Guards against a crash on requests that are not valid JSON-RPC.
BOOST_AUTO_TEST_CASE(MalformedRequestsGetAnErrorObject)
{
    RpcDispatcher dispatcher;
    for (const std::string request : { "", "{", "[]", "{\"jsonrpc\":\"2.0\"}", "\xff\xfe" })
        BOOST_TEST(dispatcher.handle(request).find("error") != std::string::npos);
}
