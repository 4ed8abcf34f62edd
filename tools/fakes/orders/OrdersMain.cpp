#include "include/base/Logger.h"
#include "include/base/Settings.h"
#include "include/base/StopSignal.h"
#include "tools/fakes/common/Announcer.h"
#include "tools/fakes/common/ListenerServer.h"

#include <fmt/format.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace arbutus;
using web::http::http_request;
using web::http::status_codes;
using web::json::value;

namespace {

// A fake order service. Counts executions by idempotency key, so a test can
// detect an order that was executed twice.
class OrderService {
public:
    explicit OrderService(std::string name)
        : name_(std::move(name))
    {
    }

    void handle(http_request request)
    {
        std::string path = request.relative_uri().path();
        if (path == "/fake/v1/executions")
            request.reply(status_codes::OK, executions());
        else if (path == "/fake/v1/faults")
            setFaults(request);
        else if (path == "/stock")
            request.reply(status_codes::OK, value::string(name_ + ": 42 reels"));
        else
            execute(request);
    }

private:
    void execute(http_request request)
    {
        std::string key;
        if (auto it = request.headers().find("Idempotency-Key"); it != request.headers().end())
            key = it->second;
        int number = 0;
        bool shouldExit = false;
        {
            std::lock_guard lock(mutex_);
            ++executions_[key];
            number = ++total_;
            shouldExit = exitsAfterExecution_;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(delayMilliseconds_));
        if (shouldExit) {
            // Simulates a crash after the execution and before the response.
            std::_Exit(87);
        }
        value answer = value::object();
        answer["order"] = value::string(fmt::format("{}-{}", name_, number));
        request.reply(status_codes::Created, answer);
    }

    value executions()
    {
        std::lock_guard lock(mutex_);
        value counts = value::object();
        for (const auto& [key, count] : executions_)
            counts[key] = value::number(count);
        return counts;
    }

    void setFaults(http_request request)
    {
        request.extract_json(true).then([this, request](pplx::task<value> task) mutable {
            try {
                auto fault = task.get();
                std::lock_guard lock(mutex_);
                if (fault.has_field("dieAfterExecution"))
                    exitsAfterExecution_ = fault.at("dieAfterExecution").as_bool();
                if (fault.has_field("delayMs"))
                    delayMilliseconds_ = fault.at("delayMs").as_integer();
                request.reply(status_codes::OK);
            } catch (const std::exception& exception) {
                request.reply(status_codes::BadRequest, value::string(exception.what()));
            }
        });
    }

    const std::string name_;
    std::mutex mutex_;
    std::map<std::string, int> executions_;
    int total_ = 0;
    bool exitsAfterExecution_ = false;
    std::atomic<int> delayMilliseconds_ { 0 };
};

} // namespace

int main(int argc, const char** argv)
{
    base::blockStopSignals();
    base::Logger logger("orders-service");
    auto settings = base::Settings::Make(argc, argv,
        {
            { "id", "name of this runner", std::nullopt },
            { "service", "name of the service", std::nullopt },
            { "address", "IP address to listen on", "127.0.0.1" },
            { "port", "port to listen on", std::nullopt },
            { "data-centre", "data centre of this runner", std::nullopt },
            { "entries", "URLs of entry VMs to announce to", std::nullopt },
        });
    if (!settings) {
        logger.error("The settings are invalid.", { { "reason", settings.error().detail } });
        return 2;
    }
    auto port = settings.value().integer("port", 1, 65535);
    if (!port) {
        logger.error("The settings are invalid.", { { "reason", port.error().detail } });
        return 2;
    }
    OrderService service(settings.value().text("service"));
    auto server = fakes::ListenerServer::Make(settings.value().text("address"), static_cast<int>(port.value()), [&](http_request request) { service.handle(request); });
    if (!server) {
        logger.error("Failed to start the server.", { { "reason", server.error().detail } });
        return 2;
    }
    auto incarnation = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::atomic<bool> isLeaving { false };
    fakes::Announcer announcer(settings.value().list("entries"), [&] {
        value facts = value::object();
        facts["id"] = value::string(settings.value().text("id"));
        facts["address"] = value::string(fmt::format("http://{}:{}", settings.value().text("address"), port.value()));
        facts["dataCentre"] = value::string(settings.value().text("data-centre"));
        facts["accelerator"] = value::string("none");
        facts["capacity"] = value::number(64);
        facts["incarnation"] = value::number(static_cast<std::int64_t>(incarnation));
        facts["version"] = value::number(isLeaving ? 2 : 1);
        facts["leaving"] = value::boolean(isLeaving);
        facts["models"] = value::array();
        facts["services"] = value::array({ value::string(settings.value().text("service")) });
        return facts;
    });
    base::waitForStopSignal();
    isLeaving = true;
    announcer.announceNow();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    return 0;
}
