#include "include/base/Logger.h"
#include "include/base/Settings.h"
#include "include/base/StopSignal.h"
#include "tools/fakes/engine/EngineServer.h"

#include <pplx/threadpool.h>

#include <thread>

using namespace arbutus;

static std::vector<base::SettingSpec> settingSpecs()
{
    return {
        { "id", "name of this engine", std::nullopt },
        { "address", "IP address to listen on", "127.0.0.1" },
        { "port", "port to listen on", std::nullopt },
        { "data-centre", "data centre of this engine", std::nullopt },
        { "accelerator", "kind of accelerator", "standard" },
        { "models", "models of this engine: model:version,...", std::nullopt },
        { "first-layer", "first layer of this engine", std::nullopt },
        { "last-layer", "last layer of this engine", std::nullopt },
        { "layers", "number of layers of the models", std::nullopt },
        { "entries", "URLs of entry VMs to announce to", std::nullopt },
        { "maximum-batch", "maximum number of sequences in one step", "64" },
        { "step-base-us", "time of one step in microseconds", "2000" },
        { "step-sequence-us", "time added by each sequence in microseconds", "50" },
        { "step-prefill-us", "time added by each uncached prefill position in microseconds", "20" },
        { "fencing", "honour or ignore the fencing tokens of commands", "honour" },
        { "crash-word", "a prompt with this word crashes the engine", "" },
        { "weight-store", "URL of the weight store", "" },
    };
}

int main(int argc, const char** argv)
{
    base::blockStopSignals();
    base::Logger logger("engine");
    auto settings = base::Settings::Make(argc, argv, settingSpecs());
    if (!settings) {
        logger.error("The settings are invalid.", { { "reason", settings.error().detail } });
        return 2;
    }
    // Measurements run about 24 engines on one machine. With the library's default
    // of 40 threads per process, the engines would be the bottleneck.
    crossplat::threadpool::initialize_with_threads(4);
    auto engine = fakes::EngineServer::Make(settings.value());
    if (!engine) {
        logger.error("Failed to start the engine.", { { "reason", engine.error().detail } });
        return 2;
    }
    base::waitForStopSignal();
    engine.value()->leave();
    // Finishes the running streams before the process exits.
    while (engine.value()->hasWork())
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return 0;
}
