#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/Random.h"
#include "include/base/RankedMutex.h"
#include "include/base/Timeline.h"
#include "include/orders/OrderExecutor.h"
#include "include/routing/RetryTokenBucket.h"
#include "include/sheet/Sheet.h"
#include "src/entry/ChannelPool.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::entry {

// Calls to plain services. Calls that may be repeated are retried on other
// upstreams within the retry budget; the others go through the order ledger.
// The calls block; run them on a worker pool. Safe to use from several threads.
class ServiceCalls final : private orders::OrderUpstreams {
public:
    ServiceCalls(const base::Clock&, base::Timeline&, std::string dataCentre, std::uint64_t seed, orders::OrderLedger&);

    void setUpstreams(std::vector<FactsPointer>);
    // Upstreams that an operator drains; they get no calls.
    void setDrained(std::set<std::string>);

    // Calls the service that `row` describes.
    base::Result<orders::OrderAnswer> call(const sheet::ServiceRow& row, const std::string& requestId, const orders::OrderRequest&);

    // Tries the writes to the ledger that could not be committed before, the
    // oldest first. Call it about once a second.
    void retryPendingWrites();

    std::size_t pendingWriteCount() const;

private:
    orders::SendResult onSend(const orders::OrderRequest&) override;
    base::Result<orders::OrderAnswer> callRepeatable(const orders::OrderRequest&);
    std::optional<FactsPointer> chooseUpstream(const std::string& service, const std::vector<std::string>& tried);
    orders::SendResult sendTo(const membership::MemberFacts&, const orders::OrderRequest&) const;
    std::uint64_t nextClaimNumber();

    const base::Clock& clock_;
    base::Timeline& timeline_;
    const std::string dataCentre_;
    mutable base::RankedMutex mutex_;
    std::vector<FactsPointer> upstreams_;
    std::set<std::string> drained_;
    base::Random random_;
    routing::RetryTokenBucket retryBudget_;
    std::deque<orders::PendingWrite> pendingWrites_;
    orders::OrderExecutor executor_;
};

} // namespace arbutus::entry
