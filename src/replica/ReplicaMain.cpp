#include "include/base/Heap.h"
#include "include/base/Logger.h"
#include "include/base/Settings.h"
#include "include/base/StopSignal.h"
#include "src/replica/ReplicaProcess.h"

using namespace arbutus;

int main(int argc, const char** argv)
{
    base::limitHeapFragmentation();
    base::blockStopSignals();
    base::Logger logger("state");
    auto settings = base::Settings::Make(argc, argv, replica::ReplicaProcess::settingSpecs());
    if (!settings) {
        logger.error("The settings are invalid.", { { "reason", settings.error().detail } });
        return 2;
    }
    auto process = replica::ReplicaProcess::Make(settings.value());
    if (!process) {
        logger.error("Failed to start the replica.", { { "reason", process.error().detail } });
        return 2;
    }
    base::waitForStopSignal();
    logger.info("Stopping.");
    return 0;
}
