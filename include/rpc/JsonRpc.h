#pragma once

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

// JSON-RPC 2.0 behind a plain interface. The implementation is compiled as
// C++14, because libjsonrpccpp's headers do not compile as C++17; so this header
// uses nothing newer than C++14 and does not show the library's types.

namespace arbutus {
namespace rpc {

using Parameters = std::map<std::string, std::string>;

// An error object in a reply.
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

// Maps method names to handlers. Parameters and results are objects whose values
// are strings. Safe for calls from several threads once every method is added.
class RpcDispatcher {
public:
    using Handler = std::function<Parameters(const Parameters&)>;

    RpcDispatcher();
    ~RpcDispatcher();

    // A handler reports an error by throwing RpcFailure.
    void add(const std::string& method, Handler handler);

    // Takes a request as text and returns the reply as text; malformed requests
    // get an error object.
    std::string handle(const std::string& request);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

// Calls methods of a dispatcher over any transport of request and reply texts.
class RpcCaller {
public:
    // `exchange` throws if no reply arrived; the exception passes through `call`.
    using Exchange = std::function<std::string(const std::string&)>;

    explicit RpcCaller(Exchange exchange);
    ~RpcCaller();

    // Throws RpcFailure for an error object or a reply that cannot be read.
    Parameters call(const std::string& method, const Parameters& parameters);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace rpc
} // namespace arbutus
