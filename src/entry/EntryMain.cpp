#include "include/base/Heap.h"
#include "include/base/Logger.h"
#include "include/base/Settings.h"
#include "include/base/StopSignal.h"
#include "src/entry/EntryProcess.h"

#include <pplx/threadpool.h>

#include <cstdlib>
#include <thread>

using namespace arbutus;

int main(int argc, const char** argv)
{
    base::limitHeapFragmentation();
    base::blockStopSignals();
    base::Logger logger("entry");
    auto settings = base::Settings::Make(argc, argv, entry::EntryProcess::settingSpecs());
    if (!settings) {
        logger.error("The settings are invalid.", { { "reason", settings.error().detail } });
        return 2;
    }
    auto threads = settings.value().integer("http-threads", 2, 256);
    if (!threads) {
        logger.error("The settings are invalid.", { { "reason", threads.error().detail } });
        return 2;
    }
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(threads.value()));
    auto process = entry::EntryProcess::Make(settings.value());
    if (!process) {
        logger.error("Failed to start.", { { "reason", process.error().detail } });
        return 2;
    }
    base::waitForStopSignal();
    // A second signal logs what would be lost; a third one exits immediately.
    std::thread([&] {
        base::waitForStopSignal();
        logger.warning("Still draining; another signal exits immediately.", { { "loss", process.value()->describeLoss() } });
        base::waitForStopSignal();
        logger.error("Exiting before the drain is complete.", { { "loss", process.value()->describeLoss() } });
        std::_Exit(1);
    }).detach();
    process.value()->drain();
    // The detached thread uses `process`, so the program exits without destroying it.
    std::_Exit(0);
}
