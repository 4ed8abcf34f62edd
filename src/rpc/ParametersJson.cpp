#include "src/rpc/ParametersJson.h"

namespace arbutus {
namespace rpc {

Json::Value toJson(const Parameters& parameters)
{
    Json::Value value(Json::objectValue);
    for (const auto& parameter : parameters)
        value[parameter.first] = parameter.second;
    return value;
}

Parameters fromJson(const Json::Value& value)
{
    Parameters parameters;
    if (!value.isObject())
        return parameters;
    for (const auto& name : value.getMemberNames()) {
        if (value[name].isString())
            parameters[name] = value[name].asString();
    }
    return parameters;
}

} // namespace rpc
} // namespace arbutus
