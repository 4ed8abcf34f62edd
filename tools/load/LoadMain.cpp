#include "include/base/Logger.h"
#include "tools/load/LoadReport.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>

using namespace arbutus;

static bool appendCsv(const std::string& path, const std::string& line)
{
    std::error_code error;
    bool isNew = !std::filesystem::exists(path, error) || std::filesystem::is_empty(path, error);
    std::ofstream file(path, std::ios::app);
    if (isNew)
        file << load::LoadReport::csvHeader();
    file << line;
    return static_cast<bool>(file.flush());
}

static bool isInstalled(const std::string& program)
{
    const char* path = std::getenv("PATH");
    for (const auto& folder : base::splitText(path ? path : "", ':')) {
        std::error_code error;
        if (std::filesystem::exists(std::filesystem::path(folder) / program, error))
            return true;
    }
    return false;
}

// Writes a sample file and a gnuplot script next to the image, and runs gnuplot
// if it is installed.
static void plot(const std::string& path, std::vector<double> samples)
{
    std::sort(samples.begin(), samples.end());
    std::ofstream data(path + ".dat");
    for (std::size_t i = 0; i < samples.size(); ++i)
        data << samples[i] << ' ' << static_cast<double>(i + 1) / static_cast<double>(samples.size()) << '\n';
    data.close();
    std::ofstream script(path + ".gnuplot");
    script << "set terminal png\nset output '" << path << "'\nset xlabel 'first token (ms)'\nset ylabel 'share of requests'\nplot '" << path << ".dat' with steps notitle\n";
    script.close();
    if (!isInstalled("gnuplot")) {
        fmt::print("plot             gnuplot is not installed; the samples are in {}.dat\n", path);
        return;
    }
    if (std::system(("gnuplot '" + path + ".gnuplot'").c_str()))
        fmt::print("plot             gnuplot failed\n");
}

int main(int argc, const char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    base::Logger logger("load");
    auto settings = base::Settings::Make(argc, argv, load::LoadPlan::settingSpecs());
    if (!settings) {
        logger.error("The settings are invalid.", { { "reason", settings.error().detail } });
        return 2;
    }
    auto plan = load::LoadPlan::Make(settings.value());
    if (!plan) {
        logger.error("The load plan is invalid.", { { "reason", plan.error().detail } });
        return 2;
    }
    load::LoadRun run(plan.value());
    std::clock_t before = std::clock();
    run.run();
    double processorSeconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    auto report = load::LoadReport::Make(plan.value(), run, processorSeconds);
    fmt::print("{}", report.text());
    if (const auto& path = settings.value().text("plot"); !path.empty())
        plot(path, report.firstTokenSamples);
    int code = report.errorCount() ? 1 : 0;
    if (const auto& path = settings.value().text("csv"); !path.empty() && !appendCsv(path, report.csvLine(settings.value().text("label"), plan.value()))) {
        logger.error("Failed to write the results.", { { "file", path } });
        code = 2;
    }
    std::fflush(stdout);
    // Skips destructors because requests in flight have callbacks that use the run.
    std::_Exit(code);
}
