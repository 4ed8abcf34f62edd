// A control machine is replaced as planned: the new one first, then SIGTERM for the old one.
// Just after, one of the others loses its disk. What was acknowledged must still be readable.
#include "review/standins/Deployment.h"

using namespace review;

// The successor has had catch_up_s (4 s) when the old machine is removed.
static constexpr std::chrono::milliseconds successorTime(6000);
static constexpr std::chrono::milliseconds timeAfterRemoval(500);
static constexpr std::chrono::milliseconds downTime(1000);
static constexpr std::chrono::milliseconds recoveryTime(12'000);
// Longer than contact_ms (3 s), for which the operator repeats its question at least.
static constexpr std::chrono::milliseconds readTime(8000);
static constexpr std::chrono::milliseconds readInterval(250);

static std::optional<bool> run(Record& record, const std::string& folder, bool hasTrouble)
{
    Deployment deployment(record, folder, 3, 1);
    if (!deployment.start(plainConfiguration(1)))
        return std::nullopt;
    std::this_thread::sleep_for(std::chrono::seconds(5));
    auto newest = plainConfiguration(2);
    if (!deployment.replaceConfiguration(newest))
        return std::nullopt;
    record.line("version 2 is acknowledged");
    if (hasTrouble) {
        deployment.addControl();
        std::this_thread::sleep_for(successorTime);
        deployment.terminate(deployment.controls()[2]);
        std::this_thread::sleep_for(timeAfterRemoval);
        deployment.loseDisk(deployment.controls()[1], downTime);
    }
    std::this_thread::sleep_for(recoveryTime);
    bool isRead = false;
    for (auto end = steadyNow() + readTime; !isRead && steadyNow() < end; std::this_thread::sleep_for(readInterval)) {
        for (std::size_t i = 0; i < deployment.controls().size() && !isRead; ++i) {
            if (deployment.controls()[i].process->isRunning())
                isRead = deployment.readConfiguration(i) == newest;
        }
    }
    record.line(isRead ? "version 2 is read back" : "the configuration does not come");
    record.line(std::string("version 3 is ") + (deployment.replaceConfiguration(plainConfiguration(3)) ? "" : "not ") + "acknowledged");
    deployment.stopAll();
    return !isRead;
}

int main(int argc, char** argv) { return runCase(argc, argv, run); }
