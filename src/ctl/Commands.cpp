#include "src/ctl/Commands.h"

#include "include/http/JsonText.h"
#include "include/sheet/Sheet.h"
#include "src/ctl/Output.h"

#include <cpprest/base_uri.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace arbutus::ctl {

using base::ErrorKind;
using base::makeError;
using base::Result;
using web::json::value;

static Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(ErrorKind::InvalidSetting, "cannot read " + path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

static value toValue(const rpc::Parameters& parameters) { return http::toJson(parameters); }

static ExitCode printProblems(const std::vector<sheet::SheetProblem>& problems, const base::Error& error)
{
    for (const auto& problem : problems)
        fmt::print("{}\n", sheet::toString(problem));
    if (problems.empty())
        return reportError(error);
    return ExitCode::Refused;
}

static ExitCode checkSheet(const CommandContext& context)
{
    auto text = readFile(context.arguments[0]);
    if (!text)
        return reportError(text.error());
    std::vector<sheet::SheetProblem> problems;
    auto sheet = sheet::Sheet::Make(text.value(), &problems);
    if (!sheet)
        return printProblems(problems, sheet.error());
    fmt::print("{} rows, digest {}\n", sheet.value().rowCount(), sheet.value().digest());
    return ExitCode::Success;
}

static ExitCode showSheet(const CommandContext& context)
{
    auto reply = context.client.post("state/sheet", value::object());
    if (!reply)
        return reportError(reply.error());
    if (context.printsJson)
        printJson(reply.value());
    else
        fmt::print("{}", textOf(reply.value(), "csv"));
    return ExitCode::Success;
}

static ExitCode diffSheet(const CommandContext& context)
{
    auto text = readFile(context.arguments[0]);
    if (!text)
        return reportError(text.error());
    std::vector<sheet::SheetProblem> problems;
    auto candidate = sheet::Sheet::Make(text.value(), &problems);
    if (!candidate)
        return printProblems(problems, candidate.error());
    auto reply = context.client.post("state/sheet", value::object());
    if (!reply)
        return reportError(reply.error());
    std::string csv = textOf(reply.value(), "csv");
    auto current = csv.empty() ? Result<sheet::Sheet>(sheet::Sheet()) : sheet::Sheet::Make(csv);
    if (!current)
        return reportError(current.error());
    for (const auto& delta : current.value().diff(candidate.value()))
        fmt::print("{}\n", sheet::toString(delta));
    return ExitCode::Success;
}

static Result<std::string> currentSheetRevision(const CommandContext& context)
{
    if (!context.baseRevision.empty())
        return context.baseRevision;
    BOOST_OUTCOME_TRY(reply, context.client.post("state/sheet", value::object()));
    return textOf(reply, "revision");
}

static ExitCode applySheet(const CommandContext& context)
{
    auto text = readFile(context.arguments[0]);
    if (!text)
        return reportError(text.error());
    auto baseRevision = currentSheetRevision(context);
    if (!baseRevision)
        return reportError(baseRevision.error());
    auto reply = context.client.post("state/ApplySheet", toValue({ { "operator", context.operatorName }, { "number", std::to_string(context.operatorNumber) }, { "baseRevision", baseRevision.value() }, { "csv", text.value() } }));
    if (!reply)
        return reportError(reply.error());
    if (context.printsJson)
        printJson(reply.value());
    if (reply.value().has_field("kind")) {
        if (!context.printsJson) {
            fmt::print("Refused: {}\n{}", textOf(reply.value(), "detail"), textOf(reply.value(), "problems"));
            if (reply.value().has_field("operator"))
                fmt::print("In force: revision {} by {} (number {}); {} rows differ\n{}", textOf(reply.value(), "revision"), textOf(reply.value(), "operator"), textOf(reply.value(), "number"), textOf(reply.value(), "differenceCount"), textOf(reply.value(), "differences"));
        }
        return ExitCode::Refused;
    }
    if (!context.printsJson)
        fmt::print("{} as revision {}, digest {}\n", textOf(reply.value(), "isResend") == "true" ? "Accepted before" : "Accepted", textOf(reply.value(), "revision"), textOf(reply.value(), "digest"));
    return ExitCode::Success;
}

// Returns the URLs of all entry VMs known to the queried VM, including its own.
static Result<std::vector<std::string>> entryUrls(const AdminClient& client)
{
    BOOST_OUTCOME_TRY(vms, client.get("vms"));
    std::vector<std::string> urls;
    for (const auto& vm : vms.at("vms").as_array()) {
        if (textOf(vm, "kind") == "entry" && textOf(vm, "state") != "out")
            urls.push_back(textOf(vm, "address"));
    }
    return urls;
}

static ExitCode sheetStatus(const CommandContext& context)
{
    auto urls = entryUrls(context.client);
    if (!urls)
        return reportError(urls.error());
    auto accepted = context.client.post("state/sheet", value::object());
    std::string acceptedRevision = accepted ? textOf(accepted.value(), "revision") : "unknown";
    std::vector<std::vector<std::string>> rows { { "VM", "SHEET", "REVISION", "FRESH", "LAGS" } };
    std::vector<value> list;
    bool hasLaggingVm = false;
    for (const auto& url : urls.value()) {
        auto status = AdminClient(url, context.token).get("status");
        if (!status) {
            rows.push_back({ url, "?", "?", "unreachable", "?" });
            hasLaggingVm = true;
            continue;
        }
        std::string sheetRevision = textOf(status.value(), "sheetRevision");
        bool isLagging = sheetRevision != acceptedRevision;
        hasLaggingVm = hasLaggingVm || isLagging;
        rows.push_back({ textOf(status.value(), "vm"), sheetRevision, textOf(status.value(), "revision"), textOf(status.value(), "fresh"), isLagging ? "yes" : "no" });
        list.push_back(status.value());
    }
    if (context.printsJson) {
        value result = value::object();
        result["accepted"] = value::string(acceptedRevision);
        result["vms"] = value::array(list);
        printJson(result);
    } else {
        fmt::print("Accepted sheet revision: {}\n", acceptedRevision);
        printTable(rows);
    }
    return hasLaggingVm ? ExitCode::Refused : ExitCode::Success;
}

static ExitCode listUpstreams(const CommandContext& context)
{
    auto reply = context.client.get("upstreams");
    if (!reply)
        return reportError(reply.error());
    if (context.printsJson) {
        printJson(reply.value());
        return ExitCode::Success;
    }
    std::vector<std::vector<std::string>> rows { { "UPSTREAM", "DATA CENTRE", "ACCELERATOR", "STATE", "ADDRESS", "HOLDS" } };
    for (const auto& upstream : reply.value().at("upstreams").as_array())
        rows.push_back({ textOf(upstream, "id"), textOf(upstream, "dataCentre"), textOf(upstream, "accelerator"), textOf(upstream, "state"), textOf(upstream, "address"), textOf(upstream, "holds") });
    printTable(rows);
    return ExitCode::Success;
}

static ExitCode listVms(const CommandContext& context)
{
    auto reply = context.client.get("vms");
    if (!reply)
        return reportError(reply.error());
    if (context.printsJson) {
        printJson(reply.value());
        return ExitCode::Success;
    }
    std::vector<std::vector<std::string>> rows { { "VM", "KIND", "DATA CENTRE", "STATE", "ADDRESS" } };
    for (const auto& vm : reply.value().at("vms").as_array())
        rows.push_back({ textOf(vm, "id"), textOf(vm, "kind"), textOf(vm, "dataCentre"), textOf(vm, "state"), textOf(vm, "address") });
    printTable(rows);
    return ExitCode::Success;
}

// Prints the placement status of each entry VM. Only the controller reports commands
// to engines.
static ExitCode showPlacement(const CommandContext& context)
{
    auto urls = entryUrls(context.client);
    if (!urls)
        return reportError(urls.error());
    std::vector<std::vector<std::string>> vmRows { { "VM", "CONTROLLER", "NUMBER", "SHEET", "CONVERGED" } };
    std::vector<std::vector<std::string>> commandRows { { "UPSTREAM", "ACTION", "MODEL", "VERSION", "STATE" } };
    std::vector<value> list;
    for (const auto& url : urls.value()) {
        auto reply = AdminClient(url, context.token).get("placement");
        if (!reply) {
            vmRows.push_back({ url, "?", "?", "?", "unreachable" });
            continue;
        }
        const auto& status = reply.value();
        vmRows.push_back({ textOf(status, "vm"), textOf(status, "controller"), textOf(status, "number"), textOf(status, "sheetRevision"), textOf(status, "converged") });
        for (const char* listName : { "inFlight", "failed" }) {
            for (const auto& command : status.at(listName).as_array())
                commandRows.push_back({ textOf(command, "upstream"), textOf(command, "action"), textOf(command, "model"), textOf(command, "version"), command.has_field("detail") ? fmt::format("failed {} times: {}", textOf(command, "failures"), textOf(command, "detail")) : "in flight" });
        }
        list.push_back(status);
    }
    if (context.printsJson) {
        printJson(value::array(list));
        return ExitCode::Success;
    }
    printTable(vmRows);
    if (commandRows.size() > 1)
        printTable(commandRows);
    return ExitCode::Success;
}

// Calls a method of the replicated state and prints the reply. Returns Refused if the
// reply is a refusal.
static ExitCode callStateMethod(const CommandContext& context, const std::string& method, const rpc::Parameters& parameters)
{
    auto reply = context.client.post("state/" + method, toValue(parameters));
    if (!reply)
        return reportError(reply.error());
    if (context.printsJson)
        printJson(reply.value());
    else {
        std::vector<std::vector<std::string>> rows;
        for (const auto& [name, text] : reply.value().as_object())
            rows.push_back({ name, text.is_string() ? text.as_string() : text.serialize() });
        printTable(rows);
    }
    return reply.value().has_field("kind") ? ExitCode::Refused : ExitCode::Success;
}

static ExitCode drain(const CommandContext& context)
{
    if (context.arguments[1] != "on" && context.arguments[1] != "off") {
        fmt::print(stderr, "arbutusctl: the second argument of drain must be on or off\n");
        return ExitCode::Usage;
    }
    return callStateMethod(context, "SetDrain", { { "operator", context.operatorName }, { "upstream", context.arguments[0] }, { "draining", context.arguments[1] == "on" ? "true" : "false" } });
}

static ExitCode listOrders(const CommandContext& context)
{
    std::string status = context.arguments.empty() ? "unknown" : context.arguments[0];
    auto reply = context.client.post("state/orders", toValue({ { "status", status } }));
    if (!reply)
        return reportError(reply.error());
    if (context.printsJson)
        printJson(reply.value());
    else
        fmt::print("{}", textOf(reply.value(), "orders"));
    return ExitCode::Success;
}

static ExitCode showOrder(const CommandContext& context)
{
    const auto& arguments = context.arguments;
    return callStateMethod(context, "order", { { "team", arguments[0] }, { "service", arguments[1] }, { "key", arguments[2] } });
}

static ExitCode resolveOrder(const CommandContext& context)
{
    const auto& arguments = context.arguments;
    bool didRun = arguments[3] == "ran";
    if (!didRun && arguments[3] != "not-run") {
        fmt::print(stderr, "arbutusctl: the outcome of the order must be ran or not-run\n");
        return ExitCode::Usage;
    }
    return callStateMethod(context, "ResolveOrder", { { "operator", context.operatorName }, { "team", arguments[0] }, { "service", arguments[1] }, { "key", arguments[2] }, { "didRun", didRun ? "true" : "false" }, { "httpStatus", didRun ? "200" : "0" }, { "contentType", "" }, { "body", "" } });
}

static ExitCode exportAudit(const CommandContext& context)
{
    rpc::Parameters parameters { { "from", "0" }, { "to", "9223372036854775807" } };
    if (!context.arguments.empty())
        parameters["from"] = context.arguments[0];
    if (context.arguments.size() > 1)
        parameters["to"] = context.arguments[1];
    auto reply = context.client.post("state/audit", toValue(parameters));
    if (!reply)
        return reportError(reply.error());
    if (context.printsJson)
        printJson(reply.value());
    else
        fmt::print("{}", textOf(reply.value(), "records"));
    return ExitCode::Success;
}

static ExitCode showReplicas(const CommandContext& context) { return callStateMethod(context, "status", {}); }

static ExitCode changeReplicas(const CommandContext& context)
{
    return callStateMethod(context, "changeReplicas", { { "operator", context.operatorName }, { "change", context.arguments[0] }, { "replica", context.arguments[1] }, { "disk", context.arguments[2] } });
}

static std::string formatEvent(const base::Event& event)
{
    std::string text = event.kind;
    for (const auto& [name, field] : event.fields)
        text += fmt::format(" {}={}", name, field);
    return text;
}

static Result<std::vector<base::Event>> collectEvents(const CommandContext& context, const std::string& query, std::uint64_t& dropped)
{
    BOOST_OUTCOME_TRY(urls, entryUrls(context.client));
    BOOST_OUTCOME_TRY(entryStatus, context.client.get("status"));
    if (entryStatus.has_field("replicas")) {
        for (const auto& replica : entryStatus.at("replicas").as_array())
            urls.push_back(replica.as_string());
    }
    std::vector<base::Event> events;
    for (const auto& url : urls) {
        auto reply = AdminClient(url, context.token).get("timeline" + query);
        if (!reply) {
            fmt::print(stderr, "arbutusctl: skipping {}: {}\n", url, reply.error().detail);
            continue;
        }
        for (const auto& event : reply.value().at("events").as_array())
            events.push_back(http::eventFromJson(event));
        dropped += reply.value().at("dropped").as_number().to_uint64();
    }
    return events;
}

static ExitCode showTimeline(const CommandContext& context)
{
    std::string query;
    if (context.arguments.size() == 2)
        query = fmt::format("?field={}&value={}", web::uri::encode_data_string(context.arguments[0]), web::uri::encode_data_string(context.arguments[1]));
    else if (context.arguments.size() == 1) {
        fmt::print(stderr, "arbutusctl: timeline requires a field and its value, for example: timeline request ID\n");
        return ExitCode::Usage;
    }
    std::uint64_t dropped = 0;
    auto events = collectEvents(context, query, dropped);
    if (!events)
        return reportError(events.error());
    std::stable_sort(events.value().begin(), events.value().end(), [](const auto& left, const auto& right) { return left.time < right.time; });
    if (context.printsJson) {
        std::vector<value> list;
        for (const auto& event : events.value())
            list.push_back(http::toJson(event));
        printJson(value::array(list));
        return ExitCode::Success;
    }
    std::vector<std::vector<std::string>> rows;
    for (const auto& event : events.value())
        rows.push_back({ base::toString(event.time), event.process, formatEvent(event) });
    printTable(rows);
    if (dropped)
        fmt::print("{} older events were dropped.\n", dropped);
    return ExitCode::Success;
}

const std::vector<CommandEntry>& commands()
{
    static const std::vector<CommandEntry> entries {
        { "sheet check", "FILE", "validate a sheet without sending it", 1, 1, true, &checkSheet },
        { "sheet diff", "FILE", "show the differences between a sheet and the one in force", 1, 1, false, &diffSheet },
        { "sheet apply", "FILE", "apply a sheet", 1, 1, false, &applySheet },
        { "sheet status", "", "show the sheet revision of each entry VM", 0, 0, false, &sheetStatus },
        { "sheet show", "", "print the sheet in force", 0, 0, false, &showSheet },
        { "upstreams", "", "list upstreams", 0, 0, false, &listUpstreams },
        { "vms", "", "list entry VMs and replicas", 0, 0, false, &listVms },
        { "placement", "", "show the placement controller and its commands to engines", 0, 0, false, &showPlacement },
        { "drain", "UPSTREAM on|off", "stop or resume sending new requests to an upstream", 2, 2, false, &drain },
        { "orders show", "TEAM SERVICE KEY", "show one order", 3, 3, false, &showOrder },
        { "orders resolve", "TEAM SERVICE KEY ran|not-run", "record the outcome of an order with unknown outcome", 4, 4, false, &resolveOrder },
        { "orders", "[STATUS]", "list orders by status: unknown (default), running, answered, closed", 0, 1, false, &listOrders },
        { "timeline", "[FIELD VALUE]", "show the merged events of all processes, for example by request, order, revision or vm", 0, 2, false, &showTimeline },
        { "audit", "[FROM_US TO_US]", "export the audit records of a time range, in microseconds since the Unix epoch", 0, 2, false, &exportAudit },
        { "replicas change", "add-learner|promote|remove REPLICA DISK", "add, promote or remove one replica", 3, 3, false, &changeReplicas },
        { "replicas", "", "show the leader's view of the replicas", 0, 0, false, &showReplicas },
    };
    return entries;
}

} // namespace arbutus::ctl
