#pragma once

#include "include/base/Digest.h"
#include "include/base/Random.h"
#include "include/state/StateMachine.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <memory>
#include <string>

namespace arbutus::state {

// Drives a state machine with a simulated clock that starts at 2026-12-04 00:00 UTC.
struct StateFixture {
    explicit StateFixture(const Limits& limits = Limits())
        : machineLimits(limits)
        , machine(std::make_unique<StateMachine>(limits))
    {
    }

    Outcome apply(CommandBody body) { return applyBytes(encodeCommand({ now, std::move(body) })); }
    Outcome applyBytes(std::string_view bytes) { return machine->apply(machine->appliedIndex() + 1, bytes); }
    void advanceClock(std::chrono::microseconds step) { now += step; }

    // Restores the machine from its own snapshot, like a restarted replica.
    void restartFromSnapshot()
    {
        std::string snapshot = machine->encodeSnapshot();
        auto restored = StateMachine::MakeFromSnapshot(snapshot, machineLimits);
        BOOST_REQUIRE(restored.has_value());
        machine = std::move(restored).value();
        BOOST_REQUIRE(machine->encodeSnapshot() == snapshot);
    }

    Limits machineLimits;
    std::unique_ptr<StateMachine> machine;
    base::WallTime now { std::chrono::seconds(1'796'342'400) };
};

inline const std::string digestA = base::sha256Hex("POST /orders A");
inline const std::string digestB = base::sha256Hex("POST /orders B");

inline OrderKey orderKey(const std::string& key) { return { "fiere", "magazzino", key }; }
inline ClaimOrder claimCommand(const std::string& key, std::uint64_t number, const std::string& entryVm = "entry-1", const std::string& body = digestA) { return { orderKey(key), body, number, entryVm, 1 }; }
inline RecordOutcome answerCommand(const std::string& key, std::uint64_t number, const std::string& body = "{}") { return { orderKey(key), number, false, { 201, "application/json", body } }; }

template <typename T>
const T& outcomeAs(const Outcome& outcome)
{
    const T* typed = std::get_if<T>(&outcome);
    BOOST_REQUIRE_MESSAGE(typed, "unexpected outcome: " << resultName(outcome));
    return *typed;
}

inline std::string sheetText(int rows, int version)
{
    std::string csv = sheet::Sheet().canonicalText();
    for (int i = 0; i < rows; ++i)
        csv += fmt::format("model,team-{},scriba,4.{},,5,1,8,10,large,,,48\n", i, i == 0 ? version : 0);
    return csv;
}

} // namespace arbutus::state
