#pragma once

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

// JSON-RPC 2.0 client and server, independent of the transport. The implementation
// is compiled as C++14 because libjsonrpccpp's headers do not compile as C++17.
// This header therefore uses only C++14 and exposes none of the library's types.

namespace arbutus {
namespace rpc {

using Parameters = std::map<std::string, std::string>;

// A JSON-RPC error. Handlers and RpcCaller::call() throw it.
class RpcFailure : public std::runtime_error {
public:
    RpcFailure(int code, const std::string& message)
        : std::runtime_error(message)
        , code_(code)
    {
    }

    int code() const { return code_; }

private:
    int code_;
};

// Dispatches requests to handlers by method name. Parameters and results are JSON
// objects with string values. handle() is thread-safe after the last add().
class RpcDispatcher {
public:
    using Handler = std::function<Parameters(const Parameters&)>;

    RpcDispatcher();
    ~RpcDispatcher();

    // Registers `handler` for `method`. A handler throws RpcFailure to return an error object.
    void add(const std::string& method, Handler handler);

    // Handles a serialized request and returns the serialized reply. The reply to a
    // malformed request is an error object.
    std::string handle(const std::string& request);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

// Calls remote methods over a transport that the owner supplies.
class RpcCaller {
public:
    // Sends a serialized request and returns the serialized reply. Throws if no reply
    // arrives; call() propagates the exception.
    using Exchange = std::function<std::string(const std::string&)>;

    explicit RpcCaller(Exchange exchange);
    ~RpcCaller();

    // Throws RpcFailure if the reply is an error object or malformed.
    Parameters call(const std::string& method, const Parameters& parameters);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace rpc
} // namespace arbutus
