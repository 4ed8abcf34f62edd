#pragma once

#include "include/base/Clock.h"
#include "include/base/RankedMutex.h"
#include "include/base/Timeline.h"
#include "include/orders/OrderExecutor.h"
#include "include/rpc/JsonRpc.h"
#include "include/state/Commands.h"

#include <string>
#include <vector>

namespace arbutus::entry {

// Calls the state replica that is the leader. A call blocks until it is answered or
// its deadline passes. Thread-safe.
class StateClient final : public orders::OrderStore {
public:
    // `replicaUrls` are the base URLs of the replicas' RPC interfaces. `vm` and
    // `incarnation` identify this process in claims.
    StateClient(const base::Clock&, base::Timeline&, std::vector<std::string> replicaUrls, std::string key, std::string vm, std::uint64_t incarnation);

    // Calls a method of the leader. Returns NoQuorum if no replica has executed or will
    // execute the call, and CommandUnconfirmed if it may have been executed or may
    // still be.
    base::Result<rpc::Parameters> call(const std::string& method, const rpc::Parameters&, base::TimePoint deadline);

    // Proposes a command. A refusal by the state machine keeps its error kind.
    base::Result<rpc::Parameters> propose(const state::CommandBody&, base::TimePoint deadline);

private:
    base::Result<orders::ClaimReply> onClaim(const orders::Claim&, base::TimePoint deadline) override;
    base::Result<void> onRecordOutcome(const orders::Claim&, const std::optional<orders::OrderAnswer>&, base::TimePoint deadline) override;
    base::Result<void> onClose(const orders::Claim&, base::TimePoint deadline) override;

    // Returns an incarnation greater than `rejected` for all later claims. Concurrent
    // callers with the same `rejected` get the same incarnation.
    std::uint64_t raiseIncarnation(std::uint64_t rejected);
    std::uint64_t incarnation() const;
    std::size_t leaderIndex() const;
    void setLeaderIndex(std::size_t);

    const base::Clock& clock_;
    base::Timeline& timeline_;
    const std::vector<std::string> replicaUrls_;
    const std::string key_;
    const std::string vm_;
    mutable base::RankedMutex mutex_;
    // Index of the replica that last answered successfully.
    std::size_t leaderIndex_ = 0;
    std::uint64_t incarnation_;
};

} // namespace arbutus::entry
