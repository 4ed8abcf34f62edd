#include "include/rpc/JsonRpc.h"

#include "src/rpc/ParametersJson.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace arbutus {
namespace rpc {

class RpcDispatcher::Implementation : public jsonrpc::IProcedureInvokationHandler {
public:
    Implementation()
        : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        try {
            output = toJson(handlers_.at(procedure.GetProcedureName())(fromJson(input)));
        } catch (const RpcFailure& failure) {
            throw jsonrpc::JsonRpcException(failure.code(), failure.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { }

    void add(const std::string& method, Handler handler)
    {
        handlers_[method] = std::move(handler);
        protocol_->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }

    std::string handle(const std::string& request)
    {
        std::string reply;
        protocol_->HandleRequest(request, reply);
        return reply;
    }

private:
    std::map<std::string, Handler> handlers_;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
};

RpcDispatcher::RpcDispatcher()
    : implementation_(new Implementation)
{
}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::add(const std::string& method, Handler handler) { implementation_->add(method, std::move(handler)); }

std::string RpcDispatcher::handle(const std::string& request) { return implementation_->handle(request); }

} // namespace rpc
} // namespace arbutus
