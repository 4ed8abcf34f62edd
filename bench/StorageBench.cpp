#include "bench/StorageBench.h"

#include "include/base/Random.h"
#include "include/storage/PosixDisk.h"
#include "include/storage/Recovery.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

using namespace arbutus;
using namespace arbutus::storage;

using SteadyClock = std::chrono::steady_clock;

static constexpr std::uint64_t seed = 1;
// Approximate size of a ClaimOrder command.
static constexpr std::size_t recordBytes = 200;
static constexpr std::size_t syncsPerBatchSize = 400;
static constexpr std::size_t restartsPerLength = 5;

class TemporaryDirectory {
public:
    TemporaryDirectory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "arbutus-bench-XXXXXX").string();
        if (!::mkdtemp(pattern.data()))
            std::abort();
        path_ = pattern;
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    const std::string& path() const { return path_; }

private:
    std::string path_;
};

static std::vector<LogRecord> makeBatch(base::Random& random, std::uint64_t first, std::size_t count)
{
    std::vector<LogRecord> records(count);
    for (std::size_t i = 0; i < count; ++i) {
        records[i] = LogRecord { first + i, 1, std::string(recordBytes, '\0') };
        for (char& byte : records[i].bytes)
            byte = static_cast<char>(random.next());
    }
    return records;
}

static double microseconds(SteadyClock::duration duration) { return std::chrono::duration<double, std::micro>(duration).count(); }

static double quantile(std::vector<double>& values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

static void benchCommits()
{
    std::printf("storage_commit,batch,records_per_s,syncs_per_s,p50_us,p99_us\n");
    for (std::size_t batch : { 1, 4, 16, 64, 256 }) {
        TemporaryDirectory folder;
        auto disk = PosixDisk::Make(folder.path()).value();
        auto log = SegmentedLog::Make(*disk, {}).value();
        base::Random random(seed);
        std::vector<double> latencies;
        double total = 0;
        for (std::size_t i = 0; i < syncsPerBatchSize; ++i) {
            auto records = makeBatch(random, log->lastIndex() + 1, batch);
            auto start = SteadyClock::now();
            if (!log->append(records) || !log->sync())
                std::abort();
            latencies.push_back(microseconds(SteadyClock::now() - start));
            total += latencies.back();
        }
        double syncsPerSecond = static_cast<double>(syncsPerBatchSize) * 1e6 / total;
        std::printf("storage_commit,%zu,%.0f,%.0f,%.0f,%.0f\n", batch, syncsPerSecond * static_cast<double>(batch), syncsPerSecond, quantile(latencies, 0.5), quantile(latencies, 0.99));
    }
}

static void benchRestarts()
{
    static constexpr std::size_t batch = 250;
    std::printf("storage_restart,records,log_bytes,p50_ms,max_ms\n");
    for (std::uint64_t length : { 1000, 4000, 16000, 64000 }) {
        TemporaryDirectory folder;
        auto disk = PosixDisk::Make(folder.path()).value();
        base::Random random(seed);
        {
            auto storage = recoverStorage(*disk, seed).value();
            while (storage.log->lastIndex() < length) {
                if (!storage.log->append(makeBatch(random, storage.log->lastIndex() + 1, batch)) || !storage.log->sync())
                    std::abort();
            }
        }
        std::uint64_t bytes = 0;
        for (const auto& entry : std::filesystem::directory_iterator(folder.path()))
            bytes += entry.file_size();
        std::vector<double> times;
        for (std::size_t i = 0; i < restartsPerLength; ++i) {
            auto start = SteadyClock::now();
            auto storage = recoverStorage(*disk, seed);
            times.push_back(microseconds(SteadyClock::now() - start) / 1000);
            if (!storage || storage.value().log->lastIndex() != length)
                std::abort();
        }
        std::printf("storage_restart,%llu,%llu,%.2f,%.2f\n", static_cast<unsigned long long>(length), static_cast<unsigned long long>(bytes), quantile(times, 0.5), quantile(times, 1));
    }
}

void benchStorage()
{
    benchCommits();
    benchRestarts();
}
