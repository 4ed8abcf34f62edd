#include "include/fleet/ConfigurationProof.h"

#include <algorithm>
#include <tuple>

namespace arbutus::fleet {

void ConfigurationProof::record(std::uint32_t ip, VersionReport report, base::TimePoint polledAt)
{
    if (report.isCurrent)
        keep({ report.version, polledAt - std::chrono::milliseconds(report.ageMilliseconds) });
    reported_[ip] = { std::move(report), polledAt };
    if (auto proof = proveByVoters())
        keep(*proof);
}

std::optional<ConfigurationProof::Proof> ConfigurationProof::proveByMajority(const std::vector<ReportedVoter>& voters) const
{
    std::vector<const Reported*> reports;
    for (const auto& [ip, reported] : reported_) {
        // A VM that has lost its disk is no voter under its new disk number.
        if (std::find(voters.begin(), voters.end(), reported.report.self) != voters.end())
            reports.push_back(&reported);
    }
    const std::size_t majority = voters.size() / 2 + 1;
    if (reports.size() < majority)
        return std::nullopt;
    std::sort(reports.begin(), reports.end(), [](const Reported* left, const Reported* right) { return left->polledAt > right->polledAt; });
    Proof proof { 0, reports[majority - 1]->polledAt };
    for (std::size_t i = 0; i < majority; ++i)
        proof.version = std::max(proof.version, reports[i]->report.version);
    return proof;
}

// A later set of voters is known to some voter of each majority of the set before it, so the
// newest set that anybody reports decides.
std::optional<ConfigurationProof::Proof> ConfigurationProof::proveByVoters() const
{
    auto setPosition = [](const auto& entry) { return std::make_tuple(entry.second.report.votersTerm, entry.second.report.votersIndex); };
    auto newest = std::max_element(reported_.begin(), reported_.end(), [&](const auto& left, const auto& right) { return setPosition(left) < setPosition(right); });
    if (newest == reported_.end() || newest->second.report.voterSets.empty())
        return std::nullopt;
    std::optional<Proof> result;
    for (const auto& voters : newest->second.report.voterSets) {
        auto proof = proveByMajority(voters);
        if (!proof)
            return std::nullopt;
        result = result ? Proof { std::max(result->version, proof->version), std::min(result->provenAt, proof->provenAt) } : *proof;
    }
    return result;
}

void ConfigurationProof::keep(const Proof& proof)
{
    auto [known, isNew] = provenAt_.emplace(proof.version, proof.provenAt);
    known->second = std::max(known->second, proof.provenAt);
    for (auto it = provenAt_.begin(); it != provenAt_.end();)
        it = it->second + lifetime_ < proof.provenAt ? provenAt_.erase(it) : std::next(it);
}

std::optional<base::TimePoint> ConfigurationProof::provenAt(std::uint64_t version) const
{
    std::optional<base::TimePoint> latest;
    for (auto it = provenAt_.begin(); it != provenAt_.end() && it->first <= version; ++it)
        latest = std::max(latest.value_or(it->second), it->second);
    return latest;
}

} // namespace arbutus::fleet
