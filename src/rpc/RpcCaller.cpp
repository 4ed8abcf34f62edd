#include "include/rpc/JsonRpc.h"

#include "src/rpc/ParametersJson.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>

namespace arbutus {
namespace rpc {

class RpcCaller::Implementation : public jsonrpc::IClientConnector {
public:
    explicit Implementation(Exchange exchange)
        : exchange_(std::move(exchange))
        , client_(*this, jsonrpc::JSONRPC_CLIENT_V2)
    {
    }

    // The exception specification permits only JsonRpcException, so call() rethrows the original exception.
    void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        try {
            result = exchange_(message);
        } catch (...) {
            transportException_ = std::current_exception();
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no reply");
        }
    }

    Parameters call(const std::string& method, const Parameters& parameters)
    {
        transportException_ = nullptr;
        try {
            return fromJson(client_.CallMethod(method, toJson(parameters)));
        } catch (const jsonrpc::JsonRpcException& exception) {
            if (transportException_)
                std::rethrow_exception(transportException_);
            throw RpcFailure(exception.GetCode(), exception.GetMessage());
        }
    }

private:
    Exchange exchange_;
    jsonrpc::Client client_;
    std::exception_ptr transportException_;
};

RpcCaller::RpcCaller(Exchange exchange)
    : implementation_(new Implementation(std::move(exchange)))
{
}

RpcCaller::~RpcCaller() = default;

Parameters RpcCaller::call(const std::string& method, const Parameters& parameters) { return implementation_->call(method, parameters); }

} // namespace rpc
} // namespace arbutus
