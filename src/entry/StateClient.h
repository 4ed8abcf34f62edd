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

// Calls to whichever state replica leads. Safe to use from several threads; a
// call blocks until it is answered or its deadline passes.
class StateClient final : public orders::OrderStore {
public:
    // `replicaUrls` are the roots of the replicas' control interfaces. `vm` and
    // `incarnation` name this process in claims.
    StateClient(const base::Clock&, base::Timeline&, std::vector<std::string> replicaUrls, std::string key, std::string vm, std::uint64_t incarnation);

    // Calls a method of the leader. NoQuorum: certainly not carried out by any
    // replica. CommandUnconfirmed: it may have been or may still be carried out.
    base::Result<rpc::Parameters> call(const std::string& method, const rpc::Parameters&, base::TimePoint deadline);

    // Proposes a command. An error that the state machine gave keeps its kind.
    base::Result<rpc::Parameters> propose(const state::CommandBody&, base::TimePoint deadline);

private:
    base::Result<orders::ClaimReply> onClaim(const orders::Claim&, base::TimePoint deadline) override;
    base::Result<void> onRecordOutcome(const orders::Claim&, const std::optional<orders::OrderAnswer>&, base::TimePoint deadline) override;
    base::Result<void> onClose(const orders::Claim&, base::TimePoint deadline) override;

    // Returns an incarnation above `rejected`, for the claims from now on.
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
    // The replica that answered last.
    std::size_t leaderIndex_ = 0;
    std::uint64_t incarnation_;
};

} // namespace arbutus::entry
