#include "include/http/JsonText.h"

namespace arbutus::http {

using web::json::value;

value toJson(const rpc::Parameters& parameters)
{
    value object = value::object();
    for (const auto& [name, text] : parameters)
        object[name] = value::string(text);
    return object;
}

rpc::Parameters parametersFromJson(const value& object)
{
    rpc::Parameters parameters;
    for (const auto& [name, member] : object.as_object())
        parameters[name] = member.is_string() ? member.as_string() : member.serialize();
    return parameters;
}

value toJson(const base::Event& event)
{
    value object = value::object();
    object["time"] = value::string(base::toString(event.time));
    object["process"] = value::string(event.process);
    object["kind"] = value::string(event.kind);
    value fields = value::object();
    for (const auto& [name, text] : event.fields)
        fields[name] = value::string(text);
    object["fields"] = fields;
    return object;
}

base::Event eventFromJson(const value& object)
{
    base::Event event;
    event.time = base::hybridTimeFromString(object.at("time").as_string());
    event.process = object.at("process").as_string();
    event.kind = object.at("kind").as_string();
    for (const auto& [name, text] : object.at("fields").as_object())
        event.fields[name] = text.as_string();
    return event;
}

} // namespace arbutus::http
